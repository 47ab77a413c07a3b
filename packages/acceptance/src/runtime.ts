/** Steps of runtime.feature that use real sockets on loopback; data-folders.ts has those that use a data folder. */
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
  local: Stream;
  peer: Stream;
  dataFolder: string;
  disk: Disk;
  putsBeforeSync: number;
  child: ChildProcess;
  /** Lines that the separate process has printed. */
  printed: string[];
  store: FaultyStore;
  put: Promise<Either.Either<Fault, null>>;
  /** Changes of the sync state of the disk; true when a fault starts. */
  changes: boolean[];
};

/** How long a step waits for an expected event. */
export const timeoutMilliseconds = 2_000;

/** An address that nothing listens on: a port that was free a moment ago. */
export async function freeAddress(): Promise<Address> {
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
  for (const listener of this.listening ?? []) await listener.stop();
  if (this.dataFolder !== undefined) fs.rmSync(this.dataFolder, { recursive: true });
});

/** Sends a request over a connection of its own. */
async function requestOnce(
  address: Address,
  request: OutgoingHttpRequest,
  milliseconds = timeoutMilliseconds,
): Promise<Either.Either<Fault, HttpReply>> {
  const connection = minimalNetwork.connect(address);
  const reply = await connection.exchange(request, milliseconds);
  connection.close();
  return reply;
}

Given('an echo server on loopback', async function given(this: RuntimeStory) {
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

When('{int} requests are sent over one connection', async function when(this: RuntimeStory, count: number) {
  this.warnings = [];
  const { warnings } = this;
  function onWarning(warning: Error): void {
    warnings.push(warning.message);
  }
  process.on('warning', onWarning);
  const connection = minimalNetwork.connect(this.address);
  for (let index = 0; index < count; index += 1) {
    const reply = await connection.exchange(
      { method: 'POST', path: `/echo/w${index}`, body: { index, text: 'ñandú' } },
      timeoutMilliseconds,
    );
    assert.ok(Either.isRight(reply));
    assert.equal(reply.right.status, 201);
    assert.equal(reply.right.headers?.['x-word'], `w${index}`);
    assert.deepEqual(reply.right.body, { index, text: 'ñandú' });
  }
  assert.deepEqual(this.closed, []);
  connection.close();
  await new Promise(setImmediate);
  process.removeListener('warning', onWarning);
});

Then('all were answered over the same connection, and there was no leak warning', function then(this: RuntimeStory) {
  assert.equal(new Set(this.connections).size, 1);
  assert.deepEqual(this.warnings, []);
});

/** Waits until a condition holds, checking it in each turn of the event loop. Returns false if it times out. */
export async function becomesTrue(condition: () => boolean): Promise<boolean> {
  const deadline = Date.now() + timeoutMilliseconds;
  while (!condition() && Date.now() < deadline) await new Promise(setImmediate);
  return condition();
}

Then('once it is closed, the server is notified', async function then(this: RuntimeStory) {
  assert.ok(await becomesTrue(() => this.closed.length === 1));
  assert.deepEqual(this.closed, [this.connections[0]]);
});

function assertRejected(reply: Either.Either<Fault, HttpReply>, status: number, kind: string): void {
  assert.ok(Either.isRight(reply), Either.isLeft(reply) ? reply.left.message : '');
  assert.equal(reply.right.status, status);
  assert.equal((reply.right.body as { error?: unknown }).error, kind);
}

/** Sends raw bytes and returns what the server sends until it closes or the first reply is complete. */
async function sendRaw(address: Address, text: string): Promise<string> {
  const socket = net.connect(portOf(address), '127.0.0.1');
  let received = '';
  socket.setEncoding('latin1');
  socket.on('data', (chunk: string) => {
    received += chunk;
  });
  socket.on('error', () => undefined);
  socket.write(text);
  await becomesTrue(() => socket.destroyed || /\r\n\r\n.*\}/s.test(received));
  socket.destroy();
  return received;
}

Then('a body of 1 MiB or more is answered with 413 {string}', async function then(this: RuntimeStory, kind: string) {
  assertRejected(await requestOnce(this.address, { method: 'POST', path: '/echo/long', body: 'x'.repeat(1024 * 1024) }), 413, kind);
  const most = await requestOnce(this.address, { method: 'POST', path: '/echo/long', body: 'x'.repeat(1024 * 1024 - 2) });
  assert.ok(Either.isRight(most) && most.right.status === 201);
  assert.equal(this.connections.length, 1);
});

Then('a body that is not JSON is answered with 400 {string}', async function then(this: RuntimeStory, kind: string) {
  for (const text of ['{"half":', 'word', '{}{}']) {
    const received = await sendRaw(this.address, `POST /echo/bad HTTP/1.1\r\nHost: x\r\nContent-Length: ${text.length}\r\n\r\n${text}`);
    assert.match(received, /^HTTP\/1\.1 400 /);
    assert.ok(received.includes(`"error":"${kind}"`), received);
  }
  assert.equal(this.connections.length, 1);
});

Then('a path that is not valid in a URI is answered with 404 {string}', async function then(this: RuntimeStory, kind: string) {
  assertRejected(await requestOnce(this.address, { method: 'POST', path: '/echo/%zz', body: {} }), 404, kind);
});

Then('data that is not HTTP is answered with 400', async function then(this: RuntimeStory) {
  assert.match(await sendRaw(this.address, 'OPEN something strange\r\n\r\n'), /^HTTP\/1\.1 400 /);
});

Then('a request that breaks off within its body does not affect the server', async function then(this: RuntimeStory) {
  const socket = net.connect(portOf(this.address), '127.0.0.1');
  await once(socket, 'connect');
  socket.write('POST /echo/cut HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{"half":');
  const before = this.closed.length;
  await new Promise(setImmediate);
  socket.resetAndDestroy();
  await becomesTrue(() => this.closed.length > before);
  assert.equal(this.connections.length, 1);
});

Then('a request over a new connection is answered', async function then(this: RuntimeStory) {
  const reply = await requestOnce(this.address, { method: 'POST', path: '/echo/again' });
  assert.ok(Either.isRight(reply) && reply.right.status === 201 && reply.right.headers?.['x-word'] === 'again');
});

const head = 'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 20\r\n\r\n';
const peerBehaviors: Readonly<Record<string, (socket: net.Socket) => void>> = {
  'closes without a reply': (socket) => socket.end(),
  'resets without a reply': (socket) => socket.resetAndDestroy(),
  'ends within the body': (socket) => socket.end(`${head}{"half":`),
  'sends a body that is not JSON': (socket) => socket.write(`${head}{"half": "of a texts`),
  'sends nothing': () => undefined,
  'stops within the body': (socket) => socket.write(`${head}{"half":`),
  'sends data that is not HTTP': (socket) => socket.write('IDLE\r\n\r\n'),
};
const silenceMilliseconds = 120;

Then('a peer that behaves like this yields {string}:', async function then(this: RuntimeStory, kind: string, table: DataTable) {
  assert.deepEqual(
    table.hashes().map((row) => row['peer']),
    Object.keys(peerBehaviors),
  );
  for (const [name, behave] of Object.entries(peerBehaviors)) {
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

Then('a connection whose peer closes between two requests is closed, and sends no more requests', async function then(this: RuntimeStory) {
  const connection = minimalNetwork.connect(this.address);
  assert.ok(Either.isRight(await connection.exchange({ method: 'POST', path: '/echo/first' }, timeoutMilliseconds)));
  const [listening] = this.listening;
  this.listening = [];
  await listening?.stop();
  assert.ok(await becomesTrue(connection.closed));
  const later = await connection.exchange({ method: 'POST', path: '/echo/second' }, timeoutMilliseconds);
  assert.ok(Either.isLeft(later) && fault.kind(later.left) === 'unreachable');
});

// -- Unsolicited replies.

function okReply(word: string): string {
  const text = JSON.stringify({ word });
  return `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${text.length}\r\n\r\n${text}`;
}

const unsolicitedReplyMilliseconds = 40;
const lateReplyMilliseconds = 160;

/** How a peer reacts to each request. Its reply contains the word of the request. */
const unsolicitedReplies: Readonly<Record<string, (socket: net.Socket, word: string) => void>> = {
  'sends a second reply while no request is in progress': function twice(socket, word) {
    socket.write(okReply(word));
    setTimeout(() => socket.write(okReply(word)), unsolicitedReplyMilliseconds);
  },
  'sends two replies in one chunk': (socket, word) => socket.write(okReply(word) + okReply(word)),
  'replies after the request timed out': (socket, word) => setTimeout(() => socket.write(okReply(word)), lateReplyMilliseconds),
  'sends half of a second reply while no request is in progress': function sendHalf(socket, word) {
    socket.write(okReply(word));
    setTimeout(() => socket.write(okReply(word).slice(0, 30)), unsolicitedReplyMilliseconds);
  },
  'closes while no request is in progress': function closes(socket, word) {
    socket.write(okReply(word));
    setTimeout(() => socket.end(), unsolicitedReplyMilliseconds);
  },
};

/** Sends three requests on one connection: no request receives the reply to another, and the connection is closed after the first. */
async function assertOwnReplies(name: string, behave: (socket: net.Socket, word: string) => void): Promise<void> {
  const address = await freeAddress();
  const received: string[] = [];
  const sockets = new Set<net.Socket>();
  const server = net
    .createServer((socket) => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('data', function onRequest(chunk) {
        const word = /\/word\/(\w+)/.exec(String(chunk))?.[1] ?? '';
        received.push(word);
        behave(socket, word);
      });
    })
    .listen(portOf(address), '127.0.0.1');
  await once(server, 'listening');
  const connection = minimalNetwork.connect(address);
  for (const word of ['one', 'two', 'three']) {
    const reply = await connection.exchange({ method: 'GET', path: `/word/${word}` }, silenceMilliseconds);
    if (Either.isRight(reply)) assert.deepEqual(reply.right.body, { word }, name);
    await new Promise((resolve) => setTimeout(resolve, 2 * unsolicitedReplyMilliseconds));
    assert.ok(connection.closed(), `${name}: the connection is still open after ${word}`);
  }
  assert.deepEqual(received, ['one'], name);
  for (const socket of sockets) socket.destroy();
  server.close();
}

Then('over a connection whose peer behaves like this, no request receives the reply to another:', async function then(table: DataTable) {
  assert.deepEqual(
    table.hashes().map((row) => row['peer']),
    Object.keys(unsolicitedReplies),
  );
  for (const [name, behave] of Object.entries(unsolicitedReplies)) await assertOwnReplies(name, behave);
});

Then('a second request on a busy connection is rejected at once, and the first is answered', async function then(this: RuntimeStory) {
  const connection = minimalNetwork.connect(this.address);
  const first = connection.exchange({ method: 'POST', path: '/echo/first', body: { word: 'first' } }, timeoutMilliseconds);
  const second = await connection.exchange({ method: 'POST', path: '/echo/second', body: { word: 'second' } }, timeoutMilliseconds);
  assert.ok(Either.isLeft(second) && fault.kind(second.left) === 'unreachable');
  const replied = await first;
  assert.ok(Either.isRight(replied));
  assert.deepEqual(replied.right.body, { word: 'first' });
  assert.equal(this.connections.length, 1);
  connection.close();
});

Then('a request whose latest send time has passed is not sent', async function then(this: RuntimeStory) {
  const before = this.connections.length;
  const sendBefore = identifiers.instant(performance.now());
  const reply = await requestOnce(this.address, { method: 'POST', path: '/echo/late', body: {}, sendBefore });
  assert.ok(Either.isLeft(reply) && fault.kind(reply.left) === 'unreachable');
  await new Promise((resolve) => setTimeout(resolve, unsolicitedReplyMilliseconds));
  assert.equal(this.connections.length, before);
});

Given('a server on loopback that replies later to shorter words', async function given(this: RuntimeStory) {
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

/** Sends chunks one after the other over one connection, and returns what is received until this many replies have arrived. */
async function sendChunks(address: Address, chunks: readonly string[], replies: number): Promise<string> {
  const socket = net.connect(portOf(address), '127.0.0.1');
  let received = '';
  socket.setNoDelay(true);
  socket.setEncoding('latin1');
  socket.on('data', (chunk: string) => {
    received += chunk;
  });
  socket.on('error', () => undefined);
  for (const chunk of chunks) {
    socket.write(chunk);
    await new Promise(setImmediate);
  }
  await becomesTrue(() => received.split('"sent"').length > replies);
  socket.destroy();
  return received;
}

function bodiesIn(received: string): readonly unknown[] {
  return [...received.matchAll(/\{"word".*?\}\}/g)].map(([text]) => JSON.parse(text) as unknown);
}

Then(
  'the replies to pipelined requests for {string}, {string} and {string} arrive in that order, each with its own body',
  async function then(this: RuntimeStory, first: string, second: string, third: string) {
    const words = [first, second, third];
    const received = await sendChunks(this.address, [words.map((word, number) => postOf(word, { number })).join('')], words.length);
    assert.deepEqual(
      bodiesIn(received),
      words.map((word, number) => ({ word, sent: { number } })),
    );
  },
);

Then('a request that expects 100-continue receives it, and is answered once', async function then(this: RuntimeStory) {
  const request = postOf('word', { number: 9 }).replace('\r\n\r\n', '\r\nExpect: 100-continue\r\n\r\n');
  const body = request.indexOf('\r\n\r\n') + 4;
  this.connections.length = 0;
  const received = await sendChunks(this.address, [request.slice(0, body), request.slice(body)], 1);
  assert.match(received, /^HTTP\/1\.1 100 /);
  assert.deepEqual(bodiesIn(received), [{ word: 'word', sent: { number: 9 } }]);
  assert.deepEqual(this.connections, ['word']);
});

Then('a chunked request that is split at various points is answered like one that is not split', async function then(this: RuntimeStory) {
  const text = JSON.stringify({ number: 12 });
  const head = 'POST /word/chunks HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n';
  const request = `${head}${(5).toString(16)}\r\n${text.slice(0, 5)}\r\n${(text.length - 5).toString(16)}\r\n${text.slice(5)}\r\n0\r\n\r\n`;
  for (let position = 1; position < request.length; position += 7) {
    const received = await sendChunks(this.address, [request.slice(0, position), request.slice(position)], 1);
    assert.deepEqual(bodiesIn(received), [{ word: 'chunks', sent: { number: 12 } }], `split at ${position}`);
  }
});

Then('a request whose client disconnects before the reply does not affect other replies', async function then(this: RuntimeStory) {
  const socket = net.connect(portOf(this.address), '127.0.0.1');
  await once(socket, 'connect');
  socket.write(postOf('a', { number: 20 }));
  const other = sendChunks(this.address, [postOf('a', { number: 21 })], 1);
  await new Promise(setImmediate);
  socket.resetAndDestroy();
  assert.deepEqual(bodiesIn(await other), [{ word: 'a', sent: { number: 21 } }]);
});

const invalidAddress = identifiers.address('127.0.0.1:99999');

function assertFault(result: Either.Either<Fault, unknown>, kind: string): void {
  assert.ok(Either.isLeft(result));
  assert.equal(fault.kind(result.left), kind);
  assert.ok(fault.details(result.left).remedy.length > 0);
}

Then('a request to a port without a listener yields {string}', async function then(kind: string) {
  assertFault(await requestOnce(await freeAddress(), { method: 'GET', path: '/any' }), kind);
});

Then('a request to an invalid port yields {string}', async function then(kind: string) {
  assertFault(await requestOnce(invalidAddress, { method: 'GET', path: '/any' }), kind);
});

Then('a stream to a port without a listener yields {string}', async function then(kind: string) {
  assertFault(await minimalNetwork.openStream(await freeAddress(), timeoutMilliseconds), kind);
});

Then('a stream to an invalid port yields {string}', async function then(kind: string) {
  assertFault(await minimalNetwork.openStream(invalidAddress, timeoutMilliseconds), kind);
});

Then('a link to an invalid port yields {string}', async function then(kind: string) {
  assertFault(await minimalNetwork.open(invalidAddress), kind);
});

// -- Streams.

Given('a stream on loopback', async function given(this: RuntimeStory) {
  const address = await freeAddress();
  const accepted = new Promise<Stream>((resolve, reject) => {
    minimalNetwork.listenStream(address, resolve).then((listening) => {
      this.listening = [listening];
    }, reject);
  });
  await becomesTrue(() => this.listening !== undefined);
  const opened = await minimalNetwork.openStream(address, timeoutMilliseconds);
  assert.ok(Either.isRight(opened));
  this.local = opened.right;
  this.peer = await accepted;
});

async function readLength(stream: Stream, length: number): Promise<string> {
  let received = '';
  while (received.length < length) {
    const chunk = await stream.read();
    if (Option.isNone(chunk)) break;
    received += chunk.value;
  }
  return received;
}

Then('every byte arrives as it was written, in both directions', async function then(this: RuntimeStory) {
  const allBytes = Array.from({ length: 256 }, (_, code) => String.fromCharCode(code))
    .join('')
    .repeat(1_000);
  this.local.write(allBytes);
  this.peer.write(allBytes);
  assert.ok((await readLength(this.peer, allBytes.length)) === allBytes);
  assert.ok((await readLength(this.local, allBytes.length)) === allBytes);
});

When('the peer writes and closes the stream', function when(this: RuntimeStory) {
  this.peer.write('last words');
  this.peer.close();
});

Then('the written data is read, then the end, and the stream is closed on both sides', async function then(this: RuntimeStory) {
  assert.equal(await readLength(this.local, 10), 'last words');
  assert.ok(Option.isNone(await this.local.read()));
  assert.ok(this.local.closed() && this.peer.closed());
  this.local.write('into the void');
  assert.ok(Option.isNone(await this.local.read()));
  assert.ok(Option.isNone(await this.peer.read()));
  const listening = this.listening[0] as Listener;
  this.listening = [];
  // The server stops only when the connection is closed in both directions.
  await listening.stop();
});

When('the local side resets it', function when(this: RuntimeStory) {
  this.local.reset();
});

Then('the peer reads the end, and writing to either side does no harm', async function then(this: RuntimeStory) {
  assert.ok(this.local.closed());
  assert.ok(Option.isNone(await this.peer.read()));
  assert.ok(this.peer.closed());
  this.peer.write('x'.repeat(100_000));
  this.local.write('x'.repeat(100_000));
  await new Promise(setImmediate);
  assert.ok(Option.isNone(await this.local.read()));
});

Then('the daemons of a fleet of real processes can be started by name', function then() {
  for (const daemon of ['core', 'agent', 'proxy']) {
    const run = spawnSync(process.execPath, [realFleet.program, 'run', daemon, '--help'], { encoding: 'utf8', timeout: 20_000 });
    assert.equal(run.status, 0, run.stderr);
  }
});
