/** Decides at the start of a core whether to found a fleet, return to the fleet named on its disk, or wait for one (design 4.3, 4.8). */
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Disk, type Fault, type Runtime } from '@stallstall/kernel';
import type { Reply, Request } from '@stallstall/message';
import type { Node } from '@stallstall/node';
import type { Acceptor } from '@stallstall/register';
import type { CoreSetManager } from './core-set-manager.js';
import { diskRecovery, type DiskRecovery } from './disk-recovery.js';
import type { FleetRecord, FleetRecordStore } from './fleet-record.js';
import { fleetFounding, type Founding } from './founding.js';
import { discoveredCores, type DiscoveredCores } from './discovered-cores.js';
import type { StateTransfer } from './state-transfer.js';
import type { CoreVoteStore } from './vote-store.js';

/** Which cores may found a fleet whose core set changes without an operator (design 4.8). */
export type FoundingSettings = Readonly<{
  /** Whether this core may found a fleet; to be set only at the first start of the whole fleet. */
  mayFound: boolean;
  /** Seed addresses of the first start. The core at the lowest of them proposes the fleet once it has found all others. */
  founderAddresses: readonly string[];
}>;

export type FleetBootstrapParts = Readonly<{
  node: Pick<Node, 'ownRecord' | 'setFleet'>;
  cells: Pick<Acceptor, 'ready'>;
  disk: Pick<Disk, 'puts' | 'discardedStoreReason'>;
  recordStore: FleetRecordStore;
  transfer: StateTransfer;
  votes: Pick<CoreVoteStore, 'epochs'>;
  /** None in a fleet whose core set an operator changes. */
  coreSet: () => Option.Option<CoreSetManager>;
  founding: Option.Option<FoundingSettings>;
  /** Starts to serve ballots as a core of the recorded set. */
  open: (record: FleetRecord) => void;
  stopped: () => boolean;
}>;

export type FleetBootstrapSettings = Readonly<{
  node: string;
  address: string;
  /** How many cores found a fleet whose core set an operator changes. */
  cores: number;
}>;

export type FleetBootstrap = Readonly<{
  /** Called with another process's identity and fleet, from its reply to this core's hello. */
  onHelloReply: (reply: Reply<'hello'>, address: string) => void;
  /** Called with another process's hello. */
  onHelloReceived: (request: Request<'hello'>) => void;
  /** Handles another core's proposal of a fleet, or its report that the fleet is formed. */
  handleFormRequest: (request: Request<'form'>) => Promise<Reply<'form'>>;
  /** Founds a fleet, returns to one, or waits for one, depending on what the disk holds. */
  start: () => void;
  /** Other cores that have exchanged hello messages with this one, as `name fleet`. */
  discovered: () => readonly string[];
}>;

type Bootstrap = Readonly<{
  runtime: Runtime;
  settings: FleetBootstrapSettings;
  parts: FleetBootstrapParts;
  cores: DiscoveredCores;
  recovery: DiskRecovery;
  founding: Founding;
  saveFormedAndOpen: (record: FleetRecord) => Promise<void>;
}>;

function foreignDisk(ownFleet: string, reply: Reply<'hello'>): Fault {
  return fault.create({
    kind: 'foreign-disk',
    message: `this disk belongs to fleet ${ownFleet}, but ${reply.node} belongs to fleet ${reply.fleet}`,
    remedy: 'set the seeds or --data to those of the right fleet',
  });
}

/** Reports a formed fleet to the core set manager. */
function observeFleet({ parts }: Bootstrap, coreSet: CoreSetManager, { fleet, set }: Reply<'hello'>): void {
  if (set === undefined) return;
  const stage = parts.recordStore.stage();
  if (stage === 'formed') coreSet.observe(set);
  else if (stage !== 'founding') coreSet.onFleetFound(fleet, set);
}

/** Called when a formed fleet was found that is this core's own, or that this core may join. */
function onFormedFleet(bootstrap: Bootstrap, reply: Reply<'hello'>): void {
  const { settings, parts, recovery, saveFormedAndOpen } = bootstrap;
  const { recordStore } = parts;
  const record = recordStore.current();
  if (recordStore.stage() === 'founding' && Option.isSome(record)) void saveFormedAndOpen(record.value);
  const coreSet = parts.coreSet();
  if (Option.isSome(coreSet)) return observeFleet(bootstrap, coreSet.value, reply);
  const isListed = reply.cores.some((core) => core.node === settings.node);
  if (recordStore.stage() !== 'blank' || !isListed) return;
  void recovery.rebuildFromPeers({ fleet: reply.fleet, node: settings.node, cores: reply.cores, stage: 'copying' });
}

function onHelloReply(bootstrap: Bootstrap, reply: Reply<'hello'>, address: string): void {
  const { runtime, settings, parts, cores, recovery } = bootstrap;
  if (reply.role !== 'core' || reply.node === settings.node) return;
  cores.observe({ ...parts.node.ownRecord(), node: reply.node, address }, reply.fleet);
  recovery.observeKnownPuts(reply.knownPuts);
  if (reply.fleet === '') return;
  const record = parts.recordStore.current();
  if (Option.isSome(record) && record.value.fleet !== reply.fleet) runtime.stop(foreignDisk(record.value.fleet, reply));
  else onFormedFleet(bootstrap, reply);
}

/** Counts blank cores that the seeds do not name among the founders too: a fleet starts with all cores that run at its first start. */
function onHelloReceived({ parts, cores }: Bootstrap, { seat, fleet }: Request<'hello'>): void {
  const isFounder = Option.isSome(parts.founding) && parts.recordStore.stage() === 'blank' && seat.role === 'core' && fleet === '';
  if (isFounder) cores.observe(seat, '');
}

function start({ parts, recovery, founding }: Bootstrap): void {
  const { recordStore, disk } = parts;
  const current = recordStore.current();
  if (recordStore.stage() === 'formed') {
    void recovery.reopen();
    return;
  }
  if (Option.isNone(parts.coreSet()) && recordStore.stage() === 'copying' && Option.isSome(current)) {
    void recovery.rebuildFromPeers(current.value);
    return;
  }
  // A core that lost its disk founds no fleet: it was part of one, whose acknowledged writes a new fleet would not have (design 4.3).
  const mayFound = Option.isNone(parts.founding) || parts.founding.value.mayFound;
  if (Option.isNone(disk.discardedStoreReason()) && mayFound) void founding.run();
}

function create(runtime: Runtime, settings: FleetBootstrapSettings, parts: FleetBootstrapParts): FleetBootstrap {
  const cores = discoveredCores.create(runtime);

  async function saveFormedAndOpen(record: FleetRecord): Promise<void> {
    const isSaved = await parts.recordStore.save({ ...record, stage: 'formed' });
    if (isSaved) parts.open(record);
  }

  const bootstrap: Bootstrap = {
    runtime,
    settings,
    parts,
    cores,
    recovery: diskRecovery.create(runtime, settings.node, parts, cores, saveFormedAndOpen),
    founding: fleetFounding.create(runtime, settings, parts, cores, saveFormedAndOpen),
    saveFormedAndOpen,
  };
  return {
    onHelloReply: (reply, address) => onHelloReply(bootstrap, reply, address),
    onHelloReceived: (request) => onHelloReceived(bootstrap, request),
    handleFormRequest: bootstrap.founding.handleForm,
    start: () => start(bootstrap),
    discovered: () => cores.all().map(({ seat, fleet }) => `${seat.node} ${fleet === '' ? 'no fleet' : fleet}`),
  };
}

export const fleetBootstrap = { create } as const;
