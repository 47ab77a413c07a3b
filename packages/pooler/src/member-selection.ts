/**
 * Selects the member that a statement runs on: the leader under a valid lease or, for reads, any sufficiently fresh member (design 8.4,
 * 8.11).
 */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Instant } from '@stallstall/kernel';
import type { MemberRecord } from '@stallstall/message';
import { positions, type MemberAddress, type Position } from '@stallstall/session-protocol';
import type { RequestParts } from './request-parts.js';
import type { RequestRecord, StatementRequest, Target } from './statement-request.js';
import type { View } from './view.js';

export type MemberSelection = Readonly<{
  /** The member to run the statement on; none while no member may run it. */
  selectTarget: (record: RequestRecord) => Option.Option<Target>;
  /** Whether a new leader is expected soon: a running leader was recently asked to release its epoch, or this process has just started. */
  isHandoverInProgress: (service: string) => boolean;
}>;

type SelectionParts = Pick<RequestParts, 'runtime' | 'view' | 'connections' | 'freshness'>;

/** Part of the allowed staleness reserved for sending the statement to the member and reading there. */
const stalenessMarginMilliseconds = 150;
/** A planned leader handover is expected to complete within this time. */
const handoverMilliseconds = 2_000;
/** A newly started process is expected to learn its leaders within this time. */
const startupMilliseconds = 1_500;
/** A draining member receives no new statements after this time (design 7.9). */
const drainingUseMilliseconds = 4_500;
/** Extra cost of a member in another area, and of the leader, compared to a replica in this area; in units of statements in flight. */
const otherAreaCost = 3;
const leaderCost = 1;

function needsLeader(request: StatementRequest): boolean {
  if (request.database.reads === 'leader') return true;
  return Option.isSome(request.transaction) ? !request.transaction.value.readOnly : request.writes;
}

function addressOf(entry: MemberRecord): MemberAddress {
  return { service: entry.service, member: entry.member, address: entry.address };
}

function isPastDraining(parts: SelectionParts, view: View, entry: MemberRecord): boolean {
  const since = view.drainingSince.get(entry.member);
  return since !== undefined && parts.runtime.clock.now() - since > drainingUseMilliseconds;
}

function leaderTarget(parts: SelectionParts, service: string): Option.Option<Target> {
  const { runtime } = parts;
  const view = parts.view();
  const leader = view.leaders.get(service);
  if (leader === undefined || leader.epoch === 0 || leader.releaseBelow > leader.epoch || runtime.clock.now() >= leader.leaseEnd)
    return Option.none;
  const entry = view.members.get(leader.primary);
  if (entry === undefined || isPastDraining(parts, view, entry)) return Option.none;
  return Option.some({ memberAddress: addressOf(entry), epoch: leader.epoch, leader: true, minimumPosition: Option.none });
}

/** The lowest log position that satisfies the staleness bound of the database and, for `own` reads, includes the session's own commits. */
function requiredPosition(parts: SelectionParts, record: RequestRecord): Option.Option<Position> {
  const { freshness } = parts;
  const { database, session } = record.request;
  if (database.staleMilliseconds <= stalenessMarginMilliseconds) return Option.none;
  const bound = identifiers.after(record.startedAt, stalenessMarginMilliseconds - database.staleMilliseconds);
  const covering = freshness.positionCovering(database.service, bound);
  if (Option.isNone(covering)) return Option.none;
  const ownCommit = database.reads === 'own' ? session.commits.get(database.service) : undefined;
  return ownCommit === undefined ? covering : Option.some(positions.later(covering.value, ownCommit));
}

function cost(parts: SelectionParts, entry: MemberRecord, primary: string, area: string): number {
  return (
    parts.connections.busyCount(entry.member) +
    (entry.area === area ? 0 : otherAreaCost) +
    (entry.member === primary ? leaderCost : 0) +
    parts.runtime.randomness.fraction() / 2
  );
}

function cheapestMember(parts: SelectionParts, record: RequestRecord): MemberRecord | undefined {
  const { connections } = parts;
  const view = parts.view();
  const { service } = record.request.database;
  const primary = view.leaders.get(service)?.primary ?? '';
  const eligible = (view.membersByService.get(service) ?? []).filter(
    (entry) => !entry.draining && !entry.down && !record.excludedMembers.has(entry.member) && !connections.isFailing(entry.member),
  );
  const [cheapest] = eligible
    .map((entry) => ({ entry, cost: cost(parts, entry, primary, view.area) }))
    .sort((left, right) => left.cost - right.cost);
  return cheapest?.entry;
}

/** A read goes to the member with the lowest cost, with the log position it must have reached; to the leader when none qualifies. */
function readTarget(parts: SelectionParts, record: RequestRecord): Option.Option<Target> {
  const { service } = record.request.database;
  const minimumPosition = requiredPosition(parts, record);
  if (Option.isNone(minimumPosition)) return leaderTarget(parts, service);
  const entry = cheapestMember(parts, record);
  if (entry === undefined) return leaderTarget(parts, service);
  return Option.some({ memberAddress: addressOf(entry), epoch: 0, leader: false, minimumPosition });
}

function create(parts: SelectionParts): MemberSelection {
  const { runtime, view, connections } = parts;
  const startedAt = runtime.clock.now();
  const handovers = new Map<string, Readonly<{ releaseBelow: number; since: Instant }>>();

  return {
    selectTarget: (record) =>
      needsLeader(record.request) ? leaderTarget(parts, record.request.database.service) : readTarget(parts, record),
    isHandoverInProgress: function isHandoverInProgress(service) {
      const now = runtime.clock.now();
      if (now - startedAt < startupMilliseconds) return true;
      const leader = view().leaders.get(service);
      const entry = view().members.get(leader?.primary ?? '');
      if (
        leader === undefined ||
        leader.releaseBelow <= leader.epoch ||
        entry === undefined ||
        entry.down ||
        connections.isFailing(entry.member)
      )
        return false;
      const handover = handovers.get(service);
      if (handover !== undefined && handover.releaseBelow === leader.releaseBelow) return now - handover.since < handoverMilliseconds;
      handovers.set(service, { releaseBelow: leader.releaseBelow, since: now });
      return true;
    },
  };
}

export const memberSelections = { create } as const;
