/** Carries one statement over its connection and settles it by what came back, or by what did not (design 8.5, 8.11). */
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
  /** Puts the request back among those that wait, to be tried without these members. */
  retry: (record: RequestRecord, without: readonly string[]) => void;
  /** Runs the passes over whoever waits. */
  processWaiting: () => void;
}>;

const maximumAttempts = 3;
const abortedRetryMilliseconds = 100;

/** `ready`: the statement may be sent; `lost`: the connection is of no use; a reply: the member rejected the beginning. */
type Preparation = 'ready' | 'lost' | StatementReply;

/** Sets the session's state on the connection and begins its transaction; the statement is sent only after both were replied. */
async function prepare({ parts }: ExecutionParts, record: RequestRecord, pooled: PooledConnection): Promise<Preparation> {
  const { dialect, runtime } = parts;
  const { session, prepared, transaction } = record.request;
  const needed = Option.isSome(prepared) ? Option.some(prepared.value.statement) : Option.none;
  const settings = sessions.preparationStatements(dialect, session, pooled.serverState, needed);
  const texts = [...settings];
  const begins = Option.isSome(transaction) && Option.isNone(transaction.value.pinned);
  if (begins) {
    const begin = dialect.statements.begin(transaction.value.readOnly);
    const minimum = Option.isSome(record.target) ? record.target.value.minimumPosition : Option.none;
    texts.push(Option.isSome(minimum) ? dialect.statements.atPosition(minimum.value, begin) : begin);
  }
  if (texts.length === 0) return 'ready';
  const queries = texts.map((text) => dialect.query(dialect.internalIdentifier, text));
  const ran = await pooled.connection.run(queries, record.deadline - runtime.clock.now());
  if (!ran.isComplete) return 'lost';
  if (ran.replies.slice(0, settings.length).some((one) => one.completion.kind !== 'done')) return 'lost';
  const last = ran.replies.at(-1);
  return begins && last !== undefined && last.completion.kind === 'fault' ? last : 'ready';
}

/** The text as the member is to run it: prepared names are the connection's own, and a read names the position it needs. */
function textOf({ parts }: ExecutionParts, record: RequestRecord, pooled: PooledConnection): string {
  const { statements: texts } = parts.dialect;
  const { prepared, text, transaction, writes } = record.request;
  const statement = Option.isSome(prepared)
    ? texts.execute(sessions.preparedName(pooled.serverState, prepared.value.statement), prepared.value.parameters)
    : text;
  if (writes || Option.isSome(transaction) || Option.isNone(record.target)) return statement;
  const { minimumPosition } = record.target.value;
  return Option.isSome(minimumPosition) ? texts.atPosition(minimumPosition.value, statement) : statement;
}

function mayRetry({ parts }: ExecutionParts, record: RequestRecord): boolean {
  return record.attempts < maximumAttempts && parts.runtime.clock.now() < record.deadline;
}

/**
 * A statement that can be begun again elsewhere, or whose transaction can be told to be begun again: nothing of it is kept once its
 * connection is broken off. A write and a commit are waited for to the end.
 */
function mayAbandonAttempt(exchange: ExecutionParts, record: RequestRecord): boolean {
  if (record.request.commits || exchange.parts.runtime.clock.now() >= record.deadline) return false;
  return Option.isSome(record.request.transaction) || (!record.request.writes && mayRetry(exchange, record));
}

/** The statement itself was not sent: another member may be tried, within its time. */
function handleNotSent(
  exchange: ExecutionParts,
  record: RequestRecord,
  pooled: PooledConnection,
  replied: Option.Option<StatementReply>,
): void {
  const { parts, rejection } = exchange;
  const held = routingSteps.isPinned(record);
  if (!held) parts.connections.release(pooled, Option.isSome(replied));
  const condition = Option.isSome(replied) && replied.value.completion.kind === 'fault' ? replied.value.completion.condition : 'aborted';
  const { transaction } = record.request;
  const wasAbandoned = Option.isSome(transaction) && transaction.value.failed;
  if (!held && mayRetry(exchange, record) && condition !== 'read-only' && !wasAbandoned)
    exchange.retry(record, Option.isSome(record.target) && !record.target.value.leader ? [record.target.value.memberAddress.member] : []);
  else rejection.reject(record, rejectionCondition(condition), replies.retryAfter(abortedRetryMilliseconds));
  exchange.processWaiting();
}

/** Conditions of the beginning that say nothing about the client's own statement. */
function rejectionCondition(condition: Condition): Condition {
  return condition === 'failed' || condition === 'undefined' || condition === 'malformed' ? 'aborted' : condition;
}

/** The statement was sent and no reply came. */
function handleLostReply(exchange: ExecutionParts, record: RequestRecord, pooled: PooledConnection): void {
  const { parts, table, rejection } = exchange;
  const { request } = record;
  const held = routingSteps.isPinned(record);
  table.count('lost');
  if (!held) parts.connections.release(pooled, false);
  if (request.commits || (request.writes && Option.isNone(request.transaction))) {
    if (Option.isSome(request.transaction)) transactions.abandon(parts.connections, request.transaction.value);
    request.session.hasUnknownOutcome = true;
    table.count('outcome-unknown');
    table.resolve(record, replies.fault('outcome-unknown', 'the reply was lost; it may have run'));
    return;
  }
  if (held) {
    // Its connection is broken off, so that nothing of the transaction can be kept; a statement of it that ran is run nowhere else.
    rejection.reject(record, 'aborted', replies.retryAfter(abortedRetryMilliseconds));
    return;
  }
  if (mayRetry(exchange, record)) exchange.retry(record, [Option.isSome(record.target) ? record.target.value.memberAddress.member : '']);
  else
    rejection.rejectUnreachable(
      record,
      parts.runtime.clock.now() >= record.deadline ? 'expired' : 'failed',
      'no member replied to the read',
    );
}

/** Whether a statement that a member did not run is tried on another: reads outside transactions, and names the member has forgotten. */
function mayRetryAfter(exchange: ExecutionParts, record: RequestRecord, condition: Condition): boolean {
  if (Option.isSome(record.request.transaction) || !mayRetry(exchange, record)) return false;
  if (condition === 'undefined') return true;
  if (record.request.writes) return false;
  return condition === 'saturated' || condition === 'lagging' || condition === 'failed' || condition === 'read-only';
}

function handleFault(
  exchange: ExecutionParts,
  record: RequestRecord,
  pooled: PooledConnection,
  replied: StatementReply,
  condition: Condition,
): void {
  const { connections } = exchange.parts;
  const { transaction } = record.request;
  exchange.table.count(`member.${condition}`);
  if (condition === 'undefined') pooled.serverState.prepared.clear();
  if (Option.isNone(transaction)) connections.release(pooled, replied.transactionStatus === 'idle');
  if (mayRetryAfter(exchange, record, condition)) {
    const isMembersFault = condition !== 'undefined' && Option.isSome(record.target);
    exchange.retry(record, isMembersFault ? [record.target.value.memberAddress.member] : []);
    return;
  }
  if (Option.isSome(transaction)) transactions.abandon(connections, transaction.value);
  exchange.table.resolve(record, { rows: [], completion: replied.completion, transactionStatus: 'idle', position: replied.position });
}

/** Where the statement ran: as its transaction was placed, else as it was placed itself. */
function executionTarget(record: RequestRecord): Readonly<{ epoch: number; leader: boolean }> | undefined {
  const { transaction } = record.request;
  if (Option.isSome(transaction) && Option.isSome(transaction.value.pinned)) return transaction.value.pinned.value;
  return Option.isSome(record.target) ? record.target.value : undefined;
}

/** Whether the lease of the epoch under which a statement was placed was still valid when it was sent. */
function wasLeaseValid({ parts }: ExecutionParts, record: RequestRecord, sentAt: Instant): boolean {
  const known = parts.view().leaders.get(record.request.database.service);
  return known !== undefined && known.epoch === (executionTarget(record)?.epoch ?? 0) && known.leaseEnd > sentAt;
}

/** Learns from the position that a member replied with how far the service's commits reach. */
function recordPosition(exchange: ExecutionParts, record: RequestRecord, replied: StatementReply, sentAt: Instant): void {
  const { freshness } = exchange.parts;
  const { request } = record;
  const { service } = request.database;
  const leader = executionTarget(record)?.leader === true;
  // Asked under a lease that was still valid, so the leader's position covers all that was acknowledged before it was asked (design 8.11).
  if (leader && wasLeaseValid(exchange, record, sentAt) && Option.isSome(replied.position))
    freshness.recordLeaderPosition(service, sentAt, replied.position.value);
  if ((request.commits || (request.writes && Option.isNone(request.transaction))) && Option.isSome(replied.position)) {
    sessions.recordCommit(request.session, service, replied.position.value);
    if (leader) freshness.recordCommit(service, replied.position.value);
  }
}

/** After a statement of a transaction was done: a commit frees the connection; one abandoned meanwhile is broken off. */
function updateTransaction(
  exchange: ExecutionParts,
  record: RequestRecord,
  transaction: Transaction,
  pooled: PooledConnection,
  idle: boolean,
): void {
  const { connections } = exchange.parts;
  if (transaction.failed && !record.request.commits) transactions.abandon(connections, transaction);
  else if (record.request.commits) {
    transaction.pinned = Option.none;
    connections.release(pooled, idle);
  }
}

function handleReply(
  exchange: ExecutionParts,
  record: RequestRecord,
  pooled: PooledConnection,
  replied: StatementReply,
  sentAt: Instant,
): void {
  if (replied.completion.kind === 'fault') {
    handleFault(exchange, record, pooled, replied, replied.completion.condition);
    return;
  }
  const { transaction } = record.request;
  const idle = replied.transactionStatus === 'idle';
  recordPosition(exchange, record, replied, sentAt);
  if (Option.isNone(transaction)) exchange.parts.connections.release(pooled, idle);
  else updateTransaction(exchange, record, transaction.value, pooled, idle);
  exchange.table.count('served');
  exchange.table.resolve(record, replied);
}

/** Once its transaction has begun on a member it stays there; false when the transaction was abandoned meanwhile. */
function pinConnection(exchange: ExecutionParts, record: RequestRecord, pooled: PooledConnection): boolean {
  const { transaction } = record.request;
  if (Option.isNone(transaction) || Option.isSome(transaction.value.pinned) || Option.isNone(record.target)) return true;
  if (transaction.value.failed) {
    // Abandoned while it began: its client has gone, or this edge releases the epoch.
    exchange.parts.connections.release(pooled, false);
    exchange.rejection.reject(record, 'aborted', replies.retryAfter(abortedRetryMilliseconds));
    return false;
  }
  const { epoch, leader } = record.target.value;
  transaction.value.pinned = Option.some({ pooled, epoch, leader });
  return true;
}

/** Sends the statement of a record in stage `sent` on the connection that was taken for it, and settles it. */
async function run(exchange: ExecutionParts, record: RequestRecord, pooled: PooledConnection): Promise<void> {
  const { parts, table, times } = exchange;
  const { runtime, dialect } = parts;
  const { request } = record;
  const prepared = await prepare(exchange, record, pooled);
  if (prepared !== 'ready') {
    handleNotSent(exchange, record, pooled, prepared === 'lost' ? Option.none : Option.some(prepared));
    return;
  }
  const begins = !routingSteps.isPinned(record);
  if (!pinConnection(exchange, record, pooled)) return;
  const sentAt = runtime.clock.now();
  table.count('sent');
  // An operation is one request, however many statements its transaction holds (design 8.6).
  if (begins && record.attempts === 1 && !request.fillsCache) parts.usage.count(request.tenant);
  const left = record.deadline - sentAt;
  const ran = await pooled.connection.run(
    [dialect.query(request.fillsCache ? dialect.internalIdentifier : request.identifier, textOf(exchange, record, pooled))],
    mayAbandonAttempt(exchange, record) ? Math.min(left, times.timeoutMilliseconds(request.database)) : left,
  );
  const replied = ran.replies[0];
  // Also of one that was given up: should they all take longer by now, the next is waited for longer.
  times.record(request.database, runtime.clock.now() - sentAt);
  if (ran.isComplete && replied !== undefined) handleReply(exchange, record, pooled, replied, sentAt);
  else handleLostReply(exchange, record, pooled);
  exchange.processWaiting();
}

export const statementExecutions = { run } as const;
