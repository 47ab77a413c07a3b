/**
 * The passes that a request goes through before it is sent: expire, admit, choose a member, take a connection. Each returns the record to go
 * on with; a stage other than `arrived` and `waiting` ends the run (design 8.5).
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
  return table.reject(record, requestFaults.givenUp('no connection to a fitting member came free in time; nothing was sent'));
}

/** What the configuration says of the service and the key; looked at again while a request waits, since both may be withdrawn. */
function admit(parts: RequestContext, record: RequestRecord): RequestRecord {
  const { table, runtime } = parts;
  const { service, kind, key } = record.request;
  const known = parts.placement();
  const stale = fenceChecks.controlFault(known, runtime.clock.now());
  if (Option.isSome(stale)) return table.reject(record, stale.value);
  if (Option.isNone(known.configuration) || placements.findService(known.configuration.value, service) === undefined)
    return table.reject(record, requestFaults.notFound(`a service ${service}`));
  if (!placements.isAllowed(known.configuration.value, key, service, kind))
    return table.reject(record, requestFaults.keyRejected(`send ${kind} to ${service}`));
  return record.stage === 'arrived' ? admitNew(parts, record) : record;
}

/** New work is rejected while the edge drains, and when too much of the service waits already. */
function admitNew({ table, placement: known }: RequestContext, record: RequestRecord): RequestRecord {
  const { service, transaction } = record.request;
  const { draining, configuration: sheet, area } = known();
  if (draining && (transaction === 'none' || transaction === 'begin')) return table.reject(record, requestFaults.draining());
  const row = Option.isSome(sheet) ? placements.findRow(sheet.value, service, area) : undefined;
  const waiting = table.waitingFor(service);
  if (row !== undefined && waiting >= row.mostWaiting) return table.reject(record, requestFaults.overloaded(service, waiting));
  return { ...record, stage: 'waiting' };
}

function chooseMember(parts: RequestContext, record: RequestRecord): RequestRecord {
  if (requestContext.isPinned(record)) return choosePinned(parts, record);
  const { runtime, placement: known, pool, table } = parts;
  const { request } = record;
  const session = requestContext.sessionOf(parts, record);
  const lastCommit = Option.isSome(session) ? session.value.lastCommit(request.service) : 0;
  const atLeast = request.kind === 'own-read' ? Math.max(request.atLeast, lastCommit) : 0;
  let without = record.excludedMembers;
  for (;;) {
    const judged = routing.chooseTarget(known().routingTable, request.service, request.kind, {
      now: runtime.clock.now(),
      random: runtime.randomness.fraction(),
      minimumPosition: atLeast,
      excluded: without,
    });
    if (Either.isLeft(judged)) return table.reject(record, judged.left);
    if (!pool.isUnreachable(judged.right.choice.member)) return { ...record, target: Option.some(judged.right) };
    without = new Set([...without, judged.right.choice.member]);
  }
}

function choosePinned(parts: RequestContext, record: RequestRecord): RequestRecord {
  const { placement: known, table } = parts;
  const session = requestContext.sessionOf(parts, record);
  const pinned = Option.isSome(session) ? session.value.pinned() : Option.none;
  if (Option.isNone(pinned))
    return table.reject(record, requestFaults.transactionEnded('no transaction is open in this session; nothing of it was kept'));
  const { connection, choice } = pinned.value;
  if (known().isDrainOverdue(choice.member)) {
    requestContext.endTransaction(parts, session);
    return table.reject(
      record,
      requestFaults.transactionEnded(`${choice.member} or this edge is to go and waits no longer; nothing of the transaction was kept`),
    );
  }
  return { ...record, target: Option.some({ choice, epoch: connection.epoch }), connection: Option.some(connection) };
}

function takeConnection(parts: RequestContext, record: RequestRecord): RequestRecord {
  const session = requestContext.sessionOf(parts, record);
  if (Option.isSome(session) && session.value.busy()) return record;
  if (Option.isNone(record.target)) return record;
  // While the agent is away nothing could be made durable, so nothing is sent: it waits, or the term runs out.
  if (!parts.reports.isAgentConnected()) return { ...record, connection: Option.none };
  if (Option.isSome(record.connection)) return record;
  return { ...record, connection: parts.pool.acquire(record.target.value.choice.member) };
}

/** The passes in their order. */
function create(parts: RequestContext): readonly PipelineStep[] {
  return [
    (record) => expire(parts, record),
    (record) => admit(parts, record),
    (record) => chooseMember(parts, record),
    (record) => takeConnection(parts, record),
  ];
}

export const requestPipeline = { create } as const;
