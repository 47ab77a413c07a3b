/** Sends one statement on its connection and handles the reply, or the loss of the reply (design 8.5, 8.11). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Instant } from '@stallstall/kernel';
import type { Condition, StatementReply } from '@stallstall/session-protocol';
import type { PooledConnection } from './connections.js';
import { routingSteps } from './routing-steps.js';
import type { Rejection } from './rejection.js';
import { replies } from './replies.js';
import type { RequestParts } from './request-parts.js';
import type { RequestTable } from './request-table.js';
import type { ResponseTimes } from './response-times.js';
import { sessions, type Transaction } from './sessions.js';
import type { RequestRecord } from './statement-request.js';
import { transactions } from './transactions.js';

export type ExecutionParts = Readonly<{
  parts: RequestParts;
  table: RequestTable;
  rejection: Rejection;
  times: ResponseTimes;
  /** Returns the request to the waiting ones; the excluded members are not tried again. */
  retry: (record: RequestRecord, excluded: readonly string[]) => void;
  /** Routes all waiting statements again. */
  processWaiting: () => void;
}>;

const maximumAttempts = 3;
const abortedRetryMilliseconds = 100;

/** `ready`: the statement may be sent; `lost`: the connection is unusable; a reply: the member rejected the start of the transaction. */
type Preparation = 'ready' | 'lost' | StatementReply;

/** Applies the session's state to the connection and begins its transaction; the statement is sent only after both were confirmed. */
async function prepare({ parts }: ExecutionParts, record: RequestRecord, pooled: PooledConnection): Promise<Preparation> {
  const { dialect, runtime } = parts;
  const { session, prepared, transaction } = record.request;
  const needed = Option.isSome(prepared) ? Option.some(prepared.value.statement) : Option.none;
  const stateStatements = sessions.preparationStatements(dialect, session, pooled.serverState, needed);
  const texts = [...stateStatements];
  const beginsTransaction = Option.isSome(transaction) && Option.isNone(transaction.value.pinned);
  if (beginsTransaction) {
    const begin = dialect.statements.begin(transaction.value.readOnly);
    const minimum = Option.isSome(record.target) ? record.target.value.minimumPosition : Option.none;
    texts.push(Option.isSome(minimum) ? dialect.statements.atPosition(minimum.value, begin) : begin);
  }
  if (texts.length === 0) return 'ready';
  const queries = texts.map((text) => dialect.query(dialect.internalIdentifier, text));
  const outcome = await pooled.connection.run(queries, record.deadline - runtime.clock.now());
  if (!outcome.isComplete) return 'lost';
  if (outcome.replies.slice(0, stateStatements.length).some((reply) => reply.completion.kind !== 'done')) return 'lost';
  const lastReply = outcome.replies.at(-1);
  return beginsTransaction && lastReply !== undefined && lastReply.completion.kind === 'fault' ? lastReply : 'ready';
}

/** The text sent to the member: with the connection's name of a prepared statement and, for a read, the required log position. */
function statementText({ parts }: ExecutionParts, record: RequestRecord, pooled: PooledConnection): string {
  const { statements } = parts.dialect;
  const { prepared, text, transaction, writes } = record.request;
  const statement = Option.isSome(prepared)
    ? statements.execute(sessions.preparedName(pooled.serverState, prepared.value.statement), prepared.value.parameters)
    : text;
  if (writes || Option.isSome(transaction) || Option.isNone(record.target)) return statement;
  const { minimumPosition } = record.target.value;
  return Option.isSome(minimumPosition) ? statements.atPosition(minimumPosition.value, statement) : statement;
}

function mayRetry({ parts }: ExecutionParts, record: RequestRecord): boolean {
  return record.attempts < maximumAttempts && parts.runtime.clock.now() < record.deadline;
}

/**
 * Whether the attempt may be abandoned before the deadline: a read can be retried on another member, and a transaction is rolled back when
 * its connection is reset, so the client can retry it. Single writes and commits are awaited until the deadline.
 */
function mayAbandonAttempt(execution: ExecutionParts, record: RequestRecord): boolean {
  if (record.request.commits || execution.parts.runtime.clock.now() >= record.deadline) return false;
  return Option.isSome(record.request.transaction) || (!record.request.writes && mayRetry(execution, record));
}

/** Handles a statement that was not sent because the preparation failed: it may be retried within its time limit. */
function handleNotSent(
  execution: ExecutionParts,
  record: RequestRecord,
  pooled: PooledConnection,
  replied: Option.Option<StatementReply>,
): void {
  const { parts, rejection } = execution;
  const isPinned = routingSteps.isPinned(record);
  if (!isPinned) parts.connections.release(pooled, Option.isSome(replied));
  const condition = Option.isSome(replied) && replied.value.completion.kind === 'fault' ? replied.value.completion.condition : 'aborted';
  const { transaction } = record.request;
  const wasAborted = Option.isSome(transaction) && transaction.value.failed;
  if (!isPinned && mayRetry(execution, record) && condition !== 'read-only' && !wasAborted)
    execution.retry(record, Option.isSome(record.target) && !record.target.value.leader ? [record.target.value.memberAddress.member] : []);
  else rejection.reject(record, rejectionCondition(condition), replies.retryAfter(abortedRetryMilliseconds));
  execution.processWaiting();
}

/** Maps conditions of the preparation that do not apply to the client's own statement to `aborted`. */
function rejectionCondition(condition: Condition): Condition {
  return condition === 'failed' || condition === 'undefined' || condition === 'malformed' ? 'aborted' : condition;
}

/** Handles a statement that was sent but whose reply was lost. */
function handleLostReply(execution: ExecutionParts, record: RequestRecord, pooled: PooledConnection): void {
  const { parts, table, rejection } = execution;
  const { request } = record;
  const isPinned = routingSteps.isPinned(record);
  table.count('lost');
  if (!isPinned) parts.connections.release(pooled, false);
  if (request.commits || (request.writes && Option.isNone(request.transaction))) {
    if (Option.isSome(request.transaction)) transactions.abandon(parts.connections, request.transaction.value);
    request.session.hasUnknownOutcome = true;
    table.count('outcome-unknown');
    table.resolve(record, replies.fault('outcome-unknown', 'the reply was lost; the statement may have been committed'));
    return;
  }
  if (isPinned) {
    // Resetting the connection rolls the transaction back; its statements must not be retried on another connection.
    rejection.reject(record, 'aborted', replies.retryAfter(abortedRetryMilliseconds));
    return;
  }
  if (mayRetry(execution, record)) execution.retry(record, [Option.isSome(record.target) ? record.target.value.memberAddress.member : '']);
  else
    rejection.rejectUnreachable(
      record,
      parts.runtime.clock.now() >= record.deadline ? 'expired' : 'failed',
      'no member replied to the read',
    );
}

/**
 * Whether a statement that a member rejected is retried: a read outside a transaction, or a prepared statement the member no longer has.
 */
function mayRetryAfter(execution: ExecutionParts, record: RequestRecord, condition: Condition): boolean {
  if (Option.isSome(record.request.transaction) || !mayRetry(execution, record)) return false;
  if (condition === 'undefined') return true;
  if (record.request.writes) return false;
  return condition === 'saturated' || condition === 'lagging' || condition === 'failed' || condition === 'read-only';
}

function handleFault(
  execution: ExecutionParts,
  record: RequestRecord,
  pooled: PooledConnection,
  replied: StatementReply,
  condition: Condition,
): void {
  const { connections } = execution.parts;
  const { transaction } = record.request;
  execution.table.count(`member.${condition}`);
  if (condition === 'undefined') pooled.serverState.prepared.clear();
  if (Option.isNone(transaction)) connections.release(pooled, replied.transactionStatus === 'idle');
  if (mayRetryAfter(execution, record, condition)) {
    const isMemberExcluded = condition !== 'undefined' && Option.isSome(record.target);
    execution.retry(record, isMemberExcluded ? [record.target.value.memberAddress.member] : []);
    return;
  }
  if (Option.isSome(transaction)) transactions.abandon(connections, transaction.value);
  execution.table.resolve(record, { rows: [], completion: replied.completion, transactionStatus: 'idle', position: replied.position });
}

/** Where the statement ran: the target of its transaction if it has one, otherwise its own. */
function executionTarget(record: RequestRecord): Readonly<{ epoch: number; leader: boolean }> | undefined {
  const { transaction } = record.request;
  if (Option.isSome(transaction) && Option.isSome(transaction.value.pinned)) return transaction.value.pinned.value;
  return Option.isSome(record.target) ? record.target.value : undefined;
}

/** Whether the lease of the epoch that the statement was routed under was still valid when it was sent. */
function wasLeaseValid({ parts }: ExecutionParts, record: RequestRecord, sentAt: Instant): boolean {
  const current = parts.view().leaders.get(record.request.database.service);
  return current !== undefined && current.epoch === (executionTarget(record)?.epoch ?? 0) && current.leaseEnd > sentAt;
}

/** Records the log position of a reply for the freshness of later reads. */
function recordPosition(execution: ExecutionParts, record: RequestRecord, replied: StatementReply, sentAt: Instant): void {
  const { freshness } = execution.parts;
  const { request } = record;
  const { service } = request.database;
  const isLeader = executionTarget(record)?.leader === true;
  // Sent under a valid lease, so the leader's position covers all commits acknowledged before the statement was sent (design 8.11).
  if (isLeader && wasLeaseValid(execution, record, sentAt) && Option.isSome(replied.position))
    freshness.recordLeaderPosition(service, sentAt, replied.position.value);
  if ((request.commits || (request.writes && Option.isNone(request.transaction))) && Option.isSome(replied.position)) {
    sessions.recordCommit(request.session, service, replied.position.value);
    if (isLeader) freshness.recordCommit(service, replied.position.value);
  }
}

/** After a successful statement of a transaction: a commit returns the connection to the pool; a transaction aborted meanwhile is reset. */
function updateTransaction(
  execution: ExecutionParts,
  record: RequestRecord,
  transaction: Transaction,
  pooled: PooledConnection,
  isIdle: boolean,
): void {
  const { connections } = execution.parts;
  if (transaction.failed && !record.request.commits) transactions.abandon(connections, transaction);
  else if (record.request.commits) {
    transaction.pinned = Option.none;
    connections.release(pooled, isIdle);
  }
}

function handleReply(
  execution: ExecutionParts,
  record: RequestRecord,
  pooled: PooledConnection,
  replied: StatementReply,
  sentAt: Instant,
): void {
  if (replied.completion.kind === 'fault') {
    handleFault(execution, record, pooled, replied, replied.completion.condition);
    return;
  }
  const { transaction } = record.request;
  const isIdle = replied.transactionStatus === 'idle';
  recordPosition(execution, record, replied, sentAt);
  if (Option.isNone(transaction)) execution.parts.connections.release(pooled, isIdle);
  else updateTransaction(execution, record, transaction.value, pooled, isIdle);
  execution.table.count('served');
  execution.table.resolve(record, replied);
}

/** Pins a transaction that has just begun to its connection; false when the transaction was aborted meanwhile. */
function pinConnection(execution: ExecutionParts, record: RequestRecord, pooled: PooledConnection): boolean {
  const { transaction } = record.request;
  if (Option.isNone(transaction) || Option.isSome(transaction.value.pinned) || Option.isNone(record.target)) return true;
  if (transaction.value.failed) {
    // Aborted while it began: its client disconnected, or this edge is releasing the epoch.
    execution.parts.connections.release(pooled, false);
    execution.rejection.reject(record, 'aborted', replies.retryAfter(abortedRetryMilliseconds));
    return false;
  }
  const { epoch, leader } = record.target.value;
  transaction.value.pinned = Option.some({ pooled, epoch, leader });
  return true;
}

/** Sends the statement of a record in stage `sent` on its connection and handles the outcome. */
async function run(execution: ExecutionParts, record: RequestRecord, pooled: PooledConnection): Promise<void> {
  const { parts, table, times } = execution;
  const { runtime, dialect } = parts;
  const { request } = record;
  const prepared = await prepare(execution, record, pooled);
  if (prepared !== 'ready') {
    handleNotSent(execution, record, pooled, prepared === 'lost' ? Option.none : Option.some(prepared));
    return;
  }
  const isNewRequest = !routingSteps.isPinned(record);
  if (!pinConnection(execution, record, pooled)) return;
  const sentAt = runtime.clock.now();
  table.count('sent');
  // A transaction counts as one request, regardless of its number of statements (design 8.6).
  if (isNewRequest && record.attempts === 1 && !request.fillsCache) parts.usage.count(request.tenant);
  const remaining = record.deadline - sentAt;
  const outcome = await pooled.connection.run(
    [dialect.query(request.fillsCache ? dialect.internalIdentifier : request.identifier, statementText(execution, record, pooled))],
    mayAbandonAttempt(execution, record) ? Math.min(remaining, times.timeoutMilliseconds(request.database)) : remaining,
  );
  const replied = outcome.replies[0];
  // Abandoned attempts are recorded too: if response times have grown, later timeouts grow with them.
  times.record(request.database, runtime.clock.now() - sentAt);
  if (outcome.isComplete && replied !== undefined) handleReply(execution, record, pooled, replied, sentAt);
  else handleLostReply(execution, record, pooled);
  execution.processWaiting();
}

export const statementExecutions = { run } as const;
