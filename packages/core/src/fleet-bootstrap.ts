// Forms the fleet once, or brings a core back to the fleet that its disk names (design 4.3, 4.8).
import * as Option from 'fp-ts/lib/Option.js';
import { fault, identifiers, type Disk, type Instant, type Kernel } from '@stallstall/kernel';
import type { Request, Reply, Seat } from '@stallstall/message';
import { heartbeatMilliseconds, type Node } from '@stallstall/node';
import { peer } from '@stallstall/peer';
import { quorum } from '@stallstall/quorum';
import type { Acceptor } from '@stallstall/register';
import type { StateTransfer } from './state-transfer.js';
import type { CoreSetManager } from './core-set-manager.js';
import { diskFormat } from './data-folder.js';
import { setOf, type Fleet, type FleetRecord } from './fleet-record.js';
import type { CoreVoteStore } from './vote-store.js';

/** Who may found a fleet where the set of cores changes by itself (design 4.8). */
export type FoundingSettings = Readonly<{
  /** Whether this core may form a fleet: only at the very first start of all. */
  founds: boolean;
  /** Addresses of the seeds of the first start: the lowest of them proposes the fleet, once all have been met. */
  founders: readonly string[];
}>;

export type FleetBootstrapParts = Readonly<{
  node: Pick<Node, 'ownSeat' | 'setFleet'>;
  cells: Pick<Acceptor, 'ready'>;
  disk: Pick<Disk, 'puts' | 'lost'>;
  record: FleetRecord;
  copying: StateTransfer;
  votes: Pick<CoreVoteStore, 'epochs'>;
  /** None where an operator runs the set of cores. */
  coreSet: () => Option.Option<CoreSetManager>;
  founding: Option.Option<FoundingSettings>;
  /** Begins to answer ballots as the record says. */
  open: (known: Fleet) => void;
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
  onHelloReceived: (ask: Request<'hello'>) => void;
  /** Another core proposes a fleet, or says that it is formed. */
  handleFormRequest: (ask: Request<'form'>) => Promise<Reply<'form'>>;
  /** Forms a fleet, comes back to one, or waits for one, as the disk says. */
  start: () => void;
}>;

type MetCore = Readonly<{ seat: Seat; fleet: string; at: Instant }>;

/** A core that was met longer ago is not counted among those that found a fleet. */
const metMilliseconds = 2_000;
/** How long the founder waits for cores that start late. */
const gatherMilliseconds = 700;
const reopenLookMilliseconds = 10;
/** A link to a founder is given so long to open before it is asked. */
const dialMilliseconds = 50;
const formMilliseconds = 1_000;

/** Tells when all founders have been met and nobody new has appeared for `gatherMilliseconds`. */
function gathering(kernel: Kernel, ownAddress: string, founders: readonly string[]): (everyone: readonly Seat[]) => boolean {
  let gathered = '';
  let gatheredSince = kernel.clock.now();
  return function mayPropose(everyone) {
    const names = everyone.map((seat) => seat.node).join(' ');
    if (names !== gathered) {
      gathered = names;
      gatheredSince = kernel.clock.now();
    }
    return (
      ownAddress === [...founders].sort()[0] &&
      founders.every((founder) => everyone.some((seat) => seat.address === founder)) &&
      kernel.clock.now() - gatheredSince >= gatherMilliseconds
    );
  };
}

/** Sends one step of the founding to all other cores; true when all agreed. */
async function askFounders(kernel: Kernel, known: Fleet, others: readonly Seat[], step: 'propose' | 'formed'): Promise<boolean> {
  const replies = await Promise.all(
    others.map(async function askOne(core) {
      const dialled = peer.dial(kernel, identifiers.address(core.address));
      await kernel.clock.sleep(dialMilliseconds);
      const reply = await dialled.call('form', { step, fleet: known.fleet, cores: [...known.cores] }, formMilliseconds);
      dialled.close();
      return Option.isSome(reply) && reply.value.agreed;
    }),
  );
  return replies.every(Boolean);
}

function create(kernel: Kernel, settings: FleetBootstrapSettings, parts: FleetBootstrapParts): FleetBootstrap {
  const { node, cells, disk, record, copying } = parts;
  const metCores = new Map<string, MetCore>();
  const isGathered = Option.isSome(parts.founding)
    ? gathering(kernel, settings.address, parts.founding.value.founders)
    : (everyone: readonly Seat[]) => everyone.length === settings.cores && everyone[0]?.node === settings.node;
  let copyingStarted = false;
  /** The highest count of this disk's puts that another process has heard of. */
  let knownPuts = 0;

  function isStillOpening(): boolean {
    return !parts.stopped() && !cells.ready();
  }

  async function becomeFormed(known: Fleet): Promise<void> {
    if (await record.keep({ ...known, stage: 'formed' })) parts.open(known);
  }

  function stopAsForeign(ownFleet: string, reply: Reply<'hello'>): void {
    kernel.stop(
      fault.create({
        kind: 'foreign-disk',
        message: `this disk is of fleet ${ownFleet}, ${reply.node} is of fleet ${reply.fleet}`,
        remedy: 'point the seeds or --data at the right fleet',
      }),
    );
  }

  /** A formed fleet was met that this core is, or may become, a core of. */
  function onFormedFleet(reply: Reply<'hello'>): void {
    const known = record.current();
    if (record.stage() === 'founding' && Option.isSome(known)) void becomeFormed(known.value);
    const coreSet = parts.coreSet();
    if (Option.isSome(coreSet)) {
      if (reply.set === undefined) return;
      if (record.stage() === 'formed') coreSet.value.observe(reply.set);
      else if (record.stage() !== 'founding') coreSet.value.fleetFound(reply.fleet, reply.set);
      return;
    }
    if (record.stage() === 'blank' && reply.cores.some((core) => core.node === settings.node)) {
      void copy({ fleet: reply.fleet, node: settings.node, cores: reply.cores, stage: 'copying' });
    }
  }

  function onHello(reply: Reply<'hello'>, address: string): void {
    if (reply.role !== 'core' || reply.node === settings.node) return;
    metCores.set(reply.node, { seat: { ...node.ownSeat(), node: reply.node, address }, fleet: reply.fleet, at: kernel.clock.now() });
    knownPuts = Math.max(knownPuts, reply.knownPuts);
    if (reply.fleet === '') return;
    const known = record.current();
    if (Option.isSome(known) && known.value.fleet !== reply.fleet) stopAsForeign(known.value.fleet, reply);
    else onFormedFleet(reply);
  }

  /** Blank cores that the seeds do not name are founders as well: the fleet has so many seats as there are cores at its first start. */
  function greetedBy(ask: Request<'hello'>): void {
    if (Option.isNone(parts.founding) || record.stage() !== 'blank' || ask.seat.role !== 'core' || ask.fleet !== '') return;
    metCores.set(ask.seat.node, { seat: ask.seat, fleet: '', at: kernel.clock.now() });
  }

  /** A blank disk in a formed fleet has been lost: it answers no ballot before it holds what all the others hold. */
  async function copy(known: Fleet): Promise<void> {
    if (copyingStarted) return;
    copyingStarted = true;
    while (!(await record.keep(known))) await kernel.clock.sleep(heartbeatMilliseconds);
    node.setFleet(known.fleet);
    kernel.log('core.copying', { fleet: known.fleet });
    const epochs: Record<string, number> = { ...(await parts.votes.epochs()) };
    for (const other of known.cores) {
      if (other.node !== settings.node) await copying.copyFrom(other, Option.none, epochs);
    }
    await copying.abstain(epochs);
    while (isStillOpening()) {
      await becomeFormed(known);
      await kernel.clock.sleep(heartbeatMilliseconds);
    }
  }

  /** Goes on as a core that lost its disk; false when that could not be written down. */
  async function startAsLost(known: Fleet): Promise<boolean> {
    kernel.log('core.old-disk', { puts: disk.puts(), known: knownPuts });
    const coreSet = parts.coreSet();
    if (Option.isNone(coreSet)) {
      await copy({ ...known, stage: 'copying' });
      return true;
    }
    if (!(await coreSet.value.abandonDisk())) return false;
    coreSet.value.fleetFound(known.fleet, setOf(known));
    return true;
  }

  /** This core and those that were met of its fleet are a majority. */
  function hasMetMajority(known: Fleet): boolean {
    const cores = new Set(known.cores.map((core) => core.node));
    const met = [...metCores.values()].filter((core) => core.fleet === known.fleet && cores.has(core.seat.node));
    return met.length >= quorum.majority(known.cores.length) - 1;
  }

  /** A disk that has taken fewer puts than others have heard of is an old copy: as good as lost (design 4.3). */
  async function reopen(): Promise<void> {
    while (isStillOpening()) {
      // Looked at anew each time: a later set may have become known, one without this core among them.
      const current = record.current();
      if (Option.isNone(current) || current.value.stage !== 'formed') return;
      const known = current.value;
      if (knownPuts > disk.puts()) {
        if (await startAsLost(known)) return;
      } else if (hasMetMajority(known)) {
        if (known.format === diskFormat) parts.open(known);
        else await becomeFormed(known);
      }
      // A disk that takes nothing refuses at once: without this wait nothing else of the process would run.
      if (!cells.ready()) await kernel.clock.sleep(reopenLookMilliseconds);
    }
  }

  /** Proposes a fleet of everybody met, if this core is the one to do so. */
  async function propose(): Promise<void> {
    const others = [...metCores.values()].filter((core) => kernel.clock.now() - core.at < metMilliseconds);
    const everyone = [node.ownSeat(), ...others.map((core) => core.seat)].sort((left, right) => (left.node < right.node ? -1 : 1));
    if (!isGathered(everyone) || others.some((core) => core.fleet !== '')) return;
    const current = record.current();
    const known: Fleet = Option.isSome(current)
      ? current.value
      : { fleet: kernel.randomness.token(), node: settings.node, cores: everyone, stage: 'founding' };
    if (Option.isNone(current) && !(await record.keep(known))) return;
    const founders = known.cores.filter((core) => core.node !== settings.node);
    if (!(await askFounders(kernel, known, founders, 'propose'))) return;
    await becomeFormed(known);
    await askFounders(kernel, known, founders, 'formed');
  }

  async function form(): Promise<void> {
    while (!parts.stopped() && (record.stage() === 'blank' || record.stage() === 'founding')) {
      await kernel.clock.sleep(heartbeatMilliseconds);
      await propose();
    }
  }

  async function agree(told: Request<'form'>): Promise<Reply<'form'>> {
    const known: Fleet = { fleet: told.fleet, node: settings.node, cores: told.cores, stage: 'founding' };
    const isBlank = record.stage() === 'blank';
    if (isBlank && Option.isSome(disk.lost())) return { agreed: false };
    if (isBlank && told.step === 'propose' && !(await record.keep(known))) return { agreed: false };
    const current = record.current();
    if (Option.isNone(current) || current.value.fleet !== told.fleet) return { agreed: false };
    if (told.step === 'formed' && current.value.stage === 'founding') await becomeFormed(current.value);
    return { agreed: true };
  }

  function start(): void {
    const current = record.current();
    if (record.stage() === 'formed') void reopen();
    else if (Option.isNone(parts.coreSet()) && record.stage() === 'copying' && Option.isSome(current)) void copy(current.value);
    // One that lost what it held founds nothing: there was a fleet, and what it acknowledged must not be forgotten (design 4.3).
    else if (Option.isNone(disk.lost()) && (Option.isNone(parts.founding) || parts.founding.value.founds)) void form();
  }

  return { onHelloReply: onHello, onHelloReceived: greetedBy, handleFormRequest: agree, start };
}

export const fleetBootstrap = { create } as const;
