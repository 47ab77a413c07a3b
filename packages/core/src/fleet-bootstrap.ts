/** Forms the fleet once, or brings a core back to the fleet that its disk names (design 4.3, 4.8). */
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

/** Who may found a fleet where the set of cores changes by itself (design 4.8). */
export type FoundingSettings = Readonly<{
  /** Whether this core may form a fleet: only at the very first start of all. */
  mayFound: boolean;
  /** Addresses of the seeds of the first start: the lowest of them proposes the fleet, once all have been found. */
  founderAddresses: readonly string[];
}>;

export type FleetBootstrapParts = Readonly<{
  node: Pick<Node, 'ownSeat' | 'setFleet'>;
  cells: Pick<Acceptor, 'ready'>;
  disk: Pick<Disk, 'puts' | 'lost'>;
  recordStore: FleetRecordStore;
  transfer: StateTransfer;
  votes: Pick<CoreVoteStore, 'epochs'>;
  /** None where an operator runs the set of cores. */
  coreSet: () => Option.Option<CoreSetManager>;
  founding: Option.Option<FoundingSettings>;
  /** Begins to answer ballots as the record says. */
  open: (known: FleetRecord) => void;
  stopped: () => boolean;
}>;

export type FleetBootstrapSettings = Readonly<{
  node: string;
  address: string;
  /** How many cores found a fleet where an operator runs the set of cores. */
  cores: number;
}>;

export type FleetBootstrap = Readonly<{
  /** Another process said who it is and of which fleet. */
  onHelloReply: (reply: Reply<'hello'>, address: string) => void;
  /** Another process greeted this core. */
  onHelloReceived: (request: Request<'hello'>) => void;
  /** Another core proposes a fleet, or says that it is formed. */
  handleFormRequest: (request: Request<'form'>) => Promise<Reply<'form'>>;
  /** Forms a fleet, comes back to one, or waits for one, as the disk says. */
  start: () => void;
}>;

type Bootstrap = Readonly<{
  runtime: Runtime;
  settings: FleetBootstrapSettings;
  parts: FleetBootstrapParts;
  cores: DiscoveredCores;
  recovery: DiskRecovery;
  founding: Founding;
  becomeFormed: (known: FleetRecord) => Promise<void>;
}>;

function foreignDisk(ownFleet: string, reply: Reply<'hello'>): Fault {
  return fault.create({
    kind: 'foreign-disk',
    message: `this disk is of fleet ${ownFleet}, ${reply.node} is of fleet ${reply.fleet}`,
    remedy: 'point the seeds or --data at the right fleet',
  });
}

/** A formed fleet was found where the set of cores changes by itself. */
function observeFleet({ parts }: Bootstrap, coreSet: CoreSetManager, { fleet, set }: Reply<'hello'>): void {
  if (set === undefined) return;
  const stage = parts.recordStore.stage();
  if (stage === 'formed') coreSet.observe(set);
  else if (stage !== 'founding') coreSet.onFleetFound(fleet, set);
}

/** A formed fleet was found that this core is, or may become, a core of. */
function onFormedFleet(bootstrap: Bootstrap, reply: Reply<'hello'>): void {
  const { settings, parts, recovery, becomeFormed } = bootstrap;
  const { recordStore: record } = parts;
  const known = record.current();
  if (record.stage() === 'founding' && Option.isSome(known)) void becomeFormed(known.value);
  const coreSet = parts.coreSet();
  if (Option.isSome(coreSet)) return observeFleet(bootstrap, coreSet.value, reply);
  const isListed = reply.cores.some((core) => core.node === settings.node);
  if (record.stage() !== 'blank' || !isListed) return;
  void recovery.rebuildFromPeers({ fleet: reply.fleet, node: settings.node, cores: reply.cores, stage: 'copying' });
}

function onHelloReply(bootstrap: Bootstrap, reply: Reply<'hello'>, address: string): void {
  const { runtime, settings, parts, cores, recovery } = bootstrap;
  if (reply.role !== 'core' || reply.node === settings.node) return;
  cores.observe({ ...parts.node.ownSeat(), node: reply.node, address }, reply.fleet);
  recovery.observeKnownPuts(reply.knownPuts);
  if (reply.fleet === '') return;
  const known = parts.recordStore.current();
  if (Option.isSome(known) && known.value.fleet !== reply.fleet) runtime.stop(foreignDisk(known.value.fleet, reply));
  else onFormedFleet(bootstrap, reply);
}

/** Blank cores that the seeds do not name are founders as well: the fleet has so many seats as there are cores at its first start. */
function onHelloReceived({ parts, cores }: Bootstrap, { seat, fleet }: Request<'hello'>): void {
  const isFounder = Option.isSome(parts.founding) && parts.recordStore.stage() === 'blank' && seat.role === 'core' && fleet === '';
  if (isFounder) cores.observe(seat, '');
}

function start({ parts, recovery, founding }: Bootstrap): void {
  const { recordStore: record, disk } = parts;
  const current = record.current();
  if (record.stage() === 'formed') {
    void recovery.reopen();
    return;
  }
  if (Option.isNone(parts.coreSet()) && record.stage() === 'copying' && Option.isSome(current)) {
    void recovery.rebuildFromPeers(current.value);
    return;
  }
  // One that lost what it held founds nothing: there was a fleet, and what it acknowledged must not be forgotten (design 4.3).
  const mayFound = Option.isNone(parts.founding) || parts.founding.value.mayFound;
  if (Option.isNone(disk.lost()) && mayFound) void founding.run();
}

function create(runtime: Runtime, settings: FleetBootstrapSettings, parts: FleetBootstrapParts): FleetBootstrap {
  const cores = discoveredCores.create(runtime);

  async function becomeFormed(known: FleetRecord): Promise<void> {
    const isKept = await parts.recordStore.save({ ...known, stage: 'formed' });
    if (isKept) parts.open(known);
  }

  const bootstrap: Bootstrap = {
    runtime,
    settings,
    parts,
    cores,
    recovery: diskRecovery.create(runtime, settings.node, parts, cores, becomeFormed),
    founding: fleetFounding.create(runtime, settings, parts, cores, becomeFormed),
    becomeFormed,
  };
  return {
    onHelloReply: (reply, address) => onHelloReply(bootstrap, reply, address),
    onHelloReceived: (request) => onHelloReceived(bootstrap, request),
    handleFormRequest: bootstrap.founding.handleForm,
    start: () => start(bootstrap),
  };
}

export const fleetBootstrap = { create } as const;
