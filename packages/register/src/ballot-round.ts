/** One attempt to change a key: a majority of replicas promises a ballot, then a majority accepts the entry under it (design 5.1). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Runtime } from '@stallstall/kernel';
import type { Ballot, Entry, Request } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import { compressedDifference } from './compressed-difference.js';
import type { ChangeOutcome, CoreSetSource, Decision, RegisterReplica } from './register.js';
import { replicaCalls, type ReplicaReply, type ReplicaResponse } from './replica-calls.js';

/** @internal */
export type RoundContext = Readonly<{
  runtime: Runtime;
  /** A name unique to this proposer, so that no other proposer uses the same ballots. */
  proposer: string;
  replicas: () => readonly RegisterReplica[];
  replicaCount: () => number;
  coreSets: CoreSetSource;
  /** The entry of a key that this process already has, which replicas need not send again (design 5.7). */
  localEntry: (key: string) => Option.Option<Entry>;
  counter: BallotCounter;
  /** Called with the response of each replica to the latest call of the operation. */
  recordResponse: (core: string, response: ReplicaResponse) => void;
}>;

/** @internal */
export type BallotCounter = Readonly<{
  next: () => Ballot;
  /** Makes the next ballot higher than every ballot that these replicas promised. */
  observe: (replies: readonly ReplicaReply[]) => void;
}>;

/** The replicas, the majority size and the number of one core set, determined once for an entire round (design 4.8). @internal */
export type RoundSet = Readonly<{
  replicas: readonly RegisterReplica[];
  /** The field with the number of the core set, to be sent with each call. */
  setField: Readonly<{ set?: number }>;
  /** The number of replicas that make a majority; unreachable in an empty set. */
  majority: number;
}>;

/**
 * How long to wait for further promises once a majority has promised. A replica whose promise arrives within this time is also sent the
 * accept request, so that it does not fall behind and its cell does not have to be resolved later. Unit: milliseconds.
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

/** A snapshot of the current core set. */
function currentSet({ replicas, replicaCount, coreSets }: RoundContext): RoundSet {
  const size = replicaCount();
  const number = coreSets.number();
  return {
    replicas: replicas(),
    setField: number === 0 ? {} : { set: number },
    majority: size > 0 ? quorum.majority(size) : Number.POSITIVE_INFINITY,
  };
}

/** The field with the ballot of the entry that this process already has; replies omit that entry. */
function holdsField(localEntry: Option.Option<Entry>): Readonly<{ holds?: Ballot }> {
  return Option.isNone(localEntry) ? {} : { holds: localEntry.value.ballot };
}

/** The field with the ballot of the entry that is succeeded, for the key whose earlier versions are kept. */
function afterField(key: string, current: Option.Option<Entry>): Readonly<{ after?: Ballot }> {
  return key === versionedKey && Option.isSome(current) ? { after: current.value.ballot } : {};
}

function isRemoteWithLocalEntry({ isEntryOmitted, target }: ReplicaReply): boolean {
  return isEntryOmitted && target.local !== true;
}

/** The request with only the difference from the local entry, if any remote replica has that entry; otherwise the complete request. */
function differenceRequest(
  complete: Request<'accept'>,
  localEntry: Option.Option<Entry>,
  promises: readonly ReplicaReply[],
): Request<'accept'> {
  if (Option.isNone(localEntry) || !promises.some(isRemoteWithLocalEntry)) return complete;
  const difference = compressedDifference.between(localEntry.value.value, complete.entry.value);
  if (difference === undefined) return complete;
  return { ...complete, entry: { ...complete.entry, value: null }, base: { ballot: localEntry.value.ballot, difference } };
}

/** Asks all replicas to promise a ballot; resolves to the promises, which may be fewer than a majority. */
async function collectPromises(
  context: RoundContext,
  key: string,
  ballot: Ballot,
  localEntry: Option.Option<Entry>,
  { replicas, setField, majority }: RoundSet,
): Promise<readonly ReplicaReply[]> {
  const replies = await replicaCalls.sendToAll(context.runtime, {
    targets: replicas,
    call: 'prepare',
    bodyFor: () => ({ key, ballot, ...setField, ...holdsField(localEntry) }),
    majority,
    isCounted: replicaCalls.isAgreeing,
    observe: context.coreSets.observe,
    recordResponse: context.recordResponse,
    lingerMilliseconds: promiseLingerMilliseconds,
  });
  context.counter.observe(replies);
  return replicaCalls.agreeing(replicaCalls.withLocalEntry(replies, localEntry));
}

/** Sends an entry to the replicas whose promises were counted; only these may accept it (design 5.1). Resolves to whether it was chosen. */
async function collectAccepts(
  context: RoundContext,
  complete: Request<'accept'>,
  localEntry: Option.Option<Entry>,
  promises: readonly ReplicaReply[],
  { majority }: RoundSet,
): Promise<boolean> {
  const withDifference = differenceRequest(complete, localEntry, promises);
  const coresWithLocalEntry = new Set(promises.filter(isRemoteWithLocalEntry).map((promise) => promise.target.core));
  const replies = await replicaCalls.sendToAll(context.runtime, {
    targets: promises.map((promise) => replicaCalls.withCompleteEntryOnRequest(promise.target, complete)),
    call: 'accept',
    bodyFor: (target) => (coresWithLocalEntry.has(target.core) ? withDifference : complete),
    majority,
    isCounted: replicaCalls.isAgreeing,
    observe: context.coreSets.observe,
    recordResponse: context.recordResponse,
  });
  context.counter.observe(replies);
  return replicaCalls.agreeing(replies).length >= majority;
}

/** Runs one round. Resolves to none when the outcome is unknown: the entry may still be chosen. */
async function run(context: RoundContext, key: string, decide: Decision): Promise<Option.Option<ChangeOutcome>> {
  const ballot = context.counter.next();
  const roundSet = currentSet(context);
  const { setField, majority } = roundSet;
  const localEntry = context.localEntry(key);
  const promises = await collectPromises(context, key, ballot, localEntry, roundSet);
  if (promises.length < majority) return Option.none;
  const current = replicaCalls.highestEntry(promises);
  const decided = decide(current);
  if (Option.isNone(decided) && replicaCalls.isUnanimous(promises)) return Option.some({ wrote: false, entry: current });
  const entry: Entry = Option.isSome(decided)
    ? { ballot, version: Option.isSome(current) ? current.value.version + 1 : 1, value: decided.value, ...afterField(key, current) }
    : { ...(current as Option.Some<Entry>).value, ballot };
  const complete = { key, entry, ...setField };
  const isChosen = await collectAccepts(context, complete, localEntry, promises, roundSet);
  return isChosen ? Option.some({ wrote: Option.isSome(decided), entry: Option.some(entry) }) : Option.none;
}

/** @internal */
export const ballotRound = { createCounter, currentSet, holdsField, run } as const;
