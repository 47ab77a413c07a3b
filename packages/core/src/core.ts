/** A core: stores a replica of the register, pushes changes to edges, and serves the operators' administration API (design 5, 6, 9). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, identifiers, type Disk, type Fault, type Runtime, type Listener } from '@stallstall/kernel';
import type { Node } from '@stallstall/node';
import { peer } from '@stallstall/peer';
import { registerService } from '@stallstall/register';
import { administration as administrations, type Administration } from './administration/administration.js';
import { changeSubscribers, type ChangeSubscribers } from './change-subscribers.js';
import type { CoreContext, CoreServices, CoreStorage } from './core-context.js';
import { coreNode } from './core-node.js';
import { coreRoutes, type CoreRoutes } from './core-routes.js';
import { coreLifecycle, type CoreLifecycle } from './core-lifecycle.js';
import { coreSetManager, type CoreSetManager } from './core-set-manager.js';
import type { PlatformIntegration, CoreSettings } from './core-settings.js';
import { coreStorage } from './core-storage.js';
import { readDataFolder, registryKey } from './data-folder.js';
import { fleetBootstrap, type FleetBootstrap } from './fleet-bootstrap.js';
import { memberRegistration, type MemberRegistration } from './member-registration.js';
import { membershipTable, type MembershipTable } from './membership-table.js';
import { openingWait } from './opening-wait.js';
import { currentSet, peerHandlers } from './peer-handlers.js';
import { platformApi, type PlatformApi } from './platform-api.js';
import { quorumContact, type QuorumContact } from './quorum-contact.js';
import { usageReporting, type UsageReporting } from './usage-reporting.js';
import { versionStore, type VersionStore } from './version-store.js';

export type Core = Readonly<{
  node: Node;
  /** Whether this core serves ballots. */
  isOpen: () => boolean;
  /** Stops after completing the requests that have arrived. */
  drain: () => Promise<void>;
  /** Stops at once. */
  stop: () => Promise<void>;
}>;

/** The parts of a running core. */
type Assembly = Readonly<{
  services: CoreServices;
  subscribers: ChangeSubscribers;
  contact: QuorumContact;
  versions: VersionStore;
  bootstrap: FleetBootstrap;
  usage: UsageReporting;
  table: MembershipTable;
  administration: Administration;
  platformApi: PlatformApi;
}>;

/** Longest time that draining takes before this core stops regardless of requests in flight. */
const drainMilliseconds = 6_000;
/** Longest wait for releasing the usage reporting role. */
const releaseMilliseconds = 2_000;
/** Longest wait for a learner to replace this core in the core set. */
const handOverMilliseconds = 4_500;
const drainPollMilliseconds = 20;
/** Edges that held a lease within this time may still have usage counts to report. */
const recentEdgeMilliseconds = 12_000;

function createContext(runtime: Runtime, settings: CoreSettings, platform: Option.Option<PlatformIntegration>, disk: Disk): CoreContext {
  return {
    runtime,
    settings,
    platform,
    disk,
    registration: Option.none,
    coreSet: Option.none,
    openedAt: runtime.clock.now(),
    isInSetTransition: false,
    isDraining: false,
    isStopped: false,
  };
}

/** Whether this core serves ballots and is not draining. */
function isReady({ context, storage }: CoreServices): boolean {
  return storage.cells.ready() && !context.isDraining;
}

function createCoreSet({ context, storage, node }: CoreServices, lifecycle: CoreLifecycle): CoreSetManager {
  return coreSetManager.create(context.runtime, {
    node,
    register: context.runtime.services.find(registerService),
    callCore: storage.calls.call,
    cells: storage.cells,
    transfer: storage.transfer,
    record: storage.recordStore.current,
    saveRecord: storage.recordStore.save,
    open: lifecycle.open,
    changeSet: lifecycle.changeSet,
    close: lifecycle.close,
    onSetTransition: function onSetTransition(isInTransition) {
      context.isInSetTransition = isInTransition;
    },
  });
}

function createRegistration(services: CoreServices, contact: QuorumContact, storedRegistry: unknown): MemberRegistration {
  const { context, storage, node } = services;
  return memberRegistration.create(context.runtime, {
    node,
    disk: context.disk,
    storedRegistry,
    grantorContext: {
      isReady: () => isReady(services),
      servingSince: () => context.openedAt,
      configurationVersion: () => coreStorage.versionOf(storage, 'configuration'),
      membershipVersion: () => coreStorage.membershipVersion(storage),
      putCount: context.disk.puts,
    },
    isInContact: contact.isInContact,
  });
}

function createBootstrap({ context, storage, node }: CoreServices, lifecycle: CoreLifecycle): FleetBootstrap {
  return fleetBootstrap.create(context.runtime, context.settings, {
    node,
    cells: storage.cells,
    disk: context.disk,
    recordStore: storage.recordStore,
    transfer: storage.transfer,
    votes: storage.votes,
    coreSet: () => context.coreSet,
    founding: context.platform,
    open: lifecycle.open,
    stopped: () => context.isStopped,
  });
}

function createUsage({ context, storage, node }: CoreServices): UsageReporting {
  const leased = Option.map((platform: PlatformIntegration) => ({
    calls: platform.calls,
    edges: () => (Option.isSome(context.registration) ? context.registration.value.grantor.recentHolders(recentEdgeMilliseconds) : []),
  }))(context.platform);
  return usageReporting.create(context.runtime, node, storage.reports, leased);
}

function createAdministration(
  services: CoreServices,
  { usage, table, versions, subscribers }: Readonly<Pick<Assembly, 'usage' | 'table' | 'versions' | 'subscribers'>>,
): Administration {
  const { context, storage, node } = services;
  const { disk } = context;
  return administrations.create(context.runtime, {
    node,
    usage,
    rootKey: context.settings.operatorKey,
    ready: () => isReady(services),
    versionOf: (key) => coreStorage.versionOf(storage, key),
    accepted: storage.cells.accepted,
    changeMembership: table.change,
    appliedVersions: subscribers.appliedVersions,
    diskBytes: disk.size,
    diskFault: disk.syncFault,
    versions,
    metrics: () => ({
      cells: storage.cells.keys().length,
      puts: disk.puts(),
      diskBytes: disk.size(),
      ...subscribers.metrics(),
    }),
  });
}

function assemble(context: CoreContext, stored: ReadonlyMap<string, unknown>): Assembly {
  const { runtime, disk } = context;
  const storage: CoreStorage = coreStorage.create(context, stored, {
    onAccepted: (key, entry) => lifecycle.publish(key, entry),
    archiveEntry: (entry) => versions.archive(entry),
  });
  const subscribers = changeSubscribers.create(() => currentSet(storage.coreSetView));
  const node: Node = coreNode.create(context, storage, {
    notifyLeaseHolders: () => lifecycle.notifyLeaseHolders(),
    onHelloReply: (reply, address) => bootstrap.onHelloReply(reply, address),
  });
  const services: CoreServices = { context, storage, node };
  const contact = quorumContact.create(runtime, node.majorityContactAt);
  const versions = versionStore.create(runtime, { disk, node, currentVersion: () => coreStorage.versionOf(storage, 'configuration') });
  const lifecycle: CoreLifecycle = coreLifecycle.create({ services, subscribers, contact });
  if (Option.isSome(context.platform)) {
    context.coreSet = Option.some(createCoreSet(services, lifecycle));
    context.registration = Option.some(createRegistration(services, contact, stored.get(registryKey)));
  }
  const bootstrap: FleetBootstrap = createBootstrap(services, lifecycle);
  const usage = createUsage(services);
  const table = membershipTable.create({ node, register: runtime.services.find(registerService), ready: storage.cells.ready });
  const administration = createAdministration(services, { usage, table, versions, subscribers });
  const api = platformApi.create({
    runtime,
    isOpen: storage.cells.ready,
    isDraining: () => context.isDraining,
    contact,
    administration,
    registration: context.registration,
  });
  return { services, subscribers, contact, versions, bootstrap, usage, table, administration, platformApi: api };
}

async function listen(assembly: Assembly): Promise<CoreRoutes> {
  const { services, subscribers, contact, versions, bootstrap, table, administration, platformApi: api } = assembly;
  const { context } = services;
  const handlers = peerHandlers.create({ services, subscribers, versions, bootstrap, table });
  const links = await peer.listen(context.runtime, identifiers.address(context.settings.address), handlers);
  const routes = await coreRoutes.serve({ services, administration, contact, platformApi: api });
  return { ...routes, listening: [links, ...routes.listening] };
}

async function startServices({ services, versions, usage, bootstrap }: Assembly): Promise<void> {
  const { context, node } = services;
  node.start();
  await versions.start();
  usage.start();
  if (Option.isSome(context.coreSet)) context.coreSet.value.start();
  bootstrap.start();
  openingWait.watch(services, bootstrap);
}

async function stop({ services, versions, usage }: Assembly, listening: readonly Listener[]): Promise<void> {
  const { context, storage, node } = services;
  context.isStopped = true;
  versions.stop();
  if (Option.isSome(context.coreSet)) context.coreSet.value.stop();
  if (Option.isSome(context.registration)) context.registration.value.stop();
  void usage.stop();
  node.stop();
  storage.calls.stop();
  for (const entry of listening) await entry.stop();
}

/**
 * Fails readiness, hands over the usage reporting role and this core's place in the core set, completes the requests in flight, then
 * stops (design 7.10).
 */
async function drain(assembly: Assembly, { listening, inFlight }: CoreRoutes): Promise<void> {
  const { services, usage } = assembly;
  const { context } = services;
  const { clock } = context.runtime;
  context.isDraining = true;
  const deadline = identifiers.after(clock.now(), drainMilliseconds);
  const handOverDeadline = identifiers.after(clock.now(), handOverMilliseconds);
  await Promise.all([
    Promise.race([usage.stop(), clock.sleep(releaseMilliseconds)]),
    Option.isSome(context.coreSet) ? context.coreSet.value.handOverMembership(handOverDeadline) : undefined,
  ]);
  while (clock.now() < deadline && inFlight() > 0) await clock.sleep(drainPollMilliseconds);
  await stop(assembly, listening);
}

/**
 * Starts a core; resolves to right once it listens. Errors: `bad-settings` without a data folder, `foreign-disk` for a folder of another
 * node or of a later version.
 *
 * @param platform - none where an operator runs the fleet through the administration API
 */
async function start(
  runtime: Runtime,
  settings: CoreSettings,
  platform: Option.Option<PlatformIntegration> = Option.none,
): Promise<Either.Either<Fault, Core>> {
  if (Option.isNone(runtime.disk)) {
    return Either.left(fault.create({ kind: 'bad-settings', message: 'a core requires a data folder', remedy: 'set one with --data' }));
  }
  const disk = runtime.disk.value;
  const folder = await readDataFolder(runtime, disk, settings.node);
  if (Either.isLeft(folder)) return folder;
  const assembly = assemble(createContext(runtime, settings, platform, disk), folder.right);
  const { context, storage, node } = assembly.services;
  if (Option.isSome(context.registration)) context.registration.value.start();
  const routes = await listen(assembly);
  await startServices(assembly);
  return Either.right({
    node,
    isOpen: storage.cells.ready,
    stop: () => stop(assembly, routes.listening),
    drain: () => drain(assembly, routes),
  });
}

export const core = { start } as const;
