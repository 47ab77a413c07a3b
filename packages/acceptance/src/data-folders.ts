/** Steps of the stories of runtime.feature over a real data folder: syncs, full and hanging disks, and what a loss of power leaves. */
import assert from 'node:assert/strict';
import { execFileSync, spawn, type ChildProcess } from 'node:child_process';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import readline from 'node:readline';
import { fileURLToPath } from 'node:url';
import { Given, Then, When, type DataTable } from '@cucumber/cucumber';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault } from '@stallstall/kernel';
import { disk, type OpenStore, type Store } from '@stallstall/runtime/disk';
import { soon, type RuntimeStory } from './runtime.js';

// -- The disk.

/** What is wrong with a store: its commits hang, or fail until it is opened anew. */
export type FaultyStore = { hanging: boolean; panics: boolean; resume: () => void };

const panicCode = -30_795;

/** A store of lmdb whose commits hang or fail as they would on a disk that does. */
function faultyStore(trouble: FaultyStore): OpenStore {
  return function openFaulty(file) {
    const store: Store = disk.openLmdb(file);
    let broken = false;
    return {
      get: (key) => store.get(key),
      getRange: (range) => store.getRange(range),
      put: (key, value) => store.put(key, value),
      close: () => store.close(),
      batch: async function batch(action) {
        if (trouble.hanging) await new Promise<void>((resume) => (trouble.resume = resume));
        broken ||= trouble.panics;
        trouble.panics = false;
        if (!broken) return store.batch(action);
        // As lmdb does it: the cause is a promise of its own, rejected whether anybody listens or not.
        const commitError = Promise.reject(Object.assign(new Error('MDB_PANIC'), { code: panicCode }));
        throw Object.assign(new Error('Commit failed'), { commitError });
      },
    };
  };
}

Given('an empty data folder', async function given(this: RuntimeStory) {
  this.dataFolder = fs.mkdtempSync(path.join(os.tmpdir(), 'stallstall-story-'));
  this.store = { hanging: false, panics: false, resume: () => undefined };
  const opened = await disk.open(this.dataFolder, faultyStore(this.store));
  assert.ok(Either.isRight(opened));
  this.disk = opened.right;
  this.changes = [];
  this.disk.onTrouble((trouble) => this.changes.push(Option.isSome(trouble)));
});

When('{int} puts are begun and none is awaited', async function when(this: RuntimeStory, count: number) {
  assert.equal(this.disk.puts(), 0);
  const puts = Array.from({ length: count }, (_, index) => this.disk.put(`key/${index}`, { index }));
  this.toldAtOnce = this.disk.puts();
  let last = 0;
  for (const [index, put] of puts.entries()) {
    assert.ok(Either.isRight(await put));
    assert.ok(this.disk.puts() >= index + 1 && this.disk.puts() >= last);
    last = this.disk.puts();
  }
});

Then('none is told until it is synced, and all are told then', function then(this: RuntimeStory) {
  assert.equal(this.toldAtOnce, 0);
  assert.equal(this.disk.puts(), 20);
});

Then('a process that opens the folder again tells all {int}', async function then(this: RuntimeStory, count: number) {
  const again = await disk.open(this.dataFolder);
  assert.ok(Either.isRight(again));
  assert.equal(again.right.puts(), count);
  assert.deepEqual(await again.right.read('key/19'), Either.right(Option.some({ index: 19 })));
});

When('its disk hangs under a put', async function when(this: RuntimeStory) {
  assert.ok(Either.isRight(await this.disk.put('before', 1)));
  this.store.hanging = true;
  this.put = this.disk.put('hung', 2);
});

Then(
  'within {int} s it is in trouble, and {int} more puts fail at once',
  async function then(this: RuntimeStory, _s: number, count: number) {
    assert.ok(await soon(() => Option.isSome(this.disk.trouble())));
    const from = performance.now();
    const puts = await Promise.all(Array.from({ length: count }, (_, index) => this.disk.put(`more/${index}`, index)));
    assert.ok(puts.every((put) => Either.isLeft(put) && fault.kind(put.left) === 'disk-failed'));
    assert.ok(performance.now() - from < 100);
  },
);

Then('what was synced before is read at once', async function then(this: RuntimeStory) {
  assert.deepEqual(await this.disk.read('before'), Either.right(Option.some(1)));
  assert.deepEqual(await this.disk.load('archive/'), Either.right(new Map([['before', 1]])));
});

When('the disk goes on', function when(this: RuntimeStory) {
  this.store.hanging = false;
  this.store.resume();
});

Then('the put that hung stands, and the trouble is over, told once each', async function then(this: RuntimeStory) {
  assert.ok(Either.isRight(await this.put));
  assert.deepEqual(await this.disk.read('hung'), Either.right(Option.some(2)));
  assert.ok(Either.isRight(await this.disk.put('after', 3)));
  assert.deepEqual(this.changes, [true, false]);
  assert.equal(this.disk.puts(), 3);
});

When('the sync of its meta page fails once', async function when(this: RuntimeStory) {
  assert.ok(Either.isRight(await this.disk.put('before', 1)));
  this.store.panics = true;
  this.put = this.disk.put('failed', 2);
});

Then(
  'that put fails as {string}, and within {int} s puts are taken again',
  async function then(this: RuntimeStory, kind: string, _s: number) {
    const failed = await this.put;
    assert.ok(Either.isLeft(failed) && fault.kind(failed.left) === kind);
    assert.ok(await soon(() => Option.isNone(this.disk.trouble())));
    assert.ok(Either.isRight(await this.disk.put('after', 3)));
    assert.deepEqual(
      await this.disk.load('archive/'),
      Either.right(
        new Map<string, unknown>([
          ['after', 3],
          ['before', 1],
        ]),
      ),
    );
    assert.deepEqual(this.changes, [true, false]);
  },
);

// -- A full disk, by the limit that the system sets to the size of a process's files.

const fullDiskProcess = fileURLToPath(new URL('full-disk-process.js', import.meta.url));
const fullDiskPatience = 5_000;
/** So long nothing more may be said. */
const quietMilliseconds = 400;

function hasEnded(child: ChildProcess): boolean {
  return child.exitCode !== null || child.signalCode !== null;
}

/** Waits until the process has said these words, and no others. */
async function says(story: RuntimeStory, words: readonly string[]): Promise<void> {
  const until = Date.now() + fullDiskPatience;
  while (story.said.length < words.length && Date.now() < until && !hasEnded(story.child)) await new Promise(setImmediate);
  await new Promise((resume) => setTimeout(resume, quietMilliseconds));
  assert.deepEqual(story.said, words);
  assert.ok(!hasEnded(story.child), `it ended as ${story.child.exitCode ?? story.child.signalCode}`);
}

function startOnDisk(story: RuntimeStory, bytes: string): void {
  story.dataFolder = fs.mkdtempSync(path.join(os.tmpdir(), 'stallstall-story-'));
  story.said = [];
  const { said } = story;
  story.child = spawn('prlimit', [`--fsize=${bytes}:unlimited`, process.execPath, fullDiskProcess, story.dataFolder], {
    stdio: ['pipe', 'pipe', 'ignore'],
  });
  readline.createInterface({ input: story.child.stdout as NodeJS.ReadableStream }).on('line', (line) => said.push(line));
}

function setRoom(story: RuntimeStory, bytes: string): void {
  execFileSync('prlimit', ['--pid', String(story.child.pid), `--fsize=${bytes}:unlimited`]);
}

/** Tells the process to put something. */
function tellPut(story: RuntimeStory, key: string): void {
  story.child.stdin?.write(`${key}\n`);
}

Given('a process of its own that has put something', async function given(this: RuntimeStory) {
  startOnDisk(this, 'unlimited');
  await says(this, ['opened']);
  tellPut(this, 'first');
  await says(this, ['opened', 'kept']);
});

Given('a process of its own that starts on a full disk', function given(this: RuntimeStory) {
  startOnDisk(this, '0');
});

When('its disk takes no more bytes', function when(this: RuntimeStory) {
  setRoom(this, '0');
});

Then('its puts fail as {string}, and it tells once that its disk does not sync', async function then(this: RuntimeStory, kind: string) {
  const before = [...this.said];
  for (const key of ['second', 'third', 'fourth']) tellPut(this, key);
  await says(this, [...before, `trouble ${kind}`, `failed ${kind}`, `failed ${kind}`, `failed ${kind}`]);
});

When('the disk has room again', function when(this: RuntimeStory) {
  setRoom(this, 'unlimited');
});

Then('it tells once that its disk syncs, and what it puts then is there', async function then(this: RuntimeStory) {
  const before = [...this.said];
  await says(this, [...before, 'works']);
  tellPut(this, 'fifth');
  await says(this, [...before, 'works', 'kept']);
});

Then('it tells once that its disk does not sync, and waits', async function then(this: RuntimeStory) {
  await says(this, ['trouble disk-failed']);
});

Then('it opens, and what it puts then is there', async function then(this: RuntimeStory) {
  await says(this, ['trouble disk-failed', 'opened']);
  tellPut(this, 'first');
  await says(this, ['trouble disk-failed', 'opened', 'kept']);
});

// -- What a loss of power leaves.

const storeName = 'register.lmdb';
const entries = 30;
const entryCharacters = 3_000;

type LeftRow = { 'what is left': string; 'opened as': string };

/** Leaves of a folder what a row says. */
const leftovers: Readonly<Record<string, (folder: string) => void | Promise<void>>> = {
  'all of it': () => undefined,
  'the store, and no holder': (folder) => fs.rmSync(path.join(folder, 'holder')),
  'the store, and half a holder': (folder) => fs.truncateSync(path.join(folder, 'holder'), 3),
  'the store, and another that was being made': (folder) => fs.writeFileSync(path.join(folder, `${storeName}.new`), 'half'),
  'the holder, and no store': (folder) => fs.rmSync(path.join(folder, storeName)),
  'the holder, and a store that was being made': (folder) =>
    fs.renameSync(path.join(folder, storeName), path.join(folder, `${storeName}.new`)),
  'an empty store': (folder) => fs.truncateSync(path.join(folder, storeName), 0),
  'half a first page': (folder) => fs.truncateSync(path.join(folder, storeName), 2_048),
  'a store whose first pages are noise': function noise(folder) {
    const descriptor = fs.openSync(path.join(folder, storeName), 'r+');
    fs.writeSync(descriptor, Buffer.alloc(8_192, 'noise'), 0, 8_192, 0);
    fs.closeSync(descriptor);
  },
  'a store without its second page': (folder) => fs.truncateSync(path.join(folder, storeName), 4_096),
  'a store whose count of puts is gone': async function uncounted(folder) {
    const store = disk.openLmdb(path.join(folder, storeName));
    await store.batch(() => void store.put('#puts', null));
    await store.close();
  },
  'a store that ends before its last page': function shorten(folder) {
    const file = path.join(folder, storeName);
    fs.truncateSync(file, 4_096 * 3);
  },
  'a store whose entries are noise': function spoil(folder) {
    const file = path.join(folder, storeName);
    const bytes = fs.readFileSync(file);
    fs.writeFileSync(
      file,
      bytes.map((byte) => (byte === 'x'.charCodeAt(0) ? 1 : byte)),
    );
  },
  'nothing but a store that was being made': function making(folder) {
    fs.rmSync(path.join(folder, 'holder'));
    fs.renameSync(path.join(folder, storeName), path.join(folder, `${storeName}.new`));
  },
  nothing: function nothing(folder) {
    for (const name of fs.readdirSync(folder)) fs.rmSync(path.join(folder, name));
  },
};

async function usedFolder(): Promise<string> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'stallstall-story-'));
  let store: Store | undefined;
  const opened = await disk.open(folder, (file) => (store = disk.openLmdb(file)));
  assert.ok(Either.isRight(opened));
  for (let index = 0; index < entries; index += 1) await opened.right.put(`key/${index}`, 'x'.repeat(entryCharacters));
  await store?.close();
  return folder;
}

async function openedAs(folder: string): Promise<string> {
  const opened = await disk.open(folder);
  if (Either.isLeft(opened)) return fault.kind(opened.left);
  if (Option.isSome(opened.right.lost())) return 'lost';
  const loaded = await opened.right.load('archive/');
  if (Either.isLeft(loaded)) {
    assert.equal(fault.kind(loaded.left), 'disk-damaged');
    assert.ok(Either.isRight(await opened.right.discard('it is damaged')));
    assert.ok(Option.isSome(opened.right.lost()));
    return 'damaged';
  }
  return loaded.right.size === entries ? 'sound' : loaded.right.size === 0 ? 'blank' : 'half';
}

Then('a folder that was used is opened like this after a loss of power:', async function then(table: DataTable) {
  for (const row of table.hashes() as unknown as readonly LeftRow[]) {
    const folder = await usedFolder();
    await leftovers[row['what is left']]?.(folder);
    assert.equal(await openedAs(folder), row['opened as'], row['what is left']);
    const again = await disk.open(folder);
    assert.ok(Either.isRight(again));
    assert.ok(Either.isRight(await again.right.put('after', 1)), row['what is left']);
    fs.rmSync(folder, { recursive: true });
  }
});
