// The disk of a core: lmdb with each put awaited until it is synced (design 5.1). Its file map is private to this process.
import fs from 'node:fs';
import path from 'node:path';
import { open as openDatabase } from 'lmdb';
import * as Either from 'fp-ts/lib/Either.js';
import { fault, type Disk, type Fault } from '@stallstall/kernel';

const putsKey = '#puts';

function runs(identifier: number): boolean {
  try {
    process.kill(identifier, 0);
    return true;
  } catch {
    return false;
  }
}

/** One process for each folder: the holder's process id stands in a file beside the data. */
function claim(folder: string): Either.Either<Fault, null> {
  const file = path.join(folder, 'holder');
  const holder = fs.existsSync(file) ? Number(fs.readFileSync(file, 'utf8')) : 0;
  if (holder > 0 && holder !== process.pid && runs(holder)) {
    return Either.left(fault.create({
      kind: 'foreign-disk', message: `the data folder is held by process ${holder}`, remedy: 'stop that process first, or use another folder',
    }));
  }
  fs.writeFileSync(file, String(process.pid));
  return Either.right(null);
}

function open(folder: string): Either.Either<Fault, Disk> {
  try {
    fs.mkdirSync(folder, { recursive: true });
    const claimed = claim(folder);
    if (Either.isLeft(claimed)) return claimed;
    const database = openDatabase<unknown, string>({ path: path.join(folder, 'register.lmdb'), encoding: 'json', overlappingSync: false, noSubdir: true });
    const stored = database.get(putsKey);
    let count = typeof stored === 'number' ? stored : 0;
    return Either.right({
      puts: () => count,
      load: async function load() {
        const entries = new Map<string, unknown>();
        for (const { key, value } of database.getRange({})) if (key !== putsKey) entries.set(key, value);
        return entries;
      },
      put: async function put(key, value) {
        try {
          count += 1;
          const kept = await database.transaction(() => {
            void database.put(key, value);
            return database.put(putsKey, count);
          });
          return kept ? Either.right(null) : Either.left(fault.diskFailed(key, new Error('the put was not kept')));
        } catch (error) {
          return Either.left(fault.diskFailed(key, error as Error));
        }
      },
    });
  } catch (error) {
    return Either.left(fault.create({
      kind: 'foreign-disk', message: `the data folder cannot be opened: ${(error as Error).message}`,
      remedy: 'see that it can be written; if it is damaged, move it away and start with an empty one', cause: error as Error,
    }));
  }
}

export const disk = { open } as const;
