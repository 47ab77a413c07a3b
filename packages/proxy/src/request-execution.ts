/** Sends a request to its member and handles the reply, or the lack of one (design 8.2, 8.5). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Fault, type OutgoingHttpRequest, type HttpReply } from '@stallstall/kernel';
import type { MemberConnection } from '@stallstall/pool';
import type { Confirmations } from './confirmations.js';
import { memberReplies, type MemberResult } from './member-reply.js';
import { requestFaults } from './request-faults.js';
import { requestContext, type RequestContext } from './request-context.js';
import type { Session } from './sessions.js';
import type { RequestRecord, Target } from './statement-request.js';

export type ExecutionContext = Readonly<{
  context: RequestContext;
  confirmations: Confirmations;
  /** Runs the request pipeline over the record again. */
  retry: (record: RequestRecord) => void;
  processWaiting: () => void;
}>;

/** A request in stage `sent`, with the connection it was sent on. */
export type SentRequest = Readonly<{
  record: RequestRecord;
  connection: MemberConnection;
  target: Target;
  session: Option.Option<Session>;
}>;

const maxAttempts = 3;
const minTimeoutMilliseconds = 1;

function memberRequest({ record, session }: SentRequest): OutgoingHttpRequest {
  const { request } = record;
  return {
    method: 'POST',
    path: '/run',
    body: {
      readOnly: request.kind !== 'write',
      transaction: request.transaction,
      // Makes the member discard the state that an earlier session left on this connection (design 8.2).
      reset: !requestContext.isPinned(record),
      values: Option.isSome(session) ? session.value.values() : {},
      shapes: Option.isSome(session) ? session.value.prepared() : {},
      statements: request.statements,
    },
  };
}

/** Sends the request and handles its result. */
async function run(execution: ExecutionContext, sent: SentRequest): Promise<void> {
  const { runtime, table } = execution.context;
  const { record, connection, session } = sent;
  const sentAt = runtime.clock.now();
  table.count('exchanges');
  table.count('waitMilliseconds', sentAt - record.arrivedAt);
  const timeoutMilliseconds = Math.max(minTimeoutMilliseconds, record.deadline - sentAt);
  const result = await connection.exchange(memberRequest(sent), timeoutMilliseconds);
  table.count('exchangeMilliseconds', runtime.clock.now() - sentAt);
  if (Option.isSome(session)) session.value.setBusy(false);
  handleReply(execution, sent, result);
  // The session is closed if its key was withdrawn while the statement was running (design 6.4).
  if (Option.isSome(session) && session.value.ended()) requestContext.endTransaction(execution.context, session);
  execution.processWaiting();
}

function handleReply(execution: ExecutionContext, sent: SentRequest, reply: Either.Either<Fault, HttpReply>): void {
  if (Either.isLeft(reply)) {
    handleLostReply(execution, sent, fault.kind(reply.left) === 'unreachable');
    return;
  }
  const result = memberReplies.result(reply.right);
  if (Option.isSome(result)) handleResult(execution, sent, result.value);
  else if (memberReplies.isRejection(reply.right)) handleRejection(execution, sent, reply.right);
  else handleLostReply(execution, sent, false);
}

/**
 * Handles a reply that is missing or unreadable.
 *
 * @param wasNeverSent - whether it is certain that the request did not leave this process
 */
function handleLostReply(execution: ExecutionContext, sent: SentRequest, wasNeverSent: boolean): void {
  const { context, retry } = execution;
  const { runtime, pool, table } = context;
  const { record, connection, session } = sent;
  const { choice } = sent.target;
  const pinned = requestContext.isPinned(record);
  if (pinned) requestContext.endTransaction(context, session);
  else pool.release(connection, false);
  if (requestContext.isCommittingWrite(record) && !wasNeverSent) {
    table.reject(record, requestFaults.outcomeUnknown(`the reply of ${choice.member} was lost`));
    return;
  }
  if (pinned || record.request.transaction === 'begin') {
    const message = `the connection to ${choice.member} was lost; the transaction was rolled back`;
    table.reject(record, requestFaults.transactionEnded(message));
    return;
  }
  if (record.attempts >= maxAttempts || runtime.clock.now() >= record.deadline) {
    const message = `${record.attempts} attempts to run the ${record.request.kind} failed; nothing was applied`;
    table.reject(record, requestFaults.givenUp(message));
    return;
  }
  const excludedMembers = choice.isLeader ? record.excludedMembers : new Set([...record.excludedMembers, choice.member]);
  retry({ ...record, stage: 'waiting', excludedMembers, target: Option.none, connection: Option.none });
}

/** The member rejected the request: nothing was applied, and an open transaction is aborted. */
function handleRejection({ context }: ExecutionContext, { record, connection, session }: SentRequest, reply: HttpReply): void {
  if (requestContext.isPinned(record)) requestContext.endTransaction(context, session);
  else context.pool.release(connection, reply.status === 409);
  context.table.reject(record, requestFaults.rejectedByMember(reply.status, memberReplies.text(reply)));
}

/** The request ran: pins its connection for an open transaction or releases it, and passes the reply on for confirmation. */
function handleResult({ context, confirmations }: ExecutionContext, sent: SentRequest, result: MemberResult): void {
  const { pool, table } = context;
  const { record, connection, target, session } = sent;
  const { transaction, service } = record.request;
  if (transaction === 'begin' && Option.isSome(session)) {
    if (session.value.ended()) {
      pool.release(connection, false);
      table.reject(record, requestFaults.sessionLost('the session was closed while the statement was running; nothing was applied'));
      return;
    }
    session.value.pin({ connection, choice: target.choice });
  } else if (!requestContext.isPinned(record)) pool.release(connection, true);
  else if (transaction !== 'within' && Option.isSome(session)) {
    session.value.unpin();
    pool.release(connection, true);
  }
  if (requestContext.isCommittingWrite(record) && Option.isSome(session)) session.value.recordCommit(service, result.position);
  confirmations.add(record, target, session, result);
}

export const requestExecution = { run } as const;
