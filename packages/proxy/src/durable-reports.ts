/** Reports what must be durable on a majority of core disks before a reply leaves: commit positions and usage (design 7.5, 8.6). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Instant, type Runtime } from '@stallstall/kernel';
import { message, type DurableWatermark, type DurableWatermarks } from '@stallstall/message';
import type { Peer } from '@stallstall/peer';
import type { UsageWindow } from './usage-windows.js';

export type DurableReports = Readonly<{
  /** The number of the report that will hold what is counted before the next call of `requestReport`. */
  nextNumber: () => number;
  /** Has a position reported, with all that is counted by now. */
  requestReport: (service: string, watermark: Option.Option<DurableWatermark>) => void;
  /** Whether that report, or a later one, is durable. */
  isDurable: (number: number) => boolean;
  /** The usage window of the latest durable report: what it confirms was served then. */
  durableWindow: () => number;
  /** Reports what was counted since, and that this proxy still counts. */
  tick: () => void;
  flush: () => Promise<void>;
  /** The agent can be reached, so that what is sent now can be made durable. */
  isAgentConnected: () => boolean;
  /** How many reports there were, and how long they took in all. */
  totals: () => Readonly<{ notes: number; noteMilliseconds: number }>;
}>;

export type ReportSources = Readonly<{
  /** What was served, by window of the wall clock. */
  counts: (window: number) => readonly UsageWindow[];
  /** A report has become durable. */
  onDurable: () => void;
}>;

type State = {
  readonly runtime: Runtime;
  readonly agent: Peer;
  /** Names this run of the process: its counts replace none of an earlier run. */
  readonly incarnation: string;
  readonly sources: ReportSources;
  /** The highest position of each service that was reported. */
  watermarks: DurableWatermarks;
  /** Numbers of reports: the latest begun, the latest durable, the latest that somebody waits for. */
  lastStarted: number;
  lastDurable: number;
  lastRequested: number;
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
  state.lastStarted += 1;
  const number = state.lastStarted;
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
  state.lastDurable = number;
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
    state.sources.onDurable();
  } while (state.lastDurable < state.lastRequested);
  state.reporting = false;
}

function create(runtime: Runtime, agent: Peer, incarnation: string, sources: ReportSources): DurableReports {
  const state: State = {
    runtime,
    agent,
    incarnation,
    sources,
    watermarks: {},
    lastStarted: 0,
    lastDurable: 0,
    lastRequested: 0,
    durableWindow: 0,
    durableAt: identifiers.instant(Number.NEGATIVE_INFINITY),
    reporting: false,
    reported: new Map(),
    attempts: 0,
    attemptMilliseconds: 0,
  };

  return {
    requestReport: function requestReport(service, watermark) {
      if (Option.isSome(watermark)) state.watermarks = message.maxWatermarks(state.watermarks, { [service]: watermark.value });
      state.lastRequested = state.lastStarted + 1;
      void report(state);
    },
    nextNumber: () => state.lastStarted + 1,
    isDurable: (number) => state.lastDurable >= number,
    durableWindow: () => state.durableWindow,
    tick: function tick() {
      if (state.lastDurable < state.lastRequested || runtime.clock.now() - state.durableAt >= tickMilliseconds) void report(state);
    },
    flush: () => report(state),
    isAgentConnected: agent.isConnected,
    totals: () => ({ notes: state.attempts, noteMilliseconds: Math.round(state.attemptMilliseconds) }),
  };
}

export const durableReports = { create } as const;
