/** How long after its acknowledgement each order is in force at each edge, or at a newer one. */
import { build, type Histogram } from 'hdr-histogram-js';
import type { PooledVersion, Trouble } from '@stallstall/simulator';

export type AppliedOrder = Readonly<{ edge: string; order: number; at: number }>;
export type EdgeLag = Readonly<{ edge: string; judged: number; histogram: Histogram; late: readonly string[] }>;

/** An order is to be in force so long after its acknowledgement, at an edge in touch. */
const settleMilliseconds = 3_000;
const quietMilliseconds = 4_000;

function isInTouch(troubles: readonly Trouble[], edge: string, from: number, to: number): boolean {
  return !troubles.some(
    ({ who, from: begins, to: ends }) =>
      [edge, `${edge} ends`, 'core', 'all'].includes(who) && begins <= to && ends >= from - quietMilliseconds,
  );
}

/** When the edge acted by this order or a newer one for the first time. */
function firstAt(applied: readonly AppliedOrder[], version: number): number {
  return applied.find(({ order }) => order >= version)?.at ?? Number.POSITIVE_INFINITY;
}

function lagOf(
  edge: string,
  applied: readonly AppliedOrder[],
  versions: readonly PooledVersion[],
  troubles: readonly Trouble[],
  until: number,
): EdgeLag {
  const histogram = build();
  const late: string[] = [];
  let judged = 0;
  for (const { version, acknowledgedAt } of versions) {
    if (acknowledgedAt + settleMilliseconds > until) continue;
    if (!isInTouch(troubles, edge, acknowledgedAt, acknowledgedAt + settleMilliseconds)) continue;
    judged += 1;
    const lag = Math.max(0, firstAt(applied, version) - acknowledgedAt);
    histogram.recordValue(Math.min(60_000, Math.round(lag)));
    if (lag > settleMilliseconds) late.push(`order ${version} at ${edge}: in force ${Math.round(lag)} ms after its acknowledgement`);
  }
  return { edge, judged, histogram, late };
}

export const orderLag = { lagOf } as const;
