/** Routes for nodes: the state of the fleet, its members, and draining and removing edges (design 9.2). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, http, type Fault, type HttpReply, type HttpRequest, type HttpRoute } from '@stallstall/kernel';
import type { NodeRecord } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import type { Caller } from '../operators.js';
import type { AdministrationContext } from './administration-context.js';
import { authorized } from './authorization.js';
import { fleetView } from './fleet-view.js';
import { pageOf } from './pagination.js';

/** An edge whose last heartbeat is younger than this counts as running. Unit: milliseconds. */
const recentHeartbeatMilliseconds = 5_000;

function unsafeStep(reason: string, remedy: string): Fault {
  return fault.create({ kind: 'unsafe-step', message: reason, remedy });
}

/** Finds an edge in the membership table. Errors: `not-found`. */
function findEdge({ node }: AdministrationContext, name: string): Either.Either<Fault, NodeRecord> {
  const record = quorum.findNode(node.membership().value, name);
  if (record !== undefined && record.role === 'edge') return Either.right(record);
  return Either.left(
    fault.create({
      kind: 'not-found',
      message: `the membership table has no edge ${name}`,
      remedy: 'list the nodes with stallstall status',
    }),
  );
}

async function setDraining(context: AdministrationContext, request: HttpRequest, caller: Caller, draining: boolean): Promise<HttpReply> {
  const name = request.query['node'] ?? '';
  const edge = findEdge(context, name);
  if (Either.isLeft(edge)) return http.faultReply(edge.left);
  const changed = await context.parts.changeMembership(function withDraining(before) {
    const current = quorum.findNode(before, name);
    return current === undefined ? before : quorum.putNode(before, { ...current, draining });
  });
  if (Either.isLeft(changed)) return http.faultReply(changed.left);
  await context.operators.recordAction(caller.operator, draining ? 'drain' : 'undrain', name);
  return http.toReply(Either.right({ node: name, draining }));
}

/** Why an edge may not be removed now; none if it may. */
function removalRisk(context: AdministrationContext, edge: NodeRecord, isForced: boolean): Option.Option<Fault> {
  const { runtime, node } = context;
  const lastHeartbeatAt = node.lastHeartbeatAt(edge.node);
  const isRunning = Option.isSome(lastHeartbeatAt) && runtime.clock.now() - lastHeartbeatAt.value < recentHeartbeatMilliseconds;
  if (!edge.draining && isRunning) {
    return Option.some(unsafeStep(`${edge.node} is still running and has not been drained`, `run stallstall drain ${edge.node} first`));
  }
  const remaining = node.membership().value.seats.length - 1;
  const needed = quorum.majority(remaining);
  const reachable = fleetView.reachableNodes(context).filter((name) => name !== edge.node).length;
  if (isForced || reachable >= needed) return Option.none;
  return Option.some(
    unsafeStep(
      `only ${reachable} of the ${remaining} remaining nodes are reachable, and a majority needs ${needed}`,
      'restart the nodes that are down, or repeat the request with force',
    ),
  );
}

async function remove(context: AdministrationContext, request: HttpRequest, caller: Caller): Promise<HttpReply> {
  const name = request.query['node'] ?? '';
  const edge = findEdge(context, name);
  if (Either.isLeft(edge)) return http.faultReply(edge.left);
  const risk = removalRisk(context, edge.right, request.query['force'] === 'true');
  if (Option.isSome(risk)) return http.faultReply(risk.value);
  const changed = await context.parts.changeMembership((current) => quorum.removeNode(current, name));
  if (Either.isLeft(changed)) return http.faultReply(changed.left);
  await context.operators.recordAction(caller.operator, 'remove', name);
  return http.toReply(Either.right({ node: name, removed: true }));
}

function create(context: AdministrationContext): readonly HttpRoute[] {
  const { operators } = context;
  async function showFleet(): Promise<HttpReply> {
    return { status: 200, body: fleetView.fleetStatus(context) };
  }
  async function listMembers(request: HttpRequest): Promise<HttpReply> {
    return { status: 200, body: pageOf(fleetView.memberRows(context), request) };
  }
  return [
    { method: 'GET', path: '/v1/fleet', handle: authorized(operators, 'read', showFleet) },
    { method: 'GET', path: '/v1/members', handle: authorized(operators, 'read', listMembers) },
    {
      method: 'POST',
      path: '/v1/nodes/:node/drain',
      handle: authorized(operators, 'nodes', (request, caller) => setDraining(context, request, caller, true)),
    },
    {
      method: 'DELETE',
      path: '/v1/nodes/:node/drain',
      handle: authorized(operators, 'nodes', (request, caller) => setDraining(context, request, caller, false)),
    },
    {
      method: 'DELETE',
      path: '/v1/nodes/:node',
      handle: authorized(operators, 'nodes', (request, caller) => remove(context, request, caller)),
    },
  ];
}

/** @internal */
export const nodeRoutes = { create } as const;
