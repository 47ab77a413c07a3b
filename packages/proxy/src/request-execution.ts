/** Sends one request to its member and settles it by what came back, or by what did not (design 8.2, 8.5). */
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
  parts: RequestContext;
  confirmations: Confirmations;
  /** Runs the passes over the record once more. */
  retry: (record: RequestRecord) => void;
  processWaiting: () => void;
}>;

/** A request in stage `sent`, and where it was sent. */
export type SentRequest = Readonly<{
  record: RequestRecord;
  connection: MemberConnection;
  target: Target;
  session: Option.Option<Session>;
}>;

const mostAttempts = 3;
const leastExchangeMilliseconds = 1;

function runCall({ record, session }: SentRequest): OutgoingHttpRequest {
  const { request } = record;
  return {
    method: 'POST',
    path: '/run',
    body: {
      readOnly: request.kind !== 'write',
      transaction: request.transaction,
      // The member forgets what an earlier session left on this connection before anything runs (design 8.2).
      reset: !requestContext.isPinned(record),
      values: Option.isSome(session) ? session.value.values() : {},
      shapes: Option.isSome(session) ? session.value.prepared() : {},
      statements: request.statements,
    },
  };
}

/** Sends the request and settles it. */
async function run(exchange: ExecutionContext, sent: SentRequest): Promise<void> {
  const { runtime, table } = exchange.parts;
  const { record, connection, session } = sent;
  const sentAt = runtime.clock.now();
  table.count('exchanges');
  table.count('waitMilliseconds', sentAt - record.arrivedAt);
  const left = Math.max(leastExchangeMilliseconds, record.deadline - sentAt);
  const result = await connection.exchange(runCall(sent), left);
  table.count('exchangeMilliseconds', runtime.clock.now() - sentAt);
  if (Option.isSome(session)) session.value.setBusy(false);
  settle(exchange, sent, result);
  // Its key may have been withdrawn while the statement was under way (design 6.4).
  if (Option.isSome(session) && session.value.ended()) requestContext.endTransaction(exchange.parts, session);
  exchange.processWaiting();
}

function settle(exchange: ExecutionContext, sent: SentRequest, reply: Either.Either<Fault, HttpReply>): void {
  if (Either.isLeft(reply)) {
    settleLost(exchange, sent, fault.kind(reply.left) === 'unreachable');
    return;
  }
  const result = memberReplies.result(reply.right);
  if (Option.isSome(result)) settleResult(exchange, sent, result.value);
  else if (memberReplies.isRejection(reply.right)) settleRejected(exchange, sent, reply.right);
  else settleLost(exchange, sent, false);
}

/** No reply came, or one that cannot be read. `wasNeverSent`: the request surely never left this process. */
function settleLost(exchange: ExecutionContext, sent: SentRequest, wasNeverSent: boolean): void {
  const { parts, retry } = exchange;
  const { runtime, pool, table } = parts;
  const { record, connection, session } = sent;
  const { choice } = sent.target;
  const pinned = requestContext.isPinned(record);
  if (pinned) requestContext.endTransaction(parts, session);
  else pool.release(connection, false);
  if (requestContext.isCommittingWrite(record) && !wasNeverSent) {
    table.reject(record, requestFaults.outcomeUnknown(`the reply of ${choice.member} was lost`));
    return;
  }
  if (pinned || record.request.transaction === 'begin') {
    const message = `the connection to ${choice.member} broke; nothing of the transaction was kept`;
    table.reject(record, requestFaults.transactionEnded(message));
    return;
  }
  if (record.attempts >= mostAttempts || runtime.clock.now() >= record.deadline) {
    const message = `${record.attempts} attempts at ${record.request.kind} failed; nothing was kept`;
    table.reject(record, requestFaults.givenUp(message));
    return;
  }
  const excludedMembers = choice.isLeader ? record.excludedMembers : new Set([...record.excludedMembers, choice.member]);
  retry({ ...record, stage: 'waiting', excludedMembers, target: Option.none, connection: Option.none });
}

/** The member itself rejected it: nothing was kept, and an open transaction is over. */
function settleRejected({ parts }: ExecutionContext, { record, connection, session }: SentRequest, reply: HttpReply): void {
  if (requestContext.isPinned(record)) requestContext.endTransaction(parts, session);
  else parts.pool.release(connection, reply.status === 409);
  parts.table.reject(record, requestFaults.rejectedByMember(reply.status, memberReplies.text(reply)));
}

/** The request ran: its connection is kept for an open transaction or given back, and the reply is confirmed before it leaves. */
function settleResult({ parts, confirmations }: ExecutionContext, sent: SentRequest, result: MemberResult): void {
  const { pool, table } = parts;
  const { record, connection, target, session } = sent;
  const { transaction, service } = record.request;
  if (transaction === 'begin' && Option.isSome(session)) {
    if (session.value.ended()) {
      pool.release(connection, false);
      table.reject(record, requestFaults.sessionLost('the session was closed meanwhile; nothing was kept'));
      return;
    }
    session.value.pin({ connection, choice: target.choice });
  } else if (!requestContext.isPinned(record)) pool.release(connection, true);
  else if (transaction !== 'within' && Option.isSome(session)) {
    session.value.unpin();
    pool.release(connection, true);
  }
  if (requestContext.isCommittingWrite(record) && Option.isSome(session)) session.value.committed(service, result.position);
  confirmations.add(record, target, session, result);
}

export const requestExecution = { run } as const;
