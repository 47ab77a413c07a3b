/** Routes for the placement configuration: submit, validate, read, and list versions (design 9.2). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { Type } from '@sinclair/typebox';
import { fault, http, type Fault, type HttpReply, type HttpRequest, type HttpRoute } from '@stallstall/kernel';
import { message } from '@stallstall/message';
import { placements } from '@stallstall/placement';
import { platformCallMilliseconds } from '../external-updates.js';
import type { Caller } from '../operators.js';
import type { AdministrationContext } from './administration-context.js';
import { authorized } from './authorization.js';
import { pageOf } from './pagination.js';

/** The field names are part of the administration API. */
const SendSchema = Type.Object({
  sheet: Type.Unknown(),
  sentBy: Type.Optional(Type.String({ maxLength: 200 })),
  sendId: Type.Optional(Type.String({ maxLength: 200 })),
});

function badRequest(reason: string, remedy: string): HttpReply {
  return http.faultReply(fault.create({ kind: 'bad-request', message: reason, remedy }));
}

function noConfiguration(remedy: string): Fault {
  return fault.create({ kind: 'not-found', message: 'no placement configuration has been sent yet', remedy });
}

function versionUnavailable(requested: string | undefined, version: number, latest: number, oldest: number): Fault {
  const neverExisted = version > latest || !Number.isInteger(version) || version < 1;
  return fault.create({
    kind: neverExisted ? 'not-found' : 'version-forgotten',
    message: `version ${requested} is not available`,
    remedy: `request a version from ${oldest} to ${latest}`,
  });
}

/** The version in an If-Match header; none without the header, and a reply with an error if it holds no version. */
function expectedVersion(header: string | undefined): Either.Either<HttpReply, Option.Option<number>> {
  if (header === undefined) return Either.right(Option.none);
  if (!/^"?\d+"?$/.test(header)) {
    return Either.left(badRequest('the If-Match header holds no version number', 'send a version number, as in If-Match: 7'));
  }
  return Either.right(Option.some(Number(header.replaceAll('"', ''))));
}

async function send({ runtime, updates, operators }: AdministrationContext, request: HttpRequest, caller: Caller): Promise<HttpReply> {
  const { body } = request;
  if (!message.matches(SendSchema, body)) {
    return badRequest(
      'the request body must have the form {"sheet": {...}, "sentBy": "..."}',
      'send a body of that form, or use stallstall sheet send',
    );
  }
  const checked = placements.validate(body.sheet);
  if (Either.isLeft(checked)) return http.faultReply(checked.left);
  const expected = expectedVersion(request.headers['if-match']);
  if (Either.isLeft(expected)) return expected.left;
  const sentBy = caller.operator === 'anyone' ? (body.sentBy ?? 'unnamed') : caller.operator;
  const sent = await updates.replace({
    caller,
    placement: checked.right,
    document: body.sheet,
    sendId: body.sendId ?? runtime.randomness.token(),
    hasClientSendId: body.sendId !== undefined,
    sentBy,
    expectedVersion: expected.right,
  });
  if (Either.isLeft(sent)) return http.faultReply(sent.left);
  const { version } = sent.right;
  await operators.recordAction(sentBy, 'sheet', `version ${version}`);
  return { status: 200, headers: { etag: `"${version}"` }, body: { version } };
}

async function readBack({ versions }: AdministrationContext, request: HttpRequest): Promise<HttpReply> {
  const read = await versions.current();
  if (Either.isLeft(read)) return http.faultReply(read.left);
  if (Option.isNone(read.right)) return http.faultReply(noConfiguration('send one with stallstall sheet send'));
  const current = read.right.value;
  const latest = current.version;
  const oldest = versions.oldest(latest);
  const requested = request.query['version'];
  const version = requested === undefined ? latest : Number(requested);
  const found = await versions.find(version, current);
  if (Either.isLeft(found)) return http.faultReply(found.left);
  if (Option.isNone(found.right)) return http.faultReply(versionUnavailable(requested, version, latest, oldest));
  const { sheet, sentBy, sentAt } = found.right.value;
  return { status: 200, headers: { etag: `"${version}"` }, body: { version, sheet, sentBy, sentAt, oldest, latest } };
}

async function listVersions({ versions }: AdministrationContext, request: HttpRequest): Promise<HttpReply> {
  const read = await versions.current();
  if (Either.isLeft(read)) return http.faultReply(read.left);
  if (Option.isNone(read.right)) return { status: 200, body: pageOf([], request) };
  const current = read.right.value;
  const page = pageOf(versions.availableVersions(current.version), request);
  const rows = await Promise.all((page.rows as readonly number[]).map((version) => versions.summary(version, current)));
  return { status: 200, body: { ...page, rows } };
}

async function check(request: HttpRequest): Promise<HttpReply> {
  const checked = placements.validate((request.body as { sheet?: unknown } | null)?.sheet);
  return http.toReply(Either.map(() => ({ sound: true }))(checked));
}

/** The text of the current configuration, exactly as its client submitted it. Errors: `not-found`, and those of the register. */
async function readSource({ versions }: AdministrationContext): Promise<Either.Either<Fault, string>> {
  const read = await versions.current(platformCallMilliseconds);
  if (Either.isLeft(read)) return read;
  const external = Option.isSome(read.right) ? read.right.value.value.external : undefined;
  if (external !== undefined) return Either.right(external.source);
  return Either.left(
    fault.create({ kind: 'not-found', message: 'no configuration has been sent yet', remedy: 'send a configuration first' }),
  );
}

function create(context: AdministrationContext): readonly HttpRoute[] {
  const { operators } = context;
  return [
    {
      method: 'PUT',
      path: '/v1/sheet',
      handle: authorized(operators, 'placement', (request, caller) => send(context, request, caller)),
    },
    { method: 'POST', path: '/v1/sheet/check', handle: authorized(operators, 'read', check) },
    { method: 'GET', path: '/v1/sheet', handle: authorized(operators, 'read', (request) => readBack(context, request)) },
    { method: 'GET', path: '/v1/sheet/versions', handle: authorized(operators, 'read', (request) => listVersions(context, request)) },
  ];
}

/** @internal */
export const placementRoutes = { create, readSource } as const;
