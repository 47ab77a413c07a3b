/** Opens the disk of a core: lmdb with each put awaited until it is synced (design 5.1). Its file map is private to this process. */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Disk, type Fault } from '@stallstall/kernel';
import { clock } from './clock.js';
import { diskSpaceProbe, type DiskSpaceProbe } from './disk-space-probe.js';
import { folderLock } from './folder-lock.js';
import { lmdbStore, type OpenStore } from './lmdb-store.js';
import { storedDisk } from './stored-disk.js';
import { storeFile } from './store-file.js';

export type { Store } from './commit-queue.js';
export type { OpenStore } from './lmdb-store.js';

const retryMilliseconds = 250;

/** Claims the folder, or closes what was opened of it. */
async function claimOrClose(folder: string, close: () => Promise<void>): Promise<Either.Either<Fault, null>> {
  try {
    const claimed = folderLock.claim(folder);
    if (Either.isLeft(claimed)) await close();
    return claimed;
  } catch (error) {
    await close();
    return Either.left(lmdbStore.cannotOpen(error as Error));
  }
}

/** The store is opened only once the disk has shown that it takes bytes: lmdb may end the process where it does not. */
async function openWith(folder: string, openStore: OpenStore, probe: DiskSpaceProbe): Promise<Either.Either<Fault, Disk>> {
  const wasUsed = folderLock.wasClaimed(folder);
  const proven = await probe.prove(0);
  if (Either.isLeft(proven)) return proven;
  const store = await lmdbStore.openOrReplace(folder, openStore, wasUsed);
  const claimed = await claimOrClose(folder, () => store.close());
  return Either.isLeft(claimed) ? claimed : Either.right(storedDisk.create(folder, openStore, probe, store));
}

/**
 * Opens the store in a folder. One that cannot be used is moved aside for an empty one: its core then copies the others. Errors:
 * `disk-failed`, which may pass; `foreign-disk`, for an operator.
 */
async function open(folder: string, openStore: OpenStore = lmdbStore.openLmdb): Promise<Either.Either<Fault, Disk>> {
  try {
    storeFile.makeFolder(folder);
    const held = folderLock.heldByAnother(folder);
    if (Option.isSome(held)) return Either.left(held.value);
    const probe = diskSpaceProbe.open(folder);
    const opened = await openWith(folder, openStore, probe);
    if (Either.isLeft(opened)) probe.close();
    return opened;
  } catch (error) {
    return Either.left(lmdbStore.cannotOpen(error as Error));
  }
}

/** Opens a folder whose disk may be full as this process starts: retries until it takes bytes, and calls `onTrouble` once. */
async function openWhenWorking(
  folder: string,
  onTrouble: (reason: Fault) => void,
  openStore: OpenStore = lmdbStore.openLmdb,
): Promise<Either.Either<Fault, Disk>> {
  for (let attempts = 1; ; attempts += 1) {
    const opened = await open(folder, openStore);
    if (Either.isRight(opened) || fault.kind(opened.left) !== 'disk-failed') return opened;
    if (attempts === 1) onTrouble(opened.left);
    await clock.sleep(retryMilliseconds);
  }
}

export const disk = {
  open,
  openWhenWorking,
  openLmdb: lmdbStore.openLmdb,
  claim: folderLock.claim,
  processIdentity: folderLock.processIdentity,
} as const;
