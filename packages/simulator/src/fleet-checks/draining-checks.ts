/** Checks of draining: a draining member or edge receives no statements, and requests in flight at a planned end get a reply. */
import type { Ledger } from '@stallstall/fakes';
import { placements } from '@stallstall/placement';
import type { SentConfiguration, EdgeDrain, Violation, PlannedEnd } from './check-records.js';
import type { Fleet } from '../fleet.js';

/** How long after an edge learned of a drain statements may still follow from it. */
const drainingMilliseconds = 7_000;
const graceMilliseconds = 5_000;

/** When the agent of an edge applied each version of a key, such as the configuration or the membership. */
function appliedVersions(fleet: Fleet, edge: string, key: string): ReadonlyArray<Readonly<{ at: number; version: number }>> {
  return fleet.world.logs
    .filter((line) => line.process === `${edge}/agent` && line.event === 'node.applied' && line.fields['key'] === key)
    .map((line) => ({ at: line.at, version: Number(line.fields['version']) }));
}

/** The spans in which an edge had applied a configuration that drains a member or no longer contains it. */
function drainingSpans(
  applied: ReadonlyArray<Readonly<{ at: number; version: number }>>,
  isDraining: (version: number) => boolean,
): ReadonlyArray<Readonly<{ from: number; until: number }>> {
  const spans: Array<{ from: number; until: number }> = [];
  for (const { at, version } of applied) {
    const last = spans.at(-1);
    const isOpen = last !== undefined && last.until === Number.POSITIVE_INFINITY;
    if (isDraining(version) && !isOpen) spans.push({ from: at, until: Number.POSITIVE_INFINITY });
    if (!isDraining(version) && isOpen) last.until = at;
  }
  return spans;
}

/**
 * An edge sends no statement, not even in an open transaction, more than seven seconds after it learned that the member or the edge
 * itself is draining.
 */
export function draining(fleet: Fleet, sends: readonly SentConfiguration[], drains: readonly EdgeDrain[]): readonly Violation[] {
  const configurationByVersion = new Map(sends.filter((sent) => sent.version > 0).map((sent) => [sent.version, sent.configuration]));
  const allEdges = fleet.spare === undefined ? fleet.edges : [...fleet.edges, fleet.spare];
  const drainedEdges = drains.flatMap((drain) => {
    if (!Number.isFinite(drain.acknowledgedAt)) return [];
    const appliedAt = appliedVersions(fleet, drain.edge, 'membership')
      .map((applied) => applied.at)
      .filter((at) => at >= drain.sentAt);
    const since = appliedAt.filter((at) => at <= drain.acknowledgedAt).at(-1) ?? appliedAt[0];
    return since === undefined ? [] : [{ edge: drain.edge, from: since, until: drain.undoneAt }];
  });
  return fleet.members.flatMap((slot) =>
    allEdges.flatMap((edge): readonly Violation[] => {
      const statements = slot.store.ran.filter((ran) => fleet.world.machineOf(ran.connection) === edge.machine);
      const draining = drainingSpans(appliedVersions(fleet, edge.name, 'configuration'), function isDraining(version) {
        const configuration = configurationByVersion.get(version);
        return configuration !== undefined && placements.findMember(configuration, slot.place.member)?.state !== 'serving';
      });
      const lateForMember = statements.find((ran) =>
        draining.some((span) => ran.at > span.from + drainingMilliseconds && ran.at < span.until),
      );
      const lateFromEdge = statements.find((ran) =>
        drainedEdges.some((span) => span.edge === edge.name && ran.at > span.from + drainingMilliseconds && ran.at < span.until),
      );
      return [
        ...(lateForMember === undefined
          ? []
          : [
              {
                check: 'draining-fed',
                detail: `${slot.place.member} got ${lateForMember.opens ? 'a new transaction' : 'a statement of an open transaction'} from ${edge.name} at ${Math.round(lateForMember.at)} ms`,
              },
            ]),
        ...(lateFromEdge === undefined
          ? []
          : [
              {
                check: 'draining-fed',
                detail: `${edge.name}, drained, still sent to ${slot.place.member} at ${Math.round(lateFromEdge.at)} ms`,
              },
            ]),
      ];
    }),
  );
}

/** Requests in flight at a planned end get a reply, and an open transaction can be finished within the grace period. */
export function plannedEnds(
  ledger: Pick<Ledger, 'exchanges'>,
  sends: readonly SentConfiguration[],
  ends: readonly PlannedEnd[],
): readonly Violation[] {
  const droppedReasons = new Set(['reply-lost', 'unreachable']);
  const refusedReasons = new Set(['reply-lost', 'unreachable', 'session-lost', 'draining']);
  return ends
    .filter((end) => end.isUndisturbed)
    .flatMap((end) => [
      ...ledger.exchanges
        .filter(
          (exchange) =>
            exchange.edge === end.address &&
            ((exchange.startedAt <= end.at && exchange.endedAt > end.at && droppedReasons.has(exchange.reason)) ||
              (exchange.startedAt > end.at && exchange.startedAt <= end.endedAt && exchange.reason === 'reply-lost') ||
              (exchange.openSince <= end.at &&
                exchange.startedAt > end.at &&
                exchange.startedAt <= end.at + graceMilliseconds &&
                refusedReasons.has(exchange.reason))),
        )
        .map((exchange) => ({
          check: 'request-dropped',
          detail: `${end.name} ended as planned at ${Math.round(end.at)} ms: ${exchange.reason}, ${Math.round(exchange.startedAt)}-${Math.round(exchange.endedAt)} ms`,
        })),
      ...sends
        .filter((sent) => sent.core === end.name && sent.sentAt <= end.at && sent.endedAt > end.at && !sent.replied)
        .map((sent) => ({
          check: 'request-dropped',
          detail: `${end.name} ended as planned at ${Math.round(end.at)} ms with a configuration in flight since ${Math.round(sent.sentAt)} ms`,
        })),
    ]);
}
