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
import { requestParts, type RequestParts } from './request-parts.js';
import type { RequestRecord } from './statement-request.js';

export type Pass = (record: RequestRecord) => RequestRecord;

function expire({ runtime, table }: RequestParts, record: RequestRecord): RequestRecord {
  if (runtime.clock.now() < record.deadline) return record;
  return table.reject(record, requestFaults.givenUp('no connection to a fitting member came free in time; nothing was sent'));
}

/** What the configuration says of the service and the key; looked at again while a request waits, since both may be withdrawn. */
function admit(parts: RequestParts, record: RequestRecord): RequestRecord {
  const { table, runtime } = parts;
  const { service, kind, key } = record.request;
  const known = parts.known();
  const stale = fenceChecks.controlFault(known, runtime.clock.now());
  if (Option.isSome(stale)) return table.reject(record, stale.value);
  if (Option.isNone(known.sheet) || placements.findService(known.sheet.value, service) === undefined)
    return table.reject(record, requestFaults.notFound(`a service ${service}`));
  if (!placements.isAllowed(known.sheet.value, key, service, kind))
    return table.reject(record, requestFaults.keyRejected(`send ${kind} to ${service}`));
  return record.stage === 'arrived' ? admitNew(parts, record) : record;
}

/** New work is rejected while the edge drains, and when too much of the service waits already. */
function admitNew({ table, known }: RequestParts, record: RequestRecord): RequestRecord {
  const { service, transaction } = record.request;
  const { draining, sheet, area } = known();
  if (draining && (transaction === 'none' || transaction === 'begin')) return table.reject(record, requestFaults.draining());
  const row = Option.isSome(sheet) ? placements.findRow(sheet.value, service, area) : undefined;
  const waiting = table.waitingFor(service);
  if (row !== undefined && waiting >= row.mostWaiting) return table.reject(record, requestFaults.overloaded(service, waiting));
  return { ...record, stage: 'waiting' };
}

function chooseMember(parts: RequestParts, record: RequestRecord): RequestRecord {
  if (requestParts.isPinned(record)) return choosePinned(parts, record);
  const { runtime, known, pool, table } = parts;
  const { request } = record;
  const session = requestParts.sessionOf(parts, record);
  const lastCommit = Option.isSome(session) ? session.value.lastCommit(request.service) : 0;
  const atLeast = request.kind === 'own-read' ? Math.max(request.atLeast, lastCommit) : 0;
  let without = record.excludedMembers;
  for (;;) {
    const judged = routing.chooseTarget(known().table, request.service, request.kind, {
      now: runtime.clock.now(),
      random: runtime.randomness.fraction(),
      minimumPosition: atLeast,
      excluded: without,
    });
    if (Either.isLeft(judged)) return table.reject(record, judged.left);
    if (!pool.unreachable(judged.right.choice.member)) return { ...record, target: Option.some(judged.right) };
    without = new Set([...without, judged.right.choice.member]);
  }
}

function choosePinned(parts: RequestParts, record: RequestRecord): RequestRecord {
  const { known, table } = parts;
  const session = requestParts.sessionOf(parts, record);
  const pinned = Option.isSome(session) ? session.value.pinned() : Option.none;
  if (Option.isNone(pinned))
    return table.reject(record, requestFaults.transactionEnded('no transaction is open in this session; nothing of it was kept'));
  const { connection, choice } = pinned.value;
  if (known().overdue(choice.member)) {
    requestParts.endTransaction(parts, session);
    return table.reject(
      record,
      requestFaults.transactionEnded(`${choice.member} or this edge is to go and waits no longer; nothing of the transaction was kept`),
    );
  }
  return { ...record, target: Option.some({ choice, epoch: connection.epoch }), connection: Option.some(connection) };
}

function takeConnection(parts: RequestParts, record: RequestRecord): RequestRecord {
  const session = requestParts.sessionOf(parts, record);
  if (Option.isSome(session) && session.value.busy()) return record;
  if (Option.isNone(record.target)) return record;
  // While the agent is away nothing could be made durable, so nothing is sent: it waits, or the term runs out.
  if (!parts.notes.sound()) return { ...record, connection: Option.none };
  if (Option.isSome(record.connection)) return record;
  return { ...record, connection: parts.pool.take(record.target.value.choice.member) };
}

/** The passes in their order. */
function create(parts: RequestParts): readonly Pass[] {
  return [
    (record) => expire(parts, record),
    (record) => admit(parts, record),
    (record) => chooseMember(parts, record),
    (record) => takeConnection(parts, record),
  ];
}

export const passes = { create } as const;
