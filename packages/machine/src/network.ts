// The network of a real machine: TCP by IP numbers, HTTP through fastify and undici (design 2.2).
import net from 'node:net';
import fastify, { type FastifyInstance } from 'fastify';
import { buildConnector, Client } from 'undici';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import {
  fault, http, type Address, type Fault, type HttpAsk, type HttpConnection, type HttpReply, type HttpServer, type Link, type Listening, type Network, type Stream,
} from '@stallstall/kernel';

const longestFrame = 8 * 1024 * 1024;
const longestBody = 1024 * 1024;
const connectMilliseconds = 3_000;
const keepMilliseconds = 600_000;

function parts(address: Address): Readonly<{ host: string; port: number }> {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

function unreachable(address: Address, cause: Error): Fault {
  return fault.create({ kind: 'unreachable', message: `${address} could not be reached`, remedy: 'see whether it runs and can be reached', cause });
}

/** One JSON value a line, in order, over one socket. */
function linkOver(socket: net.Socket): Link {
  const arrived: unknown[] = [];
  let waiting: ((message: Option.Option<unknown>) => void) | undefined;
  let rest = '';
  let open = true;
  socket.setNoDelay(true);
  socket.setEncoding('utf8');

  function over(): void {
    if (!open) return;
    open = false;
    socket.destroy();
    waiting?.(Option.none);
    waiting = undefined;
  }

  function take(line: string): void {
    let message: unknown;
    try {
      message = JSON.parse(line);
    } catch {
      over();
      return;
    }
    const resolve = waiting;
    waiting = undefined;
    if (resolve === undefined) arrived.push(message);
    else resolve(Option.some(message));
  }

  function data(chunk: string): void {
    const lines = (rest + chunk).split('\n');
    rest = lines.pop() ?? '';
    if (rest.length > longestFrame) over();
    for (const line of lines) if (open) take(line);
  }

  socket.on('data', data);
  socket.on('close', over);
  socket.on('error', over);

  return {
    send: function send(message) {
      if (open) socket.write(`${JSON.stringify(message)}\n`);
    },
    receive: function receive() {
      if (arrived.length > 0) return Promise.resolve(Option.some(arrived.shift()));
      if (!open) return Promise.resolve(Option.none);
      return new Promise((resolve) => {
        waiting = resolve;
      });
    },
    close: over,
  };
}

function listen(address: Address, greet: (link: Link) => void): Promise<Listening> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    greet(linkOver(socket));
  });
  return new Promise((resolve, reject) => {
    server.on('error', reject);
    server.listen(parts(address), () => resolve({
      stop: () => new Promise((stopped) => {
        server.close(() => stopped());
        for (const socket of sockets) socket.destroy();
      }),
    }));
  });
}

function open(address: Address): Promise<Either.Either<Fault, Link>> {
  return new Promise((resolve) => {
    const socket = net.connect(parts(address));
    function failed(error: Error): void {
      socket.destroy();
      resolve(Either.left(unreachable(address, error)));
    }
    socket.setTimeout(connectMilliseconds, () => failed(new Error('no connection in time')));
    socket.once('error', failed);
    socket.once('connect', () => {
      socket.removeListener('error', failed);
      socket.setTimeout(0);
      resolve(Either.right(linkOver(socket)));
    });
  });
}

/** What one side may have waiting for a reader that does not read. */
const mostUnsentBytes = 8 * 1024 * 1024;
/** A far end that went dark is noticed by keep-alive probes after so long. */
const keepAliveMilliseconds = 3_000;

function streamOver(socket: net.Socket): Stream {
  const arrived: string[] = [];
  let waiting: ((piece: Option.Option<string>) => void) | undefined;
  let ended = false;
  socket.setNoDelay(true);
  socket.setKeepAlive(true, keepAliveMilliseconds);
  socket.setEncoding('latin1');

  function settle(piece: Option.Option<string>): boolean {
    const resolve = waiting;
    waiting = undefined;
    resolve?.(piece);
    return resolve !== undefined;
  }

  function over(): void {
    ended = true;
    settle(Option.none);
  }

  socket.on('data', function data(piece: string) {
    if (!settle(Option.some(piece))) arrived.push(piece);
  });
  socket.on('end', function end() {
    over();
    socket.end();
  });
  socket.on('close', over);
  socket.on('error', function failed() {
    socket.destroy();
    over();
  });

  return {
    write: function write(text) {
      if (ended || socket.destroyed || !socket.writable) return;
      socket.write(text, 'latin1');
      if (socket.writableLength > mostUnsentBytes) socket.destroy();
    },
    read: function read() {
      const piece = arrived.shift();
      if (piece !== undefined) return Promise.resolve(Option.some(piece));
      if (ended) return Promise.resolve(Option.none);
      return new Promise((resolve) => {
        waiting = resolve;
      });
    },
    close: function close() {
      ended = true;
      socket.end();
      settle(Option.none);
    },
    reset: function reset() {
      ended = true;
      socket.resetAndDestroy();
      settle(Option.none);
    },
    closed: () => ended,
  };
}

function listenStream(address: Address, greet: (stream: Stream) => void): Promise<Listening> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer({ allowHalfOpen: false }, (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    greet(streamOver(socket));
  });
  return new Promise((resolve, reject) => {
    server.on('error', reject);
    server.listen({ ...parts(address), backlog: 1_024 }, () => resolve({
      stop: () => new Promise((stopped) => {
        server.close(() => stopped());
        for (const socket of sockets) socket.destroy();
      }),
    }));
  });
}

function openStream(address: Address, milliseconds: number): Promise<Either.Either<Fault, Stream>> {
  return new Promise((resolve) => {
    const socket = net.connect(parts(address));
    function failed(error: Error): void {
      clearTimeout(alarm);
      socket.destroy();
      const refused = (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
      resolve(Either.left(refused
        ? fault.create({ kind: 'not-listening', message: `nothing listens on ${address}`, remedy: 'start it, or mend the address', cause: error })
        : unreachable(address, error)));
    }
    const alarm = setTimeout(() => failed(new Error('no connection in time')), milliseconds);
    socket.once('error', failed);
    socket.once('connect', () => {
      clearTimeout(alarm);
      socket.removeListener('error', failed);
      resolve(Either.right(streamOver(socket)));
    });
  });
}

function typedError(error: { readonly statusCode?: number; readonly message: string }): HttpReply {
  return http.denied(error.statusCode === 413
    ? fault.create({ kind: 'too-large', message: `the body is over ${longestBody} bytes`, remedy: 'send less at a time' })
    : fault.create({ kind: (error.statusCode ?? 500) < 500 ? 'bad-request' : 'internal', message: error.message, remedy: 'send HTTP/1.1 with a JSON body' }));
}

async function serve(address: Address, server: HttpServer): Promise<Listening> {
  const names = new WeakMap<net.Socket, string>();
  let lastName = 0;
  // eslint-disable-next-line no-restricted-syntax -- the library's own name
  const app: FastifyInstance = fastify({ bodyLimit: longestBody, keepAliveTimeout: keepMilliseconds, forceCloseConnections: true, routerOptions: { maxParamLength: 300 } });

  function nameOf(socket: net.Socket): string {
    const known = names.get(socket);
    if (known !== undefined) return known;
    lastName += 1;
    const name = `${address}/${lastName}`;
    names.set(socket, name);
    socket.once('close', () => server.connectionClosed?.(name));
    return name;
  }

  app.setErrorHandler(async (error, _request, reply) => {
    const typed = typedError(error as Error);
    await reply.status(typed.status).send(typed.body);
  });
  app.setNotFoundHandler(async (request, reply) => {
    const missing = await http.mapped([], { method: request.method, path: request.url, query: {}, headers: {}, body: null, connection: '' });
    await reply.status(missing.status).send(missing.body);
  });
  for (const mapping of server.mappings) {
    app.route({
      method: mapping.method,
      url: mapping.path,
      handler: async (request, response) => {
        const reply = await http.mapped([{ ...mapping, path: '' }], {
          method: request.method, path: '', body: request.body ?? null, connection: nameOf(request.raw.socket),
          query: { ...(request.query as Record<string, string>), ...(request.params as Record<string, string>) },
          headers: request.headers as Record<string, string>,
        });
        await response.status(reply.status).headers(reply.headers ?? {}).send(reply.body);
      },
    });
  }
  await app.listen(parts(address));
  return { stop: () => app.close().then(() => undefined) };
}

function connect(address: Address): HttpConnection {
  const connector = buildConnector({ timeout: connectMilliseconds });
  let socket: net.Socket | undefined;
  const held = new Client(`http://${address}`, { pipelining: 1, connect: reach, keepAliveTimeout: keepMilliseconds, keepAliveMaxTimeout: keepMilliseconds, headersTimeout: 0, bodyTimeout: 0 });
  let connected = false;
  let closed = false;
  let under = false;

  function reach(options: buildConnector.Options, callback: buildConnector.Callback): void {
    connector(options, function reached(...result) {
      const [, opened] = result;
      socket = opened ?? undefined;
      callback(...result);
    });
  }

  /** Under an exchange by a reset, so that what the machine has not sent yet is not sent any more. */
  function close(): void {
    if (closed) return;
    closed = true;
    if (under) socket?.resetAndDestroy();
    held.destroy(() => undefined);
  }

  held.on('connect', () => {
    connected = true;
  });
  // Once lost, this connection never comes back by itself: a member would not know the session on it.
  held.on('disconnect', close);

  async function exchange(ask: HttpAsk, milliseconds: number): Promise<Either.Either<Fault, HttpReply>> {
    const alarm = setTimeout(close, milliseconds);
    try {
      if (closed) throw new Error('the connection is closed');
      under = true;
      const reply = await held.request({
        method: ask.method as 'GET', path: ask.path, signal: null,
        headers: { ...(ask.body === undefined ? {} : { 'content-type': 'application/json' }), ...ask.headers },
        ...(ask.body === undefined ? {} : { body: JSON.stringify(ask.body) }),
      });
      const text = await reply.body.text();
      const headers = Object.fromEntries(Object.entries(reply.headers).map(([name, value]) => [name, String(value)]));
      return Either.right({ status: reply.statusCode, headers, body: text === '' ? null : JSON.parse(text) });
    } catch (error) {
      close();
      if (!connected) return Either.left(unreachable(address, error as Error));
      return Either.left(fault.create({
        kind: 'reply-lost', message: `the reply of ${address} was lost`, remedy: 'see whether it runs and can be reached', cause: error as Error,
      }));
    } finally {
      under = false;
      clearTimeout(alarm);
    }
  }

  return { exchange, close, closed: () => closed };
}

export const network: Network = { listen, open, listenStream, openStream, serve, connect };
