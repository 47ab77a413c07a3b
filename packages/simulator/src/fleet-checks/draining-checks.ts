/** Checks of draining: no statement on a member or edge that is to go, and an answer for whoever was in flight. */
import type { Ledger } from '@stallstall/fakes';
import { placements } from '@stallstall/placement';
import type { SentConfiguration, EdgeDrain, Violation, PlannedEnd } from './check-records.js';
import type { Fleet } from '../fleet.js';

const goingMilliseconds = 7_000;
const graceMilliseconds = 5_000;

/** What each edge had learned, and when: (moment, version) of every configuration its agents obeyed. */
function learned(fleet: Fleet, edge: string, key: string): ReadonlyArray<Readonly<{ at: number; version: number }>> {
  return fleet.world.logs
    .filter((line) => line.process === `${edge}/agent` && line.event === 'node.applied' && line.fields['key'] === key)
    .map((line) => ({ at: line.at, version: Number(line.fields['version']) }));
}

/** Spans of an edge's knowledge in which a member was to go: draining, or in no sheet any more. */
function goingSpans(
  known: ReadonlyArray<Readonly<{ at: number; version: number }>>,
  goes: (version: number) => boolean,
): ReadonlyArray<Readonly<{ from: number; until: number }>> {
  const found: Array<{ from: number; until: number }> = [];
  for (const one of known) {
    const last = found.at(-1);
    const running = last !== undefined && last.until === Number.POSITIVE_INFINITY;
    if (goes(one.version) && !running) found.push({ from: one.at, until: Number.POSITIVE_INFINITY });
    if (!goes(one.version) && running) last.until = one.at;
  }
  return found;
}

/** No statement, open transactions included, from an edge that learned seven seconds ago that the member, or the edge itself, is to go. */
export function draining(fleet: Fleet, sends: readonly SentConfiguration[], drains: readonly EdgeDrain[]): readonly Violation[] {
  const byVersion = new Map(sends.filter((sent) => sent.version > 0).map((sent) => [sent.version, sent.sheet]));
  const everyEdge = fleet.spare === undefined ? fleet.edges : [...fleet.edges, fleet.spare];
  const edgesGone = drains.flatMap((drain) => {
    if (!Number.isFinite(drain.acknowledgedAt)) return [];
    const known = learned(fleet, drain.edge, 'membership')
      .map((one) => one.at)
      .filter((at) => at >= drain.sentAt);
    const since = known.filter((at) => at <= drain.acknowledgedAt).at(-1) ?? known[0];
    return since === undefined ? [] : [{ edge: drain.edge, from: since, until: drain.undoneAt }];
  });
  return fleet.members.flatMap((slot) =>
    everyEdge.flatMap((edge): readonly Violation[] => {
      const arrived = slot.store.ran.filter((ran) => fleet.world.machineOf(ran.connection) === edge.machine);
      const going = goingSpans(learned(fleet, edge.name, 'configuration'), function goes(version) {
        const sheet = byVersion.get(version);
        return sheet !== undefined && placements.findMember(sheet, slot.place.member)?.state !== 'serving';
      });
      const late = arrived.find((ran) => going.some((span) => ran.at > span.from + goingMilliseconds && ran.at < span.until));
      const lateEdge = arrived.find((ran) =>
        edgesGone.some((span) => span.edge === edge.name && ran.at > span.from + goingMilliseconds && ran.at < span.until),
      );
      return [
        ...(late === undefined
          ? []
          : [
              {
                check: 'draining-fed',
                detail: `${slot.place.member} got ${late.opens ? 'new work' : 'more of a transaction'} from ${edge.name} at ${Math.round(late.at)} ms`,
              },
            ]),
        ...(lateEdge === undefined
          ? []
          : [
              {
                check: 'draining-fed',
                detail: `${edge.name}, drained, still sent to ${slot.place.member} at ${Math.round(lateEdge.at)} ms`,
              },
            ]),
      ];
    }),
  );
}

/** Whoever was in flight at a planned end has an answer, and a transaction that was open could be ended within the grace. */
export function plannedEnds(
  ledger: Pick<Ledger, 'exchanges'>,
  sends: readonly SentConfiguration[],
  ends: readonly PlannedEnd[],
): readonly Violation[] {
  const dropped = new Set(['reply-lost', 'unreachable']);
  const turnedAway = new Set(['reply-lost', 'unreachable', 'session-lost', 'draining']);
  return ends
    .filter((end) => end.sound)
    .flatMap((end) => [
      ...ledger.exchanges
        .filter(
          (one) =>
            one.edge === end.address &&
            ((one.startedAt <= end.at && one.endedAt > end.at && dropped.has(one.reason)) ||
              (one.startedAt > end.at && one.startedAt <= end.endedAt && one.reason === 'reply-lost') ||
              (one.openSince <= end.at &&
                one.startedAt > end.at &&
                one.startedAt <= end.at + graceMilliseconds &&
                turnedAway.has(one.reason))),
        )
        .map((one) => ({
          check: 'request-dropped',
          detail: `${end.name} ended as planned at ${Math.round(end.at)} ms: ${one.reason}, ${Math.round(one.startedAt)}-${Math.round(one.endedAt)} ms`,
        })),
      ...sends
        .filter((sent) => sent.core === end.name && sent.sentAt <= end.at && sent.endedAt > end.at && !sent.replied)
        .map((sent) => ({
          check: 'request-dropped',
          detail: `${end.name} ended as planned at ${Math.round(end.at)} ms with a sheet in flight since ${Math.round(sent.sentAt)} ms`,
        })),
    ]);
}
