/** Opens the disk of a core: an lmdb store whose puts resolve once they are synced (design 5.1). No other process maps the store's file. */
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

/** Locks the folder for this process; closes the store if that fails. */
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

/** Opens the store after a test write: on a disk that accepts no bytes, lmdb may crash the process. */
async function openWith(folder: string, openStore: OpenStore, probe: DiskSpaceProbe): Promise<Either.Either<Fault, Disk>> {
  const wasUsed = folderLock.wasClaimed(folder);
  const tested = await probe.testWrite(0);
  if (Either.isLeft(tested)) return tested;
  const store = await lmdbStore.openOrReplace(folder, openStore, wasUsed);
  const claimed = await claimOrClose(folder, () => store.close());
  return Either.isLeft(claimed) ? claimed : Either.right(storedDisk.create(folder, openStore, probe, store));
}

/**
 * Opens the store in a folder. An unusable store is moved aside and replaced by an empty one, which the core then fills from other cores.
 * Errors: `disk-failed`, which may be transient; `foreign-disk`, which needs an operator.
 */
async function open(folder: string, openStore: OpenStore = lmdbStore.openLmdb): Promise<Either.Either<Fault, Disk>> {
  try {
    storeFile.createFolder(folder);
    const conflict = folderLock.heldByAnother(folder);
    if (Option.isSome(conflict)) return Either.left(conflict.value);
    const probe = diskSpaceProbe.open(folder);
    const opened = await openWith(folder, openStore, probe);
    if (Either.isLeft(opened)) probe.close();
    return opened;
  } catch (error) {
    return Either.left(lmdbStore.cannotOpen(error as Error));
  }
}

/** Opens a folder whose disk may be full when this process starts: retries until the disk works; `onFault` is called once. */
async function openWhenWorking(
  folder: string,
  onFault: (reason: Fault) => void,
  openStore: OpenStore = lmdbStore.openLmdb,
): Promise<Either.Either<Fault, Disk>> {
  for (let attempts = 1; ; attempts += 1) {
    const opened = await open(folder, openStore);
    if (Either.isRight(opened) || fault.kind(opened.left) !== 'disk-failed') return opened;
    if (attempts === 1) onFault(opened.left);
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
