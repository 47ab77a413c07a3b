/** Changes the core set by replacing one core at a time. Each step is decided in the register under the preceding set (design 4.8). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, owner, type Fault } from '@stallstall/kernel';
import { CoreSetSchema, message, type CoreSet, type Entry, type Reply, type NodeRecord } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import type { CoreSetRegister } from './register.js';

export type CoreSetChangeOptions = Readonly<{
  /** The core set that this core belongs to. */
  set: () => CoreSet;
  registerForCoreSet: CoreSetRegister['forCoreSet'];
  /** Asks a core to adopt a core set; none when it does not reply. */
  adopt: (core: NodeRecord, set: CoreSet) => Promise<Option.Option<Reply<'adopt'>>>;
  /** Called with a newer core set that a core reports. */
  observe: (set: CoreSet) => void;
}>;

/** The cores of a set that have adopted it and are up to date, and the cores that all of these report as unreachable for long. */
export type ConfirmedCores = Readonly<{ upToDate: readonly string[]; unreachable: ReadonlySet<string> }>;

/** Finds the nodes of a core set that may be replaced, in order of preference. */
export type FindReplaceableNodes = (set: CoreSet, confirmed: ConfirmedCores) => readonly string[];

export type CoreSetChanges = Readonly<{
  /**
   * Replaces one of the replaceable nodes by a joining core. Resolves to the set that lists the joining core once a majority of that set
   * has adopted it. Errors: `no-majority`, and those of the register.
   */
  replaceNode: (joiningCore: NodeRecord, findReplaceableNodes: FindReplaceableNodes) => Promise<Either.Either<Fault, CoreSet>>;
  /** Completes a change whose proposer stopped responding. */
  completeInterrupted: () => Promise<void>;
}>;

/** Time limit of a decision. After longer than this the confirmations are stale: an unreachable core may be reachable again. */
const decisionTimeoutMilliseconds = 1_000;

/** The register key that decides which core set follows set `previous`. It is written once, under the previous set. */
export function coreSetKey(previous: number): string {
  return `cores/${previous + 1}`;
}

/** A node that lost its disk counts as a different core than before, because its earlier promises are lost (design 4.3). */
export function isSameNodeAndDisk(left: NodeRecord, right: NodeRecord): boolean {
  return left.node === right.node && left.disk === right.disk;
}

function notChanged(reason: string): Either.Either<Fault, never> {
  return Either.left(
    fault.create({
      kind: 'no-majority',
      message: `the core set was not changed: ${reason}`,
      remedy: 'try again',
      retryAfterSeconds: 1,
    }),
  );
}

function isMajority(set: CoreSet, nodes: readonly string[]): boolean {
  return set.seats.filter((core) => nodes.includes(core.node)).length >= quorum.majority(set.seats.length);
}

function isListed(set: CoreSet, joiningCore: NodeRecord): boolean {
  return set.seats.some((core) => isSameNodeAndDisk(core, joiningCore) && core.address === joiningCore.address);
}

/** Asks cores to adopt a set and returns those that did; a core that is at a newer set reports that set. */
async function confirm({ adopt, observe }: CoreSetChangeOptions, set: CoreSet, cores: readonly NodeRecord[]): Promise<ConfirmedCores> {
  const replies = await Promise.all(cores.map(async (core) => ({ core, reply: await adopt(core, set) })));
  const upToDate: string[] = [];
  const unreachableReports: Array<ReadonlySet<string>> = [];
  for (const { core, reply } of replies) {
    if (Option.isNone(reply)) continue;
    if (reply.value.newer !== undefined) observe(reply.value.newer);
    if (!reply.value.adopted) continue;
    upToDate.push(core.node);
    unreachableReports.push(new Set(reply.value.silent));
  }
  const unreachable = set.seats
    .map((core) => core.node)
    .filter((node) => unreachableReports.length > 0 && unreachableReports.every((reported) => reported.has(node)));
  return { upToDate, unreachable: new Set(unreachable) };
}

/**
 * Sends a new core set to the cores of the previous and the new set. A core that is not reached learns of it from one that is. Resolves to
 * true once a majority of the new set has adopted it.
 */
async function distribute(options: CoreSetChangeOptions, previous: CoreSet, set: CoreSet): Promise<boolean> {
  for (const core of set.seats) {
    const wasListed = previous.seats.some((listed) => listed.node === core.node && listed.address === core.address);
    if (!wasListed) void options.adopt(core, set);
  }
  const { upToDate } = await confirm(options, set, previous.seats);
  return isMajority(set, upToDate);
}

/**
 * Whether a majority is up to date without the replaced node: the joining core copies from these cores, and they serve until it is up to
 * date as well. A core that only changes its address remains up to date.
 */
function leavesMajority(set: CoreSet, upToDate: readonly string[], replacedNode: string, joiningCore: NodeRecord): boolean {
  const listed = quorum.findNode(set, replacedNode);
  const isSameCore = listed !== undefined && isSameNodeAndDisk(listed, joiningCore);
  return isMajority(
    set,
    upToDate.filter((node) => node !== replacedNode || isSameCore),
  );
}

/** Proposes the next core set; resolves to the set that was decided, which may be that of another proposer. */
async function decide(
  { registerForCoreSet }: CoreSetChangeOptions,
  set: CoreSet,
  proposed: CoreSet,
): Promise<Either.Either<Fault, CoreSet>> {
  const written = await registerForCoreSet(set.number).change(
    coreSetKey(set.number),
    (current) => (Option.isSome(current) ? Option.none : Option.some(proposed)),
    decisionTimeoutMilliseconds,
  );
  if (Either.isLeft(written)) return written;
  const decided = Option.isSome(written.right.entry) ? written.right.entry.value.value : null;
  return message.matches(CoreSetSchema, decided) ? Either.right(decided) : notChanged('the stored value is not a valid core set');
}

async function replaceNode(
  options: CoreSetChangeOptions,
  joiningCore: NodeRecord,
  findReplaceableNodes: FindReplaceableNodes,
): Promise<Either.Either<Fault, CoreSet>> {
  const set = options.set();
  if (isListed(set, joiningCore)) return Either.right(set);
  const confirmed = await confirm(options, set, set.seats);
  if (!isMajority(set, confirmed.upToDate)) return notChanged(`no majority has adopted core set ${set.number} yet`);
  const replaceable = findReplaceableNodes(set, confirmed);
  if (replaceable.length === 0) return notChanged('no core of the set may be replaced');
  const replacedNode = replaceable.find((node) => leavesMajority(set, confirmed.upToDate, node, joiningCore));
  if (replacedNode === undefined) return notChanged('too few up-to-date cores would remain beside the joining core');
  const decided = await decide(options, set, {
    number: set.number + 1,
    seats: set.seats.map((core) => (core.node === replacedNode ? joiningCore : core)),
    epochs: set.epochs,
  });
  if (Either.isLeft(decided)) return decided;
  if (!(await distribute(options, set, decided.right))) return notChanged('no majority of the new core set has adopted it yet');
  return isListed(decided.right, joiningCore) ? decided : notChanged('another change was decided instead');
}

async function completeInterrupted(options: CoreSetChangeOptions): Promise<void> {
  const set = options.set();
  const read = await options.registerForCoreSet(set.number).change(coreSetKey(set.number), () => Option.none);
  const entry: Option.Option<Entry> = Either.isRight(read) ? read.right.entry : Option.none;
  if (Option.isSome(entry) && message.matches(CoreSetSchema, entry.value.value)) await distribute(options, set, entry.value.value);
}

function create(options: CoreSetChangeOptions): CoreSetChanges {
  const commands = owner.create('core set changes', null);
  return {
    replaceNode: (joiningCore, findReplaceableNodes) => commands.run(() => replaceNode(options, joiningCore, findReplaceableNodes)),
    completeInterrupted: () => commands.run(() => completeInterrupted(options)),
  };
}

export const coreSetChanges = { create } as const;
