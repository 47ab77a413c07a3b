/** The edge's side of the leases: requests them from every core; a lease is valid when a strict majority grants it (design 7.12). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, runtimeUtilities, type Instant, type Runtime } from '@stallstall/kernel';
import type { CoreSet, ElectedPrimary, MemberRecord, Reply } from '@stallstall/message';
import type { AppliedValue, Configuration } from '@stallstall/node';
import type { Peer } from '@stallstall/peer';
import { leaseTermMilliseconds, subtractClockDrift } from '@stallstall/quorum-lease';
import type { DurableReports } from '@stallstall/register';
import type { CommitWatermark } from './commit-watermarks.js';
import { coreLinks, type CoreLinks } from './core-links.js';
import { coreReplies, type CoreReplies, type ReportedState } from './core-replies.js';
import { fleetSearch, type FleetSearch } from './fleet-search.js';
import { coreNames, callMilliseconds, type HolderContext, type LeaseHolderCallbacks, type LeaseHolderSettings } from './holder-context.js';
import { holderState, type HolderState } from './holder-state.js';
import { leaseRequests } from './lease-request.js';
import { mergedView } from './merged-view.js';
import { serviceLeases, type ServiceLeases } from './service-leases.js';

export type LeaseHolder = Readonly<{
  start: () => void;
  stop: () => void;
  configuration: () => Option.Option<AppliedValue<Configuration>>;
  electedPrimary: (service: string) => Option.Option<ElectedPrimary>;
  services: () => readonly string[];
  /** When the lease for a service at its elected epoch ends; in the past when no majority of cores grants it. */
  leaseUntil: (service: string) => Instant;
  /** The highest epoch that a majority of cores has reached for a service; no new work may start below it. */
  releaseEpoch: (service: string) => number;
  /** Registered members, without those that have left. */
  members: () => readonly MemberRecord[];
  /** Incremented with every change of `members`. */
  membersVersion: () => number;
  /** Number of edges that hold leases, by area, as reported by the core that knows the most edges. */
  edgeCountByArea: () => Readonly<Record<string, number>>;
  /** Statements per second sent to all of them, by area, as reported by the same core. */
  statementRateByArea: () => Readonly<Record<string, number>>;
  /** The commit watermark of each service, covered by a majority of cores. */
  commitWatermarks: () => ReadonlyMap<string, CommitWatermark>;
  durableReports: DurableReports;
  coreCount: () => number;
  /** Number of cores that replied within the last lease term. */
  grantingCoreCount: () => number;
  /** Sends a request with the proxy's current state to each connected core at once. */
  reportNow: () => void;
  /** Notifies each core that the proxy restarted: the former process may have acknowledged commits that it never reported (design 8.11). */
  onProxyRestarted: () => void;
}>;

/** The components of a running lease holder. */
type Assembly = Readonly<{
  context: HolderContext;
  links: CoreLinks;
  replies: CoreReplies;
  state: HolderState;
  leases: ServiceLeases;
}>;

const pollIntervalMilliseconds = 200;

function createContext(runtime: Runtime, settings: LeaseHolderSettings, callbacks: LeaseHolderCallbacks): HolderContext {
  return {
    runtime,
    settings,
    callbacks,
    ownSeat: { node: settings.node, role: 'edge', area: settings.area, address: '-', outward: '-', draining: false },
    cores: [],
    setNumber: 0,
    fleet: '',
    lastGrantAt: runtime.clock.now(),
    membersVersion: 0,
    isStopped: false,
  };
}

/** Switches to a newer core set; replies of cores that are not in it are discarded (design 4.8). */
function follow({ context, links, replies, state, leases }: Assembly, set: CoreSet): void {
  if (context.isStopped || set.number <= context.setNumber) return;
  context.runtime.log('lease-holder.follows', { set: set.number, cores: set.seats.length });
  leases.carryOver();
  context.setNumber = set.number;
  context.cores = set.seats;
  for (const core of links.retain(coreNames(context))) replies.forget(core);
  for (const core of context.cores) links.connect(core);
  context.membersVersion += 1;
  state.onCoreSetChanged();
  leases.observeEpochs();
  context.callbacks.onChange();
}

/** @param asOf - lower bound for the time at which the core read the state it reports */
function applyReply(assembly: Assembly, core: string, reportedState: ReportedState, reply: Reply<'lease'>, asOf: Instant): void {
  const { context, leases } = assembly;
  if (coreReplies.isStale(reportedState, reply)) return;
  if (coreReplies.apply(reportedState, reply, asOf)) context.membersVersion += 1;
  if (reply.newer !== undefined) follow(assembly, reply.newer);
  // A grant of a core at a newer set is ignored: a majority of that set need not intersect a majority of this edge's set (design 4.8).
  const isCounted = reply.ready && (reply.set ?? 0) <= context.setNumber && coreNames(context).includes(core);
  if (!isCounted) return;
  context.lastGrantAt = context.runtime.clock.now();
  coreReplies.applyCommitWatermarks(reportedState, reply.marks, asOf);
  leases.observeEpochs();
  leases.recordGrant(core, asOf);
  context.callbacks.onChange();
}

async function requestLease(assembly: Assembly, core: string, link: Peer, holdMilliseconds: number): Promise<boolean> {
  const { context, links, replies, state } = assembly;
  const reportedState = replies.getOrCreate(core);
  const { announcesRestart } = reportedState;
  const sentAt = context.runtime.clock.now();
  function isConnected(name: string): boolean {
    return links.find(name)?.isConnected() === true;
  }
  const request = leaseRequests.create({ context, state, replies, isConnected }, core, reportedState, holdMilliseconds);
  const reply = await link.call('lease', request, holdMilliseconds + callMilliseconds);
  if (Option.isNone(reply) || links.find(core) !== link) return false;
  if (announcesRestart) reportedState.announcesRestart = false;
  // The core read its state when it replied, which is no earlier than the send time plus the time that it delayed the reply.
  applyReply(assembly, core, reportedState, reply.value, identifiers.after(sentAt, subtractClockDrift(reply.value.held)));
  return true;
}

function assemble(context: HolderContext): Assembly {
  const replies = coreReplies.create();
  const links = coreLinks.create(context, {
    onConnected: function onConnected(core) {
      replies.getOrCreate(core).acknowledgedChange = 0;
    },
    onChange: function onChange(core, link, change) {
      replies.getOrCreate(core).acknowledgedChange = change.number;
      state.receiveChange(core, link, change);
    },
    requestLease: (core, link, holdMilliseconds) => requestLease(assembly, core, link, holdMilliseconds),
  });
  const state: HolderState = holderState.create(context, links.find, (set) => follow(assembly, set));
  const leases = serviceLeases.create(context, state, replies);
  const assembly: Assembly = { context, links, replies, state, leases };
  return assembly;
}

function start({ context, state }: Assembly, search: FleetSearch): void {
  function poll(): void {
    search.contactSeeds();
    state.readUnapplied();
  }
  void runtimeUtilities.every(context.runtime.clock, pollIntervalMilliseconds, poll, () => !context.isStopped);
}

function commitWatermarksOf({ context, replies, state }: Assembly): ReadonlyMap<string, CommitWatermark> {
  const knownReplies = coreNames(context).flatMap((core) => replies.find(core) ?? []);
  return mergedView.commitWatermarks(state.services(), knownReplies, context.cores.length);
}

function grantingCoreCount({ context, replies }: Assembly): number {
  const now = context.runtime.clock.now();
  return coreNames(context).filter((core) => now - replies.getOrCreate(core).asOf < leaseTermMilliseconds).length;
}

function create(runtime: Runtime, settings: LeaseHolderSettings, callbacks: LeaseHolderCallbacks): LeaseHolder {
  const context = createContext(runtime, settings, callbacks);
  const assembly = assemble(context);
  const { links, replies, state, leases } = assembly;
  const search = fleetSearch.create(context, (set) => follow(assembly, set));
  return {
    start: () => start(assembly, search),
    stop: function stop() {
      context.isStopped = true;
      links.closeAll();
    },
    configuration: state.configuration,
    electedPrimary: state.electedPrimary,
    services: state.services,
    leaseUntil: leases.validUntil,
    releaseEpoch: leases.releaseEpoch,
    members: () => mergedView.members(replies.all(), context.cores.length),
    membersVersion: () => context.membersVersion,
    edgeCountByArea: () => mergedView.mostComplete(replies.all()).edgeCountByArea,
    statementRateByArea: () => mergedView.mostComplete(replies.all()).statementRateByArea,
    commitWatermarks: () => commitWatermarksOf(assembly),
    durableReports: state.reports,
    coreCount: () => context.cores.length,
    grantingCoreCount: () => grantingCoreCount(assembly),
    reportNow: function reportNow() {
      for (const [core, link] of links.connected()) void requestLease(assembly, core, link, 0);
    },
    onProxyRestarted: function onProxyRestarted() {
      for (const reported of replies.all()) reported.announcesRestart = true;
    },
  };
}

export const leaseHolder = { create } as const;
