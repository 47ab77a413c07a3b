// The asking half of the register: majority write, majority read, compare-and-swap on top (design 5.1).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, identifiers, kernel as kernels, type Fault, type Kernel } from '@stallstall/kernel';
import { ballotZero, message, type Request, type Ballot, type CoreSet, type Entry, type Reply } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import { compressedDifference } from './compressed-difference.js';

type RegisterKind = 'prepare' | 'accept' | 'look';

/** One disk as a proposer sees it: a call over a held link, or the core's own acceptor. */
export type RegisterReplica = Readonly<{
  core: string;
  /** The core's own disk: what is handed to it travels nowhere. */
  local?: boolean;
  send: <Kind extends RegisterKind>(kind: Kind, body: Request<Kind>, milliseconds: number) => Promise<Option.Option<Reply<Kind>>>;
}>;

/** Which set of cores is counted, and who is told of a newer one (design 4.8). */
export type CoreSetSource = Readonly<{ number: () => number; observe: (set: CoreSet) => void }>;

/** A set that never changes. */
export const fixedCoreSet: CoreSetSource = { number: () => 0, observe: () => undefined };

export type ChangeOutcome = Readonly<{ wrote: boolean; entry: Option.Option<Entry> }>;

export type Register = Readonly<{
  read: (key: string, milliseconds?: number) => Promise<Either.Either<Fault, Option.Option<Entry>>>;
  /**
   * Hands the chosen value to `decide`; what it returns takes the next version, none keeps what stands. A shot whose
   * fate is not known is followed by another, so `decide` must know its own work when it sees it.
   */
  change: (
    key: string,
    decide: (current: Option.Option<Entry>) => Option.Option<unknown>,
    milliseconds?: number,
  ) => Promise<Either.Either<Fault, ChangeOutcome>>;
}>;

export type NumberedRegister = Register &
  Readonly<{
    /** The register under one set of cores alone: once another is stood at here, reads and changes fail (design 4.8). */
    inSet: (set: number) => Register;
  }>;

const callMilliseconds = 800;
const defaultHorizonMilliseconds = 4_000;
const backoffMilliseconds = 20;
/** The key whose earlier versions are kept (design 5.4). */
const versionedKey = 'configuration';
/** So much longer promises are waited for: a disk that is asked to accept as well does not fall behind, and is no matter of doubt later. */
const lateMilliseconds = 6;

/** `held`: the target left its entry out, for it is the one that the asker holds. */
type Replied = Readonly<{ target: RegisterReplica; reply: Reply<'prepare'>; held: boolean }>;

/** What is asked of each target; the same of all, or by what each holds. */
type Asks<Kind extends RegisterKind> = (target: RegisterReplica) => Request<Kind>;

/**
 * Asks every target and settles once `enough` holds, after a moment more for those that are about to reply, or when all have answered or
 * fallen silent.
 */
function gather<Kind extends RegisterKind>(
  kernel: Kernel,
  targets: readonly RegisterReplica[],
  kind: Kind,
  asks: Asks<Kind>,
  milliseconds: number,
  enough: (replies: readonly Replied[]) => boolean,
  learn: CoreSetSource['observe'],
  more = 0,
): Promise<readonly Replied[]> {
  return new Promise(function collect(resolve) {
    let settling = false;
    const replies: Replied[] = [];
    let left = targets.length;
    if (left === 0) resolve(replies);
    async function ask(target: RegisterReplica): Promise<void> {
      const reply = await target.send(kind, asks(target), milliseconds);
      left -= 1;
      if (Option.isSome(reply) && reply.value.newer !== undefined) learn(reply.value.newer);
      if (Option.isSome(reply) && reply.value.ready) replies.push({ target, reply: reply.value as Reply<'prepare'>, held: false });
      if (left === 0 || (more === 0 && enough(replies))) resolve([...replies]);
      else if (!settling && enough(replies)) {
        settling = true;
        kernel.clock.startTimer(more, () => resolve([...replies]));
      }
    }
    for (const target of targets) void ask(target);
  });
}

/** Puts back what the targets left out. */
function filled(replies: readonly Replied[], known: Option.Option<Entry>): readonly Replied[] {
  return replies.map(function fill(one) {
    if (one.reply.held !== true || Option.isNone(known)) return one;
    return { ...one, reply: { ...one.reply, accepted: known.value }, held: true };
  });
}

/** Sends the whole entry to an acceptor whose held value the difference does not fit. */
function wholeWhereAsked(target: RegisterReplica, whole: Request<'accept'>): RegisterReplica {
  return {
    ...target,
    send: async function ask(kind, body, milliseconds) {
      const reply = await target.send(kind, body, milliseconds);
      const again = Option.isSome(reply) && 'whole' in reply.value && reply.value.whole === true;
      return again ? target.send(kind, whole as typeof body, milliseconds) : reply;
    },
  };
}

function agreed(replies: readonly Replied[]): readonly Replied[] {
  return replies.filter(function yes(one) {
    return one.reply.agreed;
  });
}

function highestEntry(replies: readonly Replied[]): Option.Option<Entry> {
  let highest: Entry | null = null;
  for (const one of replies) {
    const entry = one.reply.accepted;
    if (entry !== null && (highest === null || message.compareBallots(entry.ballot, highest.ballot) > 0)) highest = entry;
  }
  return Option.fromNullable(highest);
}

function sameEverywhere(replies: readonly Replied[]): boolean {
  const first = replies[0]?.reply.accepted?.ballot ?? ballotZero;
  return replies.every(function same(one) {
    return message.compareBallots(one.reply.accepted?.ballot ?? ballotZero, first) === 0;
  });
}

function create(
  kernel: Kernel,
  name: string,
  targets: () => readonly RegisterReplica[],
  total: () => number,
  sets: CoreSetSource = fixedCoreSet,
  /** What is at hand of a key already: its entry need not be sent here again (design 5.7). */
  held: (key: string) => Option.Option<Entry> = () => Option.none,
): NumberedRegister {
  const proposer = `${name}#${kernel.randomness.token()}`;
  let counter = 0;

  function noMajority(key: string): Fault {
    return fault.create({
      kind: 'no-majority',
      message: `the register did not settle ${key}: no majority of its ${total()} disks answered in time`,
      remedy: 'bring a core back, then try again',
      retryAfterSeconds: 1,
    });
  }

  function nextBallot(): Ballot {
    counter += 1;
    return { counter, node: proposer };
  }

  function learn(replies: readonly Replied[]): void {
    for (const one of replies) counter = Math.max(counter, one.reply.promised.counter);
  }

  /** Taken once for each round: its disks, its majority and its number are of one set (design 4.8). */
  type Round = Readonly<{
    asked: readonly RegisterReplica[];
    set: Readonly<{ set?: number }>;
    majorityOf: (replies: readonly Replied[]) => boolean;
  }>;

  function begin(): Round {
    const size = total();
    const number = sets.number();
    return {
      asked: targets(),
      set: number === 0 ? {} : { set: number },
      majorityOf: (replies) => size > 0 && replies.length >= quorum.majority(size),
    };
  }

  async function shot(
    key: string,
    decide: (current: Option.Option<Entry>) => Option.Option<unknown>,
  ): Promise<Option.Option<ChangeOutcome>> {
    const ballot = nextBallot();
    const { asked, set, majorityOf } = begin();
    const known = held(key);
    const replied = await gather(
      kernel,
      asked,
      'prepare',
      () => ({ key, ballot, ...set, ...holdsOf(known) }),
      callMilliseconds,
      (replies) => majorityOf(agreed(replies)),
      sets.observe,
      lateMilliseconds,
    );
    const promised = filled(replied, known);
    learn(promised);
    const promises = agreed(promised);
    if (!majorityOf(promises)) return Option.none;
    const current = highestEntry(promises);
    const decided = decide(current);
    if (Option.isNone(decided) && sameEverywhere(promises)) return Option.some({ wrote: false, entry: current });
    const entry: Entry = Option.isSome(decided)
      ? { ballot, version: Option.isSome(current) ? current.value.version + 1 : 1, value: decided.value, ...afterOf(key, current) }
      : { ...(current as Option.Some<Entry>).value, ballot };
    const whole: Request<'accept'> = { key, entry, ...set };
    const slim = slimmed(whole, known, promises);
    const holding = new Set(promises.filter((one) => one.held && one.target.local !== true).map((one) => one.target.core));
    // Only those whose promises were counted are asked to accept (design 5.1).
    const accepted = await gather(
      kernel,
      promises.map((one) => wholeWhereAsked(one.target, whole)),
      'accept',
      (target) => (holding.has(target.core) ? slim : whole),
      callMilliseconds,
      (replies) => majorityOf(agreed(replies)),
      sets.observe,
    );
    learn(accepted);
    return majorityOf(agreed(accepted)) ? Option.some({ wrote: Option.isSome(decided), entry: Option.some(entry) }) : Option.none;
  }

  /** The same ask with what differs from the known entry alone, where any target holds that entry. */
  function slimmed(whole: Request<'accept'>, known: Option.Option<Entry>, promises: readonly Replied[]): Request<'accept'> {
    if (Option.isNone(known) || !promises.some((one) => one.held && one.target.local !== true)) return whole;
    const differs = compressedDifference.between(known.value.value, whole.entry.value);
    if (differs === undefined) return whole;
    return { ...whole, entry: { ...whole.entry, value: null }, base: { ballot: known.value.ballot, difference: differs } };
  }

  function afterOf(key: string, current: Option.Option<Entry>): Readonly<{ after?: Ballot }> {
    return key === versionedKey && Option.isSome(current) ? { after: current.value.ballot } : {};
  }

  function holdsOf(known: Option.Option<Entry>): Readonly<{ holds?: Ballot }> {
    return Option.isNone(known) ? {} : { holds: known.value.ballot };
  }

  function keep(): Option.Option<unknown> {
    return Option.none;
  }

  function counting(holds: () => boolean): Register {
    async function change(
      key: string,
      decide: (current: Option.Option<Entry>) => Option.Option<unknown>,
      milliseconds = defaultHorizonMilliseconds,
    ): Promise<Either.Either<Fault, ChangeOutcome>> {
      const horizon = identifiers.after(kernel.clock.now(), milliseconds);
      for (let shots = 1; holds(); shots += 1) {
        const outcome = await shot(key, decide);
        if (Option.isSome(outcome)) return Either.right(outcome.value);
        const pause = backoffMilliseconds * Math.min(shots, 10) * (0.5 + kernel.randomness.fraction());
        if (kernel.clock.now() + pause >= horizon) return Either.left(noMajority(key));
        await kernel.clock.sleep(pause);
      }
      return Either.left(noMajority(key));
    }

    async function read(key: string, milliseconds = defaultHorizonMilliseconds): Promise<Either.Either<Fault, Option.Option<Entry>>> {
      if (!holds()) return Either.left(noMajority(key));
      const { asked, set, majorityOf } = begin();
      const known = held(key);
      const ask: Request<'look'> = { key, ...set, ...holdsOf(known) };
      const replies = filled(await gather(kernel, asked, 'look', () => ask, callMilliseconds, majorityOf, sets.observe), known);
      if (majorityOf(replies) && sameEverywhere(replies)) return Either.right(highestEntry(replies));
      const completed = await change(key, keep, milliseconds);
      return Either.isLeft(completed) ? completed : Either.right(completed.right.entry);
    }

    return { read, change };
  }

  // The set can only change between two rounds of a caller that looks at it in the same turn in which a round begins.
  return { ...counting(() => true), inSet: (set) => counting(() => sets.number() === set) };
}

/** The name under which a process's other services find its register (design 2.1). */
export const registerService = kernels.serviceName<NumberedRegister>('register');

export const proposer = { create } as const;
