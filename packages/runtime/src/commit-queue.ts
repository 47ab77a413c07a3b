/** Group commit of puts to the store: puts that arrive during a commit share the next one (design 5.1). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { diskHealth, fault, type Clock, type DiskHealth, type Fault } from '@stallstall/kernel';
import type { DiskSpaceProbe } from './disk-space-probe.js';

/** The subset of lmdb's interface that is used. */
export type Store = Readonly<{
  get: (key: string) => unknown;
  getRange: (range: Readonly<{ start?: string; end?: string }>) => Iterable<Readonly<{ key: string; value: unknown }>>;
  put: (key: string, value: unknown) => Promise<boolean>;
  /** Commits all puts and removals that the action makes; resolves once the commit is synced. */
  batch: (action: () => void) => Promise<boolean>;
  close: () => Promise<void>;
}>;

export type CommitQueue = Readonly<{
  put: (key: string, value: unknown) => Promise<Either.Either<Fault, null>>;
  /** The number of puts synced since the store was created. */
  syncedPuts: () => number;
  health: DiskHealth;
}>;

/** Key of the number of synced puts, which is stored with each commit. */
export const putsKey = '#puts';
/** Further puts fail at once while this many are queued. */
const maxQueuedPuts = 1_000;
const maxProbeBytes = 256 * 1024;
/** MDB_PANIC: after a failed sync of its meta page, a store cannot be written until it is reopened. */
const panicCode = -30_795;

type QueuedPut = Readonly<{ key: string; value: unknown; resolve: (outcome: Either.Either<Fault, null>) => void }>;

/** lmdb reports the cause of a failed commit through a second promise, whose rejection must be handled. */
async function causeOf(error: unknown): Promise<Error> {
  const { commitError } = error as Readonly<{ commitError?: Promise<never> }>;
  if (commitError === undefined) return error as Error;
  try {
    return await commitError;
  } catch (cause) {
    return cause as Error;
  }
}

function byteLength(group: readonly QueuedPut[]): number {
  return group.reduce((sum, queued) => sum + (JSON.stringify(queued.value) ?? '').length, 0);
}

/** @param reopen - closes the store and opens it again */
function create(clock: Clock, probe: DiskSpaceProbe, store: () => Store, reopen: () => Promise<Either.Either<Fault, null>>): CommitQueue {
  const storedCount = store().get(putsKey);
  let syncedPuts = typeof storedCount === 'number' ? storedCount : 0;
  let queue: QueuedPut[] = [];
  let isWorking = false;
  let probeBytes = 0;

  async function write(keys: string, action: () => void): Promise<Either.Either<Fault, null>> {
    try {
      const isCommitted = await store().batch(action);
      return isCommitted ? Either.right(null) : Either.left(fault.diskFailed(keys, new Error('the commit was not applied')));
    } catch (error) {
      const cause = await causeOf(error);
      if ((cause as Readonly<{ code?: number }>).code === panicCode) await reopen();
      return Either.left(fault.diskFailed(keys, cause));
    }
  }

  async function commit(group: readonly QueuedPut[]): Promise<Either.Either<Fault, null>> {
    const total = syncedPuts + group.length;
    const checked = await probe.check();
    const outcome = Either.isLeft(checked)
      ? checked
      : await write(group.map((queued) => queued.key).join(' '), function putAll() {
          for (const queued of group) void store().put(queued.key, queued.value);
          void store().put(putsKey, total);
        });
    if (Either.isRight(outcome)) syncedPuts = total;
    else probeBytes = Math.min(maxProbeBytes, byteLength(group));
    return outcome;
  }

  // Probes with as many bytes as the failed commit had, since a nearly full disk may still accept a few bytes.
  const health = diskHealth.create(clock, () => probe.testWrite(probeBytes));

  async function commitQueued(): Promise<void> {
    if (isWorking) return;
    isWorking = true;
    while (queue.length > 0) {
      const group = queue;
      queue = [];
      const outcome = await health.monitor(() => commit(group));
      for (const queued of group) queued.resolve(outcome);
    }
    isWorking = false;
  }

  function put(key: string, value: unknown): Promise<Either.Either<Fault, null>> {
    const syncFault = health.syncFault();
    if (Option.isSome(syncFault)) return Promise.resolve(Either.left(syncFault.value));
    if (queue.length >= maxQueuedPuts) {
      return Promise.resolve(Either.left(fault.diskFailed(key, new Error(`${maxQueuedPuts} puts are already queued`))));
    }
    return new Promise(function enqueue(resolve) {
      queue.push({ key, value, resolve });
      // Starts in a later turn of the event loop, so that all puts of this turn share the commit.
      setImmediate(() => void commitQueued());
    });
  }

  return { put, syncedPuts: () => syncedPuts, health };
}

export const commitQueues = { create } as const;
