// The set of cores that changes by itself: who asks to be taken in, who is taken out, and where this core stands (design 4.8).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, identifiers, kernel as kernels, owner, type Fault, type Kernel } from '@stallstall/kernel';
import { type Ask, type CoreSet, type Reply, type Seat } from '@stallstall/message';
import { peer } from '@stallstall/peer';
import { quorum } from '@stallstall/quorum';
import {
  registerService,
  notesService,
  stepKey,
  stepper,
  type Acceptor,
  type Holding,
  type Standing,
  type Stepper,
} from '@stallstall/register';
import { marginMilliseconds, termMilliseconds } from '@stallstall/fence';
import { beatMilliseconds, type Node } from '@stallstall/node';

/** joining: blank, or taken out, and not yet a copy; copied: of the set that `number` names, and asking to be taken in. */
export type Stage = 'founding' | 'copying' | 'joining' | 'copied' | 'formed' | 'out';
export type Fleet = Readonly<{
  format?: number;
  fleet: string;
  node: string;
  cores: readonly Seat[];
  stage: Stage;
  /** Of the set of cores, where it may change. */
  number?: number;
  epochs?: Readonly<Record<string, number>>;
}>;

export type CoresParts = Readonly<{
  node: Node;
  cells: Acceptor;
  fleet: () => Option.Option<Fleet>;
  keepFleet: (next: Fleet) => Promise<boolean>;
  /** Begins to answer as the fleet record says. */
  open: (known: Fleet) => void;
  /** Stands at another set than before. */
  moved: (known: Fleet) => void;
  /** All that another core holds while it stands at a set; false when it left that set meanwhile, or `given` up. */
  copyPages: (other: Seat, set: number, epochs: Record<string, number>, given: () => boolean) => Promise<boolean>;
  /** Stands no lower than these epochs. */
  abstain: (epochs: Readonly<Record<string, number>>) => Promise<void>;
  ownHolding: () => Promise<Holding>;
  /** How many machines may be lost at once. */
  tolerance: number;
}>;

export type Cores = Readonly<{
  adopt: (ask: Ask<'adopt'>) => Promise<Reply<'adopt'>>;
  join: (ask: Ask<'join'>) => Promise<Reply<'join'>>;
  learn: (set: CoreSet) => void;
  /** A formed fleet was met that this core is not, or not any more, a core of. */
  met: (fleet: string, set: CoreSet) => void;
  start: () => void;
  stop: () => void;
}>;

/** A core unheard for so long by all who can be asked is taken out. */
const silentMilliseconds = 20_000;
const leastCores = 3;
const roundMilliseconds = 1_000;
const callMilliseconds = 800;
const pageMilliseconds = 2_000;
/** A step waits for the leases of the set before (7.12), reads all cells and asks everyone. */
const joinMilliseconds = 8_000;

function setOf(fleet: Fleet): CoreSet {
  return { number: fleet.number ?? 1, seats: [...fleet.cores], epochs: { ...fleet.epochs } };
}

/**
 * Of the others so many must be copied by a core that lost its disk: what any majority with it in held, in this set or the one
 * before, another of these has.
 */
function sources(cores: number): number {
  return Math.min(cores - 1, cores - quorum.majority(cores) + 2);
}

/** Where this disk stands; at no set while it is between two, or of none. */
function standing(fleet: () => Option.Option<Fleet>, between: () => boolean): Standing {
  function number(): number {
    const known = fleet();
    return between() || Option.isNone(known) || known.value.stage !== 'formed' ? -1 : setOf(known.value).number;
  }
  return {
    number,
    newer: function newer(told) {
      const known = fleet();
      return number() > told && Option.isSome(known) ? setOf(known.value) : undefined;
    },
  };
}

function create(kernel: Kernel, parts: CoresParts, between: (now: boolean) => void): Cores {
  const { node, cells } = parts;
  const register = kernel.services.find(registerService);
  const notes = kernel.services.find(notesService);
  const commands = owner.create('core set', null);
  let openedAt = kernel.clock.now();
  let newest: Option.Option<CoreSet> = Option.none;
  let joining = false;
  let stopped = false;

  function own(): CoreSet {
    const known = parts.fleet();
    return Option.isSome(known) ? setOf(known.value) : { number: 0, seats: [], epochs: {} };
  }

  // -- Standing at a set: on the disk before anything is answered under it.

  async function take(fleet: string, set: CoreSet): Promise<boolean> {
    const known = parts.fleet();
    if (stopped || Option.isNone(known) || known.value.fleet !== fleet) return false;
    const listed = quorum.seat(set, node.settings.node) !== undefined;
    const { stage } = known.value;
    if (stage === 'formed' && set.number <= own().number) return set.number === own().number;
    // What was copied before it was taken in is all it needs: it has promised nothing to anybody.
    const comesIn = listed && (stage === 'founding' || (stage === 'copied' && set.number > own().number));
    if (stage !== 'formed' && !comesIn) return false;
    between(true);
    const next: Fleet = { ...known.value, cores: set.seats, number: set.number, epochs: set.epochs, stage: listed ? 'formed' : 'out' };
    const kept = await parts.keepFleet(next);
    between(false);
    if (!kept) return false;
    if (!listed) {
      cells.close();
      kernel.log('core.departed', { set: set.number });
      kernel.stop(
        fault.create({
          kind: 'departed',
          message: `${node.settings.node} was taken out of the set of cores`,
          remedy: 'started again, it copies the others and joins anew',
        }),
      );
      return true;
    }
    kernel.log('core.set', { number: set.number, cores: set.seats.length });
    if (cells.ready()) parts.moved(next);
    else {
      openedAt = kernel.clock.now();
      parts.open(next);
    }
    return true;
  }

  function learn(set: CoreSet): void {
    const known = parts.fleet();
    if (Option.isSome(known) && known.value.stage === 'formed' && set.number > own().number)
      void commands.ask(() => take(known.value.fleet, set));
  }

  /** Cores that were not heard for long; whoever has just begun to listen tells of none. */
  function silent(): readonly string[] {
    const now = kernel.clock.now();
    return own()
      .seats.map((seat) => seat.node)
      .filter(
        (core) =>
          core !== node.settings.node &&
          now - Math.max(openedAt, Option.getOrElse(() => openedAt)(node.heardAt(core))) > silentMilliseconds,
      );
  }

  async function adopt(ask: Ask<'adopt'>): Promise<Reply<'adopt'>> {
    const adopted = await commands.ask(() => take(ask.fleet, ask.set));
    const known = parts.fleet();
    const formed = Option.isSome(known) && known.value.fleet === ask.fleet && known.value.stage === 'formed';
    return { adopted, silent: [...silent()], ...(formed && own().number > ask.set.number ? { newer: own() } : {}) };
  }

  // -- Steps that this core proposes.

  async function holding(seat: Seat, set: number): Promise<Option.Option<Holding>> {
    if (seat.node === node.settings.node) {
      if (own().number !== set) return Option.none;
      const held = await parts.ownHolding();
      return Option.some(held);
    }
    const link = node.callPeer(seat.node);
    if (Option.isNone(link)) return Option.none;
    const keys: string[] = [];
    for (let after = ''; ;) {
      const reply = await link.value.call('copy', { after }, pageMilliseconds);
      if (Option.isNone(reply) || !reply.value.ready || reply.value.set !== set) return Option.none;
      keys.push(...reply.value.entries.map((entry) => entry.key));
      if (reply.value.next === '') return Option.some({ keys, votes: reply.value.votes, notes: reply.value.notes });
      after = reply.value.next;
    }
  }

  async function askAdopt(seat: Seat, set: CoreSet): Promise<Option.Option<Reply<'adopt'>>> {
    const known = parts.fleet();
    if (Option.isNone(known)) return Option.none;
    const ask: Ask<'adopt'> = { fleet: known.value.fleet, set };
    if (seat.node === node.settings.node) return Option.some(await adopt(ask));
    const held = node.callPeer(seat.node);
    if (Option.isSome(held) && held.value.connected()) return held.value.call('adopt', ask, callMilliseconds);
    // A core that is to come in is called at its own address: no link to it is held yet.
    const dialled = peer.dial(kernel, identifiers.address(seat.address));
    for (let looks = 0; looks < 10 && !dialled.connected(); looks += 1) await kernel.clock.sleep(20);
    const reply = await dialled.call('adopt', ask, callMilliseconds);
    dialled.close();
    return reply;
  }

  const steps: Stepper = stepper.create({
    clock: kernel.clock,
    set: own,
    under: register.under,
    adopt: askAdopt,
    holding,
    note: notes.note,
    learn,
    settleMilliseconds: termMilliseconds + marginMilliseconds,
  });

  /** Takes in whoever has copied this very set; one that is listed under another address is listed anew. */
  async function join(ask: Ask<'join'>): Promise<Reply<'join'>> {
    if (!cells.ready()) return { joined: false, reason: 'this core is not open yet' };
    function isListed(): boolean {
      return own().seats.some((seat) => seat.node === ask.seat.node && seat.address === ask.seat.address);
    }
    if (isListed()) return { joined: true, reason: '' };
    const done: Either.Either<Fault, CoreSet> = await steps.step(function next(set) {
      kernel.log('core.proposes', { node: ask.seat.node, set: set.number + 1 });
      const listed = quorum.seat(set, ask.seat.node);
      if (listed?.address === ask.seat.address || (listed === undefined && ask.copied !== set.number)) return Option.none;
      return Option.some(quorum.put({ seats: set.seats, epochs: {} }, ask.seat).seats);
    });
    const joined = Either.isRight(done) || isListed();
    if (Either.isRight(done)) kernel.log('core.taken-in', { node: ask.seat.node, set: done.right.number });
    return { joined, reason: joined || Either.isRight(done) ? '' : done.left.message.slice(0, 300) };
  }

  /** Never fewer than three, nor than the tolerance needs, and one at a time. */
  function withoutSilent(set: CoreSet, isSilent: (core: string) => boolean): Option.Option<readonly Seat[]> {
    const gone = set.seats.find((seat) => isSilent(seat.node));
    if (gone === undefined || set.seats.length - 1 < Math.max(leastCores, 2 * parts.tolerance + 1)) return Option.none;
    return Option.some(quorum.remove({ seats: set.seats, epochs: {} }, gone.node).seats);
  }

  async function round(): Promise<void> {
    if (!cells.ready()) return;
    const set = own();
    if (Option.isSome(cells.accepted(stepKey(set.number)))) return steps.finish();
    const unheard = silent();
    const first = set.seats.find((seat) => !unheard.includes(seat.node));
    if (first?.node !== node.settings.node || Option.isNone(withoutSilent(set, (core) => unheard.includes(core)))) return;
    const done = await steps.step((current, confirmed) =>
      withoutSilent(current, (core) => confirmed.silent.has(core) && !confirmed.standing.includes(core)),
    );
    if (Either.isRight(done)) kernel.log('core.taken-out', { set: done.right.number, cores: done.right.seats.length });
  }

  // -- Coming in: a blank core, one that was taken out, and one that lost its disk.

  function met(fleet: string, set: CoreSet): void {
    if (Option.isNone(newest) || set.number > newest.value.number) newest = Option.some(set);
    if (joining || stopped) return;
    joining = true;
    void come(fleet);
  }

  async function come(fleet: string): Promise<void> {
    while (!stopped && !cells.ready()) {
      const set = Option.toNullable(newest);
      if (set !== null) await comeInto(fleet, set);
      if (!cells.ready()) await kernel.clock.sleep(beatMilliseconds);
    }
  }

  async function comeInto(fleet: string, set: CoreSet): Promise<void> {
    const known = parts.fleet();
    const stage = Option.isSome(known) ? known.value.stage : 'blank';
    const listed = quorum.seat(set, node.settings.node) !== undefined;
    const next: Fleet = {
      fleet,
      node: node.settings.node,
      cores: set.seats,
      number: set.number,
      epochs: set.epochs,
      stage: listed ? 'copying' : 'joining',
    };
    node.setFleet(fleet);
    if (stage === 'copied' && listed) return void (await commands.ask(() => take(fleet, set)));
    if (stage === 'copied' && set.number === own().number) return askToJoin(set);
    if (!(await commands.ask(() => parts.keepFleet(next)))) return;
    if (!listed && !(await cells.wipe())) return;
    kernel.log('core.copying', { fleet, set: set.number });
    if (!(await copy(set, listed ? sources(set.seats.length) : quorum.majority(set.seats.length)))) return;
    await commands.ask(async function copied() {
      if (!(await parts.keepFleet({ ...next, stage: listed ? 'formed' : 'copied' })) || !listed) return;
      openedAt = kernel.clock.now();
      parts.open({ ...next, stage: 'formed' });
    });
  }

  /** Copies so many of the others while they stand at one set; gives up when any has left it. */
  async function copy(set: CoreSet, needed: number): Promise<boolean> {
    const epochs: Record<string, number> = { ...set.epochs };
    let copied = 0;
    let left = false;
    function given(): boolean {
      return stopped || left || copied >= needed || (Option.isSome(newest) && newest.value.number > set.number);
    }
    await Promise.all(
      set.seats
        .filter((seat) => seat.node !== node.settings.node)
        .map(async function one(other) {
          if (await parts.copyPages(other, set.number, epochs, given)) copied += 1;
          else if (!given()) left = true;
        }),
    );
    if (copied < needed || stopped) return false;
    await parts.abstain(epochs);
    return true;
  }

  async function askToJoin(set: CoreSet): Promise<void> {
    for (const core of set.seats) {
      if (stopped || cells.ready() || own().number !== set.number || Option.toNullable(newest)?.number !== set.number) return;
      const dialled = peer.dial(kernel, identifiers.address(core.address));
      for (let looks = 0; looks < 10 && !dialled.connected(); looks += 1) await kernel.clock.sleep(20);
      const reply = dialled.connected()
        ? await dialled.call('join', { seat: node.seat(), copied: set.number }, joinMilliseconds)
        : Option.none;
      dialled.close();
      if (Option.isSome(reply) && reply.value.joined) return;
      if (Option.isSome(reply)) kernel.log('core.join-waits', { reason: reply.value.reason });
    }
  }

  /** A core that came back at another address has itself listed there. */
  async function seeAddress(): Promise<void> {
    const set = own();
    const listed = quorum.seat(set, node.settings.node);
    if (!cells.ready() || listed === undefined || listed.address === node.seat().address) return;
    await join({ seat: node.seat() });
  }

  return {
    adopt,
    join,
    learn,
    met,
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

export const cores = { create, standing, setOf, sources } as const;
