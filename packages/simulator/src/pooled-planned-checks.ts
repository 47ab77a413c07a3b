/** What must hold around planned work: draining members get nothing new, and edges that end as planned answer what they read (design 10.5). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Violation } from './fleet-checks/check-records.js';
import { isCalm, quietMilliseconds, type DrainNote, type EdgeEnd, type JudgedRecords } from './pooled-check-records.js';

const drainMilliseconds = 7_000;
/** What crosses on the wire while the other side closes has not been read. */
const crossingMilliseconds = 5;

/** Later than the bound after it was acknowledged that a process of a member drains, that process begins nothing more. */
export function checkDraining(
  { fleet, asks, troubles }: JudgedRecords,
  notes: readonly DrainNote[],
): Readonly<{ found: readonly Violation[]; judged: number }> {
  const late = fleet.runs.flatMap((run): readonly Violation[] => {
    const note = notes.find(({ member, acknowledgedAt, endedAt }) => {
      return member === run.member && run.at > acknowledgedAt + drainMilliseconds && run.at < endedAt;
    });
    const known = asks.get(run.identifier);
    if (!run.first || note === undefined || known === undefined) return [];
    if (!isCalm(troubles, [known.of.edge, 'core'], known.of.startedAt - quietMilliseconds, run.at)) return [];
    return [
      {
        check: 'draining',
        detail: `${run.member} began ${run.identifier} ${Math.round(run.at - note.acknowledgedAt)} ms after it said that it drains`,
      },
    ];
  });
  return { found: late, judged: notes.length };
}

/** What an edge had read when its planned end came, and later, it replies to. */
export function checkPlannedEnds(
  { fleet, troubles }: JudgedRecords,
  ends: readonly EdgeEnd[],
): Readonly<{ found: readonly Violation[]; judged: number }> {
  const found: Violation[] = [];
  let judged = 0;
  for (const end of ends) {
    if (!isCalm(troubles, [end.edge, 'core', 'member', 'platform'], end.from - quietMilliseconds, end.to)) continue;
    for (const of of fleet.ledger.tries) {
      if (of.edge !== end.edge || of.left || of.startedAt > end.to) continue;
      const last = of.asks.at(-1);
      const sentAt = last?.sentAt ?? of.startedAt;
      if (sentAt < end.from - quietMilliseconds || (last?.endedAt ?? Number.POSITIVE_INFINITY) < end.from) continue;
      judged += 1;
      if (Option.isNone(of.cutAt) || of.cutAt.value - sentAt < crossingMilliseconds || of.cutAt.value > end.to + crossingMilliseconds)
        continue;
      found.push({
        check: 'planned-end',
        detail: `${last?.identifier ?? of.name} was cut off by ${end.edge}, which ended as planned, ${Math.round(of.cutAt.value - sentAt)} ms after it was sent and ${Math.round(of.cutAt.value - end.from)} ms after the end began`,
      });
    }
  }
  return { found, judged };
}
