/** Changes the set of cores by the occupant of one seat at a time, each step decided in the register under the set before it (design 4.8). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, owner, type Fault } from '@stallstall/kernel';
import { CoreSetSchema, message, type CoreSet, type Entry, type Reply, type Seat } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import type { CoreSetRegister } from './register.js';

export type CoreSetChangeOptions = Readonly<{
  /** The set that this core is in. */
  set: () => CoreSet;
  registerForCoreSet: CoreSetRegister['forCoreSet'];
  /** Asks a core to adopt a set; none when it does not reply. */
  adopt: (seat: Seat, set: CoreSet) => Promise<Option.Option<Reply<'adopt'>>>;
  /** Called with a newer set that a core reports. */
  observe: (set: CoreSet) => void;
}>;

/** Up-to-date cores that are in a set, and cores that every one of these has not heard for long. */
export type ConfirmedCores = Readonly<{ upToDate: readonly string[]; unreachable: ReadonlySet<string> }>;

/** Nodes whose seat may be given to another, those that should go first before the others. */
export type FindVacantNodes = (set: CoreSet, confirmed: ConfirmedCores) => readonly string[];

export type CoreSetChanges = Readonly<{
  /**
   * Gives a vacant seat to this occupant; right, with the set that lists it, once a majority of the new set has adopted it. Errors:
   * `no-majority`, and those of the register.
   */
  replaceNode: (occupant: Seat, vacancies: FindVacantNodes) => Promise<Either.Either<Fault, CoreSet>>;
  /** Completes a step whose proposer fell silent. */
  completeInterrupted: () => Promise<void>;
}>;

/** What was confirmed is old by then: whoever was silent may be heard again. */
const decideMilliseconds = 1_000;

/** The register's key that decides which set follows a set: written once, under that set. */
export function coreSetKey(after: number): string {
  return `cores/${after + 1}`;
}

/** A node that lost its disk is another occupant than before: it remembers none of its promises (design 4.3). */
export function isSameNodeAndDisk(one: Seat, other: Seat): boolean {
  return one.node === other.node && one.disk === other.disk;
}

function unchanged(reason: string): Either.Either<Fault, never> {
  return Either.left(
    fault.create({
      kind: 'no-majority',
      message: `the set of cores did not change: ${reason}`,
      remedy: 'try again',
      retryAfterSeconds: 1,
    }),
  );
}

function isMajority(set: CoreSet, nodes: readonly string[]): boolean {
  return set.seats.filter((seat) => nodes.includes(seat.node)).length >= quorum.majority(set.seats.length);
}

function isSeated(set: CoreSet, occupant: Seat): boolean {
  return set.seats.some((seat) => isSameNodeAndDisk(seat, occupant) && seat.address === occupant.address);
}

/** Asks seats to adopt a set and tells which have; whoever is further reports it. */
async function confirm({ adopt, observe }: CoreSetChangeOptions, set: CoreSet, seats: readonly Seat[]): Promise<ConfirmedCores> {
  const replies = await Promise.all(seats.map(async (seat) => ({ seat, reply: await adopt(seat, set) })));
  const upToDate: string[] = [];
  const silent: Array<ReadonlySet<string>> = [];
  for (const { seat, reply } of replies) {
    if (Option.isNone(reply)) continue;
    if (reply.value.newer !== undefined) observe(reply.value.newer);
    if (!reply.value.adopted) continue;
    upToDate.push(seat.node);
    silent.push(new Set(reply.value.silent));
  }
  const silentForAll = set.seats
    .map((seat) => seat.node)
    .filter((node) => silent.length > 0 && silent.every((reported) => reported.has(node)));
  return { upToDate, unreachable: new Set(silentForAll) };
}

/** Tells both sets; whoever is not reached learns of it from whoever is. True once a majority of the new set has adopted it. */
async function spread(parts: CoreSetChangeOptions, before: CoreSet, set: CoreSet): Promise<boolean> {
  for (const seat of set.seats) {
    const wasListed = before.seats.some((one) => one.node === seat.node && one.address === seat.address);
    if (!wasListed) void parts.adopt(seat, set);
  }
  const { upToDate } = await confirm(parts, set, before.seats);
  return isMajority(set, upToDate);
}

/** Without the former occupant a majority must be up to date: the newcomer copies them, and they serve until it is as well. */
function leavesMajority(set: CoreSet, upToDate: readonly string[], vacated: string, occupant: Seat): boolean {
  const listed = quorum.findNode(set, vacated);
  const isMoving = listed !== undefined && isSameNodeAndDisk(listed, occupant);
  return isMajority(
    set,
    upToDate.filter((node) => node !== vacated || isMoving),
  );
}

/** Has the next set chosen; right with the set that was, which may be another's. */
async function decide({ registerForCoreSet }: CoreSetChangeOptions, set: CoreSet, wanted: CoreSet): Promise<Either.Either<Fault, CoreSet>> {
  const written = await registerForCoreSet(set.number).change(
    coreSetKey(set.number),
    (current) => (Option.isSome(current) ? Option.none : Option.some(wanted)),
    decideMilliseconds,
  );
  if (Either.isLeft(written)) return written;
  const decided = Option.isSome(written.right.entry) ? written.right.entry.value.value : null;
  return message.matches(CoreSetSchema, decided) ? Either.right(decided) : unchanged('its cell holds no set');
}

async function replaceNode(
  parts: CoreSetChangeOptions,
  occupant: Seat,
  vacancies: FindVacantNodes,
): Promise<Either.Either<Fault, CoreSet>> {
  const set = parts.set();
  if (isSeated(set, occupant)) return Either.right(set);
  const confirmed = await confirm(parts, set, set.seats);
  if (!isMajority(set, confirmed.upToDate)) return unchanged(`no majority holds set ${set.number} yet`);
  const vacant = vacancies(set, confirmed);
  if (vacant.length === 0) return unchanged('no seat is vacant');
  const vacated = vacant.find((node) => leavesMajority(set, confirmed.upToDate, node, occupant));
  if (vacated === undefined) return unchanged('too few level cores would be left beside the newcomer');
  const decided = await decide(parts, set, {
    number: set.number + 1,
    seats: set.seats.map((seat) => (seat.node === vacated ? occupant : seat)),
    epochs: set.epochs,
  });
  if (Either.isLeft(decided)) return decided;
  if (!(await spread(parts, set, decided.right))) return unchanged('no majority of the new set stands at it yet');
  return isSeated(decided.right, occupant) ? decided : unchanged('another step was decided');
}

async function completeInterrupted(parts: CoreSetChangeOptions): Promise<void> {
  const set = parts.set();
  const read = await parts.registerForCoreSet(set.number).change(coreSetKey(set.number), () => Option.none);
  const entry: Option.Option<Entry> = Either.isRight(read) ? read.right.entry : Option.none;
  if (Option.isSome(entry) && message.matches(CoreSetSchema, entry.value.value)) await spread(parts, set, entry.value.value);
}

function create(parts: CoreSetChangeOptions): CoreSetChanges {
  const commands = owner.create('core set changes', null);
  return {
    replaceNode: (occupant, vacancies) => commands.run(() => replaceNode(parts, occupant, vacancies)),
    completeInterrupted: () => commands.run(() => completeInterrupted(parts)),
  };
}

export const coreSetChanges = { create } as const;
