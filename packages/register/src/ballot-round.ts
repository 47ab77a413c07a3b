/** One attempt to change a key: a ballot is promised by a majority of replicas, then accepted by a majority of those (design 5.1). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Runtime } from '@stallstall/kernel';
import type { Ballot, Entry, Request } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import { compressedDifference } from './compressed-difference.js';
import type { ChangeOutcome, CoreSetSource, Decision, RegisterReplica } from './register.js';
import { replicaCalls, type ReplicaReply } from './replica-calls.js';

/** @internal */
export type RoundContext = Readonly<{
  runtime: Runtime;
  /** Names the proposer: no other has ballots of this name. */
  proposer: string;
  replicas: () => readonly RegisterReplica[];
  replicaCount: () => number;
  coreSets: CoreSetSource;
  /** What this process holds of a key already: its entry need not be sent here again (design 5.7). */
  localEntry: (key: string) => Option.Option<Entry>;
  counter: BallotCounter;
}>;

/** @internal */
export type BallotCounter = Readonly<{
  next: () => Ballot;
  /** The next ballot is higher than all that these replicas promised. */
  observe: (replies: readonly ReplicaReply[]) => void;
}>;

/** The replicas, the majority and the number of one set of cores, taken once for a whole round (design 4.8). @internal */
export type RoundSet = Readonly<{
  replicas: readonly RegisterReplica[];
  /** To be sent with each call. */
  setField: Readonly<{ set?: number }>;
  isMajority: (replies: readonly ReplicaReply[]) => boolean;
}>;

/**
 * So much longer promises are waited for: a replica that is asked to accept as well does not fall behind, and its cell is never in doubt
 * later. Unit: milliseconds.
 */
const promiseLingerMilliseconds = 6;
/** The key whose earlier versions are kept (design 5.4). */
const versionedKey = 'configuration';

function createCounter(proposer: string): BallotCounter {
  let counter = 0;
  return {
    next: function next() {
      counter += 1;
      return { counter, node: proposer };
    },
    observe: function observe(replies) {
      for (const { reply } of replies) counter = Math.max(counter, reply.promised.counter);
    },
  };
}

/** The set of cores as it is now. */
function currentSet({ replicas, replicaCount, coreSets }: RoundContext): RoundSet {
  const size = replicaCount();
  const number = coreSets.number();
  return {
    replicas: replicas(),
    setField: number === 0 ? {} : { set: number },
    isMajority: (replies) => size > 0 && replies.length >= quorum.majority(size),
  };
}

/** The ballot of the entry that this process holds: replies leave that entry out. */
function holdsField(known: Option.Option<Entry>): Readonly<{ holds?: Ballot }> {
  return Option.isNone(known) ? {} : { holds: known.value.ballot };
}

/** The ballot that an entry succeeds, for the key whose earlier versions are kept. */
function afterOf(key: string, current: Option.Option<Entry>): Readonly<{ after?: Ballot }> {
  return key === versionedKey && Option.isSome(current) ? { after: current.value.ballot } : {};
}

function isRemoteHolder({ isEntryOmitted: held, target }: ReplicaReply): boolean {
  return held && target.local !== true;
}

/** The same request with the difference from the known entry alone, where any remote replica holds that entry. */
function withoutContent(complete: Request<'accept'>, known: Option.Option<Entry>, promises: readonly ReplicaReply[]): Request<'accept'> {
  if (Option.isNone(known) || !promises.some(isRemoteHolder)) return complete;
  const difference = compressedDifference.between(known.value.value, complete.entry.value);
  if (difference === undefined) return complete;
  return { ...complete, entry: { ...complete.entry, value: null }, base: { ballot: known.value.ballot, difference } };
}

/** Has a ballot promised; resolves to the promises, which may be fewer than a majority. */
async function collectPromises(
  context: RoundContext,
  key: string,
  ballot: Ballot,
  known: Option.Option<Entry>,
  { replicas, setField: set, isMajority }: RoundSet,
): Promise<readonly ReplicaReply[]> {
  const replies = await replicaCalls.sendToAll(context.runtime, {
    targets: replicas,
    call: 'prepare',
    bodyFor: () => ({ key, ballot, ...set, ...holdsField(known) }),
    isEnough: (received) => isMajority(replicaCalls.agreed(received)),
    observe: context.coreSets.observe,
    lingerMilliseconds: promiseLingerMilliseconds,
  });
  context.counter.observe(replies);
  return replicaCalls.agreed(replicaCalls.withLocalEntry(replies, known));
}

/** Sends an entry to those whose promises were counted; only they may accept it (design 5.1). Resolves to whether it was chosen. */
async function collectAccepts(
  context: RoundContext,
  complete: Request<'accept'>,
  known: Option.Option<Entry>,
  promises: readonly ReplicaReply[],
  { isMajority }: RoundSet,
): Promise<boolean> {
  const slim = withoutContent(complete, known, promises);
  const holding = new Set(promises.filter(isRemoteHolder).map((one) => one.target.core));
  const replies = await replicaCalls.sendToAll(context.runtime, {
    targets: promises.map((one) => replicaCalls.withCompleteEntryOnRequest(one.target, complete)),
    call: 'accept',
    bodyFor: (target) => (holding.has(target.core) ? slim : complete),
    isEnough: (received) => isMajority(replicaCalls.agreed(received)),
    observe: context.coreSets.observe,
  });
  context.counter.observe(replies);
  return isMajority(replicaCalls.agreed(replies));
}

/** None where the fate of the attempt is not known: it may still be chosen. */
async function run(context: RoundContext, key: string, decide: Decision): Promise<Option.Option<ChangeOutcome>> {
  const ballot = context.counter.next();
  const roundSet = currentSet(context);
  const { setField: set, isMajority } = roundSet;
  const known = context.localEntry(key);
  const promises = await collectPromises(context, key, ballot, known, roundSet);
  if (!isMajority(promises)) return Option.none;
  const current = replicaCalls.highestEntry(promises);
  const decided = decide(current);
  if (Option.isNone(decided) && replicaCalls.isUnanimous(promises)) return Option.some({ wrote: false, entry: current });
  const entry: Entry = Option.isSome(decided)
    ? { ballot, version: Option.isSome(current) ? current.value.version + 1 : 1, value: decided.value, ...afterOf(key, current) }
    : { ...(current as Option.Some<Entry>).value, ballot };
  const complete = { key, entry, ...set };
  const isChosen = await collectAccepts(context, complete, known, promises, roundSet);
  return isChosen ? Option.some({ wrote: Option.isSome(decided), entry: Option.some(entry) }) : Option.none;
}

/** @internal */
export const ballotRound = { createCounter, currentSet, holdsField, run } as const;
