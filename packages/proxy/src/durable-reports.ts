/** Reports what must be durable on a majority of core disks before a reply leaves: commit positions and usage (design 7.5, 8.6). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Instant, type Runtime } from '@stallstall/kernel';
import { message, type DurableWatermark, type DurableWatermarks } from '@stallstall/message';
import type { Peer } from '@stallstall/peer';
import type { UsageWindow } from './usage-windows.js';

export type Notes = Readonly<{
  /** The number of the report that will hold what is counted before the next call of `note`. */
  next: () => number;
  /** Has a position reported, with all that is counted by now. */
  note: (service: string, watermark: Option.Option<DurableWatermark>) => void;
  /** Whether that report, or a later one, is durable. */
  noted: (number: number) => boolean;
  /** The usage window of the latest durable report: what it confirms was served then. */
  window: () => number;
  /** Reports what was counted since, and that this proxy still counts. */
  tick: () => void;
  flush: () => Promise<void>;
  /** The agent can be reached, so that what is sent now can be made durable. */
  sound: () => boolean;
  /** How many reports there were, and how long they took in all. */
  totals: () => Readonly<{ notes: number; noteMilliseconds: number }>;
}>;

export type NoteSources = Readonly<{
  /** What was served, by window of the wall clock. */
  counts: (window: number) => readonly UsageWindow[];
  /** A report has become durable. */
  onNoted: () => void;
}>;

type State = {
  readonly runtime: Runtime;
  readonly agent: Peer;
  /** Names this run of the process: its counts replace none of an earlier run. */
  readonly incarnation: string;
  readonly sources: NoteSources;
  /** The highest position of each service that was reported. */
  watermarks: DurableWatermarks;
  /** Numbers of reports: the latest begun, the latest durable, the latest that somebody waits for. */
  started: number;
  durable: number;
  wanted: number;
  /** Of the latest durable report. */
  durableWindow: number;
  durableAt: Instant;
  reporting: boolean;
  /** By window: the counts that the latest durable report holds, as text. Empty once a report may be durable in part. */
  readonly reported: Map<number, string>;
  attempts: number;
  attemptMilliseconds: number;
};

const tickMilliseconds = 200;
const windowMilliseconds = 5_000;
const windowsKept = 6;
const callMilliseconds = 1_000;

function windowOf(wall: number): number {
  return Math.floor(wall / windowMilliseconds);
}

/** Sends one report; false when it is not known to be durable. */
async function attempt(state: State): Promise<boolean> {
  const { runtime, agent, sources, incarnation, reported } = state;
  state.started += 1;
  const number = state.started;
  const startedAt = runtime.clock.now();
  const wall = runtime.clock.wall();
  const window = windowOf(wall);
  const usage = sources
    .counts(window)
    .map((one) => ({ window: one.window, counts: { ...one.counts } }))
    .filter((one) => reported.get(one.window) !== JSON.stringify(one.counts));
  const body = { number, floors: { ...state.watermarks }, usage, through: wall, incarnation };
  const reply = await agent.call('tell', body, callMilliseconds);
  state.attempts += 1;
  state.attemptMilliseconds += runtime.clock.now() - startedAt;
  if (Option.isNone(reply) || !reply.value.kept) {
    reported.clear();
    return false;
  }
  for (const one of usage) reported.set(one.window, JSON.stringify(one.counts));
  for (const old of reported.keys()) if (old < window - windowsKept) reported.delete(old);
  // A report that took longer than its window confirms nothing: what waits is reported again, in the window it is served in.
  if (windowOf(runtime.clock.wall()) !== window) return true;
  state.durable = number;
  state.durableWindow = window;
  state.durableAt = startedAt;
  return true;
}

/** One report at a time; whoever comes meanwhile is in the next. */
async function report(state: State): Promise<void> {
  if (state.reporting) return;
  state.reporting = true;
  do {
    if (!(await attempt(state))) break;
    state.sources.onNoted();
  } while (state.durable < state.wanted);
  state.reporting = false;
}

function create(runtime: Runtime, agent: Peer, incarnation: string, sources: NoteSources): Notes {
  const state: State = {
    runtime,
    agent,
    incarnation,
    sources,
    watermarks: {},
    started: 0,
    durable: 0,
    wanted: 0,
    durableWindow: 0,
    durableAt: identifiers.instant(Number.NEGATIVE_INFINITY),
    reporting: false,
    reported: new Map(),
    attempts: 0,
    attemptMilliseconds: 0,
  };

  return {
    note: function note(service, watermark) {
      if (Option.isSome(watermark)) state.watermarks = message.maxWatermarks(state.watermarks, { [service]: watermark.value });
      state.wanted = state.started + 1;
      void report(state);
    },
    next: () => state.started + 1,
    noted: (number) => state.durable >= number,
    window: () => state.durableWindow,
    tick: function tick() {
      if (state.durable < state.wanted || runtime.clock.now() - state.durableAt >= tickMilliseconds) void report(state);
    },
    flush: () => report(state),
    sound: agent.isConnected,
    totals: () => ({ notes: state.attempts, noteMilliseconds: Math.round(state.attemptMilliseconds) }),
  };
}

export const notes = { create } as const;
