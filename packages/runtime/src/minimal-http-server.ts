/** An HTTP server based on Node.js alone, for programs that must start fast (design 2.7). */
import type http from 'node:http';
import type net from 'node:net';
import * as Either from 'fp-ts/lib/Either.js';
import { http as routing, type Address, type HttpReply, type HttpServer, type Listener } from '@stallstall/kernel';
import { connectionNames } from './connection-names.js';
import { httpHeaders } from './http-headers.js';
import { readBody } from './minimal-http-body.js';
import { sockets } from './sockets.js';

const keepAliveMilliseconds = 600_000;
const requestTimeoutMilliseconds = 10_000;

/** Loaded on first use: the module cannot be part of a snapshot, and agents do not use it. @internal */
export function nodeHttp(): typeof http {
  return process.getBuiltinModule('node:http');
}

async function replyTo(server: HttpServer, nameOf: (socket: net.Socket) => string, request: http.IncomingMessage): Promise<HttpReply> {
  const connection = nameOf(request.socket);
  const body = await readBody(request);
  if (Either.isLeft(body)) return routing.faultReply(body.left);
  const [path, query] = (request.url ?? '').split('?');
  return routing.dispatch(server.routes, {
    method: request.method ?? '',
    path: path ?? '',
    query: Object.fromEntries(new URLSearchParams(query ?? '')),
    headers: httpHeaders.received(request.headers),
    body: body.right,
    connection,
  });
}

function send(response: http.ServerResponse, reply: HttpReply): void {
  const text = reply.body === undefined ? '' : JSON.stringify(reply.body);
  response.writeHead(reply.status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...httpHeaders.toSend(reply.headers),
  });
  // As bytes: Node.js writes the headers in the encoding of a body that is a string.
  response.end(Buffer.from(text));
}

/** Resolves once the server is listening; rejects if it cannot listen on the address. @internal */
export function serve(address: Address, server: HttpServer): Promise<Listener> {
  const nameOf = connectionNames(address, server.connectionClosed);
  async function handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    send(response, await replyTo(server, nameOf, request));
  }

  const listener = nodeHttp().createServer(
    {
      keepAliveTimeout: keepAliveMilliseconds,
      requestTimeout: requestTimeoutMilliseconds,
      connectionsCheckingInterval: requestTimeoutMilliseconds,
    },
    (request, response) => void handle(request, response),
  );

  function stop(): Promise<void> {
    return new Promise(function closeAll(resolve) {
      listener.close(() => resolve());
      listener.closeAllConnections();
    });
  }

  return new Promise(function waitUntilListening(resolve, reject) {
    listener.on('error', reject);
    listener.listen(sockets.hostAndPort(address), () => resolve({ stopAccepting: () => void listener.close(), stop }));
  });
}
