/** The edge's half of the leases: asks every core, and counts what a strict majority grants (design 7.12). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, runtimeUtilities, type Instant, type Runtime } from '@stallstall/kernel';
import type { CoreSet, ElectedPrimary, MemberRecord, Reply } from '@stallstall/message';
import type { Applied, Configuration } from '@stallstall/node';
import type { Peer } from '@stallstall/peer';
import { leaseTermMilliseconds, subtractClockDrift } from '@stallstall/quorum-lease';
import type { DurableReports } from '@stallstall/register';
import type { CommitWatermark } from './commit-watermarks.js';
import { coreLinks, type CoreLinks } from './core-links.js';
import { coreReplies, type CoreReplies, type CoreReply } from './core-replies.js';
import { fleetSearch, type FleetSearch } from './fleet-search.js';
import { coreNames, callMilliseconds, type HolderContext, type LeaseHolderCallbacks, type LeaseHolderSettings } from './holder-context.js';
import { holderState, type HolderState } from './holder-state.js';
import { leaseRequests } from './lease-request.js';
import { mergedView } from './merged-view.js';
import { serviceLeases, type ServiceLeases } from './service-leases.js';

export type LeaseHolder = Readonly<{
  start: () => void;
  stop: () => void;
  configuration: () => Option.Option<Applied<Configuration>>;
  electedPrimary: (service: string) => Option.Option<ElectedPrimary>;
  services: () => readonly string[];
  /** When the lease for a service at its elected epoch ends; in the past when no majority of cores grants it. */
  leaseUntil: (service: string) => Instant;
  /** The highest epoch that a majority of cores has reached for a service: below it nothing is begun any more. */
  releaseEpoch: (service: string) => number;
  /** Members that have registered, but for those that have left. */
  members: () => readonly MemberRecord[];
  /** Rises with every change of `members`. */
  membersVersion: () => number;
  /** How many edges hold leases, by area, as the core that counts most of them says. */
  edgeCountByArea: () => Readonly<Record<string, number>>;
  /** Statements a second that are asked of all of them, by area, as the same core says. */
  statementRateByArea: () => Readonly<Record<string, number>>;
  /** How far each service's commits reach as a majority of cores covers it, and as of which of this process's own moments. */
  commitWatermarks: () => ReadonlyMap<string, CommitWatermark>;
  durableReports: DurableReports;
  coreCount: () => number;
  /** How many cores granted within the last term. */
  grantingCoreCount: () => number;
  /** Sends each core what the proxy says now, at once. */
  reportNow: () => void;
  /** The proxy's process has ended: each core is told that what it acknowledged last may have been reported to nobody (design 8.11). */
  onProxyRestarted: () => void;
}>;

/** The parts of a running lease holder. */
type Assembly = Readonly<{
  context: HolderContext;
  links: CoreLinks;
  replies: CoreReplies;
  state: HolderState;
  leases: ServiceLeases;
}>;

const resolveMilliseconds = 200;

function createContext(runtime: Runtime, settings: LeaseHolderSettings, parts: LeaseHolderCallbacks): HolderContext {
  return {
    runtime,
    settings,
    parts,
    ownSeat: { node: settings.node, role: 'edge', area: settings.area, address: '-', outward: '-', draining: false },
    cores: [],
    setNumber: 0,
    fleet: '',
    grantedAt: runtime.clock.now(),
    membersVersion: 0,
    isStopped: false,
  };
}

/** Follows the newest set of cores that any core reported; whoever has left it grants nothing any more (design 4.8). */
function follow({ context, links, replies, state, leases }: Assembly, set: CoreSet): void {
  if (context.isStopped || set.number <= context.setNumber) return;
  context.runtime.log('lease-holder.follows', { set: set.number, cores: set.seats.length });
  leases.carryOver();
  context.setNumber = set.number;
  context.cores = set.seats;
  for (const core of links.retain(coreNames(context))) replies.forget(core);
  for (const core of context.cores) links.ensure(core);
  context.membersVersion += 1;
  state.recount();
  leases.observeEpochs();
  context.parts.onChange();
}

/** @param saidAt - what the core says was so at this moment or later */
function applyReply(assembly: Assembly, core: string, known: CoreReply, reply: Reply<'lease'>, saidAt: Instant): void {
  const { context, leases } = assembly;
  if (coreReplies.isOvertaken(known, reply)) return;
  if (coreReplies.apply(known, reply, saidAt)) context.membersVersion += 1;
  if (reply.newer !== undefined) follow(assembly, reply.newer);
  // A core at a later set than this edge counts nothing here: its set's elections need not meet this edge's majority (design 4.8).
  const isCounted = reply.ready && (reply.set ?? 0) <= context.setNumber && coreNames(context).includes(core);
  if (!isCounted) return;
  context.grantedAt = context.runtime.clock.now();
  coreReplies.applyCommitWatermarks(known, reply.marks, saidAt);
  leases.observeEpochs();
  leases.recordGrant(core, saidAt);
  context.parts.onChange();
}

async function requestLease(assembly: Assembly, core: string, link: Peer, holdMilliseconds: number): Promise<boolean> {
  const { context, links, replies, state } = assembly;
  const known = replies.of(core);
  const { isRestarted } = known;
  const sentAt = context.runtime.clock.now();
  function isConnected(name: string): boolean {
    return links.of(name)?.connected() === true;
  }
  const request = leaseRequests.create({ context, state, replies, isConnected }, core, known, holdMilliseconds);
  const reply = await link.call('lease', request, holdMilliseconds + callMilliseconds);
  if (Option.isNone(reply) || links.of(core) !== link) return false;
  if (isRestarted) known.isRestarted = false;
  // What the core says was so when it replied, and that was not before it had held the request for so long.
  applyReply(assembly, core, known, reply.value, identifiers.after(sentAt, subtractClockDrift(reply.value.held)));
  return true;
}

function assemble(context: HolderContext): Assembly {
  const replies = coreReplies.create();
  const links = coreLinks.create(context, {
    onConnected: function onConnected(core) {
      replies.of(core).acknowledgedChange = 0;
    },
    onChange: function onChange(core, link, change) {
      replies.of(core).acknowledgedChange = change.number;
      state.receive(core, link, change);
    },
    requestLease: (core, link, holdMilliseconds) => requestLease(assembly, core, link, holdMilliseconds),
  });
  const state: HolderState = holderState.create(context, links.of, (set) => follow(assembly, set));
  const leases = serviceLeases.create(context, state, replies);
  const assembly: Assembly = { context, links, replies, state, leases };
  return assembly;
}

function start({ context, state }: Assembly, search: FleetSearch): void {
  function look(): void {
    search.greetSeeds();
    state.resolve();
  }
  void runtimeUtilities.every(context.runtime.clock, resolveMilliseconds, look, () => !context.isStopped);
}

function commitWatermarksOf({ context, replies, state }: Assembly): ReadonlyMap<string, CommitWatermark> {
  const known = coreNames(context).flatMap((core) => replies.find(core) ?? []);
  return mergedView.commitWatermarks(state.services(), known, context.cores.length);
}

function grantingCoreCount({ context, replies }: Assembly): number {
  const now = context.runtime.clock.now();
  return coreNames(context).filter((core) => now - replies.of(core).saidAt < leaseTermMilliseconds).length;
}

function create(runtime: Runtime, settings: LeaseHolderSettings, parts: LeaseHolderCallbacks): LeaseHolder {
  const context = createContext(runtime, settings, parts);
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
    members: () => mergedView.members(replies.all()),
    membersVersion: () => context.membersVersion,
    edgeCountByArea: () => mergedView.mostComplete(replies.all()).edges,
    statementRateByArea: () => mergedView.mostComplete(replies.all()).demand,
    commitWatermarks: () => commitWatermarksOf(assembly),
    durableReports: state.reports,
    coreCount: () => context.cores.length,
    grantingCoreCount: () => grantingCoreCount(assembly),
    reportNow: function reportNow() {
      for (const [core, link] of links.connected()) void requestLease(assembly, core, link, 0);
    },
    onProxyRestarted: function onProxyRestarted() {
      for (const reply of replies.all()) reply.isRestarted = true;
    },
  };
}

export const leaseHolder = { create } as const;
