/** The lmdb store of a data folder: opened, or replaced by an empty one if it is unusable (design 4.3, 5.1). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Fault } from '@stallstall/kernel';
import { open as openDatabase } from 'lmdb';
import { putsKey, type Store } from './commit-queue.js';
import { storeFile } from './store-file.js';

/** Opens an lmdb store. Tests replace it to simulate a failing disk. */
export type OpenStore = (file: string) => Store;

/** Key of the reason why the previous store was discarded. */
export const discardReasonKey = '#lost';
/** Prefix of the internal keys of this package. */
export const internalKeyPrefix = '#';

/** Error codes of disk faults that may be transient. */
const transientCodes = new Set(['ENOSPC', 'EDQUOT', 'EIO', 'EFBIG', 'EROFS']);

function isTransient(error: unknown): boolean {
  return transientCodes.has((error as NodeJS.ErrnoException).code ?? '');
}

/** Disables lmdb's implicit batches: it drops their promises, and an unhandled rejection would end the process. */
function openLmdb(file: string): Store {
  return openDatabase<unknown, string>({
    path: file,
    encoding: 'json',
    overlappingSync: false,
    eventTurnBatching: false,
    noSubdir: true,
  });
}

/** `disk-failed` for a fault that may be transient, `foreign-disk` for one that needs an operator. */
function cannotOpen(error: Error): Fault {
  if (isTransient(error)) return fault.diskFailed('the data folder', error);
  return fault.create({
    kind: 'foreign-disk',
    message: `the data folder cannot be opened: ${error.message}`,
    remedy: 'check that it is a folder and that this process may write to it',
    cause: error,
  });
}

/** Creates a store with a put count of 0, so that a store without a count can be recognised as damaged. */
async function createEmpty(folder: string, openStore: OpenStore, discardReason: Option.Option<string>): Promise<void> {
  await storeFile.createAtomically(folder, async function fill(file) {
    const created = openStore(file);
    try {
      await created.batch(function initialize() {
        void created.put(putsKey, 0);
        if (Option.isSome(discardReason)) void created.put(discardReasonKey, discardReason.value);
      });
    } finally {
      await created.close();
    }
  });
}

/** Opens the store in a folder. Left: why an existing store cannot be used, or none if there never was a store. */
function openExisting(folder: string, openStore: OpenStore, wasUsed: boolean): Either.Either<Option.Option<string>, Store> {
  const state = storeFile.inspect(folder);
  // The lock file is written after the first store was created, so a folder with a lock file and no store has lost its store.
  if (state === 'missing') return Either.left(wasUsed ? Option.some('the store file is missing') : Option.none);
  if (state === 'broken') return Either.left(Option.some('the first pages of the store are damaged'));
  try {
    const store = openStore(storeFile.pathOf(folder));
    return typeof store.get(putsKey) === 'number' ? Either.right(store) : Either.left(Option.some('the put count of the store is missing'));
  } catch (error) {
    if (isTransient(error)) throw error;
    return Either.left(Option.some((error as Error).message));
  }
}

/** Moves the store aside and opens a new, empty one. */
async function replace(folder: string, openStore: OpenStore, discardReason: Option.Option<string>): Promise<Store> {
  storeFile.moveAside(folder);
  await createEmpty(folder, openStore, discardReason);
  return openStore(storeFile.pathOf(folder));
}

/** @param wasUsed - whether any process has ever locked the folder */
async function openOrReplace(folder: string, openStore: OpenStore, wasUsed: boolean): Promise<Store> {
  const existing = openExisting(folder, openStore, wasUsed);
  return Either.isRight(existing) ? existing.right : replace(folder, openStore, existing.left);
}

/** @internal */
export const lmdbStore = { openLmdb, cannotOpen, openOrReplace, replace } as const;
