/** The latest report of an edge's proxy, and values derived from it (design 8.10, 8.11). */
import { identifiers, type Clock, type Instant } from '@stallstall/kernel';
import type { CommitWatermarks, LogPosition, Request } from '@stallstall/message';

/** @internal */
export type ProxyState = Readonly<{
  /** Records the report in a proxy's request; returns what has changed. */
  update: (request: Request<'placement'>) => ProxyUpdate;
  /** Numbers a reply that is being sent; a report that names this number is no older than the reply. */
  recordReply: () => number;
  releasedEpochs: () => Readonly<Record<string, number>>;
  commitPositions: () => Readonly<Record<string, LogPosition>>;
  /** Their ages include the time since the proxy's latest request. */
  commitWatermarks: () => CommitWatermarks;
  /** An upper bound on the time since `commitPositions` was complete. Unit: milliseconds. */
  commitPositionsAge: () => number;
  isLeaderMissing: () => boolean;
  refusedMembers: () => readonly string[];
  statementRate: () => number;
}>;

/** @internal */
export type ProxyUpdate = Readonly<{
  /** The proxy is another process than the one that reported before. */
  isRestarted: boolean;
  /** The released epochs or the members that refuse connections have changed. */
  isChanged: boolean;
}>;

/** A proxy requests a hold of at most this time if a service has no leader. Unit: milliseconds. */
export const leaderMissingHoldMilliseconds = 100;
const maxReplies = 100;
/** Reported as the age of the positions until the proxy has reported any with a known reply number. */
const unknownPositionsAgeMilliseconds = 3_600_000;

type Report = Pick<Request<'placement'>, 'released' | 'positions' | 'marks' | 'demand' | 'notListening' | 'hold'>;

const noReport: Report = { released: {}, positions: {}, marks: {}, demand: 0, notListening: [], hold: 0 };

/** @param token - identifies this agent's process: a proxy that reports another token has received no reply from it */
function create(clock: Clock, token: string): ProxyState {
  let report = noReport;
  let hasReported = false;
  let reportedAt: Instant = identifiers.instant(Number.NEGATIVE_INFINITY);
  /** The proxy's latest report was complete at this time or later. */
  let positionsAt: Instant | undefined;
  let lastCondition = '';
  let lastReply = 0;
  const repliedAt = new Map<number, Instant>();

  function update(request: Request<'placement'>): ProxyUpdate {
    // The previous process may have acknowledged commits and exited before it reported them.
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

  /** Adds the time since the proxy's latest request to the reported ages. */
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
