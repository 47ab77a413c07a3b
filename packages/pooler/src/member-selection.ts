/** Chooses the member that a statement runs on: the leader under a valid lease, or for reads any member fresh enough (design 8.4, 8.11). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Instant } from '@stallstall/kernel';
import type { MemberRecord } from '@stallstall/message';
import { positions, type MemberAddress, type Position } from '@stallstall/session-protocol';
import type { RequestParts } from './request-parts.js';
import type { RequestRecord, StatementRequest, Target } from './statement-request.js';
import type { View } from './view.js';

export type MemberSelection = Readonly<{
  /** None while no member may run it. */
  selectTarget: (record: RequestRecord) => Option.Option<Target>;
  /** A running leader was asked a moment ago to release its epoch: another follows soon. */
  isHandoverInProgress: (service: string) => boolean;
}>;

type SelectionParts = Pick<RequestParts, 'runtime' | 'view' | 'connections' | 'freshness'>;

/** Part of the allowed staleness that is left for the statement to reach its member and be read there. */
const stalenessMarginMilliseconds = 150;
/** A planned change of leader is expected to end within this time. */
const handoverMilliseconds = 2_000;
/** A process that has just started will know its leaders within this time. */
const startupMilliseconds = 1_500;
/** A draining member takes nothing new later than this after the news (design 7.9). */
const drainingUseMilliseconds = 4_500;
/** What a member of another area, and the leader, cost more than a replica of this area; in statements under way. */
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

/** The lowest log position that satisfies the database's staleness bound and, where asked for, the session's own commits. */
function requiredPosition(parts: SelectionParts, record: RequestRecord): Option.Option<Position> {
  const { freshness } = parts;
  const { database, session } = record.request;
  if (database.staleMilliseconds <= stalenessMarginMilliseconds) return Option.none;
  const bound = identifiers.after(record.startedAt, stalenessMarginMilliseconds - database.staleMilliseconds);
  const covering = freshness.positionCovering(database.service, bound);
  if (Option.isNone(covering)) return Option.none;
  const own = database.reads === 'own' ? session.commits.get(database.service) : undefined;
  return own === undefined ? covering : Option.some(positions.later(covering.value, own));
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

/** A read goes to the cheapest member that can show the required position; to the leader when nobody can. */
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
    isHandoverInProgress: function isHandedOver(service) {
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
