// The core: a disk of the register, pushes, the operators' administration API (design 5, 6, 9).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, http, identifiers, type Disk, type Fault, type HttpRoute, type Kernel, type Listening } from '@stallstall/kernel';
import type { CoreSet } from '@stallstall/message';
import type { MemberProbe, PlatformCalls } from '@stallstall/election';
import { node as nodes, type Node, type NodeParts, type NodeSettings } from '@stallstall/node';
import { peer, type Handlers } from '@stallstall/peer';
import { acceptor, reportStore, registerService, watcher, type RegisterReplica } from '@stallstall/register';
import { administration as administrations } from './administration.js';
import { quorumContact as contacts } from './quorum-contact.js';
import { coreCalls } from './core-calls.js';
import { peerHandlers, storeReport, currentSet } from './peer-handlers.js';
import { stateTransfer as copyings } from './state-transfer.js';
import { coreSetManager as coreSets, type CoreSetManager } from './core-set-manager.js';
import { readFolder, rosterKey } from './data-folder.js';
import { platformApi as doors, type PlatformApi } from './platform-api.js';
import { fleetRecord, setOf, coreSetViewOf, type Fleet } from './fleet-record.js';
import { fleetBootstrap as formations, type FoundingSettings } from './fleet-bootstrap.js';
import { membershipTable } from './membership-table.js';
import { memberRegistration, type MemberRegistration } from './member-registration.js';
import { withoutHistory, changeSubscribers } from './change-subscribers.js';
import { usageReporting as usages } from './usage-reporting.js';
import { versionStore } from './version-store.js';
import { coreVoteStore } from './vote-store.js';

export type CoreSettings = NodeSettings & Readonly<{ cores: number; operatorKey?: string | undefined }>;

export type { PlatformApi as Door } from './platform-api.js';

/** How a fleet runs where members register, edges hold leases, and the platform has words of its own (design 9.6). */
export type CoreParts = FoundingSettings &
  Readonly<{
    calls: PlatformCalls;
    probe: MemberProbe;
    routes: (platformApiAddress: PlatformApi) => readonly HttpRoute[];
    /** Where these pages are served. */
    platformApiAddress: string;
  }>;

export type Core = Readonly<{ node: Node; open: () => boolean; drain: () => Promise<void>; stop: () => Promise<void> }>;

const graceMilliseconds = 6_000;
const releaseMilliseconds = 2_000;
/** So long a learner that waits for a seat may take to come in before this core ends. */
const leaveMilliseconds = 4_500;
const drainLookMilliseconds = 20;
/** An edge that held a lease so lately may still have counts to tell. */
const edgeMemoryMilliseconds = 12_000;

type CountedPages = ReturnType<typeof http.countInFlight>;

function logDiskTrouble(kernel: Kernel, disk: Disk): void {
  disk.onTrouble(function onTrouble(trouble) {
    if (Option.isSome(trouble)) kernel.log('disk.failed', { reason: trouble.value.message });
    else kernel.log('disk.works', {});
  });
}

/** Pages of the adapter have an address of their own; all others are served beside the links of this core. */
async function servePages(
  kernel: Kernel,
  settings: CoreSettings,
  pages: CountedPages,
  own: Option.Option<Readonly<{ address: string; pages: readonly HttpRoute[] }>>,
): Promise<readonly Listening[]> {
  const names = new Set(Option.isNone(own) ? [] : own.value.pages.map((one) => `${one.method} ${one.path}`));
  function isOwn(one: HttpRoute): boolean {
    return names.has(`${one.method} ${one.path}`);
  }
  const outward = await kernel.network.serve(identifiers.address(settings.outward), {
    routes: pages.mappings.filter((one) => !isOwn(one)),
  });
  if (Option.isNone(own)) return [outward];
  return [outward, await kernel.network.serve(identifiers.address(own.value.address), { routes: pages.mappings.filter(isOwn) })];
}

async function start(
  kernel: Kernel,
  settings: CoreSettings,
  parts: Option.Option<CoreParts> = Option.none,
): Promise<Either.Either<Fault, Core>> {
  if (Option.isNone(kernel.disk)) {
    return Either.left(fault.create({ kind: 'bad-settings', message: 'a core needs a data folder', remedy: 'name one with --data' }));
  }
  const disk = kernel.disk.value;
  const folder = await readFolder(kernel, disk, settings.node);
  if (Either.isLeft(folder)) return folder;
  return Either.right(await startOver(kernel, settings, parts, disk, folder.right));
}

/** Starts a core over a folder that was read; `stored` is what it held. */
async function startOver(
  kernel: Kernel,
  settings: CoreSettings,
  parts: Option.Option<CoreParts>,
  disk: Disk,
  stored: ReadonlyMap<string, unknown>,
): Promise<Core> {
  const record = fleetRecord.create(disk, stored);
  let stopped = false;
  let ending = false;
  let openedAt = kernel.clock.now();
  let between = false;
  const standing = Option.isNone(parts) ? undefined : coreSetViewOf(record.current, () => between);
  const subscriptions = changeSubscribers.create(() => currentSet(standing));
  let registered: Option.Option<MemberRegistration> = Option.none;
  let coreSet: Option.Option<CoreSetManager> = Option.none;
  logDiskTrouble(kernel, disk);

  /** Whoever waits for a lease is told of news. */
  function wakeLessees(): void {
    if (Option.isSome(registered)) registered.value.lessor.notify();
  }

  const cells = acceptor.create(
    disk,
    stored,
    function push(key, entry) {
      if (!watcher.isWatched(key)) return;
      wakeLessees();
      subscriptions.push(key, entry);
      feedOwn();
    },
    (error) => kernel.log('disk.damaged', { reason: error.message }),
    standing,
    (entry) => versions.keep(entry),
  );
  const notes = reportStore.create(kernel, disk, stored);
  const votes = coreVoteStore(disk, stored);
  const calls = coreCalls.create(kernel);
  const stateTransfer = copyings.create(kernel, { call: calls.call, cells, notes, votes, stopped: () => stopped });
  const ownTarget: RegisterReplica = {
    core: settings.node,
    local: true,
    send: async function ask(kind, body) {
      const reply = await cells[kind](body as never);
      return Option.some(reply as never);
    },
  };

  /** What a node needs where members register. */
  function registeredParts({ calls: platformCalls, probe }: CoreParts): NonNullable<NodeParts['registered']> {
    return {
      calls: platformCalls,
      probe,
      membersOf: (service) => (Option.isSome(registered) ? registered.value.membersOf(service) : []),
      leaseHolders: () => (Option.isSome(registered) ? registered.value.lessor.leaseHolders() : Option.none),
      hasReleased: (service, epoch, lessees) => Option.isSome(registered) && registered.value.lessor.hasReleased(service, epoch, lessees),
      onEpochRaised: wakeLessees,
      observeCoreSet: (set) => (Option.isSome(coreSet) ? coreSet.value.observe(set) : undefined),
    };
  }

  // A fleet is found again though the seeds may by now name none of its cores (design 4.8).
  function seeds(): readonly string[] {
    const known = record.current();
    return [...new Set([...settings.seeds(), ...(Option.isSome(known) ? known.value.cores.map((core) => core.address) : [])])];
  }

  const node: Node = nodes.create(kernel, Option.isNone(parts) ? settings : { ...settings, seeds }, {
    role: 'core',
    votes: () => votes,
    localReplica: Option.some({
      target: ownTarget,
      note: async (body) => Option.some(await storeReport(notes, standing, body)),
      accepted: cells.accepted,
    }),
    connectionCaps: () => ({}),
    onApplied: wakeLessees,
    onHelloReply: (reply, address) => formation.onHelloReply(reply, address),
    ...(Option.isNone(parts) ? {} : { registered: registeredParts(parts.value) }),
  });
  const contact = contacts.create(kernel, node.majorityContactAt);
  const versions = versionStore.create(kernel, { disk, node, newest: () => versionOf('configuration') });
  const register = kernel.services.find(registerService);

  function versionOf(key: string): number {
    const entry = cells.accepted(key);
    return Option.isSome(entry) ? entry.value.version : 0;
  }

  /** The set of cores is the membership table where edges have no seat (design 4.8). */
  function membershipVersion(): number {
    return standing === undefined ? versionOf('membership') : Math.max(0, standing.number());
  }

  let ownNumber = 0;
  /** This core's own disk is one of those that hand over what is watched. */
  function feedOwn(): void {
    for (const key of cells.keys()) {
      const entry = cells.accepted(key);
      if (!watcher.isWatched(key) || Option.isNone(entry)) continue;
      ownNumber += 1;
      node.receiveOwnChange(settings.node, { number: ownNumber, key, entry: withoutHistory(key, entry.value), ...currentSet(standing) });
    }
  }

  function open(known: Fleet): void {
    node.setFleet(known.fleet);
    if (Option.isNone(parts)) node.setCores(known.cores);
    else node.followCoreSet(setOf(known));
    openedAt = kernel.clock.now();
    cells.open();
    notes.open();
    contact.opened();
    feedOwn();
    wakeLessees();
    kernel.log('core.open', { fleet: known.fleet, cores: known.cores.length });
  }

  /** What is watched is handed over anew at every set (design 4.8). */
  function standAt(known: Fleet): void {
    node.followCoreSet(setOf(known));
    subscriptions.pushAll(cells);
    feedOwn();
    wakeLessees();
  }

  /** Answers nothing any more, and goes on asking whoever has the seats by now: what is in flight here is still finished. */
  function close(set: CoreSet): void {
    cells.close();
    notes.close();
    node.followCoreSet(set);
    wakeLessees();
  }

  if (Option.isSome(parts)) {
    coreSet = Option.some(
      coreSets.create(
        kernel,
        {
          node,
          register,
          callCore: calls.call,
          cells,
          fleet: record.current,
          keepFleet: record.keep,
          open,
          changeSet: standAt,
          close,
          copying: stateTransfer,
        },
        function change(now) {
          between = now;
        },
      ),
    );
    registered = Option.some(
      memberRegistration.create(kernel, {
        node,
        disk,
        storedRoster: stored.get(rosterKey),
        grantorContext: {
          ready: isReady,
          openedAt: () => openedAt,
          configuration: () => versionOf('configuration'),
          membership: membershipVersion,
          puts: disk.puts,
        },
        inTouch: contact.isInContact,
      }),
    );
  }

  function isReady(): boolean {
    return cells.ready() && !ending;
  }

  const formation = formations.create(kernel, settings, {
    node,
    cells,
    disk,
    record,
    copying: stateTransfer,
    votes,
    coreSet: () => coreSet,
    founding: parts,
    open,
    stopped: () => stopped,
  });
  const usage = usages.create(
    kernel,
    node,
    notes,
    Option.map((given: CoreParts) => ({
      calls: given.calls,
      edges: () => (Option.isSome(registered) ? registered.value.lessor.recentHolders(edgeMemoryMilliseconds) : []),
    }))(parts),
  );
  const table = membershipTable.create({ node, register, ready: cells.ready });
  const administration = administrations.create(kernel, {
    node,
    usage,
    rootKey: settings.operatorKey,
    ready: isReady,
    versionOf,
    accepted: cells.accepted,
    changeMembership: table.change,
    obeyed: subscriptions.appliedVersions,
    diskBytes: disk.size,
    diskTrouble: disk.trouble,
    versions,
    metrics: () => ({ cells: cells.keys().length, puts: disk.puts(), diskBytes: disk.size(), ...subscriptions.metrics() }),
  });
  const door = doors.create({ isOpen: cells.ready, isEnding: () => ending, contact, administration, registered });
  const handlers: Handlers = peerHandlers.create({
    node,
    cells,
    notes,
    votes,
    record,
    standing,
    subscriptions,
    versions,
    formation,
    table,
    coreSet,
    registered,
    puts: disk.puts,
    versionOf,
    membershipVersion,
  });

  if (Option.isSome(registered)) registered.value.start();
  const adapterPages = Option.map((given: CoreParts) => ({ address: given.platformApiAddress, pages: given.routes(door) }))(parts);
  const pages = http.countInFlight([
    ...node.routes,
    ...administration.routes.map(contact.guard),
    ...(Option.isSome(adapterPages) ? adapterPages.value.pages : []),
  ]);
  const listening: readonly Listening[] = [
    await peer.listen(kernel, identifiers.address(settings.address), handlers),
    ...(await servePages(kernel, settings, pages, adapterPages)),
  ];

  node.start();
  await versions.start();
  usage.start();
  if (Option.isSome(coreSet)) coreSet.value.start();
  formation.start();

  async function stop(): Promise<void> {
    stopped = true;
    versions.stop();
    if (Option.isSome(coreSet)) coreSet.value.stop();
    if (Option.isSome(registered)) registered.value.stop();
    void usage.stop();
    node.stop();
    calls.stop();
    for (const entry of listening) await entry.stop();
  }

  /** Fails readiness, hands its duty on, answers what is in flight, then stops (design 7.10). */
  async function drain(): Promise<void> {
    ending = true;
    const deadline = identifiers.after(kernel.clock.now(), graceMilliseconds);
    await Promise.all([
      Promise.race([usage.stop(), kernel.clock.sleep(releaseMilliseconds)]),
      Option.isSome(coreSet) ? coreSet.value.handOverSeat(identifiers.after(kernel.clock.now(), leaveMilliseconds)) : undefined,
    ]);
    while (kernel.clock.now() < deadline && pages.inFlight() > 0) await kernel.clock.sleep(drainLookMilliseconds);
    await stop();
  }

  return { node, open: cells.ready, stop, drain };
}

export { claimsKept, claimTable, type ClaimTable } from './claim-table.js';
export { versionBytesMost, versionStore, type VersionStore } from './version-store.js';
export const core = { start } as const;

// For the exploration of design 10.4, which runs these over a network and disks of its own.
export { coreSetManager, type CoreSetManager } from './core-set-manager.js';
export { stateTransfer } from './state-transfer.js';
export type { CoreCall } from './core-calls.js';
export { setOf, coreSetViewOf, type Fleet } from './fleet-record.js';
