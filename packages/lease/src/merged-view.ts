/** What several cores say, merged into one view of members, edges and commits (design 4.7, 8.11). */
import { identifiers } from '@stallstall/kernel';
import type { LogPosition, MemberRecord } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import { comparePositions, type CommitWatermark } from './commit-watermarks.js';
import type { CoreReply } from './core-replies.js';

function laterRecord(left: MemberRecord, right: MemberRecord): MemberRecord {
  if (left.gone !== right.gone) return left.gone ? left : right;
  return left.sequence > right.sequence ? left : right;
}

/** Of all that the cores say of a member the latest stands; it is down only if every core that knows it says so. */
function members(replies: readonly CoreReply[]): readonly MemberRecord[] {
  const merged = new Map<string, MemberRecord>();
  for (const reply of replies) {
    for (const record of reply.members.values()) {
      const known = merged.get(record.member);
      const next = known === undefined ? record : { ...laterRecord(record, known), down: record.down && known.down };
      merged.set(record.member, next);
    }
  }
  return [...merged.values()].filter((record) => !record.gone);
}

function sumOf(counts: Readonly<Record<string, number>>): number {
  return Object.values(counts).reduce((total, count) => total + count, 0);
}

/** The core that counts most edges knows most of what is asked of them. */
function mostComplete(replies: readonly CoreReply[]): Readonly<Pick<CoreReply, 'edges' | 'demand'>> {
  let most: Readonly<Pick<CoreReply, 'edges' | 'demand'>> = { edges: {}, demand: {} };
  for (const reply of replies) if (sumOf(reply.edges) > sumOf(most.edges)) most = reply;
  return most;
}

function furtherPosition(left: LogPosition, right: LogPosition): LogPosition {
  return comparePositions(left, right) >= 0 ? left : right;
}

/**
 * The watermark of one service. A core speaks for the edges that asked it. Whoever holds a lease asked a majority, so what a majority of
 * cores covers is covered for all edges: up to the moment that a majority has reached, by the furthest position any of these reports.
 */
function commitWatermark(reported: readonly CommitWatermark[], coreCount: number): CommitWatermark | undefined {
  const moments = reported.map((watermark) => watermark.coveredUntil);
  const at = quorum.latestReachedByMajority(moments, coreCount, false);
  if (at === Number.NEGATIVE_INFINITY) return undefined;
  const covering = reported.filter((watermark) => watermark.coveredUntil >= at).map((watermark) => watermark.position);
  return { coveredUntil: identifiers.instant(at), position: covering.reduce(furtherPosition) };
}

/** @param replies - of the cores of the current set */
function commitWatermarks(
  services: readonly string[],
  replies: readonly CoreReply[],
  coreCount: number,
): ReadonlyMap<string, CommitWatermark> {
  const merged = new Map<string, CommitWatermark>();
  for (const service of services) {
    const reported = replies.flatMap((reply) => reply.commitWatermarks.get(service) ?? []);
    const watermark = commitWatermark(reported, coreCount);
    if (watermark !== undefined) merged.set(service, watermark);
  }
  return merged;
}

/** @internal */
export const mergedView = { members, mostComplete, commitWatermarks } as const;
