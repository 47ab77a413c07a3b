/** Reports commit positions and usage to the cores, where they must be durable on a majority of disks before a reply is returned (design 7.5, 8.6). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Instant, type Runtime } from '@stallstall/kernel';
import { message, type DurableWatermark, type DurableWatermarks } from '@stallstall/message';
import type { Peer } from '@stallstall/peer';
import type { UsageWindow } from './usage-windows.js';

export type DurableReports = Readonly<{
  /** Number of the report that will include what is counted before the next call of `requestReport`. */
  nextNumber: () => number;
  /** Requests a report of a position and of everything counted so far. */
  requestReport: (service: string, watermark: Option.Option<DurableWatermark>) => void;
  /** Whether the report with this number, or a later one, is durable. */
  isDurable: (number: number) => boolean;
  /** The usage window of the latest durable report; the requests that it confirms are counted in this window. */
  durableWindow: () => number;
  /** Starts a report if one was requested, or if the latest is too old to show that this proxy still counts. */
  tick: () => void;
  flush: () => Promise<void>;
  /** Whether the agent is connected; without it, no reply can become durable. */
  isAgentConnected: () => boolean;
  /** The number of reports and their total duration. */
  totals: () => Readonly<{ notes: number; noteMilliseconds: number }>;
}>;

export type ReportSources = Readonly<{
  /** Requests served, by window of the wall clock. */
  counts: (window: number) => readonly UsageWindow[];
  /** Called when a report has become durable. */
  onDurable: () => void;
}>;

type State = {
  readonly runtime: Runtime;
  readonly agent: Peer;
  /** Identifies this run of the process, so that its counts do not replace those of an earlier run. */
  readonly incarnation: string;
  readonly sources: ReportSources;
  /** The highest reported commit position of each service. */
  watermarks: DurableWatermarks;
  /** Numbers of the latest report that was started, that is durable, and that was requested. */
  lastStarted: number;
  lastDurable: number;
  lastRequested: number;
  /** Window and start time of the latest durable report. */
  durableWindow: number;
  durableAt: Instant;
  isReporting: boolean;
  /** By window: the counts in the latest durable report, as JSON. Cleared when a report failed and may be durable on some cores. */
  readonly reported: Map<number, string>;
  attempts: number;
  attemptMilliseconds: number;
};

const maxReportAgeMilliseconds = 200;
const windowMilliseconds = 5_000;
const retainedWindows = 6;
const callTimeoutMilliseconds = 1_000;

function windowOf(wall: number): number {
  return Math.floor(wall / windowMilliseconds);
}

/** Sends one report. Returns false if it may not be durable. */
async function sendReport(state: State): Promise<boolean> {
  const { runtime, agent, sources, incarnation, reported } = state;
  state.lastStarted += 1;
  const number = state.lastStarted;
  const startedAt = runtime.clock.now();
  const wall = runtime.clock.wall();
  const window = windowOf(wall);
  const usage = sources
    .counts(window)
    .map((windowUsage) => ({ window: windowUsage.window, counts: { ...windowUsage.counts } }))
    .filter((windowUsage) => reported.get(windowUsage.window) !== JSON.stringify(windowUsage.counts));
  const body = { number, floors: { ...state.watermarks }, usage, through: wall, incarnation };
  const reply = await agent.call('tell', body, callTimeoutMilliseconds);
  state.attempts += 1;
  state.attemptMilliseconds += runtime.clock.now() - startedAt;
  if (Option.isNone(reply) || !reply.value.kept) {
    reported.clear();
    return false;
  }
  for (const windowUsage of usage) reported.set(windowUsage.window, JSON.stringify(windowUsage.counts));
  for (const earlier of reported.keys()) if (earlier < window - retainedWindows) reported.delete(earlier);
  // A report that ended in a later window confirms nothing: the waiting replies are reported again, in the window in which they are returned.
  if (windowOf(runtime.clock.wall()) !== window) return true;
  state.lastDurable = number;
  state.durableWindow = window;
  state.durableAt = startedAt;
  return true;
}

/** Sends one report at a time; what is requested during a report is included in the next one. */
async function sendRequestedReports(state: State): Promise<void> {
  if (state.isReporting) return;
  state.isReporting = true;
  do {
    if (!(await sendReport(state))) break;
    state.sources.onDurable();
  } while (state.lastDurable < state.lastRequested);
  state.isReporting = false;
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
    isReporting: false,
    reported: new Map(),
    attempts: 0,
    attemptMilliseconds: 0,
  };

  return {
    requestReport: function requestReport(service, watermark) {
      if (Option.isSome(watermark)) state.watermarks = message.maxWatermarks(state.watermarks, { [service]: watermark.value });
      state.lastRequested = state.lastStarted + 1;
      void sendRequestedReports(state);
    },
    nextNumber: () => state.lastStarted + 1,
    isDurable: (number) => state.lastDurable >= number,
    durableWindow: () => state.durableWindow,
    tick: function tick() {
      if (state.lastDurable < state.lastRequested || runtime.clock.now() - state.durableAt >= maxReportAgeMilliseconds)
        void sendRequestedReports(state);
    },
    flush: () => sendRequestedReports(state),
    isAgentConnected: agent.isConnected,
    totals: () => ({ notes: state.attempts, noteMilliseconds: Math.round(state.attemptMilliseconds) }),
  };
}

export const durableReports = { create } as const;
