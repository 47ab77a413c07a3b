/** The disk of a core over an open store: reads at once, puts in commits that are synced when they end (design 5.1). */
import fs from 'node:fs';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Disk, type Fault } from '@stallstall/kernel';
import { clock } from './clock.js';
import { commitQueues, type CommitQueue, type Store } from './commit-queue.js';
import type { DiskSpaceProbe } from './disk-space-probe.js';
import { lmdbStore, lostKey, ownPrefix, type OpenStore } from './lmdb-store.js';
import { storeFile } from './store-file.js';

type DiskState = {
  readonly folder: string;
  readonly openStore: OpenStore;
  readonly probe: DiskSpaceProbe;
  store: Store;
  writing: CommitQueue;
};

type KeyRange = Readonly<{ start?: string; end?: string }>;
type Entry = readonly [string, unknown];

/** Reads never wait for a sync; one that finds what it cannot read says so. */
function reading<Outcome>(what: string, read: () => Outcome): Promise<Either.Either<Fault, Outcome>> {
  try {
    return Promise.resolve(Either.right(read()));
  } catch (error) {
    return Promise.resolve(Either.left(fault.diskDamaged(what, error as Error)));
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

function commitsOf(disk: DiskState): CommitQueue {
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
    disk.writing = commitsOf(disk);
    return Either.right(null);
  } catch (error) {
    return Either.left(fault.diskFailed('an empty store', error as Error));
  }
}

/** The entries of a range but for this package's own. */
function* entriesIn({ store }: DiskState, range: KeyRange): Iterable<Entry> {
  for (const { key, value } of store.getRange(range)) if (!key.startsWith(ownPrefix)) yield [key, value];
}

/** '0' follows '/': all keys before the prefix, then all keys after it, without a look at what lies between. */
function loadWithout(disk: DiskState, prefix: string): ReadonlyMap<string, unknown> {
  return new Map([...entriesIn(disk, { end: prefix }), ...entriesIn(disk, { start: `${prefix.slice(0, -1)}0` })]);
}

function pageOf(disk: DiskState, prefix: string, after: string, bytes: number): readonly Entry[] {
  const found: Entry[] = [];
  let bytesLeft = bytes;
  for (const [key, value] of entriesIn(disk, { start: after > prefix ? after : prefix })) {
    if (!key.startsWith(prefix) || bytesLeft <= 0) break;
    if (key === after) continue;
    found.push([key, value]);
    bytesLeft -= JSON.stringify(value).length;
  }
  return found;
}

function lostReason({ store }: DiskState): Option.Option<string> {
  try {
    return Option.fromNullable(store.get(lostKey) as string | undefined);
  } catch {
    return Option.none;
  }
}

function create(folder: string, openStore: OpenStore, probe: DiskSpaceProbe, store: Store): Disk {
  const disk = { folder, openStore, probe, store } as DiskState;
  disk.writing = commitsOf(disk);
  return {
    puts: () => disk.writing.synced(),
    load: (without) => reading('the data folder', () => loadWithout(disk, without)),
    read: (key) => reading(key, () => Option.fromNullable(disk.store.get(key))),
    page: (prefix, after, bytes) => reading(prefix, () => pageOf(disk, prefix, after, bytes)),
    size: () => fs.statSync(storeFile.pathOf(folder), { throwIfNoEntry: false })?.size ?? 0,
    put: (key, value) => disk.writing.put(key, value),
    syncFault: () => disk.writing.health.syncFault(),
    onSyncFaultChange: (listener) => disk.writing.health.onSyncFaultChange(listener),
    discardedStoreReason: () => lostReason(disk),
    discard: (reason) => discard(disk, reason),
  };
}

/** @internal */
export const storedDisk = { create } as const;
