/** What this core sees of the fleet's nodes and members, as operators are shown it (design 9.2). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Seat } from '@stallstall/message';
import type { Peer } from '@stallstall/peer';
import type { MemberPlacement } from '@stallstall/placement';
import { quorum } from '@stallstall/quorum';
import { leaseTermMilliseconds } from '@stallstall/quorum-lease';
import type { AdministrationContext } from './administration-context.js';

type Row = Readonly<Record<string, unknown>>;

/** Shown for what is not known. */
const unknown = -1;

/** The nodes heard within a term, this one among them. */
function reachableNodes({ runtime, node }: AdministrationContext): readonly string[] {
  const names = node.membership().value.seats.map((seat) => seat.node);
  return names.filter(function isReachable(name) {
    const heardAt = node.lastHeartbeatAt(name);
    return name === node.settings.node || (Option.isSome(heardAt) && runtime.clock.now() - heardAt.value < leaseTermMilliseconds);
  });
}

function appliedVersion({ node }: AdministrationContext): number {
  const configuration = node.configuration();
  return Option.isSome(configuration) ? configuration.value.version : 0;
}

function protocolOf({ node }: AdministrationContext, name: string): number {
  return Option.getOrElse(() => 0)(Option.map((peer: Peer) => peer.protocol())(node.peerOf(name)));
}

function nodeRow(context: AdministrationContext, seat: Seat, appliedVersions: ReadonlyMap<string, number>): Row {
  const { runtime, node } = context;
  const isOwn = seat.node === node.settings.node;
  const heardAt = node.lastHeartbeatAt(seat.node);
  const heardMilliseconds = Option.isSome(heardAt) ? Math.round(runtime.clock.now() - heardAt.value) : unknown;
  return {
    node: seat.node,
    role: seat.role,
    area: seat.area,
    address: seat.address,
    outward: seat.outward,
    draining: seat.draining,
    heardMilliseconds: isOwn ? 0 : heardMilliseconds,
    protocol: isOwn ? runtime.protocols.to : protocolOf(context, seat.node),
    obeys: isOwn ? appliedVersion(context) : (appliedVersions.get(seat.node) ?? unknown),
  };
}

/** The field names are those of the administration API. */
function fleetStatus(context: AdministrationContext): Row {
  const { node, parts } = context;
  const membership = node.membership();
  const { seats } = membership.value;
  const appliedVersions = parts.appliedVersions();
  const heard = reachableNodes(context).length;
  return {
    core: node.settings.node,
    fleet: node.fleet(),
    open: parts.ready(),
    configuration: parts.versionOf('configuration'),
    membership: membership.version,
    size: seats.length,
    quorum: quorum.majority(seats.length),
    heard,
    spare: heard - quorum.majority(seats.length),
    nodes: seats.map((seat) => nodeRow(context, seat, appliedVersions)),
  };
}

function memberRow({ runtime, node, liveness: members }: AdministrationContext, service: string, member: MemberPlacement): Row {
  const elected = node.electedPrimary(service);
  const state = members.latestState(member.member);
  const heardAt = members.lastHeartbeatAt(member.member);
  return {
    service,
    member: member.member,
    area: member.area,
    address: member.address,
    state: member.state,
    alive: members.isAlive(member.member),
    heardMilliseconds: Option.isSome(heardAt) ? Math.round(runtime.clock.now() - heardAt.value) : unknown,
    leads: Option.isSome(elected) && elected.value.primary === member.member,
    epoch: Option.isSome(state) ? state.value.epoch : 0,
    received: Option.isSome(state) ? state.value.received : 0,
    applied: Option.isSome(state) ? state.value.applied : 0,
  };
}

function memberRows(context: AdministrationContext): readonly Row[] {
  const configuration = context.node.configuration();
  if (Option.isNone(configuration)) return [];
  return configuration.value.value.sheet.services.flatMap((service) =>
    service.members.map((member) => memberRow(context, service.service, member)),
  );
}

/** @internal */
export const fleetView = { reachableNodes, appliedVersion, fleetStatus, memberRows } as const;
