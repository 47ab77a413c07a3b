/** One outward HTTP connection from the runtime alone, one exchange at a time (design 2.7). */
import type http from 'node:http';
import type net from 'node:net';
import * as Either from 'fp-ts/lib/Either.js';
import { type Address, type Fault, type HttpConnection, type HttpReply, type OutgoingHttpRequest } from '@stallstall/kernel';
import { readBody } from './minimal-http-body.js';
import { runtimeHttp } from './minimal-http-server.js';
import { connectMilliseconds, sockets } from './sockets.js';

type ConnectionState = {
  readonly address: Address;
  readonly agent: http.Agent;
  /** One socket serves every exchange; once lost, the connection never comes back by itself. */
  socket: net.Socket | undefined;
  /** The exchange under way. */
  request: http.ClientRequest | undefined;
  isConnected: boolean;
  isClosed: boolean;
};

type Outcome = Either.Either<Fault, HttpReply>;

const socketKeepAliveMilliseconds = 3_000;

/** While an exchange is under way by a reset, so that what the machine has not sent yet is not sent any more. */
function close(state: ConnectionState): void {
  if (state.isClosed) return;
  state.isClosed = true;
  if (state.request !== undefined) state.socket?.resetAndDestroy();
  state.request?.destroy();
  state.agent.destroy();
}

function adopt(state: ConnectionState, socket: net.Socket): void {
  state.socket = socket;
  socket.once('close', () => close(state));
  // A reply that nobody waits for: what comes next could be taken for the reply to something else.
  socket.on('data', function onData() {
    if (state.request === undefined) close(state);
  });
}

function optionsOf(state: ConnectionState, outgoing: OutgoingHttpRequest, text: string | undefined): http.RequestOptions {
  const contentHeaders = text === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) };
  return {
    ...sockets.hostAndPort(state.address),
    agent: state.agent,
    method: outgoing.method,
    path: outgoing.path,
    headers: { ...contentHeaders, ...outgoing.headers },
  };
}

/** One exchange, from the request to its reply. */
function runExchange(state: ConnectionState, outgoing: OutgoingHttpRequest, milliseconds: number): Promise<Outcome> {
  const { address } = state;
  return new Promise(function exchange(resolve) {
    const text = outgoing.body === undefined ? undefined : JSON.stringify(outgoing.body);
    let hasLeft = false;
    const timer = setTimeout(() => close(state), milliseconds);
    const connectTimer = setTimeout(() => (state.isConnected ? undefined : close(state)), Math.min(2 * connectMilliseconds, milliseconds));

    function settle(outcome: Outcome): void {
      clearTimeout(timer);
      clearTimeout(connectTimer);
      state.request = undefined;
      resolve(outcome);
    }

    function fail(error: Error): void {
      close(state);
      settle(Either.left(hasLeft ? sockets.replyLost(address, error) : sockets.unreachable(address, error)));
    }

    async function onResponse(response: http.IncomingMessage): Promise<void> {
      const body = await readBody(response);
      if (Either.isLeft(body)) return fail(body.left);
      settle(Either.right({ status: response.statusCode ?? 0, headers: response.headers as Record<string, string>, body: body.right }));
    }

    function send(request: http.ClientRequest): void {
      state.isConnected = true;
      if (outgoing.sendBefore !== undefined && performance.now() >= outgoing.sendBefore) {
        return fail(new Error('the time to leave is over'));
      }
      hasLeft = true;
      request.end(text);
    }

    function start(): http.ClientRequest | undefined {
      try {
        return runtimeHttp().request(optionsOf(state, outgoing, text), (response) => void onResponse(response));
      } catch (error) {
        // The runtime throws at a port or a header that cannot be; no byte has left.
        fail(error as Error);
        return undefined;
      }
    }

    const request = start();
    if (request === undefined) return;
    state.request = request;
    request.once('error', fail);
    request.once('socket', function onSocket(socket) {
      // The runtime opens another in place of one that was lost: nothing goes over that.
      if (state.socket !== undefined && state.socket !== socket) return fail(new Error('the connection was lost'));
      if (state.socket === undefined) adopt(state, socket);
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
  if (state.request !== undefined) return rejected('another exchange is under way');
  return runExchange(state, outgoing, milliseconds);
}

/** @internal */
export function connect(address: Address): HttpConnection {
  const state: ConnectionState = {
    address,
    agent: new (runtimeHttp().Agent)({ keepAlive: true, maxSockets: 1, keepAliveMsecs: socketKeepAliveMilliseconds }),
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
