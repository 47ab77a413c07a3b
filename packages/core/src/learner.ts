// A core without a seat: it copies the fleet's cores, asks for a vacant seat, and answers nothing until it is level (design 4.8).
import * as Option from 'fp-ts/lib/Option.js';
import type { Kernel } from '@stallstall/kernel';
import type { CoreSet, Seat } from '@stallstall/message';
import { catchUp, proposer, isSameOccupant, type Acceptor, type NumberedRegister, type RegisterReplica } from '@stallstall/register';
import type { CoreCall } from './core-calls.js';
import type { StateTransfer } from './state-transfer.js';

export type LearnerParts = Readonly<{
  call: CoreCall;
  cells: Acceptor;
  copying: StateTransfer;
  /** This node with the disk that it has now. */
  seat: () => Seat;
  /** Where the fleet may be found besides the cores that are known. */
  seeds: () => readonly string[];
  /** Whether this core is still to be given a seat. */
  wanted: () => boolean;
  /** Begins to answer at this set, once that is on the disk; false when it may not. */
  open: (set: CoreSet) => Promise<boolean>;
}>;

export type Learner = Readonly<{
  /** Some core told of this set. */
  observe: (set: CoreSet) => void;
}>;

const askMilliseconds = 1_200;
/** A core that has not answered by then is not waited for before the next one is asked. */
const patienceMilliseconds = 400;
const pauseMilliseconds = 100;

function create(kernel: Kernel, parts: LearnerParts): Learner {
  let newest: Option.Option<CoreSet> = Option.none;
  let running = false;
  let lastReason = '';

  function learn(set: CoreSet): void {
    if (Option.isNone(newest) || set.number > newest.value.number) newest = Option.some(set);
    if (running || !parts.wanted()) return;
    running = true;
    void run();
  }

  function isNewest(set: CoreSet): boolean {
    return Option.isSome(newest) && newest.value.number === set.number;
  }

  function isSeated(set: CoreSet): boolean {
    return set.seats.some((seat) => isSameOccupant(seat, parts.seat()));
  }

  function others(set: CoreSet): readonly Seat[] {
    return set.seats.filter((seat) => seat.node !== parts.seat().node);
  }

  async function run(): Promise<void> {
    let copied = false;
    let asked = 0;
    while (parts.wanted() && Option.isSome(newest)) {
      const set = newest.value;
      if (isSeated(set)) await becomeLevel(set);
      else if (!copied) copied = await copy(set, {}, 0);
      else {
        asked += 1;
        await ask(set, asked);
      }
      if (parts.wanted() && isNewest(set)) await kernel.clock.sleep(pauseMilliseconds);
    }
    running = false;
  }

  /** Copies enough of the others that stand at no earlier set than `since`; abandoned once a newer set is known. */
  async function copy(set: CoreSet, epochs: Record<string, number>, since: number): Promise<boolean> {
    kernel.log('core.copying', { set: set.number, seated: isSeated(set) });
    return catchUp.copyEnough(
      others(set),
      catchUp.sourcesNeeded(set.seats.length),
      (source, given) => parts.copying.copyFrom(source, Option.some(since), epochs, given),
      () => !parts.wanted() || !isNewest(set),
    );
  }

  async function becomeLevel(set: CoreSet): Promise<void> {
    const epochs: Record<string, number> = { ...set.epochs };
    if (!(await copy(set, epochs, set.number))) return;
    await parts.copying.abstain(epochs);
    if (!(await catchUp.completeUnresolved(parts.cells, registerOver(set).inSet(set.number)))) return;
    if (isNewest(set) && parts.wanted()) await parts.open(set);
  }

  /** The register as the others serve it: this core asks, and counts for nothing. */
  function registerOver(set: CoreSet): NumberedRegister {
    const targets = others(set).map((seat): RegisterReplica => ({
      core: seat.node,
      send: (kind, body, milliseconds) => parts.call(seat.address, kind, body, milliseconds),
    }));
    return proposer.create(
      kernel,
      parts.seat().node,
      () => targets,
      () => set.seats.length,
      // Once a newer set is known these rounds end: their majority may be none any more.
      { number: () => (isNewest(set) ? set.number : 0), observe: learn },
    );
  }

  /** Asks one of the cores after the other for a seat. */
  async function ask(set: CoreSet, turn: number): Promise<void> {
    const addresses = [...new Set([...others(set).map((seat) => seat.address), ...parts.seeds()])].filter(
      (address) => address !== parts.seat().address,
    );
    const address = addresses[turn % addresses.length];
    if (address === undefined) return;
    const asking = parts.call(address, 'join', { seat: parts.seat() }, askMilliseconds).then(function told(reply) {
      if (Option.isNone(reply)) return;
      if (reply.value.set !== undefined) learn(reply.value.set);
      if (!reply.value.joined && reply.value.reason !== lastReason) kernel.log('core.join-waits', { reason: reply.value.reason });
      lastReason = reply.value.reason;
    });
    await Promise.race([asking, kernel.clock.sleep(patienceMilliseconds)]);
  }

  return { observe: learn };
}

export const learner = { create } as const;
