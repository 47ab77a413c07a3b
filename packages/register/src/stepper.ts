// Changes the set of cores by one seat at a time, each step decided in the register under the set before it (design 4.8).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, identifiers, owner, type Clock, type Fault, type Instant } from '@stallstall/kernel';
import { CoreSetSchema, message, type Ask, type CoreSet, type Entry, type Floors, type Reply, type Seat } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import type { NumberedRegister } from './proposer.js';

/** What a core's disk holds, read while it stood at one set from the first page to the last. */
export type Holding = Readonly<{ keys: readonly string[]; votes: Readonly<Record<string, number>>; notes: Ask<'note'> }>;

export type StepperParts = Readonly<{
  clock: Clock;
  set: () => CoreSet;
  under: NumberedRegister['under'];
  adopt: (seat: Seat, set: CoreSet) => Promise<Option.Option<Reply<'adopt'>>>;
  /** None when the core is out of reach, or left that set meanwhile. */
  holding: (seat: Seat, set: number) => Promise<Option.Option<Holding>>;
  note: (body: Ask<'note'>) => Promise<Either.Either<Fault, Floors>>;
  learn: (set: CoreSet) => void;
  /** How long a set must have been held by a majority before the next step: no lease of the set before it is left by then. */
  settleMilliseconds: number;
}>;

export type Confirmed = Readonly<{ standing: readonly string[]; silent: ReadonlySet<string> }>;

export type Stepper = Readonly<{
  /** Right once a majority of both sets stands at the new one; `next` chooses from what a majority of the set confirms. */
  step: (next: (set: CoreSet, confirmed: Confirmed) => Option.Option<readonly Seat[]>) => Promise<Either.Either<Fault, CoreSet>>;
  /** Completes a step whose proposer fell silent. */
  finish: () => Promise<void>;
}>;

const readsAtOnce = 16;

/** The cell that decides which set follows a set: written once, under that set. */
export function stepKey(after: number): string {
  return `cores/${after + 1}`;
}

/** Seats that come, go, or are found elsewhere by now. */
function changedSeats(from: readonly Seat[], to: readonly Seat[]): number {
  const added = to.filter(
    (seat) => !from.some((one) => one.node === seat.node && one.address === seat.address && one.outward === seat.outward),
  ).length;
  return added + from.filter((seat) => !to.some((one) => one.node === seat.node)).length;
}

function create(parts: StepperParts): Stepper {
  const commands = owner.create('steps', null);
  let settledSince: Readonly<{ number: number; at: Instant }> = { number: 0, at: identifiers.instant(0) };
  let renewed = 0;

  function denied(why: string): Either.Either<Fault, never> {
    return Either.left(
      fault.create({ kind: 'no-majority', message: `the set of cores did not change: ${why}`, remedy: 'try again', retryAfterSeconds: 1 }),
    );
  }

  function majority(set: CoreSet, nodes: readonly string[]): boolean {
    return set.seats.filter((seat) => nodes.includes(seat.node)).length >= quorum.majority(set.seats.length);
  }

  /** Who stands at a set, asking all of it to; whoever is further tells so. */
  async function confirm(set: CoreSet, seats: readonly Seat[]): Promise<Confirmed> {
    const replies = await Promise.all(
      seats.map(async function one(seat) {
        return { seat, reply: await parts.adopt(seat, set) };
      }),
    );
    const standing: string[] = [];
    const silent: Array<ReadonlySet<string>> = [];
    for (const { seat, reply } of replies) {
      if (Option.isNone(reply)) continue;
      if (reply.value.newer !== undefined) parts.learn(reply.value.newer);
      if (!reply.value.adopted) continue;
      standing.push(seat.node);
      silent.push(new Set(reply.value.silent));
    }
    return {
      standing,
      silent: new Set(set.seats.map((seat) => seat.node).filter((node) => silent.length > 0 && silent.every((told) => told.has(node)))),
    };
  }

  /**
   * Has a majority of this set hold all that was chosen under the set before it, at ballots beyond all that any proposer of
   * that set was ever promised: a whole round for each key, a look would leave the promises as they are. None when no majority
   * could be read; the votes are the barrier of the next set.
   */
  async function renew(set: CoreSet): Promise<Option.Option<Readonly<Record<string, number>>>> {
    const found = (await Promise.all(set.seats.map((seat) => parts.holding(seat, set.number)))).flatMap((one) =>
      Option.isSome(one) ? [one.value] : [],
    );
    if (found.length < quorum.majority(set.seats.length)) return Option.none;
    const votes: Record<string, number> = { ...set.epochs };
    for (const one of found)
      for (const [service, epoch] of Object.entries(one.votes)) votes[service] = Math.max(epoch, votes[service] ?? 0);
    if (set.number === 1 || renewed === set.number) return Option.some(votes);
    const keys = [...new Set(found.flatMap((one) => one.keys))];
    const register = parts.under(set.number);
    for (let first = 0; first < keys.length; first += readsAtOnce) {
      const done = await Promise.all(keys.slice(first, first + readsAtOnce).map((key) => register.change(key, () => Option.none)));
      if (done.some(Either.isLeft)) return Option.none;
    }
    const floors = found.reduce((highest, one) => message.higherFloors(highest, one.notes.floors), {} as Floors);
    const through: Record<string, number> = {};
    for (const one of found)
      for (const [edge, moment] of Object.entries(one.notes.through)) through[edge] = Math.max(moment, through[edge] ?? 0);
    const noted = await parts.note({ floors, reports: found.flatMap((one) => one.notes.reports), through });
    if (Either.isLeft(noted) || parts.set().number !== set.number) return Option.none;
    renewed = set.number;
    return Option.some(votes);
  }

  async function settle(set: CoreSet): Promise<void> {
    if (settledSince.number !== set.number) settledSince = { number: set.number, at: parts.clock.now() };
    const left = set.number === 1 ? 0 : settledSince.at + parts.settleMilliseconds - parts.clock.now();
    if (left > 0) await parts.clock.sleep(left);
  }

  /** Both sets are told; whoever is not reached learns of it from whoever is. */
  async function spread(before: CoreSet, set: CoreSet): Promise<boolean> {
    const joined = set.seats.filter((seat) => !before.seats.some((one) => one.node === seat.node));
    const { standing } = await confirm(set, [...before.seats, ...joined]);
    return majority(before, standing) && majority(set, standing);
  }

  async function proposed(
    next: (set: CoreSet, confirmed: Confirmed) => Option.Option<readonly Seat[]>,
  ): Promise<Either.Either<Fault, CoreSet>> {
    const set = parts.set();
    const confirmed = await confirm(set, set.seats);
    if (!majority(set, confirmed.standing)) return denied(`no majority holds set ${set.number} yet`);
    if (Option.isNone(next(set, confirmed))) return denied('there is nothing to change');
    await settle(set);
    const epochs = await renew(set);
    if (Option.isNone(epochs)) return denied(`no majority of set ${set.number} could be read`);
    const again = await confirm(set, set.seats);
    const seats = next(set, again);
    if (!majority(set, again.standing) || Option.isNone(seats) || changedSeats(set.seats, seats.value) !== 1)
      return denied('there is nothing to change by now');
    const wanted: CoreSet = { number: set.number + 1, seats: [...seats.value], epochs: epochs.value };
    const written = await parts
      .under(set.number)
      .change(stepKey(set.number), (current) => (Option.isSome(current) ? Option.none : Option.some(wanted)));
    if (Either.isLeft(written)) return written;
    const decided = Option.isSome(written.right.entry) ? written.right.entry.value.value : null;
    if (!message.fits(CoreSetSchema, decided)) return denied('its cell holds no set');
    if (!(await spread(set, decided))) return denied('no majority of both sets stands at it yet');
    return written.right.wrote ? Either.right(decided) : denied('another step was decided');
  }

  async function finished(): Promise<void> {
    const set = parts.set();
    const read = await parts.under(set.number).change(stepKey(set.number), () => Option.none);
    const entry: Option.Option<Entry> = Either.isRight(read) ? read.right.entry : Option.none;
    if (Option.isSome(entry) && message.fits(CoreSetSchema, entry.value.value)) await spread(set, entry.value.value);
  }

  return {
    step: (next) => commands.ask(() => proposed(next)),
    finish: () => commands.ask(finished),
  };
}

export const stepper = { create } as const;
