/** A client HTTP connection based on Node.js alone; runs one exchange at a time (design 2.7). */
import type http from 'node:http';
import type net from 'node:net';
import * as Either from 'fp-ts/lib/Either.js';
import { type Address, type Fault, type HttpConnection, type HttpReply, type OutgoingHttpRequest } from '@stallstall/kernel';
import { httpHeaders } from './http-headers.js';
import { readBody } from './minimal-http-body.js';
import { nodeHttp } from './minimal-http-server.js';
import { connectMilliseconds, sockets } from './sockets.js';

type ConnectionState = {
  readonly address: Address;
  readonly agent: http.Agent;
  /** The only socket of the connection; once it is lost, the connection is not reopened. */
  socket: net.Socket | undefined;
  /** The request of the exchange in progress. */
  request: http.ClientRequest | undefined;
  isConnected: boolean;
  isClosed: boolean;
};

type Outcome = Either.Either<Fault, HttpReply>;

const socketKeepAliveMilliseconds = 3_000;

/** Closes the connection; with a reset during an exchange, so that the operating system discards data that it has not sent yet. */
function close(state: ConnectionState): void {
  if (state.isClosed) return;
  state.isClosed = true;
  if (state.request !== undefined) state.socket?.resetAndDestroy();
  state.request?.destroy();
  state.agent.destroy();
}

function attachSocket(state: ConnectionState, socket: net.Socket): void {
  state.socket = socket;
  socket.once('close', () => close(state));
  // An unsolicited reply: a later request could be given the reply to an earlier one.
  socket.on('data', function onData() {
    if (state.request === undefined) close(state);
  });
}

function optionsOf(state: ConnectionState, outgoing: OutgoingHttpRequest, body: Buffer | undefined): http.RequestOptions {
  const contentHeaders = body === undefined ? {} : { 'content-type': 'application/json', 'content-length': body.length };
  return {
    ...sockets.hostAndPort(state.address),
    agent: state.agent,
    method: outgoing.method,
    path: outgoing.path,
    headers: { ...contentHeaders, ...httpHeaders.toSend(outgoing.headers) },
  };
}

/** Runs one exchange: sends the request and waits for its reply. */
function runExchange(state: ConnectionState, outgoing: OutgoingHttpRequest, milliseconds: number): Promise<Outcome> {
  const { address } = state;
  return new Promise(function exchange(resolve) {
    // As bytes: Node.js writes the headers in the encoding of a body that is a string.
    const body = outgoing.body === undefined ? undefined : Buffer.from(JSON.stringify(outgoing.body));
    let isSent = false;
    const timer = setTimeout(() => close(state), milliseconds);
    const connectTimer = setTimeout(() => (state.isConnected ? undefined : close(state)), Math.min(2 * connectMilliseconds, milliseconds));

    function finish(outcome: Outcome): void {
      clearTimeout(timer);
      clearTimeout(connectTimer);
      state.request = undefined;
      resolve(outcome);
    }

    function fail(error: Error): void {
      close(state);
      finish(Either.left(isSent ? sockets.replyLost(address, error) : sockets.unreachable(address, error)));
    }

    async function onResponse(response: http.IncomingMessage): Promise<void> {
      const body = await readBody(response);
      if (Either.isLeft(body)) return fail(body.left);
      finish(Either.right({ status: response.statusCode ?? 0, headers: httpHeaders.received(response.headers), body: body.right }));
    }

    function send(request: http.ClientRequest): void {
      state.isConnected = true;
      if (outgoing.sendBefore !== undefined && performance.now() >= outgoing.sendBefore) {
        return fail(new Error('the latest time to send the request has passed'));
      }
      isSent = true;
      request.end(body);
    }

    function start(): http.ClientRequest | undefined {
      try {
        return nodeHttp().request(optionsOf(state, outgoing, body), (response) => void onResponse(response));
      } catch (error) {
        // Node.js throws on an invalid port or header, before anything is sent.
        fail(error as Error);
        return undefined;
      }
    }

    const request = start();
    if (request === undefined) return;
    state.request = request;
    request.once('error', fail);
    request.once('socket', function onSocket(socket) {
      // Node.js replaces a lost socket with a new one, which must not be used.
      if (state.socket !== undefined && state.socket !== socket) return fail(new Error('the connection was lost'));
      if (state.socket === undefined) attachSocket(state, socket);
      if (socket.connecting) socket.once('connect', () => send(request));
      else send(request);
    });
  });
}

function exchange(state: ConnectionState, outgoing: OutgoingHttpRequest, milliseconds: number): Promise<Outcome> {
  function rejected(reason: string): Promise<Outcome> {
    return Promise.resolve(Either.left(sockets.unreachable(state.address, new Error(reason))));
  }
  if (state.isClosed) return rejected('the connection is closed');
  if (state.request !== undefined) return rejected('another exchange is in progress');
  return runExchange(state, outgoing, milliseconds);
}

/** @internal */
export function connect(address: Address): HttpConnection {
  const state: ConnectionState = {
    address,
    agent: new (nodeHttp().Agent)({ keepAlive: true, maxSockets: 1, keepAliveMsecs: socketKeepAliveMilliseconds }),
    socket: undefined,
    request: undefined,
    isConnected: false,
    isClosed: false,
  };
  return {
    exchange: (outgoing, milliseconds) => exchange(state, outgoing, milliseconds),
    close: () => close(state),
    closed: () => state.isClosed,
  };
}
