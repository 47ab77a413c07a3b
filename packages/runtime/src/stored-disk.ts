/** The disk of a core on top of an open store: synchronous reads, and puts that resolve once their commit is synced (design 5.1). */
import fs from 'node:fs';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Disk, type Fault } from '@stallstall/kernel';
import { clock } from './clock.js';
import { commitQueues, type CommitQueue, type Store } from './commit-queue.js';
import type { DiskSpaceProbe } from './disk-space-probe.js';
import { lmdbStore, discardReasonKey, internalKeyPrefix, type OpenStore } from './lmdb-store.js';
import { storeFile } from './store-file.js';

type DiskState = {
  readonly folder: string;
  readonly openStore: OpenStore;
  readonly probe: DiskSpaceProbe;
  store: Store;
  commitQueue: CommitQueue;
};

type KeyRange = Readonly<{ start?: string; end?: string }>;
type Entry = readonly [string, unknown];

/** Runs a read, which never waits for a sync. Errors: `disk-damaged` if the data cannot be read. */
function tryRead<Outcome>(subject: string, read: () => Outcome): Promise<Either.Either<Fault, Outcome>> {
  try {
    return Promise.resolve(Either.right(read()));
  } catch (error) {
    return Promise.resolve(Either.left(fault.diskDamaged(subject, error as Error)));
  }
}

async function reopen(disk: DiskState): Promise<Either.Either<Fault, null>> {
  try {
    await disk.store.close();
    disk.store = disk.openStore(storeFile.pathOf(disk.folder));
    return Either.right(null);
  } catch (error) {
    return Either.left(fault.diskFailed('the data folder', error as Error));
  }
}

function createCommitQueue(disk: DiskState): CommitQueue {
  return commitQueues.create(
    clock,
    disk.probe,
    () => disk.store,
    () => reopen(disk),
  );
}

async function discard(disk: DiskState, reason: string): Promise<Either.Either<Fault, null>> {
  try {
    await disk.store.close();
    disk.store = await lmdbStore.replace(disk.folder, disk.openStore, Option.some(reason));
    disk.commitQueue = createCommitQueue(disk);
    return Either.right(null);
  } catch (error) {
    return Either.left(fault.diskFailed('an empty store', error as Error));
  }
}

/** The entries of a range, without the internal keys of this package. */
function* entriesIn({ store }: DiskState, range: KeyRange): Iterable<Entry> {
  for (const { key, value } of store.getRange(range)) if (!key.startsWith(internalKeyPrefix)) yield [key, value];
}

/** Loads all entries except those with the prefix, without reading the latter. The prefix ends with '/', whose successor is '0'. */
function loadAllExcept(disk: DiskState, prefix: string): ReadonlyMap<string, unknown> {
  return new Map([...entriesIn(disk, { end: prefix }), ...entriesIn(disk, { start: `${prefix.slice(0, -1)}0` })]);
}

function readPage(disk: DiskState, prefix: string, after: string, bytes: number): readonly Entry[] {
  const entries: Entry[] = [];
  let bytesLeft = bytes;
  for (const [key, value] of entriesIn(disk, { start: after > prefix ? after : prefix })) {
    if (!key.startsWith(prefix) || bytesLeft <= 0) break;
    if (key === after) continue;
    entries.push([key, value]);
    bytesLeft -= JSON.stringify(value).length;
  }
  return entries;
}

function discardReason({ store }: DiskState): Option.Option<string> {
  try {
    return Option.fromNullable(store.get(discardReasonKey) as string | undefined);
  } catch {
    return Option.none;
  }
}

function create(folder: string, openStore: OpenStore, probe: DiskSpaceProbe, store: Store): Disk {
  const disk = { folder, openStore, probe, store } as DiskState;
  disk.commitQueue = createCommitQueue(disk);
  return {
    puts: () => disk.commitQueue.syncedPuts(),
    load: (excludedPrefix) => tryRead('the data folder', () => loadAllExcept(disk, excludedPrefix)),
    read: (key) => tryRead(key, () => Option.fromNullable(disk.store.get(key))),
    page: (prefix, after, bytes) => tryRead(prefix, () => readPage(disk, prefix, after, bytes)),
    size: () => fs.statSync(storeFile.pathOf(folder), { throwIfNoEntry: false })?.size ?? 0,
    put: (key, value) => disk.commitQueue.put(key, value),
    syncFault: () => disk.commitQueue.health.syncFault(),
    onSyncFaultChange: (listener) => disk.commitQueue.health.onSyncFaultChange(listener),
    discardedStoreReason: () => discardReason(disk),
    discard: (reason) => discard(disk, reason),
  };
}

/** @internal */
export const storedDisk = { create } as const;
