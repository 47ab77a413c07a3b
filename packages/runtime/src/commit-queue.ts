/** Puts on their way to the store: those that come while one commit is under way share the next (design 5.1). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { diskHealth, fault, type Clock, type DiskHealth, type Fault } from '@stallstall/kernel';
import type { DiskSpaceProbe } from './disk-space-probe.js';

/** What is used of lmdb. */
export type Store = Readonly<{
  get: (key: string) => unknown;
  getRange: (range: Readonly<{ start?: string; end?: string }>) => Iterable<Readonly<{ key: string; value: unknown }>>;
  put: (key: string, value: unknown) => Promise<boolean>;
  /** One commit, synced when it ends, of all puts and removals that the action makes. */
  batch: (action: () => void) => Promise<boolean>;
  close: () => Promise<void>;
}>;

export type CommitQueue = Readonly<{
  put: (key: string, value: unknown) => Promise<Either.Either<Fault, null>>;
  /** How many puts have been synced in the life of this store. */
  synced: () => number;
  health: DiskHealth;
}>;

/** How many puts were synced: kept with each commit. */
export const putsKey = '#puts';
/** More puts than these wait for no commit: whoever asks hears at once that there is no answer. */
const mostWaiting = 1_000;
const mostProofBytes = 256 * 1024;
/** lmdb's code for a store that cannot be written any more before it is opened anew: a sync of its meta page failed. */
const panicCode = -30_795;

type Waiting = Readonly<{ key: string; value: unknown; settle: (outcome: Either.Either<Fault, null>) => void }>;

/** lmdb tells the cause of a failed commit by a second promise, whose rejection must be taken by somebody. */
async function causeOf(error: unknown): Promise<Error> {
  const { commitError } = error as Readonly<{ commitError?: Promise<never> }>;
  if (commitError === undefined) return error as Error;
  try {
    return await commitError;
  } catch (cause) {
    return cause as Error;
  }
}

function bytesOf(group: readonly Waiting[]): number {
  return group.reduce((sum, one) => sum + (JSON.stringify(one.value) ?? '').length, 0);
}

/** `reopen` closes the store and opens it anew. */
function create(clock: Clock, probe: DiskSpaceProbe, store: () => Store, reopen: () => Promise<Either.Either<Fault, null>>): CommitQueue {
  const first = store().get(putsKey);
  let count = typeof first === 'number' ? first : 0;
  let waiting: Waiting[] = [];
  let working = false;
  let proofBytes = 0;

  async function write(what: string, action: () => void): Promise<Either.Either<Fault, null>> {
    try {
      const kept = await store().batch(action);
      return kept ? Either.right(null) : Either.left(fault.diskFailed(what, new Error('the commit was not kept')));
    } catch (error) {
      const cause = await causeOf(error);
      if ((cause as Readonly<{ code?: number }>).code === panicCode) await reopen();
      return Either.left(fault.diskFailed(what, cause));
    }
  }

  async function commit(group: readonly Waiting[]): Promise<Either.Either<Fault, null>> {
    const total = count + group.length;
    const checked = await probe.check();
    const outcome = Either.isLeft(checked)
      ? checked
      : await write(group.map((one) => one.key).join(' '), function putAll() {
          for (const one of group) void store().put(one.key, one.value);
          void store().put(putsKey, total);
        });
    if (Either.isRight(outcome)) count = total;
    else proofBytes = Math.min(mostProofBytes, bytesOf(group));
    return outcome;
  }

  // Tried with as many bytes as the commit that failed: a disk that is full may well take a few.
  const health = diskHealth.create(clock, () => probe.prove(proofBytes));

  async function work(): Promise<void> {
    if (working) return;
    working = true;
    while (waiting.length > 0) {
      const group = waiting;
      waiting = [];
      const outcome = await health.monitor(() => commit(group));
      for (const one of group) one.settle(outcome);
    }
    working = false;
  }

  function put(key: string, value: unknown): Promise<Either.Either<Fault, null>> {
    const trouble = health.syncFault();
    if (Option.isSome(trouble)) return Promise.resolve(Either.left(trouble.value));
    if (waiting.length >= mostWaiting) {
      return Promise.resolve(Either.left(fault.diskFailed(key, new Error(`${mostWaiting} puts wait for the disk`))));
    }
    return new Promise(function queue(settle) {
      waiting.push({ key, value, settle });
      // In a turn of its own, so that all puts of this turn share the commit.
      setImmediate(() => void work());
    });
  }

  return { put, synced: () => count, health };
}

export const commitQueues = { create } as const;
