/** Commit watermarks per service: the log position up to which all edges' acknowledged commits are known (design 8.11). */
import { identifiers, type Clock, type Instant } from '@stallstall/kernel';
import type { CommitWatermarks, LogPosition } from '@stallstall/message';
import { leaseMarginMilliseconds, leaseTermMilliseconds } from '@stallstall/quorum-lease';

/** A log position at or beyond every commit acknowledged to a client before `coveredUntil`, which is on this process's clock. */
export type CommitWatermark = Readonly<{ position: LogPosition; coveredUntil: Instant }>;

/** What an edge reports about commits, for all services. */
export type CommitReport = Readonly<{
  node: string;
  /** The latest log position that this edge has seen of each service's leader, and how long ago. */
  leaderPositions: CommitWatermarks;
  /** The highest commit position acknowledged to a client of this edge, by service. */
  acknowledgedPositions: Readonly<Record<string, LogPosition>>;
  /** Maximum age of `acknowledgedPositions`: it was complete at most this long ago. Unit: milliseconds. */
  ageMilliseconds: number;
}>;

/** The edges that may have acknowledged commits, as far as this core knows. */
export type CommitAcknowledgers = Readonly<{
  /** Every edge that recently held a lease. */
  edges: readonly string[];
  /** When each of them last requested a lease. */
  lastRequestAt: ReadonlyMap<string, Instant>;
  /** Until then, edges unknown to this process may hold leases granted by an earlier process of this core, or by the core it replaced. */
  unknownHoldersUntil: Instant;
}>;

export type CommitWatermarkTable = Readonly<{
  report: (report: CommitReport) => void;
  /**
   * Called when an edge's process has been replaced. The former process may have acknowledged commits that it never reported, so its last
   * report time is kept under a separate name.
   * @param archivedName - the name under which the former process's report time is kept
   */
  processRestarted: (node: string, archivedName: string) => void;
  /** The watermark of each service in the format of the lease reply. */
  current: (acknowledgers: CommitAcknowledgers) => Record<string, { term: number; number: number; ago: number }>;
}>;

type TableState = Readonly<{
  clock: Clock;
  reportedAt: Map<string, Instant>;
  watermarks: Map<string, CommitWatermark>;
  acknowledgedPositions: Map<string, LogPosition>;
}>;

/** An edge that has sent no request for this long acknowledges no more commits, because its leases have expired. */
const leaseExpiryMilliseconds = leaseTermMilliseconds + leaseMarginMilliseconds;

/** Orders log positions by term, then by number. */
export function comparePositions(left: LogPosition, right: LogPosition): number {
  return left.term === right.term ? left.number - right.number : left.term - right.term;
}

export function laterOf(left: Instant, right: Instant | undefined): Instant {
  return right === undefined || left > right ? left : right;
}

function recordReport(
  { clock, reportedAt, watermarks, acknowledgedPositions }: TableState,
  { node, leaderPositions, acknowledgedPositions: reported, ageMilliseconds }: CommitReport,
): void {
  const now = clock.now();
  reportedAt.set(node, laterOf(identifiers.after(now, -ageMilliseconds), reportedAt.get(node)));
  for (const [service, { term, number }] of Object.entries(reported)) {
    const highest = acknowledgedPositions.get(service);
    if (highest === undefined || comparePositions({ term, number }, highest) > 0) acknowledgedPositions.set(service, { term, number });
  }
  for (const [service, { term, number, ago }] of Object.entries(leaderPositions)) {
    const coveredUntil = identifiers.after(now, -ago);
    const current = watermarks.get(service);
    if (current === undefined || coveredUntil > current.coveredUntil) watermarks.set(service, { coveredUntil, position: { term, number } });
  }
}

/** The earliest of the last reports of all edges that may have acknowledged a commit since the watermark; -Infinity if one never reported. */
function earliestReportAt(
  { clock, reportedAt }: TableState,
  watermark: CommitWatermark,
  { edges, lastRequestAt }: CommitAcknowledgers,
): Instant {
  let earliest = clock.now();
  for (const edge of edges) {
    // An edge whose leases had expired before the watermark has acknowledged nothing beyond it.
    if ((lastRequestAt.get(edge) ?? watermark.coveredUntil) + leaseExpiryMilliseconds <= watermark.coveredUntil) continue;
    const at = reportedAt.get(edge) ?? identifiers.instant(Number.NEGATIVE_INFINITY);
    if (at < earliest) earliest = at;
  }
  return earliest;
}

/**
 * Advances a watermark without the leader. An edge knows a commit's position before it acknowledges the commit to its client. Once every edge
 * that may have acknowledged a commit since the watermark has reported again, the highest reported commit covers everything up to the
 * earliest of those reports.
 */
function advance(
  table: TableState,
  watermark: CommitWatermark,
  highestCommit: LogPosition,
  acknowledgers: CommitAcknowledgers,
): CommitWatermark {
  // An edge unknown to this core may have acknowledged a commit since the watermark, and does not report here.
  if (watermark.coveredUntil < acknowledgers.unknownHoldersUntil) return watermark;
  const coveredUntil = earliestReportAt(table, watermark, acknowledgers);
  if (coveredUntil <= watermark.coveredUntil) return watermark;
  return { coveredUntil, position: comparePositions(highestCommit, watermark.position) > 0 ? highestCommit : watermark.position };
}

function processRestarted({ reportedAt }: TableState, node: string, archivedName: string): void {
  const at = reportedAt.get(node);
  reportedAt.delete(node);
  if (at !== undefined) reportedAt.set(archivedName, at);
}

function currentWatermarks(
  table: TableState,
  acknowledgers: CommitAcknowledgers,
): Record<string, { term: number; number: number; ago: number }> {
  const now = table.clock.now();
  const rows = [...table.watermarks].map(function row([service, watermark]) {
    const highestCommit = table.acknowledgedPositions.get(service) ?? watermark.position;
    const { coveredUntil, position } = advance(table, watermark, highestCommit, acknowledgers);
    return [service, { term: position.term, number: position.number, ago: Math.max(0, now - coveredUntil) }] as const;
  });
  return Object.fromEntries(rows);
}

function create(clock: Clock): CommitWatermarkTable {
  const table: TableState = { clock, reportedAt: new Map(), watermarks: new Map(), acknowledgedPositions: new Map() };
  return {
    report: (reported) => recordReport(table, reported),
    processRestarted: (node, archivedName) => processRestarted(table, node, archivedName),
    current: (acknowledgers) => currentWatermarks(table, acknowledgers),
  };
}

/** @internal */
export const commitWatermarkTable = { create } as const;
