/** Routes for managing operators and for reading the audit trail (design 9.4). */
import * as Either from 'fp-ts/lib/Either.js';
import { fault, http, type Fault, type HttpReply, type HttpRequest, type HttpRoute } from '@stallstall/kernel';
import { message } from '@stallstall/message';
import { ScopeSchema, type Caller, type Scope } from '../operators.js';
import type { AdministrationContext } from './administration-context.js';
import { authorized } from './authorization.js';
import { pageOf } from './pagination.js';

const operatorName = /^[a-z0-9][a-z0-9._-]{0,62}$/i;
/** The operator name that stands for the root key; no other operator may have it. */
const rootName = 'root';

function malformedOperator(): Fault {
  return fault.create({
    kind: 'bad-request',
    message: 'an operator needs a valid name and a body {services: [...], nodes: boolean, operators: boolean}',
    remedy: 'send a body of that form; the name root is reserved',
  });
}

function describeOperator(operator: string, scope: Scope): string {
  return `${operator} services=${scope.services.join('+')} nodes=${scope.nodes} operators=${scope.operators}`;
}

async function put(context: AdministrationContext, request: HttpRequest, caller: Caller): Promise<HttpReply> {
  const operator = request.query['operator'] ?? '';
  const { body } = request;
  const isValid = message.matches(ScopeSchema, body) && operatorName.test(operator) && operator !== rootName;
  if (!isValid) return http.faultReply(malformedOperator());
  const key = await context.operators.put(operator, body);
  if (Either.isLeft(key)) return http.faultReply(key.left);
  await context.operators.recordAction(caller.operator, 'operator-put', describeOperator(operator, body));
  return http.toReply(Either.right({ operator, key: key.right }));
}

async function remove(context: AdministrationContext, request: HttpRequest, caller: Caller): Promise<HttpReply> {
  const operator = request.query['operator'] ?? '';
  const removed = await context.operators.remove(operator);
  if (Either.isLeft(removed)) return http.faultReply(removed.left);
  if (!removed.right) {
    const unknown = fault.create({
      kind: 'not-found',
      message: `there is no operator ${operator}`,
      remedy: 'list them with stallstall operators',
    });
    return http.faultReply(unknown);
  }
  await context.operators.recordAction(caller.operator, 'operator-removed', operator);
  return { status: 200, body: { operator, removed: true } };
}

function create(context: AdministrationContext): readonly HttpRoute[] {
  const { operators } = context;
  function pageReply(rows: Either.Either<Fault, readonly unknown[]>, request: HttpRequest): HttpReply {
    return http.toReply(Either.map((all: readonly unknown[]) => pageOf(all, request))(rows));
  }
  async function list(request: HttpRequest): Promise<HttpReply> {
    return pageReply(await operators.list(), request);
  }
  /** Lists the audit trail, newest entries first. */
  async function audit(request: HttpRequest): Promise<HttpReply> {
    const trail = await operators.auditTrail();
    return pageReply(Either.map((entries: readonly unknown[]) => [...entries].reverse())(trail), request);
  }
  return [
    { method: 'GET', path: '/v1/audit', handle: authorized(operators, 'read', audit) },
    { method: 'GET', path: '/v1/operators', handle: authorized(operators, 'operators', list) },
    {
      method: 'PUT',
      path: '/v1/operators/:operator',
      handle: authorized(operators, 'operators', (request, caller) => put(context, request, caller)),
    },
    {
      method: 'DELETE',
      path: '/v1/operators/:operator',
      handle: authorized(operators, 'operators', (request, caller) => remove(context, request, caller)),
    },
  ];
}

/** @internal */
export const operatorRoutes = { create } as const;
