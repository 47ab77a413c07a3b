/** A client HTTP connection based on undici; runs one exchange at a time (design 2.2). */
import type net from 'node:net';
import * as Either from 'fp-ts/lib/Either.js';
import { type Address, type Fault, type HttpConnection, type HttpReply, type OutgoingHttpRequest } from '@stallstall/kernel';
import { buildConnector, Client } from 'undici';
import { httpHeaders } from './http-headers.js';
import { sockets } from './sockets.js';

type ConnectionState = {
  readonly address: Address;
  readonly client: Client;
  socket: net.Socket | undefined;
  isConnected: boolean;
  isClosed: boolean;
  /** Whether an exchange is in progress. */
  isBusy: boolean;
};

const connectMilliseconds = 3_000;
const keepAliveMilliseconds = 600_000;

/** Closes the connection; with a reset during an exchange, so that the operating system discards data that it has not sent yet. */
function close(state: ConnectionState): void {
  if (state.isClosed) return;
  state.isClosed = true;
  if (state.isBusy) state.socket?.resetAndDestroy();
  state.client.destroy(() => undefined);
}

async function sendAndReceive(state: ConnectionState, outgoing: OutgoingHttpRequest): Promise<HttpReply> {
  if (state.isClosed) throw new Error('the connection is closed');
  if (outgoing.sendBefore !== undefined && performance.now() >= outgoing.sendBefore)
    throw new Error('the latest time to send the request has passed');
  state.isBusy = true;
  const response = await state.client.request({
    method: outgoing.method,
    path: outgoing.path,
    signal: null,
    headers: { ...(outgoing.body === undefined ? {} : { 'content-type': 'application/json' }), ...httpHeaders.toSend(outgoing.headers) },
    ...(outgoing.body === undefined ? {} : { body: Buffer.from(JSON.stringify(outgoing.body)) }),
  });
  const text = await response.body.text();
  return { status: response.statusCode, headers: httpHeaders.received(response.headers), body: text === '' ? null : JSON.parse(text) };
}

async function exchange(
  state: ConnectionState,
  outgoing: OutgoingHttpRequest,
  milliseconds: number,
): Promise<Either.Either<Fault, HttpReply>> {
  const timer = setTimeout(() => close(state), milliseconds);
  try {
    return Either.right(await sendAndReceive(state, outgoing));
  } catch (error) {
    close(state);
    const cause = error as Error;
    return Either.left(state.isConnected ? sockets.replyLost(state.address, cause) : sockets.unreachable(state.address, cause));
  } finally {
    state.isBusy = false;
    clearTimeout(timer);
  }
}

/** Returns a connector that also reports the socket of each connection. */
function connectorFor(onSocket: (socket: net.Socket | undefined) => void): buildConnector.connector {
  const connector = buildConnector({ timeout: connectMilliseconds });
  return function connectAndReport(options, callback) {
    connector(options, function onConnected(...result) {
      const [, socket] = result;
      onSocket(socket ?? undefined);
      callback(...result);
    });
  };
}

/** @internal */
export function connect(address: Address): HttpConnection {
  const client = new Client(`http://${address}`, {
    pipelining: 1,
    connect: connectorFor(function onSocket(socket) {
      state.socket = socket;
    }),
    keepAliveTimeout: keepAliveMilliseconds,
    keepAliveMaxTimeout: keepAliveMilliseconds,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const state: ConnectionState = { address, client, socket: undefined, isConnected: false, isClosed: false, isBusy: false };
  client.on('connect', function onConnect() {
    state.isConnected = true;
  });
  // A lost connection is not reopened: the member keeps session state for each connection.
  client.on('disconnect', () => close(state));
  return {
    exchange: (outgoing, milliseconds) => exchange(state, outgoing, milliseconds),
    close: () => close(state),
    closed: () => state.isClosed,
  };
}
