/** The state of the fleet's nodes and members as this core sees it, for the administration API (design 9.2). */
import * as Option from 'fp-ts/lib/Option.js';
import type { NodeRecord } from '@stallstall/message';
import type { Peer } from '@stallstall/peer';
import type { MemberPlacement } from '@stallstall/placement';
import { quorum } from '@stallstall/quorum';
import { leaseTermMilliseconds } from '@stallstall/quorum-lease';
import type { AdministrationContext } from './administration-context.js';

type Row = Readonly<Record<string, unknown>>;

/** Reported in place of a number that is not known. */
const unknownValue = -1;

/** The nodes whose last heartbeat is less than a lease term old, and this node itself. */
function reachableNodes({ runtime, node }: AdministrationContext): readonly string[] {
  const names = node.membership().value.seats.map((record) => record.node);
  return names.filter(function isReachable(name) {
    const heartbeatAt = node.lastHeartbeatAt(name);
    return name === node.settings.node || (Option.isSome(heartbeatAt) && runtime.clock.now() - heartbeatAt.value < leaseTermMilliseconds);
  });
}

function appliedVersion({ node }: AdministrationContext): number {
  const configuration = node.configuration();
  return Option.isSome(configuration) ? configuration.value.version : 0;
}

function protocolOf({ node }: AdministrationContext, name: string): number {
  return Option.getOrElse(() => 0)(Option.map((peer: Peer) => peer.protocolVersion())(node.peerOf(name)));
}

function nodeRow(context: AdministrationContext, record: NodeRecord, appliedVersions: ReadonlyMap<string, number>): Row {
  const { runtime, node } = context;
  const isThisNode = record.node === node.settings.node;
  const lastHeartbeatAt = node.lastHeartbeatAt(record.node);
  const heardMilliseconds = Option.isSome(lastHeartbeatAt) ? Math.round(runtime.clock.now() - lastHeartbeatAt.value) : unknownValue;
  return {
    node: record.node,
    role: record.role,
    area: record.area,
    address: record.address,
    outward: record.outward,
    draining: record.draining,
    heardMilliseconds: isThisNode ? 0 : heardMilliseconds,
    protocol: isThisNode ? runtime.protocols.to : protocolOf(context, record.node),
    obeys: isThisNode ? appliedVersion(context) : (appliedVersions.get(record.node) ?? unknownValue),
  };
}

/** Services that this core cannot elect a primary for until one of the members returns that may hold the only copy of a commit. */
function waitingElections({ elections }: AdministrationContext): readonly Row[] {
  return elections
    .describe()
    .filter((row) => row['awaited'] !== '')
    .map((row) => ({ service: row['service'], awaited: row['awaited'] }));
}

/** The field names are those of the administration API. */
function fleetStatus(context: AdministrationContext): Row {
  const { node, parts } = context;
  const membership = node.membership();
  const { seats } = membership.value;
  const appliedVersions = parts.appliedVersions();
  const reachable = reachableNodes(context).length;
  return {
    core: node.settings.node,
    fleet: node.fleet(),
    open: parts.ready(),
    configuration: parts.versionOf('configuration'),
    membership: membership.version,
    size: seats.length,
    quorum: quorum.majority(seats.length),
    heard: reachable,
    spare: reachable - quorum.majority(seats.length),
    waiting: waitingElections(context),
    nodes: seats.map((record) => nodeRow(context, record, appliedVersions)),
  };
}

function memberRow({ runtime, node, liveness }: AdministrationContext, service: string, member: MemberPlacement): Row {
  const elected = node.electedPrimary(service);
  const state = liveness.latestState(member.member);
  const lastHeartbeatAt = liveness.lastHeartbeatAt(member.member);
  return {
    service,
    member: member.member,
    area: member.area,
    address: member.address,
    state: member.state,
    alive: liveness.isAlive(member.member),
    heardMilliseconds: Option.isSome(lastHeartbeatAt) ? Math.round(runtime.clock.now() - lastHeartbeatAt.value) : unknownValue,
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
export const fleetView = { reachableNodes, appliedVersion, waitingElections, fleetStatus, memberRows } as const;
