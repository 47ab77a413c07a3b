/** Routes for elections: their state, and an operator's consent to losing commits (design 7.5, 7.11). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { acceptedLossKey, replicaSetKey, replicaSets } from '@stallstall/election';
import { fault, http, type Fault, type HttpReply, type HttpRequest, type HttpRoute } from '@stallstall/kernel';
import type { DurableWatermark, ReplicaSet } from '@stallstall/message';
import { placements } from '@stallstall/placement';
import { operators, type Caller } from '../operators.js';
import type { AdministrationContext } from './administration-context.js';
import { authorized } from './authorization.js';
import { pageOf } from './pagination.js';

const zeroWatermark: DurableWatermark = { epoch: 0, position: 0 };

function formatWatermark({ epoch, position }: DurableWatermark): string {
  return `${epoch}/${position}`;
}

/** The election state of each service, with its durable watermark: the position that a candidate must have reached. */
async function electionRows({ durableReports, elections }: AdministrationContext): Promise<Either.Either<Fault, readonly unknown[]>> {
  const watermarks = await durableReports.watermarks();
  if (Either.isLeft(watermarks)) return watermarks;
  const rows = elections.describe().map(function withWatermark(row) {
    const watermark = watermarks.right[String(row['service'])] ?? zeroWatermark;
    return { ...row, floor: formatWatermark(watermark) };
  });
  return Either.right(rows);
}

/** Why the loss of a service's commits may not be accepted now; none if it may. */
function rejectionOf({ node, liveness }: AdministrationContext, service: string, caller: Caller): Option.Option<Fault> {
  const configuration = node.configuration();
  if (Option.isNone(configuration) || placements.findService(configuration.value.value.sheet, service) === undefined) {
    return Option.some(
      fault.create({
        kind: 'not-found',
        message: `the configuration has no service ${service}`,
        remedy: 'list the services with stallstall elections',
      }),
    );
  }
  if (!operators.covers(caller.scope, service))
    return Option.some(operators.rejected(`${caller.operator} is not allowed to change ${service}`));
  const elected = node.electedPrimary(service);
  if (Option.isNone(elected) || !liveness.isAlive(elected.value.primary)) return Option.none;
  return Option.some(
    fault.create({
      kind: 'unsafe-step',
      message: `${elected.value.primary} is the primary of ${service} and is alive, so no commits need to be given up`,
      remedy: 'keep this primary, or retire that member first',
    }),
  );
}

/** Takes the members that are not registered any more out of the replica set, so that elections no longer wait for them (design 7.15). */
async function removeFormerMembers({ register, node }: AdministrationContext, service: string): Promise<Either.Either<Fault, unknown>> {
  const placement = node.placement();
  const placed = Option.isSome(placement) ? placements.findService(placement.value, service) : undefined;
  if (placed === undefined) return Either.right(null);
  return register.change(replicaSetKey(service), function withoutFormer(current) {
    return Option.map((set: ReplicaSet) => replicaSets.withoutFormer(set, placed))(replicaSets.parse(current));
  });
}

/** Records that the operator accepts losing the commits up to the current durable watermark if their primary never returns. */
async function acceptLoss(context: AdministrationContext, request: HttpRequest, caller: Caller): Promise<HttpReply> {
  const service = request.query['service'] ?? '';
  const rejection = rejectionOf(context, service, caller);
  if (Option.isSome(rejection)) return http.faultReply(rejection.value);
  const watermarks = await context.durableReports.watermarks();
  if (Either.isLeft(watermarks)) return http.faultReply(watermarks.left);
  const watermark = watermarks.right[service] ?? zeroWatermark;
  const written = await context.register.change(acceptedLossKey(service), () => Option.some(watermark));
  if (Either.isLeft(written)) return http.faultReply(written.left);
  const removed = await removeFormerMembers(context, service);
  if (Either.isLeft(removed)) return http.faultReply(removed.left);
  await context.operators.recordAction(caller.operator, 'accept-loss', `${service} up to ${formatWatermark(watermark)}`);
  return { status: 200, body: { service, floor: watermark } };
}

function create(context: AdministrationContext): readonly HttpRoute[] {
  async function list(request: HttpRequest): Promise<HttpReply> {
    const rows = await electionRows(context);
    return http.toReply(Either.map((all: readonly unknown[]) => pageOf(all, request))(rows));
  }
  return [
    { method: 'GET', path: '/v1/elections', handle: authorized(context.operators, 'read', list) },
    {
      method: 'POST',
      path: '/v1/services/:service/accept-loss',
      handle: authorized(context.operators, 'read', (request, caller) => acceptLoss(context, request, caller)),
    },
  ];
}

/** @internal */
export const electionRoutes = { create } as const;
