/** The HTTP API for clients: statements, named statements ("mappings") and sessions (design 8.7). */
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

export type ClientApiContext = Readonly<{ clock: Clock; placement: () => PlacementSnapshot; sessions: Sessions; requests: RequestQueue }>;

const statementSchema = Type.Object({
  kind: Type.Union(statementKinds.map((kind) => Type.Literal(kind))),
  statements: Type.Array(
    Type.Object({
      text: Type.String({ maxLength: 65_536 }),
      parameters: Type.Optional(Type.Array(Type.Unknown(), { maxItems: 1_000 })),
    }),
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

function clientKey(request: HttpRequest): string {
  return request.headers['x-stallstall-key'] ?? '';
}

/** Returns the session with this id if it was opened with the key of the request. Errors: `session-lost`. */
function sessionFor({ sessions }: ClientApiContext, request: HttpRequest, id: string): Either.Either<Fault, Session> {
  const session = sessions.find(id);
  if (Option.isNone(session) || session.value.key !== clientKey(request))
    return Either.left(requestFaults.sessionLost('this edge has no such session for this key'));
  session.value.markUsed();
  return Either.right(session.value);
}

/** Whether a key may send at least one kind of statement to a service. */
function mayUseService(placement: PlacementSnapshot, key: string, service: string): boolean {
  if (Option.isNone(placement.configuration)) return false;
  const configuration = placement.configuration.value;
  return statementKinds.some((kind) => placements.isAllowed(configuration, key, service, kind));
}

/** Why a statement's transaction step is not allowed in the given session, or without a session. */
function sessionFault(
  context: ClientApiContext,
  request: HttpRequest,
  service: string,
  sessionId: Option.Option<string>,
  transaction: TransactionStep,
): Option.Option<Fault> {
  if (Option.isNone(sessionId))
    return transaction === 'none'
      ? Option.none
      : Option.some(
          requestFaults.badRequest('a transaction requires a session', 'open a session and send its id in the x-stallstall-session header'),
        );
  const session = sessionFor(context, request, sessionId.value);
  if (Either.isLeft(session)) return Option.some(session.left);
  if (session.right.service !== service)
    return Option.some(
      requestFaults.badRequest(`this session belongs to service ${session.right.service}`, 'open a separate session for each service'),
    );
  if ((transaction === 'none' || transaction === 'begin') && Option.isSome(session.right.pinned()))
    return Option.some(
      requestFaults.badRequest('this session has an open transaction', 'set transaction to "within", "commit" or "rollback"'),
    );
  return Option.none;
}

async function runStatement(context: ClientApiContext, request: HttpRequest): Promise<HttpReply> {
  if (!message.matches(statementSchema, request.body))
    return http.faultReply(
      requestFaults.badRequest(
        'the body must be {kind, statements: [{text, parameters}], transaction?, atLeast?, horizonMilliseconds?}',
        `kind must be one of ${statementKinds.join(', ')}; see docs/operations.md`,
      ),
    );
  const { body } = request;
  const service = request.query['service'] ?? '';
  const session = Option.fromNullable(request.headers['x-stallstall-session']);
  const transaction = body.transaction ?? 'none';
  const invalid = sessionFault(context, request, service, session, transaction);
  if (Option.isSome(invalid)) return http.faultReply(invalid.value);
  const outcome = await context.requests.submit({
    service,
    kind: body.kind,
    key: clientKey(request),
    transaction,
    session,
    atLeast: body.atLeast ?? 0,
    statements: body.statements.map((statement) => ({ text: statement.text, parameters: statement.parameters ?? [] })),
    timeLimitMilliseconds: body.horizonMilliseconds ?? defaultTimeLimitMilliseconds,
  });
  return http.toReply(outcome);
}

/** Runs a statement that the placement configuration defines by name; the client sends only its parameters (design 8.7). */
async function runMapping(context: ClientApiContext, request: HttpRequest): Promise<HttpReply> {
  const { configuration } = context.placement();
  const name = request.query['mapping'] ?? '';
  const mapping = Option.isSome(configuration) ? placements.findNamedStatement(configuration.value, name) : undefined;
  if (mapping === undefined) return http.faultReply(requestFaults.notFound(`mapping ${name}`));
  const body = (typeof request.body === 'object' && request.body !== null ? request.body : {}) as Readonly<Record<string, unknown>>;
  const { parameters, ...rest } = body;
  return runStatement(context, {
    ...request,
    query: { ...request.query, service: mapping.service },
    body: { ...rest, kind: mapping.kind, statements: [{ text: mapping.text, ...(parameters === undefined ? {} : { parameters }) }] },
  });
}

async function openSession({ clock, placement, sessions }: ClientApiContext, request: HttpRequest): Promise<HttpReply> {
  const service = request.query['service'] ?? '';
  if (placement().controlTermEnd <= clock.now()) return http.faultReply(requestFaults.staleConfiguration('retry at another edge'));
  if (placement().draining) return http.faultReply(requestFaults.draining());
  if (!mayUseService(placement(), clientKey(request), service))
    return http.faultReply(requestFaults.keyRejected(`open a session on ${service}`));
  return { status: 201, body: { session: sessions.open(clientKey(request), service).id } };
}

async function closeSession(context: ClientApiContext, request: HttpRequest): Promise<HttpReply> {
  const session = sessionFor(context, request, request.query['session'] ?? '');
  if (Either.isRight(session)) context.sessions.close(session.right);
  return http.toReply(Either.map(() => ({ closed: true }))(session));
}

async function setValue(context: ClientApiContext, request: HttpRequest): Promise<HttpReply> {
  const session = sessionFor(context, request, request.query['session'] ?? '');
  if (Either.isLeft(session)) return http.faultReply(session.left);
  if (!message.matches(valueSchema, request.body))
    return http.faultReply(requestFaults.badRequest('the body must be {"value": <string, number or boolean>}', 'correct the body'));
  session.right.setValue(request.query['name'] ?? '', request.body.value);
  return { status: 200, body: { set: true } };
}

async function prepareStatement(context: ClientApiContext, request: HttpRequest): Promise<HttpReply> {
  const session = sessionFor(context, request, request.query['session'] ?? '');
  if (Either.isLeft(session)) return http.faultReply(session.left);
  if (!message.matches(preparedSchema, request.body))
    return http.faultReply(requestFaults.badRequest('the body must be {"text": "<statement>"}', 'correct the body'));
  session.right.prepare(request.query['name'] ?? '', request.body.text);
  return { status: 200, body: { prepared: true } };
}

/** The routes of the API. Clients depend on the paths. */
function routes(context: ClientApiContext): readonly HttpRoute[] {
  return [
    { method: 'POST', path: '/v1/services/:service/statements', handle: (request) => runStatement(context, request) },
    { method: 'POST', path: '/v1/mappings/:mapping', handle: (request) => runMapping(context, request) },
    { method: 'POST', path: '/v1/services/:service/sessions', handle: (request) => openSession(context, request) },
    { method: 'DELETE', path: '/v1/sessions/:session', handle: (request) => closeSession(context, request) },
    { method: 'PUT', path: '/v1/sessions/:session/values/:name', handle: (request) => setValue(context, request) },
    { method: 'PUT', path: '/v1/sessions/:session/shapes/:name', handle: (request) => prepareStatement(context, request) },
  ];
}

export const clientApi = { routes, mayUseService } as const;
