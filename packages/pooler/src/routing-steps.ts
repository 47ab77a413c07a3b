/**
 * The steps that route a request before it is sent: check the deadline, check access, choose a member, acquire a connection. Each returns
 * the record for the next step; a stage other than `routing` ends the routing attempt (design 8.5).
 */
import * as Option from 'fp-ts/lib/Option.js';
import type { MemberSelection } from './member-selection.js';
import type { Rejection } from './rejection.js';
import { replies } from './replies.js';
import type { RequestParts } from './request-parts.js';
import type { RequestTable } from './request-table.js';
import type { RequestRecord, Target } from './statement-request.js';

export type RoutingParts = Readonly<{
  parts: RequestParts;
  table: RequestTable;
  rejection: Rejection;
  selection: MemberSelection;
  /** Whether this process is about to stop and sends no more statements. */
  hasEnded: () => boolean;
}>;

export type RoutingStep = (record: RequestRecord) => RequestRecord;

const noLeaderRetryMilliseconds = 300;
const saturatedRetryMilliseconds = 200;
const shutdownRetryMilliseconds = 100;
const maximumExcludedMembers = 8;

/** A statement that is read late in a shutdown still gets a reply (design 7.10). */
function rejectAtEnd({ rejection, hasEnded }: RoutingParts, record: RequestRecord): RequestRecord {
  if (!hasEnded()) return record;
  const condition = Option.isSome(record.request.transaction) ? 'aborted' : 'saturated';
  return rejection.reject(record, condition, replies.retryAfter(shutdownRetryMilliseconds));
}

function expire({ parts, rejection }: RoutingParts, record: RequestRecord): RequestRecord {
  if (parts.runtime.clock.now() < record.deadline) return record;
  return rejection.reject(record, 'aborted', 'the statement did not run within its time limit; retry the transaction');
}

/**
 * Checks access again, because keys and databases may be removed while a statement waits. An open transaction was aborted if it lost its access
 * meanwhile (design 6.4).
 */
function admit({ parts, rejection }: RoutingParts, record: RequestRecord): RequestRecord {
  const { request } = record;
  if (Option.isSome(request.transaction)) {
    const isAborted = request.transaction.value.failed;
    return isAborted ? rejection.reject(record, 'aborted', 'the transaction was rolled back; retry it') : record;
  }
  const view = parts.view();
  const database = view.databases.get(request.session.database);
  if (database === undefined) return rejection.reject(record, 'no-database', 'the database does not exist');
  if (!database.open && view.tenantsByKey.get(request.session.key)?.tenant !== request.tenant)
    return rejection.reject(record, 'denied', 'the key does not give access to the database');
  // The database was moved or its settings changed: a waiting statement follows the newest configuration.
  return database === request.database ? record : { ...record, request: { ...request, database } };
}

/** Whether the transaction of the statement is pinned to a connection. */
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

/** No connection is idle: requests a new one and lets the statement wait for it, within its time limits. */
function awaitConnection({ parts, table, rejection }: RoutingParts, record: RequestRecord, target: Target): RequestRecord {
  const { connections } = parts;
  const { tenant } = record.request;
  const { member } = target.memberAddress;
  // Requested once, and again only if the attempt to open it failed.
  const isOpening = record.openingMember === member && connections.isOpening(member, tenant);
  const openingMember = isOpening || connections.requestConnection(target.memberAddress, tenant) ? member : '';
  const waiting: RequestRecord = { ...record, stage: 'waiting', openingMember };
  table.count('waits.line');
  const now = parts.runtime.clock.now();
  if (!connections.isFailing(member)) {
    if (now < record.extendedWaitUntil) return waiting;
    const text = replies.retryAfter(saturatedRetryMilliseconds);
    // With no connection in use the member cannot be saturated: it does not accept connections.
    return connections.busyCount(member) === 0
      ? rejection.rejectUnreachable(record, 'saturated', text)
      : rejection.reject(record, 'saturated', text);
  }
  // No connection is open and the last attempt failed: a read tries another member; a statement for the leader is rejected early.
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

/** The steps in the order in which they run. */
function create(routing: RoutingParts): readonly RoutingStep[] {
  return [
    (record) => rejectAtEnd(routing, record),
    (record) => expire(routing, record),
    (record) => admit(routing, record),
    (record) => chooseMember(routing, record),
    (record) => acquireConnection(routing, record),
  ];
}

export const routingSteps = { create, isPinned } as const;
