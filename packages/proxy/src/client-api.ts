/** The HTTP interface that clients use: statements, mappings and sessions (design 8.7). */
import { Type } from '@sinclair/typebox';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { http, type Clock, type Fault, type HttpRoute, type HttpReply, type HttpRequest } from '@stallstall/kernel';
import { message } from '@stallstall/message';
import { placements, statementKinds } from '@stallstall/placement';
import { requestFaults } from './request-faults.js';
import type { RequestQueue } from './request-queue.js';
import type { Session, Sessions } from './sessions.js';
import { defaultTimeLimitMilliseconds } from './settings.js';
import type { PlacementSnapshot, TransactionStep } from './statement-request.js';

export type ClientApiParts = Readonly<{ clock: Clock; placement: () => PlacementSnapshot; sessions: Sessions; requests: RequestQueue }>;

const statementSchema = Type.Object({
  kind: Type.Union(statementKinds.map((kind) => Type.Literal(kind))),
  statements: Type.Array(
    Type.Object({ text: Type.String({ maxLength: 65_536 }), parameters: Type.Optional(Type.Array(Type.Unknown(), { maxItems: 1_000 })) }),
    { maxItems: 200 },
  ),
  transaction: Type.Optional(
    Type.Union([Type.Literal('none'), Type.Literal('begin'), Type.Literal('within'), Type.Literal('commit'), Type.Literal('rollback')]),
  ),
  atLeast: Type.Optional(Type.Integer({ minimum: 0 })),
  horizonMilliseconds: Type.Optional(Type.Integer({ minimum: 10, maximum: 60_000 })),
});
const valueSchema = Type.Object({ value: Type.Union([Type.String({ maxLength: 4_096 }), Type.Number(), Type.Boolean()]) });
const preparedSchema = Type.Object({ text: Type.String({ minLength: 1, maxLength: 65_536 }) });

function keyOf(request: HttpRequest): string {
  return request.headers['x-stallstall-key'] ?? '';
}

/** The session of that id, if it was opened with the request's key. */
function sessionFor({ sessions }: ClientApiParts, request: HttpRequest, id: string): Either.Either<Fault, Session> {
  const session = sessions.find(id);
  if (Option.isNone(session) || session.value.key !== keyOf(request))
    return Either.left(requestFaults.sessionLost('this edge holds no such session for this key'));
  session.value.touch();
  return Either.right(session.value);
}

/** Whether a key may send anything at all to a service. */
function mayUse(known: PlacementSnapshot, key: string, service: string): boolean {
  if (Option.isNone(known.configuration)) return false;
  const sheet = known.configuration.value;
  return statementKinds.some((kind) => placements.isAllowed(sheet, key, service, kind));
}

/** What stands against a statement's transaction step in the session that it names, or in none. */
function sessionFault(
  parts: ClientApiParts,
  request: HttpRequest,
  service: string,
  named: Option.Option<string>,
  transaction: TransactionStep,
): Option.Option<Fault> {
  if (Option.isNone(named))
    return transaction === 'none'
      ? Option.none
      : Option.some(requestFaults.badRequest('a transaction needs a session', 'open one and name it in x-stallstall-session'));
  const session = sessionFor(parts, request, named.value);
  if (Either.isLeft(session)) return Option.some(session.left);
  if (session.right.service !== service)
    return Option.some(requestFaults.badRequest(`this session is of ${session.right.service}`, 'open a session for each service'));
  if ((transaction === 'none' || transaction === 'begin') && Option.isSome(session.right.pinned()))
    return Option.some(
      requestFaults.badRequest('a transaction is open in this session', 'send transaction "within", "commit" or "rollback"'),
    );
  return Option.none;
}

async function runStatement(parts: ClientApiParts, request: HttpRequest): Promise<HttpReply> {
  if (!message.matches(statementSchema, request.body))
    return http.faultReply(
      requestFaults.badRequest(
        'a statement is {kind, statements: [{text, parameters}], transaction?, atLeast?, horizonMilliseconds?}',
        `kind is one of ${statementKinds.join(', ')}; see docs/operations.md`,
      ),
    );
  const { body } = request;
  const service = request.query['service'] ?? '';
  const session = Option.fromNullable(request.headers['x-stallstall-session']);
  const transaction = body.transaction ?? 'none';
  const rejected = sessionFault(parts, request, service, session, transaction);
  if (Option.isSome(rejected)) return http.faultReply(rejected.value);
  const outcome = await parts.requests.submit({
    service,
    kind: body.kind,
    key: keyOf(request),
    transaction,
    session,
    atLeast: body.atLeast ?? 0,
    statements: body.statements.map((one) => ({ text: one.text, parameters: one.parameters ?? [] })),
    timeLimitMilliseconds: body.horizonMilliseconds ?? defaultTimeLimitMilliseconds,
  });
  return http.toReply(outcome);
}

/** A statement that the sheet names: the client gives its parameters alone (design 8.7). */
async function runMapping(parts: ClientApiParts, request: HttpRequest): Promise<HttpReply> {
  const { configuration: sheet } = parts.placement();
  const name = request.query['mapping'] ?? '';
  const mapping = Option.isSome(sheet) ? placements.findNamedStatement(sheet.value, name) : undefined;
  if (mapping === undefined) return http.faultReply(requestFaults.notFound(`a mapping ${name}`));
  const given = (typeof request.body === 'object' && request.body !== null ? request.body : {}) as Readonly<Record<string, unknown>>;
  const { parameters, ...rest } = given;
  return runStatement(parts, {
    ...request,
    query: { ...request.query, service: mapping.service },
    body: { ...rest, kind: mapping.kind, statements: [{ text: mapping.text, ...(parameters === undefined ? {} : { parameters }) }] },
  });
}

async function openSession({ clock, placement: known, sessions }: ClientApiParts, request: HttpRequest): Promise<HttpReply> {
  const service = request.query['service'] ?? '';
  if (known().controlTermEnd <= clock.now()) return http.faultReply(requestFaults.staleConfiguration('try another edge'));
  if (known().draining) return http.faultReply(requestFaults.draining());
  if (!mayUse(known(), keyOf(request), service)) return http.faultReply(requestFaults.keyRejected(`open a session on ${service}`));
  return { status: 201, body: { session: sessions.open(keyOf(request), service).id } };
}

async function closeSession(parts: ClientApiParts, request: HttpRequest): Promise<HttpReply> {
  const session = sessionFor(parts, request, request.query['session'] ?? '');
  if (Either.isRight(session)) parts.sessions.close(session.right);
  return http.toReply(Either.map(() => ({ closed: true }))(session));
}

async function setValue(parts: ClientApiParts, request: HttpRequest): Promise<HttpReply> {
  const session = sessionFor(parts, request, request.query['session'] ?? '');
  if (Either.isLeft(session)) return http.faultReply(session.left);
  if (!message.matches(valueSchema, request.body))
    return http.faultReply(requestFaults.badRequest('a session value is {"value": text, number or truth}', 'send that shape'));
  session.right.setValue(request.query['name'] ?? '', request.body.value);
  return { status: 200, body: { set: true } };
}

async function prepareStatement(parts: ClientApiParts, request: HttpRequest): Promise<HttpReply> {
  const session = sessionFor(parts, request, request.query['session'] ?? '');
  if (Either.isLeft(session)) return http.faultReply(session.left);
  if (!message.matches(preparedSchema, request.body))
    return http.faultReply(requestFaults.badRequest('a prepared shape is {"text": "..."}', 'send that shape'));
  session.right.prepare(request.query['name'] ?? '', request.body.text);
  return { status: 200, body: { prepared: true } };
}

/** The routes of the interface; paths are kept for the clients that use them. */
function routes(parts: ClientApiParts): readonly HttpRoute[] {
  return [
    { method: 'POST', path: '/v1/services/:service/statements', handle: (request) => runStatement(parts, request) },
    { method: 'POST', path: '/v1/mappings/:mapping', handle: (request) => runMapping(parts, request) },
    { method: 'POST', path: '/v1/services/:service/sessions', handle: (request) => openSession(parts, request) },
    { method: 'DELETE', path: '/v1/sessions/:session', handle: (request) => closeSession(parts, request) },
    { method: 'PUT', path: '/v1/sessions/:session/values/:name', handle: (request) => setValue(parts, request) },
    { method: 'PUT', path: '/v1/sessions/:session/shapes/:name', handle: (request) => prepareStatement(parts, request) },
  ];
}

export const clientApi = { routes, mayUse } as const;
