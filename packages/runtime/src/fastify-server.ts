/** An HTTP server based on fastify (design 2.2). */
import { isUtf8 } from 'node:buffer';
import fastify, { type FastifyInstance } from 'fastify';
import { fault, http, type Address, type Fault, type HttpReply, type HttpRoute, type HttpServer, type Listener } from '@stallstall/kernel';
import { connectionNames } from './connection-names.js';
import { httpHeaders } from './http-headers.js';
import { badBody, bodyTooLarge, maxBodyBytes } from './minimal-http-body.js';
import { sockets } from './sockets.js';

const keepAliveMilliseconds = 600_000;
const maxParameterLength = 300;
const jsonRemedy = 'send HTTP/1.1 with a JSON body';

/** The fault for an error that fastify reports. */
function faultOf(error: Error & { readonly statusCode?: number }): Fault {
  const status = error.statusCode ?? 500;
  if (status === 413) return bodyTooLarge();
  return status < 500 ? badBody(error, jsonRemedy) : fault.create({ kind: 'internal', message: error.message, remedy: jsonRemedy });
}

function handleErrors(app: FastifyInstance): void {
  app.setErrorHandler(async function onError(error, _request, response) {
    const reply = http.faultReply(faultOf(error as Error));
    await response.status(reply.status).send(reply.body);
  });
  app.setNotFoundHandler(async function onNotFound(request, response) {
    const { method, url } = request;
    const reply = await http.dispatch([], { method, path: url, query: {}, headers: {}, body: null, connection: '' });
    await response.status(reply.status).send(reply.body);
  });
}

/** Parses JSON like fastify itself, but accepts no other bytes than UTF-8: decoded anyway, names that differ could become the same. */
function parseJsonBodies(app: FastifyInstance): void {
  const parse = app.getDefaultJsonParser('error', 'error');
  app.addContentTypeParser('application/json', { parseAs: 'buffer' }, function parseBody(request, body: Buffer, done) {
    if (isUtf8(body)) void parse(request, body.toString('utf8'), done);
    else done(Object.assign(new Error('the body is not valid UTF-8'), { statusCode: 400 }));
  });
}

function addRoute(app: FastifyInstance, route: HttpRoute, nameOf: ReturnType<typeof connectionNames>): void {
  app.route({
    method: route.method,
    url: route.path,
    handler: async function handle(request, response) {
      const reply: HttpReply = await http.dispatch([{ ...route, path: '' }], {
        method: request.method,
        path: '',
        body: request.body ?? null,
        connection: nameOf(request.raw.socket),
        query: { ...(request.query as Record<string, string>), ...(request.params as Record<string, string>) },
        headers: httpHeaders.received(request.headers),
      });
      // As bytes: Node.js writes the headers in the encoding of a body that is a string.
      const body = reply.body === undefined ? undefined : Buffer.from(JSON.stringify(reply.body));
      await response.status(reply.status).type('application/json; charset=utf-8').headers(httpHeaders.toSend(reply.headers)).send(body);
    },
  });
}

/** Resolves once the server is listening. @internal */
export async function serve(address: Address, server: HttpServer): Promise<Listener> {
  const app: FastifyInstance = fastify({
    bodyLimit: maxBodyBytes,
    keepAliveTimeout: keepAliveMilliseconds,
    forceCloseConnections: true,
    routerOptions: { maxParamLength: maxParameterLength },
  });
  const nameOf = connectionNames(address, server.connectionClosed);
  handleErrors(app);
  parseJsonBodies(app);
  for (const route of server.routes) addRoute(app, route, nameOf);
  await app.listen(sockets.hostAndPort(address));
  return {
    stopAccepting: () => void app.server.close(),
    stop: async function stop() {
      await app.close();
    },
  };
}
