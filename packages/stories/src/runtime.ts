// Steps of the stories of runtime.feature: real sockets on loopback and a real folder.
import assert from 'node:assert/strict';
import { execFileSync, spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import fs from 'node:fs';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import readline from 'node:readline';
import { fileURLToPath } from 'node:url';
import { After, Given, Then, When, type DataTable } from '@cucumber/cucumber';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import {
  fault,
  identifiers,
  type Address,
  type Disk,
  type Fault,
  type HttpAsk,
  type HttpReply,
  type Listening,
  type Stream,
} from '@stallstall/kernel';
import { disk, type OpenStore, type Store } from '@stallstall/machine/disk';
import { leanNetwork } from '@stallstall/machine/lean';

type RuntimeStory = {
  address: Address;
  listening: Listening[];
  connections: string[];
  closed: string[];
  warnings: string[];
  near: Stream;
  far: Stream;
  dataFolder: string;
  disk: Disk;
  toldAtOnce: number;
  child: ChildProcess;
  /** What the process of its own has said. */
  said: string[];
  store: FaultyStore;
  put: Promise<Either.Either<Fault, null>>;
  /** Each change between a disk that syncs and one that does not. */
  changes: boolean[];
};

const patience = 2_000;

/** A port that nothing listens on: one that was free a moment ago. */
async function freeAddress(): Promise<Address> {
  const server = net.createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as net.AddressInfo;
  server.close();
  await once(server, 'close');
  return identifiers.address(`127.0.0.1:${port}`);
}

function portOf(address: Address): number {
  return Number(address.split(':')[1]);
}

After(async function after(this: Partial<RuntimeStory>) {
  this.child?.kill('SIGKILL');
  for (const one of this.listening ?? []) await one.stop();
  if (this.dataFolder !== undefined) fs.rmSync(this.dataFolder, { recursive: true });
});

async function ask(address: Address, asked: HttpAsk, milliseconds = patience): Promise<Either.Either<Fault, HttpReply>> {
  const connection = leanNetwork.connect(address);
  const reply = await connection.exchange(asked, milliseconds);
  connection.close();
  return reply;
}

Given('a page that replies what it was asked, on loopback', async function given(this: RuntimeStory) {
  this.address = await freeAddress();
  this.connections = [];
  this.closed = [];
  this.listening = [
    await leanNetwork.serve(this.address, {
      mappings: [
        {
          method: 'POST',
          path: '/echo/:word',
          handle: (request) => {
            this.connections.push(request.connection);
            return Promise.resolve({ status: 201, headers: { 'x-word': request.query['word'] ?? '' }, body: request.body });
          },
        },
      ],
      connectionClosed: (name) => this.closed.push(name),
    }),
  ];
});

When('{int} asks go out over one connection', async function when(this: RuntimeStory, count: number) {
  this.warnings = [];
  const { warnings } = this;
  function warned(warning: Error): void {
    warnings.push(warning.message);
  }
  process.on('warning', warned);
  const connection = leanNetwork.connect(this.address);
  for (let index = 0; index < count; index += 1) {
    const reply = await connection.exchange({ method: 'POST', path: `/echo/w${index}`, body: { index, text: 'ñandú' } }, patience);
    assert.ok(Either.isRight(reply));
    assert.equal(reply.right.status, 201);
    assert.equal(reply.right.headers?.['x-word'], `w${index}`);
    assert.deepEqual(reply.right.body, { index, text: 'ñandú' });
  }
  assert.deepEqual(this.closed, []);
  connection.close();
  await new Promise(setImmediate);
  process.removeListener('warning', warned);
});

Then('all were replied over one and the same connection, and nothing warned of a leak', function then(this: RuntimeStory) {
  assert.equal(new Set(this.connections).size, 1);
  assert.deepEqual(this.warnings, []);
});

/** True once a condition holds; looked at whenever the runtime has turned, for as long as patience lasts. */
async function soon(condition: () => boolean): Promise<boolean> {
  const until = Date.now() + patience;
  while (!condition() && Date.now() < until) await new Promise(setImmediate);
  return condition();
}

Then('once it is closed, the server is told so', async function then(this: RuntimeStory) {
  assert.ok(await soon(() => this.closed.length === 1));
  assert.deepEqual(this.closed, [this.connections[0]]);
});

function denied(reply: Either.Either<Fault, HttpReply>, status: number, kind: string): void {
  assert.ok(Either.isRight(reply), Either.isLeft(reply) ? reply.left.message : '');
  assert.equal(reply.right.status, status);
  assert.equal((reply.right.body as { error?: unknown }).error, kind);
}

/** Raw bytes to the server, and all it says until it closes or the first reply is whole. */
async function raw(address: Address, text: string): Promise<string> {
  const socket = net.connect(portOf(address), '127.0.0.1');
  let heard = '';
  socket.setEncoding('latin1');
  socket.on('data', (piece: string) => {
    heard += piece;
  });
  socket.on('error', () => undefined);
  socket.write(text);
  await soon(() => socket.destroyed || /\r\n\r\n.*\}/s.test(heard));
  socket.destroy();
  return heard;
}

Then('a body of 1 MiB and more is replied 413 {string}', async function then(this: RuntimeStory, kind: string) {
  denied(await ask(this.address, { method: 'POST', path: '/echo/long', body: 'x'.repeat(1024 * 1024) }), 413, kind);
  const most = await ask(this.address, { method: 'POST', path: '/echo/long', body: 'x'.repeat(1024 * 1024 - 2) });
  assert.ok(Either.isRight(most) && most.right.status === 201);
  assert.equal(this.connections.length, 1);
});

Then('a body that is no JSON is replied 400 {string}', async function then(this: RuntimeStory, kind: string) {
  for (const text of ['{"half":', 'word', '{}{}']) {
    const heard = await raw(this.address, `POST /echo/bad HTTP/1.1\r\nHost: x\r\nContent-Length: ${text.length}\r\n\r\n${text}`);
    assert.match(heard, /^HTTP\/1\.1 400 /);
    assert.ok(heard.includes(`"error":"${kind}"`), heard);
  }
  assert.equal(this.connections.length, 1);
});

Then('a path that no URI may hold is replied 404 {string}', async function then(this: RuntimeStory, kind: string) {
  denied(await ask(this.address, { method: 'POST', path: '/echo/%zz', body: {} }), 404, kind);
});

Then('what is no HTTP is replied 400', async function then(this: RuntimeStory) {
  assert.match(await raw(this.address, 'OPEN something strange\r\n\r\n'), /^HTTP\/1\.1 400 /);
});

Then('a request cut off in its body leaves the server as it was', async function then(this: RuntimeStory) {
  const socket = net.connect(portOf(this.address), '127.0.0.1');
  await once(socket, 'connect');
  socket.write('POST /echo/cut HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{"half":');
  const before = this.closed.length;
  await new Promise(setImmediate);
  socket.resetAndDestroy();
  await soon(() => this.closed.length > before);
  assert.equal(this.connections.length, 1);
});

Then('an ask over a new connection is replied', async function then(this: RuntimeStory) {
  const reply = await ask(this.address, { method: 'POST', path: '/echo/again' });
  assert.ok(Either.isRight(reply) && reply.right.status === 201 && reply.right.headers?.['x-word'] === 'again');
});

const head = 'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 20\r\n\r\n';
const farEnds: Readonly<Record<string, (socket: net.Socket) => void>> = {
  'closes without a reply': (socket) => socket.end(),
  'resets without a reply': (socket) => socket.resetAndDestroy(),
  'ends within the body': (socket) => socket.end(`${head}{"half":`),
  'sends a body that is no JSON': (socket) => socket.write(`${head}{"half": "of a texts`),
  'says nothing at all': () => undefined,
  'stops within the body': (socket) => socket.write(`${head}{"half":`),
  'sends what is no HTTP': (socket) => socket.write('IDLE\r\n\r\n'),
};
const silenceMilliseconds = 120;

Then('a far end that behaves like this yields {string}:', async function then(this: RuntimeStory, kind: string, table: DataTable) {
  assert.deepEqual(
    table.hashes().map((row) => row['far end']),
    Object.keys(farEnds),
  );
  for (const [name, behave] of Object.entries(farEnds)) {
    const address = await freeAddress();
    const sockets = new Set<net.Socket>();
    let arrived = 0;
    const server = net
      .createServer((socket) => {
        arrived += 1;
        sockets.add(socket);
        socket.on('error', () => undefined);
        socket.once('data', () => behave(socket));
      })
      .listen(portOf(address), '127.0.0.1');
    await once(server, 'listening');
    const connection = leanNetwork.connect(address);
    const reply = await connection.exchange({ method: 'POST', path: '/any', body: {} }, silenceMilliseconds);
    assert.ok(Either.isLeft(reply), name);
    assert.equal(fault.kind(reply.left), kind, name);
    assert.ok(connection.closed(), name);
    const later = await connection.exchange({ method: 'GET', path: '/any' }, silenceMilliseconds);
    assert.ok(Either.isLeft(later) && fault.kind(later.left) === 'unreachable', name);
    assert.equal(arrived, 1, name);
    for (const socket of sockets) socket.destroy();
    server.close();
  }
});

Then('a connection whose far end closes between two asks is closed, and asks nothing more', async function then(this: RuntimeStory) {
  const connection = leanNetwork.connect(this.address);
  assert.ok(Either.isRight(await connection.exchange({ method: 'POST', path: '/echo/first' }, patience)));
  const [listening] = this.listening;
  this.listening = [];
  await listening?.stop();
  assert.ok(await soon(connection.closed));
  const later = await connection.exchange({ method: 'POST', path: '/echo/second' }, patience);
  assert.ok(Either.isLeft(later) && fault.kind(later.left) === 'unreachable');
});

const impossible = identifiers.address('127.0.0.1:99999');

function yields(result: Either.Either<Fault, unknown>, kind: string): void {
  assert.ok(Either.isLeft(result));
  assert.equal(fault.kind(result.left), kind);
  assert.ok(fault.details(result.left).remedy.length > 0);
}

Then('an ask to a port where nothing listens yields {string}', async function then(kind: string) {
  yields(await ask(await freeAddress(), { method: 'GET', path: '/any' }), kind);
});

Then('an ask to a port that cannot be yields {string}', async function then(kind: string) {
  yields(await ask(impossible, { method: 'GET', path: '/any' }), kind);
});

Then('a stream to a port where nothing listens yields {string}', async function then(kind: string) {
  yields(await leanNetwork.openStream(await freeAddress(), patience), kind);
});

Then('a stream to a port that cannot be yields {string}', async function then(kind: string) {
  yields(await leanNetwork.openStream(impossible, patience), kind);
});

Then('a link to a port that cannot be yields {string}', async function then(kind: string) {
  yields(await leanNetwork.open(impossible), kind);
});

// -- Streams.

Given('a stream on loopback', async function given(this: RuntimeStory) {
  const address = await freeAddress();
  const greeted = new Promise<Stream>((resolve, reject) => {
    leanNetwork.listenStream(address, resolve).then((listening) => {
      this.listening = [listening];
    }, reject);
  });
  await soon(() => this.listening !== undefined);
  const opened = await leanNetwork.openStream(address, patience);
  assert.ok(Either.isRight(opened));
  this.near = opened.right;
  this.far = await greeted;
});

async function readLength(stream: Stream, length: number): Promise<string> {
  let heard = '';
  while (heard.length < length) {
    const piece = await stream.read();
    if (Option.isNone(piece)) break;
    heard += piece.value;
  }
  return heard;
}

Then('every byte arrives as it was written, both ways', async function then(this: RuntimeStory) {
  const every = Array.from({ length: 256 }, (_, code) => String.fromCharCode(code))
    .join('')
    .repeat(1_000);
  this.near.write(every);
  this.far.write(every);
  assert.ok((await readLength(this.far, every.length)) === every);
  assert.ok((await readLength(this.near, every.length)) === every);
});

When('the far end writes and ends', function when(this: RuntimeStory) {
  this.far.write('last words');
  this.far.close();
});

Then('what it wrote is read, then its end, and the stream is closed on both sides', async function then(this: RuntimeStory) {
  assert.equal(await readLength(this.near, 10), 'last words');
  assert.ok(Option.isNone(await this.near.read()));
  assert.ok(this.near.closed() && this.far.closed());
  this.near.write('into the void');
  assert.ok(Option.isNone(await this.near.read()));
  assert.ok(Option.isNone(await this.far.read()));
  const listening = this.listening[0] as Listening;
  this.listening = [];
  // Only a connection that is closed both ways lets the server stop without being torn.
  await listening.stop();
});

When('the near end resets it', function when(this: RuntimeStory) {
  this.near.reset();
});

Then('the far end reads its end, and writing to either harms nobody', async function then(this: RuntimeStory) {
  assert.ok(this.near.closed());
  assert.ok(Option.isNone(await this.far.read()));
  assert.ok(this.far.closed());
  this.far.write('x'.repeat(100_000));
  this.near.write('x'.repeat(100_000));
  await new Promise(setImmediate);
  assert.ok(Option.isNone(await this.near.read()));
});

// -- The disk.

/** What is wrong with a store: its commits hang, or fail until it is opened anew. */
type FaultyStore = { hanging: boolean; panics: boolean; resume: () => void };

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
