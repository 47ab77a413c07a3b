// The set of cores that changes by itself: where this core stands, and whom it gives a seat to (design 4.8).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, kernel as kernels, owner, type Instant, type Kernel } from '@stallstall/kernel';
import type { Request, CoreSet, Reply, Seat } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import {
  isSameOccupant,
  coreSetKey,
  coreSetChanges,
  type Acceptor,
  type ConfirmedCores,
  type NumberedRegister,
  type CoreSetChanges,
} from '@stallstall/register';
import type { Node } from '@stallstall/node';
import type { CoreCall } from './core-calls.js';
import type { StateTransfer } from './state-transfer.js';
import { setOf, type Fleet } from './fleet-record.js';
import { learner } from './learner.js';

export type CoreSetManagerParts = Readonly<{
  node: Pick<Node, 'settings' | 'ownSeat' | 'lastHeartbeatAt' | 'setFleet'>;
  register: Pick<NumberedRegister, 'inSet'>;
  callCore: CoreCall;
  cells: Acceptor;
  copying: StateTransfer;
  fleet: () => Option.Option<Fleet>;
  keepFleet: (next: Fleet) => Promise<boolean>;
  /** Begins to answer as the fleet record says. */
  open: (known: Fleet) => void;
  /** Stands at another set than before. */
  changeSet: (known: Fleet) => void;
  /** Answers nothing any more: its seat was given to another. */
  close: (set: CoreSet) => void;
}>;

export type CoreSetManager = Readonly<{
  adopt: (ask: Request<'adopt'>) => Promise<Reply<'adopt'>>;
  join: (ask: Request<'join'>) => Promise<Reply<'join'>>;
  observe: (set: CoreSet) => void;
  /** A formed fleet was met that this core is not, or not any more, a core of. */
  fleetFound: (fleet: string, set: CoreSet) => void;
  /** This disk cannot be trusted to hold what it promised: the core goes on as one that lost its disk. */
  abandonDisk: () => Promise<boolean>;
  /** Offers this core's own seat, until a learner that waits for one has it, or until the horizon. */
  handOverSeat: (horizon: Instant) => Promise<void>;
  start: () => void;
  stop: () => void;
}>;

/** The seat of a core that nobody has heard for so long is vacant, if somebody asks for it. */
const silentMilliseconds = 1_000;
const roundMilliseconds = 250;
const callMilliseconds = 800;
/** A learner that asked so lately still waits for a seat: it asks all cores in turn, without end. */
const learnerMilliseconds = 1_500;
const leaveLookMilliseconds = 20;

function create(kernel: Kernel, parts: CoreSetManagerParts, between: (now: boolean) => void): CoreSetManager {
  const { node, cells } = parts;
  const commands = owner.create('core set', null);
  let standsSince = kernel.clock.now();
  let learnerAskedAt = identifiers.instant(Number.NEGATIVE_INFINITY);
  let leaving = false;
  let stopped = false;

  function own(): CoreSet {
    const known = parts.fleet();
    return Option.isSome(known) ? setOf(known.value) : { number: 0, seats: [], epochs: {} };
  }

  function isFormed(): boolean {
    const known = parts.fleet();
    return Option.isSome(known) && known.value.stage === 'formed';
  }

  /** This node with the disk that it has now. */
  function ownSeat(): Seat {
    const known = parts.fleet();
    const disk = Option.isSome(known) ? known.value.disk : undefined;
    return { ...node.ownSeat(), ...(disk === undefined ? {} : { disk }) };
  }

  function isListed(set: CoreSet): boolean {
    return set.seats.some((seat) => isSameOccupant(seat, ownSeat()));
  }

  const learning = learner.create(kernel, {
    call: parts.callCore,
    cells,
    copying: parts.copying,
    seat: ownSeat,
    seeds: node.settings.seeds,
    wanted: () => !stopped && !leaving && !cells.ready(),
    open: (set) => commands.run(() => openAt(set)),
  });

  // -- Standing at a set: on the disk before anything is answered under it.

  /** The record of a core that promised nothing to anybody: it has a disk of its own name, which no set lists yet. */
  function learnerRecord(fleet: string, set: CoreSet): Fleet {
    return {
      fleet,
      node: node.settings.node,
      cores: set.seats,
      number: set.number,
      epochs: set.epochs,
      stage: 'joining',
      disk: kernel.randomness.token(),
    };
  }

  async function openAt(set: CoreSet): Promise<boolean> {
    const known = parts.fleet();
    if (stopped || leaving || Option.isNone(known) || known.value.stage === 'formed' || !isListed(set)) return false;
    const next: Fleet = { ...known.value, cores: set.seats, number: set.number, epochs: set.epochs, stage: 'formed' };
    if (!(await parts.keepFleet(next))) return false;
    standsSince = kernel.clock.now();
    kernel.log('core.set', { number: set.number, cores: set.seats.length });
    parts.open(next);
    return true;
  }

  async function moveTo(known: Fleet, set: CoreSet): Promise<boolean> {
    const listed = isListed(set);
    between(true);
    const kept = await parts.keepFleet(
      listed ? { ...known, cores: set.seats, number: set.number, epochs: set.epochs } : learnerRecord(known.fleet, set),
    );
    between(false);
    if (!kept) return false;
    standsSince = kernel.clock.now();
    if (!listed) {
      kernel.log('core.departed', { set: set.number });
      parts.close(set);
      learning.observe(set);
      return false;
    }
    kernel.log('core.set', { number: set.number, cores: set.seats.length });
    const record = parts.fleet();
    if (cells.ready() && Option.isSome(record)) parts.changeSet(record.value);
    return true;
  }

  /** True when this core stands at the set. */
  async function take(fleet: string, set: CoreSet): Promise<boolean> {
    const known = parts.fleet();
    if (stopped || Option.isNone(known) || known.value.fleet !== fleet) return false;
    if (known.value.stage === 'founding') return openAt(set);
    if (known.value.stage !== 'formed') {
      learning.observe(set);
      return false;
    }
    if (set.number <= own().number) return set.number === own().number;
    return moveTo(known.value, set);
  }

  function learn(set: CoreSet): void {
    const known = parts.fleet();
    if (Option.isSome(known) && (known.value.stage !== 'formed' || set.number > own().number))
      void commands.run(() => take(known.value.fleet, set));
  }

  /** Cores that were not heard for long; whoever has just begun to listen tells of none. */
  function silent(): readonly string[] {
    const now = kernel.clock.now();
    return own()
      .seats.map((seat) => seat.node)
      .filter(
        (core) =>
          core !== node.settings.node &&
          now - Math.max(standsSince, Option.getOrElse(() => standsSince)(node.lastHeartbeatAt(core))) > silentMilliseconds,
      );
  }

  async function adopt(ask: Request<'adopt'>): Promise<Reply<'adopt'>> {
    // A blank core may know no seed that still runs, while the cores of the fleet go on calling it where it was seated.
    if (Option.isNone(parts.fleet()) && !stopped && !leaving) void commands.run(() => meet(ask.fleet, ask.set));
    const adopted = await commands.run(() => take(ask.fleet, ask.set));
    const known = parts.fleet();
    const formed = Option.isSome(known) && known.value.fleet === ask.fleet && isFormed();
    return { adopted, silent: [...silent()], ...(formed && own().number > ask.set.number ? { newer: own() } : {}) };
  }

  // -- Steps that this core proposes.

  async function askAdopt(seat: Seat, set: CoreSet): Promise<Option.Option<Reply<'adopt'>>> {
    const known = parts.fleet();
    if (Option.isNone(known)) return Option.none;
    const ask: Request<'adopt'> = { fleet: known.value.fleet, set };
    if (seat.address === node.ownSeat().address) return Option.some(await adopt(ask));
    // Whoever was silent for long would only be waited for; it hears of the set from whoever it reaches first.
    if (silent().includes(seat.node)) return Option.none;
    return parts.callCore(seat.address, 'adopt', ask, callMilliseconds);
  }

  const steps: CoreSetChanges = coreSetChanges.create({ set: own, registerInSet: parts.register.inSet, adopt: askAdopt, observe: learn });

  /** A node that is listed with another disk, or elsewhere, has its own seat only; else whoever is gone goes first. */
  function vacancies(occupant: Seat, set: CoreSet, confirmed: ConfirmedCores): readonly string[] {
    if (quorum.seat(set, occupant.node) !== undefined) return [occupant.node];
    const gone = set.seats.map((seat) => seat.node).filter((core) => confirmed.silent.has(core) && !confirmed.standing.includes(core));
    return leaving ? [...gone, node.settings.node] : gone;
  }

  /** What this core alone can tell, before all others are asked. */
  function mayBeVacant(occupant: Seat): boolean {
    return leaving || silent().length > 0 || quorum.seat(own(), occupant.node) !== undefined;
  }

  async function join(ask: Request<'join'>): Promise<Reply<'join'>> {
    if (!cells.ready()) return { joined: false, reason: 'this core is not open yet' };
    const { seat } = ask;
    const listed = own().seats.find((one) => isSameOccupant(one, seat));
    if (listed?.address === seat.address) return { joined: true, reason: '', set: own() };
    if (listed === undefined) learnerAskedAt = kernel.clock.now();
    if (!mayBeVacant(seat)) return { joined: false, reason: 'no seat is vacant', set: own() };
    kernel.log('core.proposes', { node: seat.node, set: own().number + 1 });
    const done = await steps.replaceOccupant(seat, (set, confirmed) => vacancies(seat, set, confirmed));
    if (Either.isLeft(done)) return { joined: false, reason: done.left.message.slice(0, 300), set: own() };
    kernel.log('core.seated', { node: seat.node, set: done.right.number });
    return { joined: true, reason: '', set: done.right };
  }

  async function leave(horizon: Instant): Promise<void> {
    leaving = true;
    while (cells.ready() && !stopped && kernel.clock.now() < horizon && kernel.clock.now() - learnerAskedAt < learnerMilliseconds)
      await kernel.clock.sleep(leaveLookMilliseconds);
  }

  async function round(): Promise<void> {
    if (cells.ready() && Option.isSome(cells.accepted(coreSetKey(own().number)))) await steps.completeInterrupted();
  }

  // -- Cores without a seat.

  async function meet(fleet: string, set: CoreSet): Promise<void> {
    const known = parts.fleet();
    const isLearner = Option.isSome(known) && known.value.disk !== undefined && known.value.stage === 'joining';
    if (isFormed() || cells.ready()) return;
    if (!isLearner && !(await parts.keepFleet(learnerRecord(fleet, set)))) return;
    node.setFleet(fleet);
    learning.observe(set);
  }

  async function distrust(): Promise<boolean> {
    const known = parts.fleet();
    return Option.isSome(known) && (await parts.keepFleet(learnerRecord(known.value.fleet, own())));
  }

  /** A core that came back at another address has itself listed there. */
  async function seeAddress(): Promise<void> {
    const listed = own().seats.find((seat) => isSameOccupant(seat, ownSeat()));
    if (!cells.ready() || listed === undefined || listed.address === node.ownSeat().address) return;
    await join({ seat: ownSeat() });
  }

  return {
    adopt,
    join,
    observe: learn,
    handOverSeat: leave,
    abandonDisk: () => commands.run(distrust),
    fleetFound: function met(fleet, set) {
      if (!stopped && !leaving) void commands.run(() => meet(fleet, set));
    },
    start: function start() {
      void kernels.every(
        kernel.clock,
        roundMilliseconds,
        async function look() {
          await round();
          await seeAddress();
        },
        () => !stopped,
      );
    },
    stop: function stop() {
      stopped = true;
    },
  };
}

export const coreSetManager = { create } as const;
