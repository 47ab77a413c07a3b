/**
 * The steps that a request goes through before it is sent: expire, admit, choose a member, acquire a connection. Each step returns the record
 * for the next one; a stage other than `arrived` or `waiting` ends the run (design 8.5).
 */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { placements } from '@stallstall/placement';
import { routing } from '@stallstall/routing';
import { fenceChecks } from './fence-check.js';
import { requestFaults } from './request-faults.js';
import { requestContext, type RequestContext } from './request-context.js';
import type { RequestRecord } from './statement-request.js';

export type PipelineStep = (record: RequestRecord) => RequestRecord;

function expire({ runtime, table }: RequestContext, record: RequestRecord): RequestRecord {
  if (runtime.clock.now() < record.deadline) return record;
  return table.reject(record, requestFaults.givenUp('no connection to a suitable member became available in time; nothing was sent'));
}

/** Checks the service and the key against the configuration; repeated while a request waits, since both may be withdrawn. */
function admit(context: RequestContext, record: RequestRecord): RequestRecord {
  const { table, runtime } = context;
  const { service, kind, key } = record.request;
  const placement = context.placement();
  const stale = fenceChecks.controlFault(placement, runtime.clock.now());
  if (Option.isSome(stale)) return table.reject(record, stale.value);
  if (Option.isNone(placement.configuration) || placements.findService(placement.configuration.value, service) === undefined)
    return table.reject(record, requestFaults.notFound(`service ${service}`));
  if (!placements.isAllowed(placement.configuration.value, key, service, kind))
    return table.reject(record, requestFaults.keyRejected(`send ${kind} to ${service}`));
  return record.stage === 'arrived' ? admitNew(context, record) : record;
}

/** Rejects new work while the edge is draining, or when too many requests for the service are waiting. */
function admitNew({ table, placement }: RequestContext, record: RequestRecord): RequestRecord {
  const { service, transaction } = record.request;
  const { draining, configuration, area } = placement();
  if (draining && (transaction === 'none' || transaction === 'begin')) return table.reject(record, requestFaults.draining());
  const row = Option.isSome(configuration) ? placements.findRow(configuration.value, service, area) : undefined;
  const waiting = table.countWaiting(service);
  if (row !== undefined && waiting >= row.mostWaiting) return table.reject(record, requestFaults.overloaded(service, waiting));
  return { ...record, stage: 'waiting' };
}

function chooseMember(context: RequestContext, record: RequestRecord): RequestRecord {
  if (requestContext.isPinned(record)) return choosePinned(context, record);
  const { runtime, placement, pool, table } = context;
  const { request } = record;
  const session = requestContext.sessionOf(context, record);
  const lastCommit = Option.isSome(session) ? session.value.lastCommit(request.service) : 0;
  const minimumPosition = request.kind === 'own-read' ? Math.max(request.atLeast, lastCommit) : 0;
  let excluded = record.excludedMembers;
  for (;;) {
    const routed = routing.chooseTarget(placement().routingTable, request.service, request.kind, {
      now: runtime.clock.now(),
      random: runtime.randomness.fraction(),
      minimumPosition,
      excluded,
    });
    if (Either.isLeft(routed)) return table.reject(record, routed.left);
    if (!pool.isUnreachable(routed.right.choice.member)) return { ...record, target: Option.some(routed.right) };
    excluded = new Set([...excluded, routed.right.choice.member]);
  }
}

function choosePinned(context: RequestContext, record: RequestRecord): RequestRecord {
  const { placement, table } = context;
  const session = requestContext.sessionOf(context, record);
  const pinned = Option.isSome(session) ? session.value.pinned() : Option.none;
  if (Option.isNone(pinned))
    return table.reject(record, requestFaults.transactionEnded('this session has no open transaction; nothing was applied'));
  const { connection, choice } = pinned.value;
  if (placement().isDrainOverdue(choice.member)) {
    requestContext.endTransaction(context, session);
    return table.reject(
      record,
      requestFaults.transactionEnded(`${choice.member} or this edge is shutting down and waits no longer; the transaction was rolled back`),
    );
  }
  return { ...record, target: Option.some({ choice, epoch: connection.epoch }), connection: Option.some(connection) };
}

function acquireConnection(context: RequestContext, record: RequestRecord): RequestRecord {
  const session = requestContext.sessionOf(context, record);
  if (Option.isSome(session) && session.value.busy()) return record;
  if (Option.isNone(record.target)) return record;
  // Without the agent no reply can become durable, so the request is not sent: it waits until the agent is back or the control term ends.
  if (!context.reports.isAgentConnected()) return { ...record, connection: Option.none };
  if (Option.isSome(record.connection)) return record;
  return { ...record, connection: context.pool.acquire(record.target.value.choice.member) };
}

/** Rejects what this process can no longer send before it stops. */
function rejectAtEnd(context: RequestContext, record: RequestRecord): RequestRecord {
  if (!requestContext.isPinned(record)) return context.table.reject(record, requestFaults.draining());
  requestContext.endTransaction(context, requestContext.sessionOf(context, record));
  return context.table.reject(record, requestFaults.transactionEnded('this edge is shutting down; the transaction was rolled back'));
}

/**
 * The steps in the order in which they run.
 *
 * @param hasEnded - whether this process is about to stop and sends nothing any more
 */
function create(context: RequestContext, hasEnded: () => boolean): readonly PipelineStep[] {
  return [
    (record) => (hasEnded() ? rejectAtEnd(context, record) : record),
    (record) => expire(context, record),
    (record) => admit(context, record),
    (record) => chooseMember(context, record),
    (record) => acquireConnection(context, record),
  ];
}

export const requestPipeline = { create } as const;
