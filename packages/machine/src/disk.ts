// The disk of a core: lmdb with each put awaited until it is synced (design 5.1). Its file map is private to this process.
import fs from 'node:fs';
import path from 'node:path';
import { open as openDatabase } from 'lmdb';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Disk, type Fault } from '@stallstall/kernel';

const putsKey = '#puts';

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
function claim(folder: string): Either.Either<Fault, null> {
  const file = path.join(folder, 'holder');
  const holder = fs.existsSync(file) ? fs.readFileSync(file, 'utf8').trim() : '';
  const identifier = Number(holder.split(' ')[0]);
  const life = lifeOf(process.pid);
  if (holder !== '' && holder !== life && holder === lifeOf(identifier)) {
    return Either.left(
      fault.create({
        kind: 'foreign-disk',
        message: `the data folder is held by process ${identifier}`,
        remedy: 'stop that process first, or use another folder',
      }),
    );
  }
  fs.writeFileSync(file, life);
  return Either.right(null);
}

function open(folder: string): Either.Either<Fault, Disk> {
  try {
    fs.mkdirSync(folder, { recursive: true });
    const claimed = claim(folder);
    if (Either.isLeft(claimed)) return claimed;
    const file = path.join(folder, 'register.lmdb');
    const database = openDatabase<unknown, string>({ path: file, encoding: 'json', overlappingSync: false, noSubdir: true });
    const stored = database.get(putsKey);
    let count = typeof stored === 'number' ? stored : 0;
    // Told to others only once synced: a put that the loss of power took was never one of this disk's (design 4.3).
    let synced = count;
    return Either.right({
      puts: () => synced,
      load: async function load(without) {
        const entries = new Map<string, unknown>();
        // '0' follows '/': all keys before the prefix, then all keys after it, without a look at what lies between.
        for (const { key, value } of database.getRange({ end: without })) if (key !== putsKey) entries.set(key, value);
        for (const { key, value } of database.getRange({ start: `${without.slice(0, -1)}0` })) entries.set(key, value);
        return entries;
      },
      read: (key) => Promise.resolve(Option.fromNullable(database.get(key))),
      page: async function page(prefix, after, bytes) {
        const found: Array<readonly [string, unknown]> = [];
        let left = bytes;
        for (const { key, value } of database.getRange({ start: after > prefix ? after : prefix })) {
          if (!key.startsWith(prefix) || left <= 0) break;
          if (key === after) continue;
          found.push([key, value]);
          left -= JSON.stringify(value).length;
        }
        return found;
      },
      size: () => fs.statSync(file).size,
      put: async function put(key, value) {
        try {
          count += 1;
          const number = count;
          const kept = await database.transaction(() => {
            void database.put(key, value);
            return database.put(putsKey, number);
          });
          if (kept) synced = Math.max(synced, number);
          return kept ? Either.right(null) : Either.left(fault.diskFailed(key, new Error('the put was not kept')));
        } catch (error) {
          return Either.left(fault.diskFailed(key, error as Error));
        }
      },
    });
  } catch (error) {
    return Either.left(
      fault.create({
        kind: 'foreign-disk',
        message: `the data folder cannot be opened: ${(error as Error).message}`,
        remedy: 'see that it can be written; if it is damaged, move it away and start with an empty one',
        cause: error as Error,
      }),
    );
  }
}

export const disk = { open, claim, lifeOf } as const;
