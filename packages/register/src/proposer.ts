/** The proposing half of the register: majority read, majority write, compare-and-swap on top (design 5.1). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, identifiers, type Fault, type Runtime } from '@stallstall/kernel';
import type { Entry, Request } from '@stallstall/message';
import { ballotRound, type RoundContext } from './ballot-round.js';
import {
  fixedCoreSet,
  type ChangeOutcome,
  type CoreSetSource,
  type Decision,
  type CoreSetRegister,
  type Register,
  type RegisterReplica,
} from './register.js';
import { replicaCalls } from './replica-calls.js';

export type ProposerOptions = Readonly<{
  /** This node's id. */
  name: string;
  /** The disks that are asked, looked up at each round. */
  replicas: () => readonly RegisterReplica[];
  /** How many disks there are: a majority is counted of these. */
  replicaCount: () => number;
  /** @default a set that never changes */
  coreSets?: CoreSetSource;
  /**
   * What this process holds of a key already: its entry need not be sent here again (design 5.7).
   * @default nothing
   */
  localEntry?: (key: string) => Option.Option<Entry>;
}>;

const defaultTimeoutMilliseconds = 4_000;
const backoffMilliseconds = 20;
/** The backoff grows with each attempt up to so many times its first span. */
const backoffStepsMost = 10;

function noMajority({ replicaCount }: RoundContext, key: string): Fault {
  return fault.create({
    kind: 'no-majority',
    message: `the register did not settle ${key}: no majority of its ${replicaCount()} disks answered in time`,
    remedy: 'bring a core back, then try again',
    retryAfterSeconds: 1,
  });
}

function backoff({ runtime }: RoundContext, attempts: number): number {
  const jitter = 0.5 + runtime.randomness.fraction();
  return backoffMilliseconds * Math.min(attempts, backoffStepsMost) * jitter;
}

/** @param isCurrent - whether attempts may go on: false once the set of cores is another than the caller's */
async function change(
  context: RoundContext,
  isCurrent: () => boolean,
  key: string,
  decide: Decision,
  milliseconds = defaultTimeoutMilliseconds,
): Promise<Either.Either<Fault, ChangeOutcome>> {
  const { clock } = context.runtime;
  const deadline = identifiers.after(clock.now(), milliseconds);
  for (let attempts = 1; isCurrent(); attempts += 1) {
    const outcome = await ballotRound.run(context, key, decide);
    if (Option.isSome(outcome)) return Either.right(outcome.value);
    const pause = backoff(context, attempts);
    if (clock.now() + pause >= deadline) return Either.left(noMajority(context, key));
    await clock.sleep(pause);
  }
  return Either.left(noMajority(context, key));
}

function keepCurrent(): Option.Option<unknown> {
  return Option.none;
}

async function read(
  context: RoundContext,
  isCurrent: () => boolean,
  key: string,
  milliseconds = defaultTimeoutMilliseconds,
): Promise<Either.Either<Fault, Option.Option<Entry>>> {
  if (!isCurrent()) return Either.left(noMajority(context, key));
  const { replicas, setField: set, isMajority } = ballotRound.currentSet(context);
  const known = context.localEntry(key);
  const request: Request<'look'> = { key, ...set, ...ballotRound.holdsField(known) };
  const replies = await replicaCalls.sendToAll(context.runtime, {
    targets: replicas,
    call: 'look',
    bodyFor: () => request,
    isEnough: isMajority,
    observe: context.coreSets.observe,
  });
  const filled = replicaCalls.withLocalEntry(replies, known);
  if (isMajority(filled) && replicaCalls.isUnanimous(filled)) return Either.right(replicaCalls.highestEntry(filled));
  // Replicas differ, so a round may have been interrupted: it is completed before anything is read.
  const completed = await change(context, isCurrent, key, keepCurrent, milliseconds);
  return Either.isLeft(completed) ? completed : Either.right(completed.right.entry);
}

function create(runtime: Runtime, parts: ProposerOptions): CoreSetRegister {
  const proposerName = `${parts.name}#${runtime.randomness.token()}`;
  const coreSets = parts.coreSets ?? fixedCoreSet;
  const context: RoundContext = {
    runtime,
    proposer: proposerName,
    replicas: parts.replicas,
    replicaCount: parts.replicaCount,
    coreSets,
    localEntry: parts.localEntry ?? (() => Option.none),
    counter: ballotRound.createCounter(proposerName),
  };

  function registerWhile(isCurrent: () => boolean): Register {
    return {
      read: (key, milliseconds) => read(context, isCurrent, key, milliseconds),
      change: (key, decide, milliseconds) => change(context, isCurrent, key, decide, milliseconds),
    };
  }

  // The set can only change between two rounds of a caller that looks at it in the same turn in which a round begins.
  return { ...registerWhile(() => true), forCoreSet: (set) => registerWhile(() => coreSets.number() === set) };
}

export const proposer = { create } as const;
