/** The functions common to cores and agents: discovery, heartbeats, applied keys, failure detection, leases and elections (design 3, 4). */
import * as Option from 'fp-ts/lib/Option.js';
import { election, electionService, liveness, livenessService, type Election, type Liveness } from '@stallstall/election';
import { fault, identifiers, runtimeUtilities, type Fault, type HttpRoute, type Instant, type Runtime } from '@stallstall/kernel';
import type { Change, CoreSet, ElectedPrimary, Membership, Reply, NodeRecord } from '@stallstall/message';
import type { Handlers, Peer } from '@stallstall/peer';
import type { PlacementConfiguration } from '@stallstall/placement';
import { quorum } from '@stallstall/quorum';
import { quorumLease, quorumLeaseService, type QuorumLease } from '@stallstall/quorum-lease';
import type { DurableReports } from '@stallstall/register';
import { appliedState, type AppliedState } from './applied-state.js';
import type { AppliedValue, Configuration } from './configuration.js';
import { coreWatch, type CoreWatch } from './core-watch.js';
import { heartbeats as heartbeatTables, type HeartbeatReport, type Heartbeats } from './heartbeats.js';
import { incarnations as incarnationTables, type Incarnations } from './incarnations.js';
import { memberRoutes } from './member-routes.js';
import { membershipJoin } from './membership-join.js';
import { heartbeatMilliseconds, type NodeContext } from './node-context.js';
import type { NodeParts } from './node-parts.js';
import type { NodeSettings } from './node-settings.js';
import { peerLinks, type PeerLinks } from './peer-links.js';
import { registerAccess } from './register-access.js';
import { seedDiscovery, type SeedDiscovery } from './seed-discovery.js';

/** Connection caps by service. */
export type ConnectionCaps = Readonly<Record<string, number>>;

/** What a node reported about itself: its applied membership version, and its epoch for each service. */
export type ReportedEpochs = Readonly<{ node: string; membership: number; epochs: Readonly<Record<string, number>> }>;

export type Node = Readonly<{
  settings: NodeSettings;
  handlers: Handlers;
  routes: readonly HttpRoute[];
  configuration: () => Option.Option<AppliedValue<Configuration>>;
  /** The placement of the applied configuration, with the registered members. */
  placement: () => Option.Option<PlacementConfiguration>;
  membership: () => AppliedValue<Membership>;
  electedPrimary: (service: string) => Option.Option<ElectedPrimary>;
  /** One lease term after a majority of cores last confirmed that nothing newer than the applied versions is acknowledged. */
  configurationLeaseUntil: () => Instant;
  /** When this node's lease for a service ends; in the past if it holds none. */
  serviceLeaseUntil: (service: string) => Instant;
  durableReports: DurableReports;
  /** The caps last reported by each other edge; none for an edge that has reported nothing yet. */
  connectionCapsOfOthers: () => ReadonlyArray<Option.Option<ConnectionCaps>>;
  /** By service: the epoch that this node supports (design 7.3). */
  epochs: () => Readonly<Record<string, number>>;
  /** This node's epochs and those of every other node that has reported. */
  reportedEpochs: () => readonly ReportedEpochs[];
  lastHeartbeatAt: (node: string) => Option.Option<Instant>;
  /** The latest time such that a majority of cores, including this node if it is one, replied to calls sent since (design 7.14). */
  majorityContactAt: () => Instant;
  peerOf: (node: string) => Option.Option<Peer>;
  cores: () => readonly NodeRecord[];
  setCores: (cores: readonly NodeRecord[]) => void;
  /** Uses this core set from now on, for majorities and as the membership table (design 4.8). */
  followCoreSet: (set: CoreSet) => void;
  incarnation: () => number;
  ownRecord: () => NodeRecord;
  /** The fleet's id; empty until it is found. */
  fleet: () => string;
  setFleet: (fleet: string) => void;
  /** Processes a change that this core's own disk accepted like one that another core pushed. */
  receiveOwnChange: (core: string, change: Change) => void;
  /** Records the incarnation of a node; true if a later one is already known. */
  isSuperseded: (node: string, incarnation: number) => boolean;
  start: () => void;
  stop: () => void;
}>;

/** The parts of a running node. */
type Assembly = Readonly<{
  context: NodeContext;
  links: PeerLinks;
  reports: DurableReports;
  applied: AppliedState;
  incarnations: Incarnations;
  watch: CoreWatch;
  heartbeats: Heartbeats;
  discovery: SeedDiscovery;
  members: Liveness;
  lease: QuorumLease;
  elections: Election;
  wasListed: { current: boolean };
}>;

const proposalTimeoutMilliseconds = 2_900;

function createContext(runtime: Runtime, settings: NodeSettings, parts: NodeParts): NodeContext {
  return {
    runtime,
    settings,
    parts,
    registration: Option.fromNullable(parts.registration),
    ownRecord: {
      node: settings.node,
      role: parts.role,
      area: settings.area,
      address: settings.address,
      outward: settings.outward,
      draining: false,
    },
    cores: [],
    coreSet: Option.none,
    fleet: '',
    isStopped: false,
  };
}

function stop({ context, links, members }: Assembly): void {
  context.isStopped = true;
  links.closeAll();
  members.closeConnectionsExcept(new Set());
}

/** Stops this node and ends the process. */
function endProcess(assembly: Assembly, reason: Fault): void {
  if (assembly.context.isStopped) return;
  stop(assembly);
  assembly.context.runtime.stop(reason);
}

function departedFault(node: string): Fault {
  return fault.create({
    kind: 'departed',
    message: `${node} was taken out of the membership table`,
    remedy: 'start it again only if it is to join the fleet again',
  });
}

function onMembershipChanged(assembly: Assembly): void {
  const { context, links, heartbeats, lease, applied, wasListed } = assembly;
  const { settings } = context;
  const table = applied.membership().value;
  const isListed = quorum.findNode(table, settings.node) !== undefined;
  // A core that was removed from the core set keeps running, since it may be added again (design 4.8).
  if (wasListed.current && !isListed && Option.isNone(context.coreSet)) return endProcess(assembly, departedFault(settings.node));
  wasListed.current = isListed;
  for (const record of table.seats) if (record.node !== settings.node) links.ensure(record);
  const closed = links.retain((node) => quorum.findNode(table, node) !== undefined || context.cores.some((core) => core.node === node));
  for (const node of closed) {
    heartbeats.forget(node);
    lease.forget(node);
  }
}

function setCores({ context, links }: Assembly, cores: readonly NodeRecord[]): void {
  context.cores = cores;
  for (const core of cores) if (core.node !== context.settings.node) links.ensure(core);
}

function followCoreSet(assembly: Assembly, set: CoreSet): void {
  const { context, applied, watch } = assembly;
  watch.onCoreSet(set);
  context.coreSet = Option.some(set);
  setCores(assembly, set.seats);
  onMembershipChanged(assembly);
  applied.recount();
}

function epochs({ applied, elections }: Assembly): Readonly<Record<string, number>> {
  const current = applied.placement();
  if (Option.isNone(current)) return {};
  const byService: Record<string, number> = {};
  for (const { service } of current.value.services) {
    const epoch = elections.epochOf(service);
    if (Option.isSome(epoch)) byService[service] = epoch.value;
  }
  return byService;
}

function otherNodes({ applied, context }: Assembly): readonly string[] {
  const nodes = applied.membership().value.seats.map((record) => record.node);
  return nodes.filter((node) => node !== context.settings.node);
}

function serviceLeaseUntil(assembly: Assembly, service: string): Instant {
  const { context, applied, elections, lease, watch } = assembly;
  const elected = applied.electedPrimary(service);
  const ownEpoch = elections.epochOf(service);
  const table = applied.membership().value;
  const isListed = quorum.findNode(table, context.settings.node) !== undefined;
  if (Option.isNone(elected) || Option.isNone(ownEpoch) || !isListed || ownEpoch.value !== elected.value.epoch) {
    return identifiers.instant(Number.NEGATIVE_INFINITY);
  }
  const until = lease.validUntil({
    service,
    epoch: elected.value.epoch,
    peers: otherNodes(assembly),
    voterCount: table.seats.length,
  });
  return identifiers.instant(Math.min(until, watch.configurationLeaseUntil()));
}

function connectionCapsOfOthers({ context, applied, heartbeats }: Assembly): ReadonlyArray<Option.Option<ConnectionCaps>> {
  return quorum
    .nodesWithRole(applied.membership().value, 'edge')
    .filter((record) => record.node !== context.settings.node)
    .map((record) => Option.map((report: HeartbeatReport) => report.caps)(heartbeats.reportOf(record.node)));
}

function reportedEpochs(assembly: Assembly): readonly ReportedEpochs[] {
  const { context, applied, heartbeats } = assembly;
  const others = otherNodes(assembly).flatMap(function reported(node): readonly ReportedEpochs[] {
    const report = heartbeats.reportOf(node);
    return Option.isNone(report) ? [] : [{ node, membership: report.value.membership, epochs: report.value.epochs }];
  });
  return [{ node: context.settings.node, membership: applied.membership().version, epochs: epochs(assembly) }, ...others];
}

function createElection(context: NodeContext, applied: AppliedState, links: PeerLinks, votes: ReturnType<NodeParts['votes']>): Election {
  const { runtime, settings, registration } = context;
  return election.create(
    runtime,
    {
      self: settings.node,
      platformCalls: Option.isSome(registration) ? Option.some(registration.value.calls) : Option.none,
      leaseHolders: () => (Option.isSome(registration) ? registration.value.leaseHolders() : Option.none),
      hasReleased: (service, epoch, holders) => Option.isSome(registration) && registration.value.hasReleased(service, epoch, holders),
      hasAnnouncedDeparture: (member) => Option.isSome(registration) && registration.value.hasAnnouncedDeparture(member),
      onEpochRaised: () => (Option.isSome(registration) ? registration.value.onEpochRaised() : undefined),
      membership: () => applied.membership().value,
      membershipVersion: () => applied.membership().version,
      placement: applied.placement,
      electedPrimary: applied.electedPrimary,
      platformAddress: settings.platform,
      sendProposal: async function sendProposal(node, request): Promise<Option.Option<Reply<'propose'>>> {
        const link = links.linkTo(node);
        return link === undefined ? Option.none : link.call('propose', request, proposalTimeoutMilliseconds);
      },
    },
    votes,
  );
}

function assemble(runtime: Runtime, settings: NodeSettings, parts: NodeParts): Assembly {
  const context = createContext(runtime, settings, parts);
  const members = liveness.create(
    runtime,
    Option.isSome(context.registration) ? Option.some(context.registration.value.probe) : Option.none,
  );
  const lease = quorumLease.create();
  runtime.services.register(livenessService, members);
  runtime.services.register(quorumLeaseService, lease);
  const links: PeerLinks = peerLinks.create(context, {
    onConnected: (node) => watch.onConnected(node),
    onChange: (node, link, change) => watch.onChange(node, link, change),
    onHeartbeat: (node, link) => heartbeats.send(node, link),
    onWatch: (core, link) => watch.watch(core, link),
  });
  const access = registerAccess.create(context, links);
  const applied: AppliedState = appliedState.create(context, access, function onApplied(key) {
    if (key === 'membership') onMembershipChanged(assembly);
    parts.onApplied(key);
  });
  const incarnations: Incarnations = incarnationTables.create(context, access.register, onSuperseded);
  const watch: CoreWatch = coreWatch.create(context, { applied, incarnations, linkTo: links.linkTo, onSuperseded });
  const elections = createElection(context, applied, links, parts.votes(access.register));
  runtime.services.register(electionService, elections);
  const heartbeats: Heartbeats = heartbeatTables.create(context, {
    applied,
    incarnations,
    lease,
    epochs: () => epochs(assembly),
    linkTo: links.linkTo,
    recordReply: watch.recordReply,
    observeCoreSet: access.coreSets.observe,
    onSuperseded,
  });
  const discovery = seedDiscovery.create(context, {
    incarnations,
    hasJoined: () => incarnations.own() > 0 && quorum.findNode(applied.membership().value, settings.node) !== undefined,
    setCores: (cores) => setCores(assembly, cores),
    onSuperseded,
  });

  function onSuperseded(): void {
    endProcess(assembly, incarnations.supersededFault());
  }

  const assembly: Assembly = {
    context,
    links,
    reports: access.reports,
    applied,
    incarnations,
    watch,
    heartbeats,
    discovery,
    members,
    lease,
    elections,
    wasListed: { current: false },
  };
  return assembly;
}

function handlersOf({ context, heartbeats, incarnations, watch, elections }: Assembly): Handlers {
  return {
    hello: (request): Reply<'hello'> => ({
      node: context.settings.node,
      role: context.parts.role,
      incarnation: incarnations.own(),
      fleet: context.fleet,
      founding: '',
      cores: [...context.cores],
      knownPuts: watch.knownPuts(request.seat.node),
      superseded: request.incarnation > 0 && incarnations.isSuperseded(request.seat.node, request.incarnation),
    }),
    beat: (request) => heartbeats.receive(request),
    propose: (request) => elections.handleProposal(request),
  };
}

function tick({ applied, elections, members }: Assembly): void {
  applied.readUnapplied();
  elections.tick();
  const current = applied.placement();
  if (Option.isNone(current)) return;
  members.closeConnectionsExcept(new Set(current.value.services.flatMap((service) => service.members.map((member) => member.member))));
}

function start(assembly: Assembly): void {
  const { context, discovery, incarnations, links, applied } = assembly;
  const { clock } = context.runtime;
  function isRunning(): boolean {
    return !context.isStopped;
  }
  void runtimeUtilities.every(clock, heartbeatMilliseconds, discovery.contactSeeds, isRunning);
  void incarnations.acquire();
  void membershipJoin.keepJoined(context, links, applied, incarnations);
  void runtimeUtilities.every(clock, heartbeatMilliseconds, () => tick(assembly), isRunning);
}

function create(runtime: Runtime, settings: NodeSettings, parts: NodeParts): Node {
  const assembly = assemble(runtime, settings, parts);
  const { context, applied, watch, heartbeats, incarnations, links } = assembly;
  return {
    settings,
    handlers: handlersOf(assembly),
    routes: memberRoutes.create(settings.node, assembly.members, applied.placement),
    configuration: applied.configuration,
    placement: applied.placement,
    membership: applied.membership,
    electedPrimary: applied.electedPrimary,
    configurationLeaseUntil: watch.configurationLeaseUntil,
    serviceLeaseUntil: (service) => serviceLeaseUntil(assembly, service),
    durableReports: assembly.reports,
    connectionCapsOfOthers: () => connectionCapsOfOthers(assembly),
    epochs: () => epochs(assembly),
    reportedEpochs: () => reportedEpochs(assembly),
    lastHeartbeatAt: (node) => Option.map((report: HeartbeatReport) => report.receivedAt)(heartbeats.reportOf(node)),
    majorityContactAt: watch.majorityContactAt,
    peerOf: (node) => Option.fromNullable(links.linkTo(node)),
    cores: () => context.cores,
    setCores: (cores) => setCores(assembly, cores),
    followCoreSet: (set) => followCoreSet(assembly, set),
    incarnation: incarnations.own,
    ownRecord: () => context.ownRecord,
    fleet: () => context.fleet,
    setFleet: function setFleet(fleet) {
      context.fleet = fleet;
    },
    receiveOwnChange: (core, change) => applied.receive(core, Option.none, change),
    isSuperseded: incarnations.isSuperseded,
    start: () => start(assembly),
    stop: () => stop(assembly),
  };
}

export const node = { create } as const;
