/**
 * The passes that a request goes through before it is sent: expire, admit, choose a member, take a connection. Each returns the record to go
 * on with; a stage other than `arrived` ends the run (design 8.5).
 */
import * as Option from 'fp-ts/lib/Option.js';
import type { Placement } from './placement.js';
import type { Rejection } from './rejection.js';
import { replies } from './replies.js';
import type { RequestParts } from './request-parts.js';
import type { RequestTable } from './request-table.js';
import type { RequestRecord, Target } from './statement-request.js';

export type PassParts = Readonly<{ parts: RequestParts; table: RequestTable; rejection: Rejection; placement: Placement }>;

export type Pass = (record: RequestRecord) => RequestRecord;

const noLeaderRetryMilliseconds = 300;
const saturatedRetryMilliseconds = 200;
const mostExcludedMembers = 8;

function expire({ parts, rejection }: PassParts, record: RequestRecord): RequestRecord {
  if (parts.runtime.clock.now() < record.deadline) return record;
  return rejection.reject(record, 'aborted', 'it did not run in its time; begin it again');
}

/** Keys and databases may be withdrawn while a statement waits; an open transaction keeps what it began with (design 6.4). */
function admit({ parts, rejection }: PassParts, record: RequestRecord): RequestRecord {
  const { request } = record;
  if (Option.isSome(request.transaction)) return record;
  const known = parts.view();
  const database = known.databases.get(request.session.database);
  if (database === undefined) return rejection.reject(record, 'no-database', 'there is no such database');
  if (!database.open && known.tenants.get(request.session.key)?.tenant !== request.tenant)
    return rejection.reject(record, 'denied', 'the key is not known');
  // Moved, or with other bounds: what waits goes where the newest configuration sends it.
  return database === request.database ? record : { ...record, request: { ...request, database } };
}

function isHeld(record: RequestRecord): boolean {
  return Option.isSome(record.request.transaction) && Option.isSome(record.request.transaction.value.held);
}

function chooseMember({ parts, table, rejection, placement }: PassParts, record: RequestRecord): RequestRecord {
  if (isHeld(record)) return record;
  const target = placement.target(record);
  if (Option.isSome(target)) return { ...record, target };
  const waitsUntil = placement.isHandedOver(record.request.database.service) ? record.patientUntil : record.holdUntil;
  if (parts.runtime.clock.now() < waitsUntil) {
    table.count('waits.leader');
    return { ...record, stage: 'waiting' };
  }
  return rejection.rejectUnplaced(record, 'read-only', replies.retryAfter(noLeaderRetryMilliseconds));
}

/** No idle connection stands: one is opened for it while its time lasts. */
function awaitConnection({ parts, table, rejection }: PassParts, record: RequestRecord, target: Target): RequestRecord {
  const { connections } = parts;
  const { tenant } = record.request;
  const { member } = target.place;
  // Asked for once, and again should the opening have come to nothing.
  const isOpening = record.openingMember === member && connections.opening(member, tenant);
  const openingMember = isOpening || connections.want(target.place, tenant) ? member : '';
  const waits: RequestRecord = { ...record, stage: 'waiting', openingMember };
  table.count('waits.line');
  const now = parts.runtime.clock.now();
  if (!connections.failing(member)) {
    if (now < record.patientUntil) return waits;
    const text = replies.retryAfter(saturatedRetryMilliseconds);
    // With nothing under way there the member is not saturated: it doesn't open.
    return connections.busy(member) === 0
      ? rejection.rejectUnplaced(record, 'saturated', text)
      : rejection.reject(record, 'saturated', text);
  }
  // Nothing is open to it and the last opening failed: a read goes elsewhere, what needs the leader is not kept waiting.
  if (!target.leader && record.excludedMembers.size < mostExcludedMembers)
    return { ...waits, excludedMembers: new Set([...record.excludedMembers, member]) };
  if (now < record.holdUntil) return waits;
  return rejection.rejectUnplaced(record, 'read-only', replies.retryAfter(noLeaderRetryMilliseconds));
}

function takeConnection(pass: PassParts, record: RequestRecord): RequestRecord {
  const { transaction, session, tenant } = record.request;
  if (Option.isSome(transaction) && Option.isSome(transaction.value.held))
    return { ...record, connection: Option.some(transaction.value.held.value.pooled) };
  if (Option.isNone(record.target)) return record;
  const taken = pass.parts.connections.take(record.target.value.place, tenant, session.id);
  return Option.isSome(taken) ? { ...record, connection: taken } : awaitConnection(pass, record, record.target.value);
}

/** The passes in their order. */
function create(pass: PassParts): readonly Pass[] {
  return [
    (record) => expire(pass, record),
    (record) => admit(pass, record),
    (record) => chooseMember(pass, record),
    (record) => takeConnection(pass, record),
  ];
}

export const passes = { create, isHeld } as const;
