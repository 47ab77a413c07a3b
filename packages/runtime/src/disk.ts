/** The disk of a core: lmdb with each put awaited until it is synced (design 5.1). Its file map is private to this process. */
import fs from 'node:fs';
import path from 'node:path';
import { open as openDatabase } from 'lmdb';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Disk, type Fault } from '@stallstall/kernel';
import { clock } from './clock.js';
import { commits, putsKey, type Commits, type Store } from './commits.js';
import { room as rooms, type Room } from './room.js';
import { storeFile } from './store-file.js';

export type { Store } from './commits.js';
/** Opens a store of lmdb; another one stands in for it where a failing disk is to be seen. */
export type OpenStore = (file: string) => Store;

/** Why the store before this one was given up. */
const lostKey = '#lost';
const holderName = 'holder';
/** Keys that begin so are this module's own. */
const ownPrefix = '#';
/** What the system says of a disk that may take bytes again later. */
const passingCodes = new Set(['ENOSPC', 'EDQUOT', 'EIO', 'EFBIG', 'EROFS']);
const openAgainMilliseconds = 250;

/** A process id alone comes again, so a holder is told by its id, the boot of its machine, and the tick it started at. */
function lifeOf(identifier: number): string {
  try {
    const boot = fs.readFileSync('/proc/sys/kernel/random/boot_id', 'utf8').trim();
    const stat = fs.readFileSync(`/proc/${identifier}/stat`, 'utf8');
    // The name in parentheses may hold anything; the start time is the twentieth field behind it.
    return `${identifier} ${boot} ${stat.slice(stat.lastIndexOf(')') + 2).split(' ')[19] ?? ''}`;
  } catch {
    return '';
  }
}

/** One process for each folder: which one holds it stands in a file beside the data. */
function heldByAnother(folder: string): Option.Option<Fault> {
  const file = path.join(folder, holderName);
  const holder = fs.existsSync(file) ? fs.readFileSync(file, 'utf8').trim() : '';
  const identifier = Number(holder.split(' ')[0]);
  if (holder === '' || holder === lifeOf(process.pid) || holder !== lifeOf(identifier)) return Option.none;
  return Option.some(
    fault.create({
      kind: 'foreign-disk',
      message: `the data folder is held by process ${identifier}`,
      remedy: 'stop that process first, or use another folder',
    }),
  );
}

function claim(folder: string): Either.Either<Fault, null> {
  const held = heldByAnother(folder);
  if (Option.isSome(held)) return Either.left(held.value);
  fs.writeFileSync(path.join(folder, holderName), lifeOf(process.pid));
  storeFile.syncFolder(folder);
  return Either.right(null);
}

function openLmdb(file: string): Store {
  // Without batches of its own: lmdb drops the promises of these, and their rejections would end the process.
  return openDatabase<unknown, string>({
    path: file,
    encoding: 'json',
    overlappingSync: false,
    eventTurnBatching: false,
    noSubdir: true,
  }) as unknown as Store;
}

function cannotOpen(error: NodeJS.ErrnoException): Fault {
  if (passingCodes.has(error.code ?? '')) return fault.diskFailed('the data folder', error);
  return fault.create({
    kind: 'foreign-disk',
    message: `the data folder cannot be opened: ${error.message}`,
    remedy: 'see that it is a folder and can be written',
    cause: error,
  });
}

/** A store that holds its count of puts from the first, so that one without a count is known as broken. */
async function makeStore(folder: string, openStore: OpenStore, lost: Option.Option<string>): Promise<void> {
  await storeFile.make(folder, async function fill(file) {
    const made = openStore(file);
    try {
      await made.batch(function first() {
        void made.put(putsKey, 0);
        if (Option.isSome(lost)) void made.put(lostKey, lost.value);
      });
    } finally {
      await made.close();
    }
  });
}

/** The store in this folder as it can be used, or why there is none that can. */
function openSound(folder: string, openStore: OpenStore, wasUsed: boolean): Either.Either<Option.Option<string>, Store> {
  const state = storeFile.inspect(folder);
  // The holder is written once the first store is there: one without a store has lost it.
  if (state === 'missing') return Either.left(wasUsed ? Option.some('its file is missing') : Option.none);
  if (state === 'broken') return Either.left(Option.some('its first pages are damaged'));
  try {
    const store = openStore(storeFile.pathOf(folder));
    return typeof store.get(putsKey) === 'number' ? Either.right(store) : Either.left(Option.some('its count of puts is missing'));
  } catch (error) {
    if (passingCodes.has((error as NodeJS.ErrnoException).code ?? '')) throw error;
    return Either.left(Option.some((error as Error).message));
  }
}

async function openOrReplace(folder: string, openStore: OpenStore, wasUsed: boolean): Promise<Store> {
  const found = openSound(folder, openStore, wasUsed);
  if (Either.isRight(found)) return found.right;
  storeFile.setAside(folder);
  await makeStore(folder, openStore, found.left);
  return openStore(storeFile.pathOf(folder));
}

/** Reads never wait for a sync; one that finds what it cannot read says so. */
function reading<Outcome>(what: string, read: () => Outcome): Promise<Either.Either<Fault, Outcome>> {
  try {
    return Promise.resolve(Either.right(read()));
  } catch (error) {
    return Promise.resolve(Either.left(fault.diskDamaged(what, error as Error)));
  }
}

function diskOver(folder: string, openStore: OpenStore, room: Room, opened: Store): Disk {
  const file = storeFile.pathOf(folder);
  let store = opened;

  async function reopen(): Promise<Either.Either<Fault, null>> {
    try {
      await store.close();
      store = openStore(file);
      return Either.right(null);
    } catch (error) {
      return Either.left(fault.diskFailed('the data folder', error as Error));
    }
  }

  let writing: Commits = commits.create(clock, room, () => store, reopen);

  async function discard(reason: string): Promise<Either.Either<Fault, null>> {
    try {
      await store.close();
      storeFile.setAside(folder);
      await makeStore(folder, openStore, Option.some(reason));
      store = openStore(file);
      writing = commits.create(clock, room, () => store, reopen);
      return Either.right(null);
    } catch (error) {
      return Either.left(fault.diskFailed('an empty store', error as Error));
    }
  }

  function* own(range: Readonly<{ start?: string; end?: string }>): Iterable<readonly [string, unknown]> {
    for (const { key, value } of store.getRange(range)) if (!key.startsWith(ownPrefix)) yield [key, value];
  }

  return {
    puts: () => writing.synced(),
    load: (without) =>
      // '0' follows '/': all keys before the prefix, then all keys after it, without a look at what lies between.
      reading('the data folder', () => new Map([...own({ end: without }), ...own({ start: `${without.slice(0, -1)}0` })])),
    read: (key) => reading(key, () => Option.fromNullable(store.get(key))),
    page: (prefix, after, bytes) =>
      reading(prefix, function page() {
        const found: Array<readonly [string, unknown]> = [];
        let left = bytes;
        for (const [key, value] of own({ start: after > prefix ? after : prefix })) {
          if (!key.startsWith(prefix) || left <= 0) break;
          if (key === after) continue;
          found.push([key, value]);
          left -= JSON.stringify(value).length;
        }
        return found;
      }),
    size: () => fs.statSync(file, { throwIfNoEntry: false })?.size ?? 0,
    put: (key, value) => writing.put(key, value),
    trouble: () => writing.health.trouble(),
    onTrouble: (listener) => writing.health.onTrouble(listener),
    lost: function lost() {
      try {
        return Option.fromNullable(store.get(lostKey) as string | undefined);
      } catch {
        return Option.none;
      }
    },
    discard,
  };
}

/** The store is opened only once the disk has shown that it takes bytes: lmdb may end the process where it does not. */
async function openInto(folder: string, openStore: OpenStore, room: Room, wasUsed: boolean): Promise<Either.Either<Fault, Disk>> {
  const proven = await room.prove(0);
  if (Either.isLeft(proven)) return proven;
  const store = await openOrReplace(folder, openStore, wasUsed);
  const claimed = await claimOr(folder, () => store.close());
  return Either.isLeft(claimed) ? claimed : Either.right(diskOver(folder, openStore, room, store));
}

/** Claims the folder, or closes what was opened of it. */
async function claimOr(folder: string, close: () => Promise<void>): Promise<Either.Either<Fault, null>> {
  try {
    const claimed = claim(folder);
    if (Either.isLeft(claimed)) await close();
    return claimed;
  } catch (error) {
    await close();
    return Either.left(cannotOpen(error as NodeJS.ErrnoException));
  }
}

/**
 * Opens the store in a folder. One that cannot be used is moved aside for an empty one: its core then copies the others. A fault of kind
 * `disk-failed` may pass; any other is for an operator.
 */
async function open(folder: string, openStore: OpenStore = openLmdb): Promise<Either.Either<Fault, Disk>> {
  try {
    storeFile.makeFolder(folder);
    const wasUsed = fs.existsSync(path.join(folder, holderName));
    const held = heldByAnother(folder);
    if (Option.isSome(held)) return Either.left(held.value);
    const room = rooms.open(folder);
    const opened = await openInto(folder, openStore, room, wasUsed);
    if (Either.isLeft(opened)) room.close();
    return opened;
  } catch (error) {
    return Either.left(cannotOpen(error as NodeJS.ErrnoException));
  }
}

/** Opens a folder whose disk may be full as this process starts: tries on until it takes bytes, and says so once. */
async function openWhenWorking(
  folder: string,
  onTrouble: (reason: Fault) => void,
  openStore: OpenStore = openLmdb,
): Promise<Either.Either<Fault, Disk>> {
  for (let tries = 0; ; tries += 1) {
    const opened = await open(folder, openStore);
    if (Either.isRight(opened) || fault.kind(opened.left) !== 'disk-failed') return opened;
    if (tries === 0) onTrouble(opened.left);
    await clock.sleep(openAgainMilliseconds);
  }
}

export const disk = { open, openWhenWorking, openLmdb, claim, lifeOf } as const;
