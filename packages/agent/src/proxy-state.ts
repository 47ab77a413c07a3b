/** What the proxy of an edge reported last, and what may be concluded from it (design 8.10, 8.11). */
import { identifiers, type Clock, type Instant } from '@stallstall/kernel';
import type { CommitWatermarks, LogPosition, Request } from '@stallstall/message';

/** @internal */
export type ProxyState = Readonly<{
  /** Takes the report that a proxy sends with each request; says what it tells that was not known. */
  update: (request: Request<'placement'>) => ProxyUpdate;
  /** A reply leaves now: numbers it, so that later reports can be told to be no older. */
  recordReply: () => number;
  releasedEpochs: () => Readonly<Record<string, number>>;
  commitPositions: () => Readonly<Record<string, LogPosition>>;
  /** Aged by the time since the proxy asked. */
  commitWatermarks: () => CommitWatermarks;
  /** How long ago, at the most, `positions` was all there was to report. Unit: milliseconds. */
  commitPositionsAge: () => number;
  isLeaderMissing: () => boolean;
  refusedMembers: () => readonly string[];
  statementRate: () => number;
}>;

/** @internal */
export type ProxyUpdate = Readonly<{
  /** Another process runs as the proxy than before. */
  isRestarted: boolean;
  /** What it has released, or the members that refuse it, have changed. */
  isChanged: boolean;
}>;

/** A proxy that asks this often misses a leader somewhere. Unit: milliseconds. */
export const leaderMissingHoldMilliseconds = 100;
const maxReplies = 100;
/** Nothing is known of what the proxy has told its clients. */
const unknownPositionsAgeMilliseconds = 3_600_000;

type Report = Pick<Request<'placement'>, 'released' | 'positions' | 'marks' | 'demand' | 'notListening' | 'hold'>;

const noReport: Report = { released: {}, positions: {}, marks: {}, demand: 0, notListening: [], hold: 0 };

/** @param token - names this agent's process: a proxy that reports another has not heard from it */
function create(clock: Clock, token: string): ProxyState {
  let report = noReport;
  let hasReported = false;
  let reportedAt: Instant = identifiers.instant(Number.NEGATIVE_INFINITY);
  /** What the proxy reported last was all there was at this moment or later. */
  let positionsAt: Instant | undefined;
  let lastCondition = '';
  let lastReply = 0;
  const repliedAt = new Map<number, Instant>();

  function update(request: Request<'placement'>): ProxyUpdate {
    // The process before it may have acknowledged commits that it did not live to report.
    const isRestarted = request.token === '' && hasReported;
    hasReported = true;
    reportedAt = clock.now();
    report = request;
    const reportedSince = request.token === token ? repliedAt.get(request.serial) : undefined;
    if (reportedSince !== undefined && (positionsAt === undefined || reportedSince > positionsAt)) positionsAt = reportedSince;
    const condition = `${JSON.stringify(request.released)}${request.notListening.join(' ')}`;
    const isChanged = condition !== lastCondition;
    lastCondition = condition;
    return { isRestarted, isChanged };
  }

  function recordReply(): number {
    lastReply += 1;
    repliedAt.set(lastReply, clock.now());
    repliedAt.delete(lastReply - maxReplies);
    return lastReply;
  }

  /** What the proxy saw so long before it asked was seen that much longer ago by now. */
  function commitWatermarks(): CommitWatermarks {
    const elapsed = Math.max(0, clock.now() - reportedAt);
    const aged = Object.entries(report.marks).map(([service, mark]) => [service, { ...mark, ago: mark.ago + elapsed }] as const);
    return Object.fromEntries(aged);
  }

  return {
    update,
    recordReply,
    releasedEpochs: () => report.released,
    commitPositions: () => report.positions,
    commitWatermarks,
    commitPositionsAge: () => (positionsAt === undefined ? unknownPositionsAgeMilliseconds : Math.max(0, clock.now() - positionsAt)),
    isLeaderMissing: () => report.hold > 0 && report.hold <= leaderMissingHoldMilliseconds,
    refusedMembers: () => report.notListening,
    statementRate: () => report.demand,
  };
}

/** @internal */
export const proxyStates = { create } as const;
