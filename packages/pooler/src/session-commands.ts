/**
 * Executes the commands of a session: transaction control, session values and prepared statements locally, other statements on a member.
 */
import * as Option from 'fp-ts/lib/Option.js';
import type { Clock } from '@stallstall/kernel';
import type { Command, Dialect, ClientMessage, StatementReply } from '@stallstall/session-protocol';
import { admissions } from './admission.js';
import type { Connections } from './connections.js';
import type { CachedReplies } from './cached-replies.js';
import { replies } from './replies.js';
import type { Requests } from './requests.js';
import type { PreparedStatement, Session, Transaction } from './sessions.js';
import type { StatementRequest } from './statement-request.js';
import { transactions } from './transactions.js';
import type { View } from './view.js';

export type CommandParts = Readonly<{
  clock: Clock;
  dialect: Dialect;
  view: () => View;
  connections: Connections;
  requests: Requests;
  cachedReplies: CachedReplies;
}>;

export type Query = Extract<ClientMessage, { kind: 'query' }>;

/** The reply itself for a command that the pooler executes locally, a promise for one that a member executes. */
type MaybePromisedReply = StatementReply | Promise<StatementReply>;

const noAccess = 'access denied';
const unknownStatement = 'no prepared statement has this name';
const noTransaction = 'no transaction is open';

/** Aborts the session's open transaction after a statement that cannot be executed. */
function failTransaction(parts: CommandParts, session: Session): void {
  if (Option.isNone(session.transaction)) return;
  transactions.abandonIdle(parts.connections, session.transaction.value);
  session.transaction.value.isFailureReported = true;
}

function begin(parts: CommandParts, session: Session, readOnly: boolean): StatementReply {
  if (Option.isSome(session.transaction)) return replies.fault('malformed', 'a transaction is already open');
  const admission = admissions.admit(parts.view(), session.database, session.key);
  if (!admission.admitted) return replies.fault(admission.condition, noAccess);
  if (parts.requests.hasEnded()) return replies.fault('saturated', 'this process is stopping; retry the transaction');
  const now = parts.clock.now();
  session.transaction = Option.some({
    readOnly,
    database: admission.database,
    tenant: admission.tenant,
    startedAt: now,
    pinned: Option.none,
    failed: false,
    isFailureReported: false,
    busy: false,
    idleSince: now,
  });
  return replies.done();
}

async function rollback(parts: CommandParts, session: Session): Promise<StatementReply> {
  const { transaction } = session;
  if (Option.isNone(transaction)) return replies.fault('malformed', noTransaction);
  session.transaction = Option.none;
  await transactions.rollback(parts.connections, parts.dialect, transaction.value);
  return replies.done();
}

/** A failed transaction accepts only commit and rollback. If the pooler aborted it, the next statement reports that to the client. */
function handleFailed(session: Session, transaction: Transaction, command: Command): StatementReply {
  if (command.kind !== 'rollback' && command.kind !== 'commit') {
    if (transaction.isFailureReported) return replies.fault('malformed', 'the transaction has failed; roll it back');
    transaction.isFailureReported = true;
    return replies.fault('aborted', 'the transaction was rolled back; retry it');
  }
  session.transaction = Option.none;
  return command.kind === 'rollback' ? replies.done() : replies.fault('aborted', 'the transaction had failed and was rolled back');
}

/** Submits a statement to be run on a member; `prepared` is given only for the execution of a prepared statement. */
async function submit(
  parts: CommandParts,
  session: Session,
  query: Query,
  command: Command,
  prepared?: PreparedStatement,
): Promise<StatementReply> {
  const { transaction } = session;
  const admission = Option.isSome(transaction) ? undefined : admissions.admit(parts.view(), session.database, session.key);
  if (admission?.admitted === false) return replies.fault(admission.condition, noAccess);
  const { database, tenant } = admission ?? (transaction as Option.Some<Transaction>).value;
  if (Option.isSome(transaction)) transaction.value.busy = true;
  const request: StatementRequest = {
    session,
    identifier: query.identifier,
    text: query.text,
    transaction,
    database,
    tenant,
    prepared:
      command.kind === 'execute' && prepared !== undefined
        ? Option.some({ statement: prepared, parameters: command.parameters })
        : Option.none,
    writes: command.kind === 'write' || prepared?.writes === true,
    commits: command.kind === 'commit',
    fillsCache: false,
  };
  const reply = await parts.requests.submit(request);
  parts.cachedReplies.recordRead(request, reply);
  if (Option.isSome(transaction)) {
    transaction.value.busy = false;
    if (reply.completion.kind === 'fault') transaction.value.isFailureReported = true;
    transaction.value.idleSince = parts.clock.now();
    if (command.kind === 'commit') session.transaction = Option.none;
  }
  return reply;
}

function execute(parts: CommandParts, session: Session, query: Query, command: Extract<Command, { kind: 'execute' }>): MaybePromisedReply {
  const prepared = session.prepared.get(command.name);
  if (prepared !== undefined) return submit(parts, session, query, command, prepared);
  failTransaction(parts, session);
  return replies.fault('undefined', unknownStatement);
}

function runCommand(parts: CommandParts, session: Session, query: Query, command: Command): MaybePromisedReply {
  switch (command.kind) {
    case 'set':
      session.values.set(command.name, command.value);
      return replies.done();
    case 'prepare':
      session.prepared.set(command.name, { writes: command.writes, text: command.statement });
      return replies.done();
    case 'forget':
      return session.prepared.delete(command.name) ? replies.done() : replies.fault('undefined', unknownStatement);
    case 'begin':
      return begin(parts, session, command.readOnly);
    case 'rollback':
      return rollback(parts, session);
    case 'commit':
      return Option.isNone(session.transaction) ? replies.fault('malformed', noTransaction) : submit(parts, session, query, command);
    case 'execute':
      return execute(parts, session, query, command);
    default:
      return submit(parts, session, query, command);
  }
}

/** Executes one query of a session; a session's queries are executed one at a time. */
function handle(parts: CommandParts, session: Session, query: Query): MaybePromisedReply {
  if (Option.isNone(query.command)) {
    failTransaction(parts, session);
    return replies.fault('malformed', 'the statement cannot be parsed');
  }
  const command = query.command.value;
  const { transaction } = session;
  if (Option.isSome(transaction) && transaction.value.failed) return handleFailed(session, transaction.value, command);
  return runCommand(parts, session, query, command);
}

export const sessionCommands = { handle } as const;
