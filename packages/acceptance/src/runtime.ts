/** Steps of the stories of runtime.feature: real sockets on loopback and a real folder. */
import assert from 'node:assert/strict';
import { spawnSync, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import fs from 'node:fs';
import net from 'node:net';
import { After, Given, Then, When, type DataTable } from '@cucumber/cucumber';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import {
  fault,
  identifiers,
  type Address,
  type Disk,
  type Fault,
  type OutgoingHttpRequest,
  type HttpReply,
  type Listener,
  type Stream,
} from '@stallstall/kernel';
import { minimalNetwork } from '@stallstall/runtime/minimal-runtime';
import { realFleet } from '@stallstall/bench';
import type { FaultyStore } from './data-folders.js';

export type RuntimeStory = {
  address: Address;
  listening: Listener[];
  connections: string[];
  closed: string[];
  warnings: string[];
  near: Stream;
  far: Stream;
  dataFolder: string;
  disk: Disk;
  putsBeforeSync: number;
  child: ChildProcess;
  /** Lines that the separate process has printed. */
  printed: string[];
  store: FaultyStore;
  put: Promise<Either.Either<Fault, null>>;
  /** Each change between a disk that syncs and one that does not. */
  changes: boolean[];
};

export const patience = 2_000;

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

async function ask(address: Address, asked: OutgoingHttpRequest, milliseconds = patience): Promise<Either.Either<Fault, HttpReply>> {
  const connection = minimalNetwork.connect(address);
  const reply = await connection.exchange(asked, milliseconds);
  connection.close();
  return reply;
}

Given('a page that replies what it was asked, on loopback', async function given(this: RuntimeStory) {
  this.address = await freeAddress();
  this.connections = [];
  this.closed = [];
  this.listening = [
    await minimalNetwork.serve(this.address, {
      routes: [
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
  const connection = minimalNetwork.connect(this.address);
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
export async function soon(condition: () => boolean): Promise<boolean> {
  const until = Date.now() + patience;
  while (!condition() && Date.now() < until) await new Promise(setImmediate);
  return condition();
}

Then('once it is closed, the server is told so', async function then(this: RuntimeStory) {
  assert.ok(await soon(() => this.closed.length === 1));
  assert.deepEqual(this.closed, [this.connections[0]]);
});

function rejected(reply: Either.Either<Fault, HttpReply>, status: number, kind: string): void {
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
  rejected(await ask(this.address, { method: 'POST', path: '/echo/long', body: 'x'.repeat(1024 * 1024) }), 413, kind);
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
  rejected(await ask(this.address, { method: 'POST', path: '/echo/%zz', body: {} }), 404, kind);
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
    const connection = minimalNetwork.connect(address);
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
  const connection = minimalNetwork.connect(this.address);
  assert.ok(Either.isRight(await connection.exchange({ method: 'POST', path: '/echo/first' }, patience)));
  const [listening] = this.listening;
  this.listening = [];
  await listening?.stop();
  assert.ok(await soon(connection.closed));
  const later = await connection.exchange({ method: 'POST', path: '/echo/second' }, patience);
  assert.ok(Either.isLeft(later) && fault.kind(later.left) === 'unreachable');
});

// -- Whose reply it is.

function okReply(word: string): string {
  const text = JSON.stringify({ word });
  return `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${text.length}\r\n\r\n${text}`;
}

const strayMilliseconds = 40;
const lateMilliseconds = 160;

/** What a far end does with each ask it hears, which it names in its reply. */
const strayFarEnds: Readonly<Record<string, (socket: net.Socket, word: string) => void>> = {
  'replies once more while nothing is asked': function twice(socket, word) {
    socket.write(okReply(word));
    setTimeout(() => socket.write(okReply(word)), strayMilliseconds);
  },
  'replies twice in one piece': (socket, word) => socket.write(okReply(word) + okReply(word)),
  'replies late, after the time was over': (socket, word) => setTimeout(() => socket.write(okReply(word)), lateMilliseconds),
  'half replies once more while nothing is asked': function half(socket, word) {
    socket.write(okReply(word));
    setTimeout(() => socket.write(okReply(word).slice(0, 30)), strayMilliseconds);
  },
  'closes while nothing is asked': function closes(socket, word) {
    socket.write(okReply(word));
    setTimeout(() => socket.end(), strayMilliseconds);
  },
};

/** Three asks on one connection; those that are replied are replied with their own word, and the connection is gone after the first. */
async function assertOwnReplies(name: string, behave: (socket: net.Socket, word: string) => void): Promise<void> {
  const address = await freeAddress();
  const heard: string[] = [];
  const sockets = new Set<net.Socket>();
  const server = net
    .createServer((socket) => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('data', function asked(piece) {
        const word = /\/ask\/(\w+)/.exec(String(piece))?.[1] ?? '';
        heard.push(word);
        behave(socket, word);
      });
    })
    .listen(portOf(address), '127.0.0.1');
  await once(server, 'listening');
  const connection = minimalNetwork.connect(address);
  for (const word of ['one', 'two', 'three']) {
    const reply = await connection.exchange({ method: 'GET', path: `/ask/${word}` }, silenceMilliseconds);
    if (Either.isRight(reply)) assert.deepEqual(reply.right.body, { word }, name);
    await new Promise((resolve) => setTimeout(resolve, 2 * strayMilliseconds));
    assert.ok(connection.closed(), `${name}: the connection is held after ${word}`);
  }
  assert.deepEqual(heard, ['one'], name);
  for (const socket of sockets) socket.destroy();
  server.close();
}

Then('over a connection whose far end behaves like this, no ask is given the reply to another:', async function then(table: DataTable) {
  assert.deepEqual(
    table.hashes().map((row) => row['far end']),
    Object.keys(strayFarEnds),
  );
  for (const [name, behave] of Object.entries(strayFarEnds)) await assertOwnReplies(name, behave);
});

Then('a second ask on a busy connection is denied at once, and the first is replied', async function then(this: RuntimeStory) {
  const connection = minimalNetwork.connect(this.address);
  const first = connection.exchange({ method: 'POST', path: '/echo/first', body: { word: 'first' } }, patience);
  const second = await connection.exchange({ method: 'POST', path: '/echo/second', body: { word: 'second' } }, patience);
  assert.ok(Either.isLeft(second) && fault.kind(second.left) === 'unreachable');
  const replied = await first;
  assert.ok(Either.isRight(replied));
  assert.deepEqual(replied.right.body, { word: 'first' });
  assert.equal(this.connections.length, 1);
  connection.close();
});

Then('an ask whose time to leave is over never leaves', async function then(this: RuntimeStory) {
  const before = this.connections.length;
  const leaveBefore = identifiers.instant(performance.now());
  const reply = await ask(this.address, { method: 'POST', path: '/echo/late', body: {}, sendBefore: leaveBefore });
  assert.ok(Either.isLeft(reply) && fault.kind(reply.left) === 'unreachable');
  await new Promise((resolve) => setTimeout(resolve, strayMilliseconds));
  assert.equal(this.connections.length, before);
});

Given('a page that replies the later the shorter the word, on loopback', async function given(this: RuntimeStory) {
  this.address = await freeAddress();
  this.connections = [];
  this.listening = [
    await minimalNetwork.serve(this.address, {
      routes: [
        {
          method: 'POST',
          path: '/word/:word',
          handle: async (request) => {
            const word = request.query['word'] ?? '';
            this.connections.push(word);
            await new Promise((resolve) => setTimeout(resolve, 60 / word.length));
            return { status: 200, body: { word, sent: request.body } };
          },
        },
      ],
    }),
  ];
});

function postOf(word: string, body: unknown): string {
  const text = JSON.stringify(body);
  return `POST /word/${word} HTTP/1.1\r\nHost: x\r\nContent-Length: ${text.length}\r\n\r\n${text}`;
}

/** Pieces one after the other over one connection, and all that is heard until so many replies have come. */
async function talk(address: Address, pieces: readonly string[], replies: number): Promise<string> {
  const socket = net.connect(portOf(address), '127.0.0.1');
  let heard = '';
  socket.setNoDelay(true);
  socket.setEncoding('latin1');
  socket.on('data', (piece: string) => {
    heard += piece;
  });
  socket.on('error', () => undefined);
  for (const piece of pieces) {
    socket.write(piece);
    await new Promise(setImmediate);
  }
  await soon(() => heard.split('"sent"').length > replies);
  socket.destroy();
  return heard;
}

function bodiesIn(heard: string): readonly unknown[] {
  return [...heard.matchAll(/\{"word".*?\}\}/g)].map(([text]) => JSON.parse(text) as unknown);
}

Then(
  'of asks for {string}, {string} and {string} in one piece the replies come in that order, each with its own body',
  async function then(this: RuntimeStory, one: string, two: string, three: string) {
    const words = [one, two, three];
    const heard = await talk(this.address, [words.map((word, number) => postOf(word, { number })).join('')], words.length);
    assert.deepEqual(
      bodiesIn(heard),
      words.map((word, number) => ({ word, sent: { number } })),
    );
  },
);

Then('an ask that expects to be let go on is let go on, and replied once', async function then(this: RuntimeStory) {
  const whole = postOf('word', { number: 9 }).replace('\r\n\r\n', '\r\nExpect: 100-continue\r\n\r\n');
  const body = whole.indexOf('\r\n\r\n') + 4;
  this.connections.length = 0;
  const heard = await talk(this.address, [whole.slice(0, body), whole.slice(body)], 1);
  assert.match(heard, /^HTTP\/1\.1 100 /);
  assert.deepEqual(bodiesIn(heard), [{ word: 'word', sent: { number: 9 } }]);
  assert.deepEqual(this.connections, ['word']);
});

Then('an ask in chunks cut anywhere is replied as a whole one', async function then(this: RuntimeStory) {
  const text = JSON.stringify({ number: 12 });
  const head = 'POST /word/chunks HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n';
  const whole = `${head}${(5).toString(16)}\r\n${text.slice(0, 5)}\r\n${(text.length - 5).toString(16)}\r\n${text.slice(5)}\r\n0\r\n\r\n`;
  for (let at = 1; at < whole.length; at += 7) {
    const heard = await talk(this.address, [whole.slice(0, at), whole.slice(at)], 1);
    assert.deepEqual(bodiesIn(heard), [{ word: 'chunks', sent: { number: 12 } }], `cut at ${at}`);
  }
});

Then('an ask whose sender goes before the reply leaves the replies of others as they are', async function then(this: RuntimeStory) {
  const socket = net.connect(portOf(this.address), '127.0.0.1');
  await once(socket, 'connect');
  socket.write(postOf('a', { number: 20 }));
  const other = talk(this.address, [postOf('a', { number: 21 })], 1);
  await new Promise(setImmediate);
  socket.resetAndDestroy();
  assert.deepEqual(bodiesIn(await other), [{ word: 'a', sent: { number: 21 } }]);
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
  yields(await minimalNetwork.openStream(await freeAddress(), patience), kind);
});

Then('a stream to a port that cannot be yields {string}', async function then(kind: string) {
  yields(await minimalNetwork.openStream(impossible, patience), kind);
});

Then('a link to a port that cannot be yields {string}', async function then(kind: string) {
  yields(await minimalNetwork.open(impossible), kind);
});

// -- Streams.

Given('a stream on loopback', async function given(this: RuntimeStory) {
  const address = await freeAddress();
  const greeted = new Promise<Stream>((resolve, reject) => {
    minimalNetwork.listenStream(address, resolve).then((listening) => {
      this.listening = [listening];
    }, reject);
  });
  await soon(() => this.listening !== undefined);
  const opened = await minimalNetwork.openStream(address, patience);
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
  const listening = this.listening[0] as Listener;
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

Then('the daemons of a fleet of real processes can be started by name', function then() {
  for (const daemon of ['core', 'agent', 'proxy']) {
    const run = spawnSync(process.execPath, [realFleet.program, 'run', daemon, '--help'], { encoding: 'utf8', timeout: 20_000 });
    assert.equal(run.status, 0, run.stderr);
  }
});
