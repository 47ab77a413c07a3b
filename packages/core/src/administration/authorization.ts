/** Authorization of operators, per route (design 9.4). */
import * as Either from 'fp-ts/lib/Either.js';
import { http, type HttpReply, type HttpRequest, type HttpRoute } from '@stallstall/kernel';
import { operators, type Caller, type OperatorTable, type Scope } from '../operators.js';

/**
 * The permission that a route requires. `placement` admits every operator: which services an operator may change is checked when the
 * configuration is stored.
 */
export type Permission = 'read' | 'placement' | 'nodes' | 'operators';

export type AuthorizedHandler = (request: HttpRequest, caller: Caller) => Promise<HttpReply>;

function isAllowed(scope: Scope, permission: Permission): boolean {
  if (permission === 'nodes') return scope.nodes;
  if (permission === 'operators') return scope.operators;
  return true;
}

/** Wraps a handler so that only callers with the permission reach it. */
export function authorized(table: OperatorTable, permission: Permission, handle: AuthorizedHandler): HttpRoute['handle'] {
  return async function handleAuthorized(request) {
    const caller = await table.authenticate(request);
    if (Either.isLeft(caller)) return http.faultReply(caller.left);
    if (!isAllowed(caller.right.scope, permission))
      return http.faultReply(operators.rejected(`${caller.right.operator} is not allowed to do this`));
    return handle(request, caller.right);
  };
}
