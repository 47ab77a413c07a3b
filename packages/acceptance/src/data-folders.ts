/** Steps of runtime.feature that use a real data folder: syncs, full and hanging disks, and folders after a power loss. */
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
import { becomesTrue, type RuntimeStory } from './runtime.js';

// -- The disk.

/** Faults of a store. `hanging`: commits hang until `resume` is called; `panics`: commits fail until the store is opened again. */
export type FaultyStore = { hanging: boolean; panics: boolean; resume: () => void };

const panicCode = -30_795;

/** An LMDB store whose commits hang or fail as they would on such a disk. */
function faultyStore(faults: FaultyStore): OpenStore {
  return function openFaulty(file) {
    const store: Store = disk.openLmdb(file);
    let hasPanicked = false;
    return {
      get: (key) => store.get(key),
      getRange: (range) => store.getRange(range),
      put: (key, value) => store.put(key, value),
      close: () => store.close(),
      batch: async function batch(action) {
        if (faults.hanging) await new Promise<void>((resume) => (faults.resume = resume));
        hasPanicked ||= faults.panics;
        faults.panics = false;
        if (!hasPanicked) return store.batch(action);
        // As lmdb-js does it: the cause is a separate promise, which is rejected even if nothing handles it.
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
  this.disk.onSyncFaultChange((trouble) => this.changes.push(Option.isSome(trouble)));
});

When('{int} puts are started and none is awaited', async function when(this: RuntimeStory, count: number) {
  assert.equal(this.disk.puts(), 0);
  const puts = Array.from({ length: count }, (_, index) => this.disk.put(`key/${index}`, { index }));
  this.putsBeforeSync = this.disk.puts();
  let last = 0;
  for (const [index, put] of puts.entries()) {
    assert.ok(Either.isRight(await put));
    assert.ok(this.disk.puts() >= index + 1 && this.disk.puts() >= last);
    last = this.disk.puts();
  }
});

Then('the put count includes none of them before it is synced, and all of them afterwards', function then(this: RuntimeStory) {
  assert.equal(this.putsBeforeSync, 0);
  assert.equal(this.disk.puts(), 20);
});

Then('a process that opens the folder again counts all {int} puts', async function then(this: RuntimeStory, count: number) {
  const reopened = await disk.open(this.dataFolder);
  assert.ok(Either.isRight(reopened));
  assert.equal(reopened.right.puts(), count);
  assert.deepEqual(await reopened.right.read('key/19'), Either.right(Option.some({ index: 19 })));
});

When('its disk hangs during a put', async function when(this: RuntimeStory) {
  assert.ok(Either.isRight(await this.disk.put('before', 1)));
  this.store.hanging = true;
  this.put = this.disk.put('hung', 2);
});

Then(
  'within {int} s the disk reports a fault, and {int} more puts fail at once',
  async function then(this: RuntimeStory, _s: number, count: number) {
    assert.ok(await becomesTrue(() => Option.isSome(this.disk.syncFault())));
    const from = performance.now();
    const puts = await Promise.all(Array.from({ length: count }, (_, index) => this.disk.put(`more/${index}`, index)));
    assert.ok(puts.every((put) => Either.isLeft(put) && fault.kind(put.left) === 'disk-failed'));
    assert.ok(performance.now() - from < 100);
  },
);

Then('what was synced before can be read at once', async function then(this: RuntimeStory) {
  assert.deepEqual(await this.disk.read('before'), Either.right(Option.some(1)));
  assert.deepEqual(await this.disk.load('archive/'), Either.right(new Map([['before', 1]])));
});

When('the disk resumes', function when(this: RuntimeStory) {
  this.store.hanging = false;
  this.store.resume();
});

Then('the put that hung succeeds, and the start and the end of the fault are reported once each', async function then(this: RuntimeStory) {
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
  'that put fails as {string}, and within {int} s puts succeed again',
  async function then(this: RuntimeStory, kind: string, _s: number) {
    const failed = await this.put;
    assert.ok(Either.isLeft(failed) && fault.kind(failed.left) === kind);
    assert.ok(await becomesTrue(() => Option.isNone(this.disk.syncFault())));
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

// -- A full disk, simulated by the operating system's limit on the size of a process's files.

const fullDiskProcess = fileURLToPath(new URL('full-disk-process.js', import.meta.url));
const fullDiskTimeoutMilliseconds = 5_000;
/** How long the process must print nothing further. */
const quietMilliseconds = 400;

function hasEnded(child: ChildProcess): boolean {
  return child.exitCode !== null || child.signalCode !== null;
}

/** Waits until the process has printed exactly these lines. */
async function assertPrints(story: RuntimeStory, lines: readonly string[]): Promise<void> {
  const until = Date.now() + fullDiskTimeoutMilliseconds;
  while (story.printed.length < lines.length && Date.now() < until && !hasEnded(story.child)) await new Promise(setImmediate);
  await new Promise((resume) => setTimeout(resume, quietMilliseconds));
  assert.deepEqual(story.printed, lines);
  assert.ok(!hasEnded(story.child), `the process ended with ${story.child.exitCode ?? story.child.signalCode}`);
}

function startOnDisk(story: RuntimeStory, bytes: string): void {
  story.dataFolder = fs.mkdtempSync(path.join(os.tmpdir(), 'stallstall-story-'));
  story.printed = [];
  const { printed } = story;
  story.child = spawn('prlimit', [`--fsize=${bytes}:unlimited`, process.execPath, fullDiskProcess, story.dataFolder], {
    stdio: ['pipe', 'pipe', 'ignore'],
  });
  readline.createInterface({ input: story.child.stdout as NodeJS.ReadableStream }).on('line', (line) => printed.push(line));
}

function setFileSizeLimit(story: RuntimeStory, bytes: string): void {
  execFileSync('prlimit', ['--pid', String(story.child.pid), `--fsize=${bytes}:unlimited`]);
}

/** Makes the process put an entry under this key. */
function requestPut(story: RuntimeStory, key: string): void {
  story.child.stdin?.write(`${key}\n`);
}

Given('a separate process that has completed a put', async function given(this: RuntimeStory) {
  startOnDisk(this, 'unlimited');
  await assertPrints(this, ['opened']);
  requestPut(this, 'first');
  await assertPrints(this, ['opened', 'put succeeded']);
});

Given('a separate process that starts on a full disk', function given(this: RuntimeStory) {
  startOnDisk(this, '0');
});

When('its disk is full', function when(this: RuntimeStory) {
  setFileSizeLimit(this, '0');
});

Then('its puts fail as {string}, and it reports the disk fault once', async function then(this: RuntimeStory, kind: string) {
  const before = [...this.printed];
  for (const key of ['second', 'third', 'fourth']) requestPut(this, key);
  await assertPrints(this, [...before, `disk fault ${kind}`, `put failed ${kind}`, `put failed ${kind}`, `put failed ${kind}`]);
});

When('the disk has space again', function when(this: RuntimeStory) {
  setFileSizeLimit(this, 'unlimited');
});

Then('it reports once that the disk works, and a later put can be read back', async function then(this: RuntimeStory) {
  const before = [...this.printed];
  await assertPrints(this, [...before, 'disk works']);
  requestPut(this, 'fifth');
  await assertPrints(this, [...before, 'disk works', 'put succeeded']);
});

Then('it reports the disk fault once, and waits', async function then(this: RuntimeStory) {
  await assertPrints(this, ['disk fault disk-failed']);
});

Then('it opens the folder, and a later put can be read back', async function then(this: RuntimeStory) {
  await assertPrints(this, ['disk fault disk-failed', 'opened']);
  requestPut(this, 'first');
  await assertPrints(this, ['disk fault disk-failed', 'opened', 'put succeeded']);
});

// -- Data folders after a power loss.

const storeName = 'register.lmdb';
const entries = 30;
const entryCharacters = 3_000;

type PowerLossRow = { 'what is left': string; 'opened as': string };

/** Changes a folder to the state that a row names. */
const powerLosses: Readonly<Record<string, (folder: string) => void | Promise<void>>> = {
  'all files': () => undefined,
  'the store without the holder file': (folder) => fs.rmSync(path.join(folder, 'holder')),
  'the store and half of the holder file': (folder) => fs.truncateSync(path.join(folder, 'holder'), 3),
  'the store and another one in creation': (folder) => fs.writeFileSync(path.join(folder, `${storeName}.new`), 'half'),
  'the holder file without a store': (folder) => fs.rmSync(path.join(folder, storeName)),
  'the holder file and a store in creation': (folder) => fs.renameSync(path.join(folder, storeName), path.join(folder, `${storeName}.new`)),
  'an empty store': (folder) => fs.truncateSync(path.join(folder, storeName), 0),
  'half of the first page': (folder) => fs.truncateSync(path.join(folder, storeName), 2_048),
  'a store whose first pages are overwritten': function overwriteFirstPages(folder) {
    const descriptor = fs.openSync(path.join(folder, storeName), 'r+');
    fs.writeSync(descriptor, Buffer.alloc(8_192, 'noise'), 0, 8_192, 0);
    fs.closeSync(descriptor);
  },
  'a store without its second page': (folder) => fs.truncateSync(path.join(folder, storeName), 4_096),
  'a store without its put count': async function removePutCount(folder) {
    const store = disk.openLmdb(path.join(folder, storeName));
    await store.batch(() => void store.put('#puts', null));
    await store.close();
  },
  'a store that ends before its last page': function truncateStore(folder) {
    const file = path.join(folder, storeName);
    fs.truncateSync(file, 4_096 * 3);
  },
  'a store whose entries are overwritten': function overwriteEntries(folder) {
    const file = path.join(folder, storeName);
    const bytes = fs.readFileSync(file);
    fs.writeFileSync(
      file,
      bytes.map((byte) => (byte === 'x'.charCodeAt(0) ? 1 : byte)),
    );
  },
  'only a store in creation': function leaveStoreInCreation(folder) {
    fs.rmSync(path.join(folder, 'holder'));
    fs.renameSync(path.join(folder, storeName), path.join(folder, `${storeName}.new`));
  },
  nothing: function emptyFolder(folder) {
    for (const name of fs.readdirSync(folder)) fs.rmSync(path.join(folder, name));
  },
};

async function createUsedFolder(): Promise<string> {
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
  if (Option.isSome(opened.right.discardedStoreReason())) return 'lost';
  const loaded = await opened.right.load('archive/');
  if (Either.isLeft(loaded)) {
    assert.equal(fault.kind(loaded.left), 'disk-damaged');
    assert.ok(Either.isRight(await opened.right.discard('it is damaged')));
    assert.ok(Option.isSome(opened.right.discardedStoreReason()));
    return 'damaged';
  }
  return loaded.right.size === entries ? 'intact' : loaded.right.size === 0 ? 'blank' : 'half';
}

Then('a folder with data is opened as follows after a power loss:', async function then(table: DataTable) {
  for (const row of table.hashes() as unknown as readonly PowerLossRow[]) {
    const folder = await createUsedFolder();
    await powerLosses[row['what is left']]?.(folder);
    assert.equal(await openedAs(folder), row['opened as'], row['what is left']);
    const reopened = await disk.open(folder);
    assert.ok(Either.isRight(reopened));
    assert.ok(Either.isRight(await reopened.right.put('after', 1)), row['what is left']);
    fs.rmSync(folder, { recursive: true });
  }
});
