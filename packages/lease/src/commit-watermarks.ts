/** How far each service's commits reach, as all edges together have seen it (design 8.11). */
import { identifiers, type Clock, type Instant } from '@stallstall/kernel';
import type { CommitWatermarks, LogPosition } from '@stallstall/message';
import { leaseMarginMilliseconds, leaseTermMilliseconds } from '@stallstall/quorum-lease';

/** A position that covers whatever was acknowledged up to a moment of this process's clock. */
export type CommitWatermark = Readonly<{ position: LogPosition; coveredUntil: Instant }>;

/** What an edge reports of a service's commits. */
export type CommitReport = Readonly<{
  node: string;
  /** How far this edge has seen each leader's log reach, and as of when. */
  seen: CommitWatermarks;
  /** The commits that its clients were told of, by service. */
  commits: Readonly<Record<string, LogPosition>>;
  /** How long ago, at the most, `commits` was all there was to report. Unit: milliseconds. */
  agoMilliseconds: number;
}>;

/** Who may have acknowledged commits, as far as this core can tell. */
export type KnownLeaseHolders = Readonly<{
  /** All that held leases lately. */
  edges: readonly string[];
  /** When each of them asked for leases last. */
  askedAt: ReadonlyMap<string, Instant>;
  /** Until then others may hold leases that an earlier process or occupant of this core's seat granted. */
  unknownHoldersUntil: Instant;
}>;

export type CommitWatermarkTable = Readonly<{
  report: (report: CommitReport) => void;
  /**
   * Another process runs as this edge: what the one before acknowledged last it may have reported to nobody.
   * @param as - the name under which the earlier process's reports are kept
   */
  processRestarted: (node: string, as: string) => void;
  /** The watermark of each service, as the lease reply carries it. */
  all: (holders: KnownLeaseHolders) => Record<string, { term: number; number: number; ago: number }>;
}>;

type TableState = Readonly<{
  clock: Clock;
  reportedAt: Map<string, Instant>;
  watermarks: Map<string, CommitWatermark>;
  commits: Map<string, LogPosition>;
}>;

/** After so long an edge that says nothing acknowledges nothing more: its leases have ended. */
const leaseEndedMilliseconds = leaseTermMilliseconds + leaseMarginMilliseconds;

/** Orders positions: the term first, then the number. */
export function comparePositions(left: LogPosition, right: LogPosition): number {
  return left.term === right.term ? left.number - right.number : left.term - right.term;
}

/** The later of two moments. */
export function laterOf(left: Instant, right: Instant | undefined): Instant {
  return right === undefined || left > right ? left : right;
}

function report(
  { clock, reportedAt, watermarks, commits }: TableState,
  { node, seen, commits: told, agoMilliseconds }: CommitReport,
): void {
  const now = clock.now();
  reportedAt.set(node, laterOf(identifiers.after(now, -agoMilliseconds), reportedAt.get(node)));
  for (const [service, { term, number }] of Object.entries(told)) {
    const known = commits.get(service);
    if (known === undefined || comparePositions({ term, number }, known) > 0) commits.set(service, { term, number });
  }
  for (const [service, { term, number, ago }] of Object.entries(seen)) {
    const at = identifiers.after(now, -ago);
    const known = watermarks.get(service);
    if (known === undefined || at > known.coveredUntil) watermarks.set(service, { coveredUntil: at, position: { term, number } });
  }
}

/** When every edge that may have acknowledged anything since the watermark has reported; the earliest of their reports. */
function allReportedAt({ clock, reportedAt }: TableState, watermark: CommitWatermark, { edges, askedAt }: KnownLeaseHolders): Instant {
  let earliest = clock.now();
  for (const edge of edges) {
    // One that asked for no lease since so long before the watermark has acknowledged nothing that the watermark does not cover.
    if ((askedAt.get(edge) ?? watermark.coveredUntil) + leaseEndedMilliseconds <= watermark.coveredUntil) continue;
    const at = reportedAt.get(edge) ?? identifiers.instant(Number.NEGATIVE_INFINITY);
    if (at < earliest) earliest = at;
  }
  return earliest;
}

/**
 * While no leader replies, what edges were told still grows: a commit is known to some edge before its client hears of it. Once every
 * edge that may have acknowledged anything since the last watermark has reported again, the highest commit covers all up to the earliest
 * report.
 */
function advanced(table: TableState, watermark: CommitWatermark, commit: LogPosition, holders: KnownLeaseHolders): CommitWatermark {
  // An edge that this core never heard of may have acknowledged something since the watermark, and reports nothing here.
  if (watermark.coveredUntil < holders.unknownHoldersUntil) return watermark;
  const at = allReportedAt(table, watermark, holders);
  if (at <= watermark.coveredUntil) return watermark;
  return { coveredUntil: at, position: comparePositions(commit, watermark.position) > 0 ? commit : watermark.position };
}

function processRestarted({ reportedAt }: TableState, node: string, as: string): void {
  const at = reportedAt.get(node);
  reportedAt.delete(node);
  if (at !== undefined) reportedAt.set(as, at);
}

function all(table: TableState, holders: KnownLeaseHolders): Record<string, { term: number; number: number; ago: number }> {
  const now = table.clock.now();
  const rows = [...table.watermarks].map(function row([service, watermark]) {
    const commit = table.commits.get(service) ?? watermark.position;
    const { coveredUntil, position } = advanced(table, watermark, commit, holders);
    return [service, { term: position.term, number: position.number, ago: Math.max(0, now - coveredUntil) }] as const;
  });
  return Object.fromEntries(rows);
}

function create(clock: Clock): CommitWatermarkTable {
  const table: TableState = { clock, reportedAt: new Map(), watermarks: new Map(), commits: new Map() };
  return {
    report: (given) => report(table, given),
    processRestarted: (node, as) => processRestarted(table, node, as),
    all: (holders) => all(table, holders),
  };
}

/** @internal */
export const commitWatermarkTable = { create } as const;
