// Changes the set of cores by the occupant of one seat at a time, each step decided in the register under the set before it (design 4.8).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, owner, type Fault } from '@stallstall/kernel';
import { CoreSetSchema, message, type CoreSet, type Entry, type Reply, type Seat } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import type { NumberedRegister } from './proposer.js';

export type CoreSetChangeParts = Readonly<{
  set: () => CoreSet;
  registerInSet: NumberedRegister['inSet'];
  adopt: (seat: Seat, set: CoreSet) => Promise<Option.Option<Reply<'adopt'>>>;
  observe: (set: CoreSet) => void;
}>;

/** Level cores that stand at a set, and cores that every one of these has not heard for long. */
export type ConfirmedCores = Readonly<{ standing: readonly string[]; silent: ReadonlySet<string> }>;

/** Nodes whose seat may be given to another, those that should go first before the others. */
export type Vacancies = (set: CoreSet, confirmed: ConfirmedCores) => readonly string[];

export type CoreSetChanges = Readonly<{
  /** Gives a vacant seat to this occupant; right once a majority of the new set stands at it. */
  replaceOccupant: (occupant: Seat, vacancies: Vacancies) => Promise<Either.Either<Fault, CoreSet>>;
  /** Completes a step whose proposer fell silent. */
  completeInterrupted: () => Promise<void>;
}>;

/** What was confirmed is old by then: whoever was silent may be heard again. */
const decideMilliseconds = 1_000;

/** The cell that decides which set follows a set: written once, under that set. */
export function coreSetKey(after: number): string {
  return `cores/${after + 1}`;
}

/** A node that lost its disk is another occupant than before: it remembers none of its promises (design 4.3). */
export function isSameOccupant(one: Seat, other: Seat): boolean {
  return one.node === other.node && one.disk === other.disk;
}

function create(parts: CoreSetChangeParts): CoreSetChanges {
  const commands = owner.create('steps', null);

  function denied(why: string): Either.Either<Fault, never> {
    return Either.left(
      fault.create({ kind: 'no-majority', message: `the set of cores did not change: ${why}`, remedy: 'try again', retryAfterSeconds: 1 }),
    );
  }

  function majority(set: CoreSet, nodes: readonly string[]): boolean {
    return set.seats.filter((seat) => nodes.includes(seat.node)).length >= quorum.majority(set.seats.length);
  }

  /** Who stands at a set, asking all of these seats to; whoever is further tells so. */
  async function confirm(set: CoreSet, seats: readonly Seat[]): Promise<ConfirmedCores> {
    const replies = await Promise.all(
      seats.map(async function one(seat) {
        return { seat, reply: await parts.adopt(seat, set) };
      }),
    );
    const standing: string[] = [];
    const silent: Array<ReadonlySet<string>> = [];
    for (const { seat, reply } of replies) {
      if (Option.isNone(reply)) continue;
      if (reply.value.newer !== undefined) parts.observe(reply.value.newer);
      if (!reply.value.adopted) continue;
      standing.push(seat.node);
      silent.push(new Set(reply.value.silent));
    }
    return {
      standing,
      silent: new Set(set.seats.map((seat) => seat.node).filter((node) => silent.length > 0 && silent.every((told) => told.has(node)))),
    };
  }

  /** Both sets are told; whoever is not reached learns of it from whoever is. */
  async function spread(before: CoreSet, set: CoreSet): Promise<boolean> {
    for (const seat of set.seats)
      if (!before.seats.some((one) => one.node === seat.node && one.address === seat.address)) void parts.adopt(seat, set);
    const { standing } = await confirm(set, before.seats);
    return majority(set, standing);
  }

  /** Without the former occupant a majority must be level: the newcomer copies them, and they serve until it is level. */
  function leavesMajority(set: CoreSet, standing: readonly string[], vacated: string, occupant: Seat): boolean {
    const listed = quorum.seat(set, vacated);
    const moves = listed !== undefined && isSameOccupant(listed, occupant);
    return majority(
      set,
      standing.filter((node) => node !== vacated || moves),
    );
  }

  function isSeated(set: CoreSet, occupant: Seat): boolean {
    return set.seats.some((seat) => isSameOccupant(seat, occupant) && seat.address === occupant.address);
  }

  async function proposed(occupant: Seat, vacancies: Vacancies): Promise<Either.Either<Fault, CoreSet>> {
    const set = parts.set();
    if (isSeated(set, occupant)) return Either.right(set);
    const confirmed = await confirm(set, set.seats);
    if (!majority(set, confirmed.standing)) return denied(`no majority holds set ${set.number} yet`);
    const vacant = vacancies(set, confirmed);
    if (vacant.length === 0) return denied('no seat is vacant');
    const vacated = vacant.find((node) => leavesMajority(set, confirmed.standing, node, occupant));
    if (vacated === undefined) return denied('too few level cores would be left beside the newcomer');
    const wanted: CoreSet = {
      number: set.number + 1,
      seats: set.seats.map((seat) => (seat.node === vacated ? occupant : seat)),
      epochs: set.epochs,
    };
    const written = await parts
      .registerInSet(set.number)
      .change(coreSetKey(set.number), (current) => (Option.isSome(current) ? Option.none : Option.some(wanted)), decideMilliseconds);
    if (Either.isLeft(written)) return written;
    const decided = Option.isSome(written.right.entry) ? written.right.entry.value.value : null;
    if (!message.matches(CoreSetSchema, decided)) return denied('its cell holds no set');
    if (!(await spread(set, decided))) return denied('no majority of the new set stands at it yet');
    return isSeated(decided, occupant) ? Either.right(decided) : denied('another step was decided');
  }

  async function finished(): Promise<void> {
    const set = parts.set();
    const read = await parts.registerInSet(set.number).change(coreSetKey(set.number), () => Option.none);
    const entry: Option.Option<Entry> = Either.isRight(read) ? read.right.entry : Option.none;
    if (Option.isSome(entry) && message.matches(CoreSetSchema, entry.value.value)) await spread(set, entry.value.value);
  }

  return {
    replaceOccupant: (occupant, vacancies) => commands.run(() => proposed(occupant, vacancies)),
    completeInterrupted: () => commands.run(finished),
  };
}

export const coreSetChanges = { create } as const;
