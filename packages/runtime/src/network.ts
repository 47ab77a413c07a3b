/** The network of a real machine: TCP by IP numbers, HTTP through fastify and undici (design 2.2). */
import net from 'node:net';
import fastify, { type FastifyInstance } from 'fastify';
import { buildConnector, Client } from 'undici';
import * as Either from 'fp-ts/lib/Either.js';
import {
  fault,
  http,
  type Address,
  type Fault,
  type OutgoingHttpRequest,
  type HttpConnection,
  type HttpReply,
  type HttpServer,
  type Listening,
  type Network,
} from '@stallstall/kernel';
import { links } from './links.js';

const { parts, unreachable } = links;
const longestBody = 1024 * 1024;
const keepMilliseconds = 600_000;
const httpConnectMilliseconds = 3_000;

function typedError(error: { readonly statusCode?: number; readonly message: string }): HttpReply {
  return http.rejected(
    error.statusCode === 413
      ? fault.create({ kind: 'too-large', message: `the body is over ${longestBody} bytes`, remedy: 'send less at a time' })
      : fault.create({
          kind: (error.statusCode ?? 500) < 500 ? 'bad-request' : 'internal',
          message: error.message,
          remedy: 'send HTTP/1.1 with a JSON body',
        }),
  );
}

async function serve(address: Address, server: HttpServer): Promise<Listening> {
  const names = new WeakMap<net.Socket, string>();
  let lastName = 0;
  const app: FastifyInstance = fastify({
    bodyLimit: longestBody,
    keepAliveTimeout: keepMilliseconds,
    forceCloseConnections: true,
    routerOptions: { maxParamLength: 300 },
  });

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
    const missing = await http.dispatch([], {
      method: request.method,
      path: request.url,
      query: {},
      headers: {},
      body: null,
      connection: '',
    });
    await reply.status(missing.status).send(missing.body);
  });
  for (const mapping of server.routes) {
    app.route({
      method: mapping.method,
      url: mapping.path,
      handler: async (request, response) => {
        const reply = await http.dispatch([{ ...mapping, path: '' }], {
          method: request.method,
          path: '',
          body: request.body ?? null,
          connection: nameOf(request.raw.socket),
          query: { ...(request.query as Record<string, string>), ...(request.params as Record<string, string>) },
          headers: request.headers as Record<string, string>,
        });
        await response
          .status(reply.status)
          .headers(reply.headers ?? {})
          .send(reply.body);
      },
    });
  }
  await app.listen(parts(address));
  return { stopAccepting: () => void app.server.close(), stop: () => app.close().then(() => undefined) };
}

function connect(address: Address): HttpConnection {
  const connector = buildConnector({ timeout: httpConnectMilliseconds });
  let socket: net.Socket | undefined;
  const held = new Client(`http://${address}`, {
    pipelining: 1,
    connect: reach,
    keepAliveTimeout: keepMilliseconds,
    keepAliveMaxTimeout: keepMilliseconds,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
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

  async function exchange(ask: OutgoingHttpRequest, milliseconds: number): Promise<Either.Either<Fault, HttpReply>> {
    const timer = setTimeout(close, milliseconds);
    try {
      if (closed) throw new Error('the connection is closed');
      if (ask.leaveBefore !== undefined && performance.now() >= ask.leaveBefore) throw new Error('the time to leave is over');
      under = true;
      const reply = await held.request({
        method: ask.method as 'GET',
        path: ask.path,
        signal: null,
        headers: { ...(ask.body === undefined ? {} : { 'content-type': 'application/json' }), ...ask.headers },
        ...(ask.body === undefined ? {} : { body: JSON.stringify(ask.body) }),
      });
      const text = await reply.body.text();
      const headers = Object.fromEntries(Object.entries(reply.headers).map(([name, value]) => [name, String(value)]));
      return Either.right({ status: reply.statusCode, headers, body: text === '' ? null : JSON.parse(text) });
    } catch (error) {
      close();
      if (!connected) return Either.left(unreachable(address, error as Error));
      return Either.left(
        fault.create({
          kind: 'reply-lost',
          message: `the reply of ${address} was lost`,
          remedy: 'see whether it runs and can be reached',
          cause: error as Error,
        }),
      );
    } finally {
      under = false;
      clearTimeout(timer);
    }
  }

  return { exchange, close, closed: () => closed };
}

export const network: Network = {
  listen: links.listen,
  open: links.open,
  listenStream: links.listenStream,
  openStream: links.openStream,
  serve,
  connect,
};
