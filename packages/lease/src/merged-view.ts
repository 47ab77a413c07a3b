/** Merges the reports of several cores into one view of members, edges and commit watermarks (design 4.7, 8.11). */
import { identifiers } from '@stallstall/kernel';
import type { LogPosition, MemberRecord } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import { comparePositions, type CommitWatermark } from './commit-watermarks.js';
import type { ReportedState } from './core-replies.js';

function newerRecord(left: MemberRecord, right: MemberRecord): MemberRecord {
  if (left.gone !== right.gone) return left.gone ? left : right;
  return left.sequence > right.sequence ? left : right;
}

/**
 * Whether a member counts as draining. A majority of cores has recorded a draining that was acknowledged, so it ends only when a majority has
 * found that the member is in service again; a core that has never recorded it says nothing about that (design 4.7).
 */
function isDraining(records: readonly MemberRecord[], coreCount: number): boolean {
  const returns = records.filter((record) => !record.draining && record.returned === true).length;
  return records.some((record) => record.draining) && returns < quorum.majority(coreCount);
}

function recordsByMember(reports: ReadonlyArray<Pick<ReportedState, 'members'>>): ReadonlyMap<string, readonly MemberRecord[]> {
  const records = new Map<string, MemberRecord[]>();
  for (const report of reports) {
    for (const record of report.members.values()) {
      const others = records.get(record.member);
      if (others === undefined) records.set(record.member, [record]);
      else others.push(record);
    }
  }
  return records;
}

/**
 * For each member that has not left the newest record of all cores. It is down only if every core that knows it reports it as down.
 *
 * @param reports - the reports of the cores of the current core set
 */
function members(reports: ReadonlyArray<Pick<ReportedState, 'members'>>, coreCount: number): readonly MemberRecord[] {
  return [...recordsByMember(reports).values()]
    .map((records) => ({
      ...records.reduce(newerRecord),
      draining: isDraining(records, coreCount),
      down: records.every((record) => record.down),
    }))
    .filter((record) => !record.gone);
}

function sumOf(counts: Readonly<Record<string, number>>): number {
  return Object.values(counts).reduce((total, count) => total + count, 0);
}

/** The report of the core that knows the most edges, and therefore most of their load. */
function mostComplete(reports: readonly ReportedState[]): Readonly<Pick<ReportedState, 'edgeCountByArea' | 'statementRateByArea'>> {
  let best: Readonly<Pick<ReportedState, 'edgeCountByArea' | 'statementRateByArea'>> = { edgeCountByArea: {}, statementRateByArea: {} };
  for (const report of reports) if (sumOf(report.edgeCountByArea) > sumOf(best.edgeCountByArea)) best = report;
  return best;
}

function laterPosition(left: LogPosition, right: LogPosition): LogPosition {
  return comparePositions(left, right) >= 0 ? left : right;
}

/**
 * The watermark of one service. A core's watermark covers the edges that request leases from it. Each holder of a lease has requested it from
 * a majority, so the time that a majority of cores has covered is covered for all edges. The position is the highest that one of those cores
 * reports.
 */
function commitWatermark(reported: readonly CommitWatermark[], coreCount: number): CommitWatermark | undefined {
  const coveredMoments = reported.map((watermark) => watermark.coveredUntil);
  const coveredUntil = quorum.latestReachedByMajority(coveredMoments, coreCount, false);
  if (coveredUntil === Number.NEGATIVE_INFINITY) return undefined;
  const covering = reported.filter((watermark) => watermark.coveredUntil >= coveredUntil).map((watermark) => watermark.position);
  return { coveredUntil: identifiers.instant(coveredUntil), position: covering.reduce(laterPosition) };
}

/** @param reports - the reports of the cores of the current core set */
function commitWatermarks(
  services: readonly string[],
  reports: readonly ReportedState[],
  coreCount: number,
): ReadonlyMap<string, CommitWatermark> {
  const merged = new Map<string, CommitWatermark>();
  for (const service of services) {
    const reported = reports.flatMap((report) => report.commitWatermarks.get(service) ?? []);
    const watermark = commitWatermark(reported, coreCount);
    if (watermark !== undefined) merged.set(service, watermark);
  }
  return merged;
}

/** @internal */
export const mergedView = { members, mostComplete, commitWatermarks } as const;
