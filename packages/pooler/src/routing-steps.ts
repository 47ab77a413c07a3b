/**
 * The passes that a request goes through before it is sent: expire, admit, choose a member, take a connection. Each returns the record to go
 * on with; a stage other than `arrived` ends the run (design 8.5).
 */
import * as Option from 'fp-ts/lib/Option.js';
import type { MemberSelection } from './member-selection.js';
import type { Rejection } from './rejection.js';
import { replies } from './replies.js';
import type { RequestParts } from './request-parts.js';
import type { RequestTable } from './request-table.js';
import type { RequestRecord, Target } from './statement-request.js';

export type RoutingParts = Readonly<{ parts: RequestParts; table: RequestTable; rejection: Rejection; selection: MemberSelection }>;

export type RoutingStep = (record: RequestRecord) => RequestRecord;

const noLeaderRetryMilliseconds = 300;
const saturatedRetryMilliseconds = 200;
const maximumExcludedMembers = 8;

function expire({ parts, rejection }: RoutingParts, record: RequestRecord): RequestRecord {
  if (parts.runtime.clock.now() < record.deadline) return record;
  return rejection.reject(record, 'aborted', 'it did not run in its time; begin it again');
}

/** Keys and databases may be withdrawn while a statement waits; an open transaction keeps what it began with (design 6.4). */
function admit({ parts, rejection }: RoutingParts, record: RequestRecord): RequestRecord {
  const { request } = record;
  if (Option.isSome(request.transaction)) return record;
  const view = parts.view();
  const database = view.databases.get(request.session.database);
  if (database === undefined) return rejection.reject(record, 'no-database', 'there is no such database');
  if (!database.open && view.tenantsByKey.get(request.session.key)?.tenant !== request.tenant)
    return rejection.reject(record, 'denied', 'the key is not known');
  // Moved, or with other bounds: what waits goes where the newest configuration sends it.
  return database === request.database ? record : { ...record, request: { ...request, database } };
}

function isPinned(record: RequestRecord): boolean {
  return Option.isSome(record.request.transaction) && Option.isSome(record.request.transaction.value.pinned);
}

function chooseMember({ parts, table, rejection, selection }: RoutingParts, record: RequestRecord): RequestRecord {
  if (isPinned(record)) return record;
  const target = selection.selectTarget(record);
  if (Option.isSome(target)) return { ...record, target };
  const limit = selection.isHandoverInProgress(record.request.database.service) ? record.extendedWaitUntil : record.waitUntil;
  if (parts.runtime.clock.now() < limit) {
    table.count('waits.leader');
    return { ...record, stage: 'waiting' };
  }
  return rejection.rejectUnreachable(record, 'read-only', replies.retryAfter(noLeaderRetryMilliseconds));
}

/** No idle connection stands: one is opened for it while its time lasts. */
function awaitConnection({ parts, table, rejection }: RoutingParts, record: RequestRecord, target: Target): RequestRecord {
  const { connections } = parts;
  const { tenant } = record.request;
  const { member } = target.memberAddress;
  // Asked for once, and again should the opening have come to nothing.
  const isOpening = record.openingMember === member && connections.isOpening(member, tenant);
  const openingMember = isOpening || connections.requestConnection(target.memberAddress, tenant) ? member : '';
  const waiting: RequestRecord = { ...record, stage: 'waiting', openingMember };
  table.count('waits.line');
  const now = parts.runtime.clock.now();
  if (!connections.isFailing(member)) {
    if (now < record.extendedWaitUntil) return waiting;
    const text = replies.retryAfter(saturatedRetryMilliseconds);
    // With nothing under way there the member is not saturated: it doesn't open.
    return connections.busyCount(member) === 0
      ? rejection.rejectUnreachable(record, 'saturated', text)
      : rejection.reject(record, 'saturated', text);
  }
  // Nothing is open to it and the last opening failed: a read goes elsewhere, what needs the leader is not kept waiting.
  if (!target.leader && record.excludedMembers.size < maximumExcludedMembers)
    return { ...waiting, excludedMembers: new Set([...record.excludedMembers, member]) };
  if (now < record.waitUntil) return waiting;
  return rejection.rejectUnreachable(record, 'read-only', replies.retryAfter(noLeaderRetryMilliseconds));
}

function acquireConnection(routing: RoutingParts, record: RequestRecord): RequestRecord {
  const { transaction, session, tenant } = record.request;
  if (Option.isSome(transaction) && Option.isSome(transaction.value.pinned))
    return { ...record, connection: Option.some(transaction.value.pinned.value.pooled) };
  if (Option.isNone(record.target)) return record;
  const connection = routing.parts.connections.acquire(record.target.value.memberAddress, tenant, session.id);
  return Option.isSome(connection) ? { ...record, connection } : awaitConnection(routing, record, record.target.value);
}

/** The passes in their order. */
function create(routing: RoutingParts): readonly RoutingStep[] {
  return [
    (record) => expire(routing, record),
    (record) => admit(routing, record),
    (record) => chooseMember(routing, record),
    (record) => acquireConnection(routing, record),
  ];
}

export const routingSteps = { create, isPinned } as const;
