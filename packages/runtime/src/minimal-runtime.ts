/** A real machine's kernel for programs whose every start is paid for: HTTP from the runtime alone (design 2.7). */
import './log-on.js';
import type http from 'node:http';
import type net from 'node:net';
import { ROARR, Roarr } from 'roarr';
import * as Either from 'fp-ts/lib/Either.js';
import type * as Option from 'fp-ts/lib/Option.js';
import {
  fault,
  http as pages,
  type Address,
  type Disk,
  type Fault,
  type OutgoingHttpRequest,
  type HttpConnection,
  type HttpReply,
  type HttpServer,
  type Kernel,
  type Listening,
  type Network,
} from '@stallstall/kernel';
import { base } from './base.js';
import { connectMilliseconds, links } from './links.js';

const longestBody = 1024 * 1024;
const keepMilliseconds = 600_000;
const requestMilliseconds = 10_000;

/** Fetched when first used: it cannot be part of a snapshot, and an agent never uses it. */
function runtime(): typeof http {
  return process.getBuiltinModule('node:http');
}

function body(request: http.IncomingMessage): Promise<Either.Either<Fault, unknown>> {
  return new Promise((resolve) => {
    const pieces: Buffer[] = [];
    let length = 0;
    request.on('data', function data(piece: Buffer) {
      length += piece.length;
      if (length <= longestBody) pieces.push(piece);
    });
    request.on('error', (error) =>
      resolve(Either.left(fault.create({ kind: 'bad-request', message: error.message, remedy: 'send it again' }))),
    );
    request.on('end', function end() {
      if (length > longestBody) {
        resolve(
          Either.left(fault.create({ kind: 'too-large', message: `the body is over ${longestBody} bytes`, remedy: 'send less at a time' })),
        );
        return;
      }
      const text = Buffer.concat(pieces).toString('utf8');
      try {
        resolve(Either.right(text === '' ? null : JSON.parse(text)));
      } catch (error) {
        resolve(
          Either.left(fault.create({ kind: 'bad-request', message: (error as Error).message, remedy: 'send HTTP/1.1 with a JSON body' })),
        );
      }
    });
  });
}

function serve(address: Address, server: HttpServer): Promise<Listening> {
  const names = new WeakMap<net.Socket, string>();
  let lastName = 0;

  function nameOf(socket: net.Socket): string {
    const known = names.get(socket);
    if (known !== undefined) return known;
    lastName += 1;
    const name = `${address}/${lastName}`;
    names.set(socket, name);
    socket.once('close', () => server.connectionClosed?.(name));
    return name;
  }

  async function reply(request: http.IncomingMessage): Promise<HttpReply> {
    const connection = nameOf(request.socket);
    const read = await body(request);
    if (Either.isLeft(read)) return pages.rejected(read.left);
    const [path, query] = (request.url ?? '').split('?');
    return pages.dispatch(server.routes, {
      method: request.method ?? '',
      path: path ?? '',
      query: Object.fromEntries(new URLSearchParams(query ?? '')),
      headers: request.headers as Record<string, string>,
      body: read.right,
      connection,
    });
  }

  async function handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const replied = await reply(request);
    const text = replied.body === undefined ? '' : JSON.stringify(replied.body);
    response.writeHead(replied.status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      ...replied.headers,
    });
    response.end(text);
  }

  const listener = runtime().createServer(
    { keepAliveTimeout: keepMilliseconds, requestTimeout: requestMilliseconds, connectionsCheckingInterval: requestMilliseconds },
    (request, response) => void handle(request, response),
  );
  return new Promise((resolve, reject) => {
    listener.on('error', reject);
    listener.listen(links.parts(address), () =>
      resolve({
        stopAccepting: () => void listener.close(),
        stop: () =>
          new Promise((stopped) => {
            listener.close(() => stopped());
            listener.closeAllConnections();
          }),
      }),
    );
  });
}

function connect(address: Address): HttpConnection {
  const { host, port } = links.parts(address);
  const agent = new (runtime().Agent)({ keepAlive: true, maxSockets: 1, keepAliveMsecs: 3_000 });
  let socket: net.Socket | undefined;
  let under: http.ClientRequest | undefined;
  let connected = false;
  let closed = false;

  function denied(reason: string): Either.Either<Fault, HttpReply> {
    return Either.left(links.unreachable(address, new Error(reason)));
  }

  /** One socket serves every exchange of this connection; once lost, the connection never comes back by itself. */
  function hold(opened: net.Socket): void {
    socket = opened;
    opened.once('close', close);
    // A reply that nobody waits for: what comes next could be taken for the reply to something else.
    opened.on('data', function stray() {
      if (under === undefined) close();
    });
  }

  /** Under an exchange by a reset, so that what the machine has not sent yet is not sent any more. */
  function close(): void {
    if (closed) return;
    closed = true;
    if (under !== undefined) socket?.resetAndDestroy();
    under?.destroy();
    agent.destroy();
  }

  function exchange(ask: OutgoingHttpRequest, milliseconds: number): Promise<Either.Either<Fault, HttpReply>> {
    if (closed) return Promise.resolve(denied('the connection is closed'));
    if (under !== undefined) return Promise.resolve(denied('another exchange is under way'));
    return new Promise((resolve) => {
      let left = false;
      const text = ask.body === undefined ? undefined : JSON.stringify(ask.body);
      const timer = setTimeout(close, milliseconds);
      const connecting = setTimeout(() => (connected ? undefined : close()), Math.min(2 * connectMilliseconds, milliseconds));
      function settle(result: Either.Either<Fault, HttpReply>): void {
        clearTimeout(timer);
        clearTimeout(connecting);
        under = undefined;
        resolve(result);
      }
      function lost(error: Error): void {
        close();
        settle(
          Either.left(
            left
              ? fault.create({
                  kind: 'reply-lost',
                  message: `the reply of ${address} was lost`,
                  remedy: 'see whether it runs and can be reached',
                  cause: error,
                })
              : links.unreachable(address, error),
          ),
        );
      }
      let request: http.ClientRequest;
      function send(): void {
        connected = true;
        if (ask.leaveBefore !== undefined && performance.now() >= ask.leaveBefore) return lost(new Error('the time to leave is over'));
        left = true;
        request.end(text);
      }
      try {
        request = runtime().request(
          {
            host,
            port,
            agent,
            method: ask.method,
            path: ask.path,
            headers: {
              ...(text === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
              ...ask.headers,
            },
          },
          async function replied(response) {
            const read = await body(response);
            if (Either.isLeft(read)) return lost(read.left);
            settle(
              Either.right({ status: response.statusCode ?? 0, headers: response.headers as Record<string, string>, body: read.right }),
            );
          },
        );
      } catch (error) {
        // The runtime throws at a port or a header that cannot be; no byte has left.
        lost(error as Error);
        return;
      }
      under = request;
      request.once('error', lost);
      request.once('socket', function reached(opened) {
        // The runtime opens another in place of one that was lost: nothing goes over that.
        if (socket !== undefined && socket !== opened) return lost(new Error('the connection was lost'));
        if (socket === undefined) hold(opened);
        if (opened.connecting) opened.once('connect', send);
        else send();
      });
    });
  }

  return { exchange, close, closed: () => closed };
}

export const leanNetwork: Network = {
  listen: links.listen,
  open: links.open,
  listenStream: links.listenStream,
  openStream: links.openStream,
  serve,
  connect,
};

function create(program: string, disk: Option.Option<Disk>): Kernel {
  return base.create(base.logThrough(program, { Roarr, ROARR } as never), leanNetwork, disk);
}

export const minimalRuntime = { create } as const;
