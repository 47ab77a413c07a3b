/** The proposer role of the register: majority reads and majority writes, with compare-and-swap on top of them (design 5.1). */
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
import { replicaCalls, type ReplicaResponse } from './replica-calls.js';

export type ProposerOptions = Readonly<{
  /** This node's id. */
  name: string;
  /** The replicas to call; evaluated at each round. */
  replicas: () => readonly RegisterReplica[];
  /** The total number of replicas, of which a majority is needed. */
  replicaCount: () => number;
  /** @default a core set that never changes */
  coreSets?: CoreSetSource;
  /**
   * The entry of a key that this process already has, which replicas need not send again (design 5.7).
   * @default none
   */
  localEntry?: (key: string) => Option.Option<Entry>;
}>;

const defaultTimeoutMilliseconds = 4_000;
const backoffMilliseconds = 20;
/** The backoff grows linearly with each attempt, up to this multiple of the first one. */
const maxBackoffSteps = 10;

/** One read or change, with each replica's response to its latest call. */
type Operation = Readonly<{ context: RoundContext; key: string; responses: ReadonlyMap<string, ReplicaResponse> }>;

function startOperation(shared: Omit<RoundContext, 'recordResponse'>, key: string): Operation {
  const responses = new Map<string, ReplicaResponse>();
  return { context: { ...shared, recordResponse: (core, response) => void responses.set(core, response) }, key, responses };
}

function noMajority({ context, key, responses }: Operation): Fault {
  const replicaCount = context.replicaCount();
  const responded = [...responses].map(([core, response]) => `${core} ${response}`).join(', ');
  return fault.create({
    kind: 'no-majority',
    message: `the register could not complete the operation on ${key}: no majority of its ${replicaCount} replicas replied in time (${responded})`,
    remedy: 'restore an unavailable core, then try again',
    retryAfterSeconds: 1,
  });
}

function backoff({ runtime }: RoundContext, attempts: number): number {
  const jitter = 0.5 + runtime.randomness.fraction();
  return backoffMilliseconds * Math.min(attempts, maxBackoffSteps) * jitter;
}

/** @param isCurrent - whether further attempts are allowed: false once the core set differs from the caller's */
async function change(
  operation: Operation,
  isCurrent: () => boolean,
  decide: Decision,
  milliseconds = defaultTimeoutMilliseconds,
): Promise<Either.Either<Fault, ChangeOutcome>> {
  const { context, key } = operation;
  const { clock } = context.runtime;
  const deadline = identifiers.after(clock.now(), milliseconds);
  for (let attempts = 1; isCurrent(); attempts += 1) {
    const outcome = await ballotRound.run(context, key, decide);
    if (Option.isSome(outcome)) return Either.right(outcome.value);
    const pause = backoff(context, attempts);
    if (clock.now() + pause >= deadline) return Either.left(noMajority(operation));
    await clock.sleep(pause);
  }
  return Either.left(noMajority(operation));
}

function keepCurrent(): Option.Option<unknown> {
  return Option.none;
}

async function read(
  operation: Operation,
  isCurrent: () => boolean,
  milliseconds = defaultTimeoutMilliseconds,
): Promise<Either.Either<Fault, Option.Option<Entry>>> {
  const { context, key } = operation;
  if (!isCurrent()) return Either.left(noMajority(operation));
  const { replicas, setField, majority } = ballotRound.currentSet(context);
  const localEntry = context.localEntry(key);
  const request: Request<'look'> = { key, ...setField, ...ballotRound.holdsField(localEntry) };
  const replies = await replicaCalls.sendToAll(context.runtime, {
    targets: replicas,
    call: 'look',
    bodyFor: () => request,
    majority,
    isCounted: () => true,
    observe: context.coreSets.observe,
    recordResponse: context.recordResponse,
  });
  const filled = replicaCalls.withLocalEntry(replies, localEntry);
  if (filled.length >= majority && replicaCalls.isUnanimous(filled)) return Either.right(replicaCalls.highestEntry(filled));
  // The replicas differ, so a round may have been interrupted. It is completed before a value is returned.
  const completed = await change(operation, isCurrent, keepCurrent, milliseconds);
  return Either.isLeft(completed) ? completed : Either.right(completed.right.entry);
}

function create(runtime: Runtime, options: ProposerOptions): CoreSetRegister {
  const proposerName = `${options.name}#${runtime.randomness.token()}`;
  const coreSets = options.coreSets ?? fixedCoreSet;
  const shared: Omit<RoundContext, 'recordResponse'> = {
    runtime,
    proposer: proposerName,
    replicas: options.replicas,
    replicaCount: options.replicaCount,
    coreSets,
    localEntry: options.localEntry ?? (() => Option.none),
    counter: ballotRound.createCounter(proposerName),
  };

  function registerWhile(isCurrent: () => boolean): Register {
    return {
      read: (key, milliseconds) => read(startOperation(shared, key), isCurrent, milliseconds),
      change: (key, decide, milliseconds) => change(startOperation(shared, key), isCurrent, decide, milliseconds),
    };
  }

  // The core set is checked in the same event-loop turn in which a round takes its snapshot, so it cannot change between the two.
  return { ...registerWhile(() => true), forCoreSet: (set) => registerWhile(() => coreSets.number() === set) };
}

export const proposer = { create } as const;
