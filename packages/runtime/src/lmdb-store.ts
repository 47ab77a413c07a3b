/** The store of a data folder in lmdb: opened as it is, or replaced by an empty one where it cannot be used (design 4.3, 5.1). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Fault } from '@stallstall/kernel';
import { open as openDatabase } from 'lmdb';
import { putsKey, type Store } from './commit-queue.js';
import { storeFile } from './store-file.js';

/** Opens a store of lmdb; another one takes its place where a failing disk is to be seen. */
export type OpenStore = (file: string) => Store;

/** Why the store before this one was given up. */
export const lostKey = '#lost';
/** Keys that begin so are this package's own. */
export const ownPrefix = '#';

/** What the system says of a disk that may take bytes again later. */
const passingCodes = new Set(['ENOSPC', 'EDQUOT', 'EIO', 'EFBIG', 'EROFS']);

function isPassing(error: unknown): boolean {
  return passingCodes.has((error as NodeJS.ErrnoException).code ?? '');
}

/** Without batches of its own: lmdb drops the promises of these, and their rejections would end the process. */
function openLmdb(file: string): Store {
  return openDatabase<unknown, string>({
    path: file,
    encoding: 'json',
    overlappingSync: false,
    eventTurnBatching: false,
    noSubdir: true,
  });
}

/** `disk-failed` where it may pass, `foreign-disk` for an operator. */
function cannotOpen(error: Error): Fault {
  if (isPassing(error)) return fault.diskFailed('the data folder', error);
  return fault.create({
    kind: 'foreign-disk',
    message: `the data folder cannot be opened: ${error.message}`,
    remedy: 'see that it is a folder and can be written',
    cause: error,
  });
}

/** Creates a store that holds its count of puts from the first, so that one without a count is known as broken. */
async function createEmpty(folder: string, openStore: OpenStore, lost: Option.Option<string>): Promise<void> {
  await storeFile.make(folder, async function fill(file) {
    const created = openStore(file);
    try {
      await created.batch(function first() {
        void created.put(putsKey, 0);
        if (Option.isSome(lost)) void created.put(lostKey, lost.value);
      });
    } finally {
      await created.close();
    }
  });
}

/** The store in this folder as it can be used; left with why there is none, or with nothing where there never was one. */
function openExisting(folder: string, openStore: OpenStore, wasUsed: boolean): Either.Either<Option.Option<string>, Store> {
  const state = storeFile.inspect(folder);
  // The lock is written once the first store is there: a folder with a lock and no store has lost it.
  if (state === 'missing') return Either.left(wasUsed ? Option.some('its file is missing') : Option.none);
  if (state === 'broken') return Either.left(Option.some('its first pages are damaged'));
  try {
    const store = openStore(storeFile.pathOf(folder));
    return typeof store.get(putsKey) === 'number' ? Either.right(store) : Either.left(Option.some('its count of puts is missing'));
  } catch (error) {
    if (isPassing(error)) throw error;
    return Either.left(Option.some((error as Error).message));
  }
}

/** Moves the store aside and opens an empty one in its place. */
async function replace(folder: string, openStore: OpenStore, lost: Option.Option<string>): Promise<Store> {
  storeFile.setAside(folder);
  await createEmpty(folder, openStore, lost);
  return openStore(storeFile.pathOf(folder));
}

/** @param wasUsed - whether any process has ever held the folder */
async function openOrReplace(folder: string, openStore: OpenStore, wasUsed: boolean): Promise<Store> {
  const found = openExisting(folder, openStore, wasUsed);
  return Either.isRight(found) ? found.right : replace(folder, openStore, found.left);
}

/** @internal */
export const lmdbStore = { openLmdb, cannotOpen, openOrReplace, replace } as const;
