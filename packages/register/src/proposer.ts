/** The proposer role of the register: majority reads and majority writes, with compare-and-swap on top of them (design 5.1). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, identifiers, type Fault, type Instant, type Runtime } from '@stallstall/kernel';
import type { Entry, Request } from '@stallstall/message';
import { ballotRound, type RoundContext } from './ballot-round.js';
import { keyOperations, type OperationResult } from './key-operations.js';
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
/** The longest that a round of another proposer is assumed to take. */
const maxPreemptedBackoffMilliseconds = 400;
/** The random part of the pause doubles with each preempted round, this many times at the most. */
const maxSpreadDoublings = 2;
/** A look that is older than this is repeated before a round is run. */
const freshLookMilliseconds = 10;

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

/**
 * The pause before the next round on the key. After a rejection for a higher ballot another proposer's round is under way, which takes about
 * as long as this one did: an earlier round would only preempt it.
 */
function backoff({ context, responses }: Operation, failedRounds: number, roundMilliseconds: number): number {
  const random = context.runtime.randomness.fraction();
  const pause = backoffMilliseconds * Math.min(failedRounds, maxBackoffSteps) * (0.5 + random);
  const isPreempted = [...responses.values()].includes('higher-ballot');
  if (!isPreempted) return pause;
  const spread = 2 ** Math.min(failedRounds - 1, maxSpreadDoublings);
  return Math.max(pause, Math.min(roundMilliseconds, maxPreemptedBackoffMilliseconds) * (1 + random * spread));
}

/** The entry that a majority of replicas agrees on without a round; left when they differ or too few reply. */
async function look(operation: Operation): Promise<Either.Either<'undecided', Option.Option<Entry>>> {
  const { context, key } = operation;
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
  context.counter.observe(replies);
  const filled = replicaCalls.withLocalEntry(replies, localEntry);
  const isDecided = filled.length >= majority && replicaCalls.isUnanimous(filled);
  return isDecided ? Either.right(replicaCalls.highestEntry(filled)) : Either.left('undecided');
}

/** The rounds on a key that have failed in a row, and when the next one may begin. */
type KeyPause = Readonly<{ failedRounds: number; endsAt: Instant }>;

/**
 * `isCurrent`: whether further rounds are allowed; false once the core set differs from the caller's. `pauses`: by queue, shared by all its
 * operations, since an operation that began at once where another one has just been preempted would preempt in its place.
 */
type OperationBounds = Readonly<{ deadline: Instant; isCurrent: () => boolean; queueKey: string; pauses: Map<string, KeyPause> }>;

/** Waits until the next round on the key may begin; resolves to false at once if that is not before the deadline. */
async function waitForPause({ runtime }: RoundContext, { deadline, queueKey, pauses }: OperationBounds): Promise<boolean> {
  const endsAt = pauses.get(queueKey)?.endsAt;
  const now = runtime.clock.now();
  if (endsAt === undefined || endsAt <= now) return true;
  if (endsAt >= deadline) return false;
  await runtime.clock.sleep(endsAt - now);
  return true;
}

/** Runs rounds until one succeeds. `beforeRound` may end the operation without a round. */
async function runRounds(
  operation: Operation,
  bounds: OperationBounds,
  decide: Decision,
  beforeRound: (rounds: number) => Promise<Option.Option<ChangeOutcome>>,
): Promise<OperationResult> {
  const { context, key } = operation;
  const { isCurrent, queueKey, pauses } = bounds;
  const { clock } = context.runtime;
  for (let rounds = 0; isCurrent(); rounds += 1) {
    if (!(await waitForPause(context, bounds))) return Either.left(noMajority(operation));
    const found = await beforeRound(rounds);
    if (Option.isSome(found)) return Either.right(found.value);
    const startedAt = clock.now();
    const outcome = await ballotRound.run(context, key, decide);
    if (Option.isSome(outcome)) {
      pauses.delete(queueKey);
      return Either.right(outcome.value);
    }
    const failedRounds = (pauses.get(queueKey)?.failedRounds ?? 0) + 1;
    const endsAt = identifiers.after(clock.now(), backoff(operation, failedRounds, clock.now() - startedAt));
    pauses.set(queueKey, { failedRounds, endsAt });
  }
  return Either.left(noMajority(operation));
}

function roundAtOnce(): Promise<Option.Option<ChangeOutcome>> {
  return Promise.resolve(Option.none);
}

function keepCurrent(): Option.Option<unknown> {
  return Option.none;
}

/**
 * Completes an interrupted round, unless another process has completed it in the meantime.
 *
 * @param lookedAt - when the replicas were last seen to differ
 */
function completeRound(operation: Operation, bounds: OperationBounds, lookedAt: Instant): Promise<OperationResult> {
  const { clock } = operation.context.runtime;
  return runRounds(operation, bounds, keepCurrent, async function lookAgain(rounds) {
    if (rounds === 0 && clock.now() - lookedAt < freshLookMilliseconds) return Option.none;
    const looked = await look(operation);
    return Either.isLeft(looked) ? Option.none : Option.some({ wrote: false, entry: looked.right });
  });
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

  const operations = keyOperations.create(runtime.clock);

  const pauses = new Map<string, KeyPause>();

  function boundsOf(queueKey: string, isCurrent: () => boolean, milliseconds = defaultTimeoutMilliseconds): OperationBounds {
    return { deadline: identifiers.after(runtime.clock.now(), milliseconds), isCurrent, queueKey, pauses };
  }

  async function read(key: string, bounds: OperationBounds): Promise<Either.Either<Fault, Option.Option<Entry>>> {
    const operation = startOperation(shared, key);
    if (!bounds.isCurrent()) return Either.left(noMajority(operation));
    const looked = await look(operation);
    if (Either.isRight(looked)) return looked;
    // The replicas differ, so a round may have been interrupted. It is completed before a value is returned.
    const lookedAt = runtime.clock.now();
    const completed = await operations.read(bounds.queueKey, bounds.deadline, () => completeRound(operation, bounds, lookedAt));
    return Either.map((outcome: ChangeOutcome) => outcome.entry)(completed);
  }

  function change(key: string, bounds: OperationBounds, decide: Decision): Promise<OperationResult> {
    const operation = startOperation(shared, key);
    return operations.change(bounds.queueKey, bounds.deadline, () => runRounds(operation, bounds, decide, roundAtOnce));
  }

  /** @param scope - operations of different scopes do not wait for each other */
  function registerWhile(isCurrent: () => boolean, scope: string): Register {
    return {
      read: (key, milliseconds) => read(key, boundsOf(`${scope} ${key}`, isCurrent, milliseconds)),
      change: (key, decide, milliseconds) => change(key, boundsOf(`${scope} ${key}`, isCurrent, milliseconds), decide),
    };
  }

  // The core set is checked in the same event-loop turn in which a round takes its snapshot, so it cannot change between the two.
  return {
    ...registerWhile(() => true, 'any set'),
    forCoreSet: (set) => registerWhile(() => coreSets.number() === set, `set ${set}`),
  };
}

export const proposer = { create } as const;
