/** A client's session, with its own session values and prepared statements (design 8.2, 8.10). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Instant } from '@stallstall/kernel';
import type { DatabasePlacement } from '@stallstall/placement';
import { positions, type Dialect, type Position, type TransactionStatus } from '@stallstall/session-protocol';
import type { ServerState, PooledConnection } from './connections.js';

/** A prepared statement of a session. */
export type PreparedStatement = Readonly<{ writes: boolean; text: string }>;

/** The connection that a transaction is pinned to from its first statement on, and the epoch it was routed under. */
export type PinnedConnection = Readonly<{ pooled: PooledConnection; epoch: number; leader: boolean }>;

export type Transaction = {
  readonly readOnly: boolean;
  readonly database: DatabasePlacement;
  readonly tenant: string;
  readonly startedAt: Instant;
  pinned: Option.Option<PinnedConnection>;
  /** Only commit and rollback are accepted. */
  failed: boolean;
  /** The failure has been reported to the client. */
  isFailureReported: boolean;
  /** A statement of the transaction is in flight. */
  busy: boolean;
  /** Since when no statement of the transaction has been in flight. */
  idleSince: Instant;
};

export type Session = {
  readonly id: string;
  readonly database: string;
  /** The key that the client presented. */
  readonly key: string;
  readonly values: Map<string, string>;
  readonly prepared: Map<string, PreparedStatement>;
  /** The log position of the session's latest commit on each service. */
  readonly commits: Map<string, Position>;
  /** The outcome of one of the session's commits is unknown. */
  hasUnknownOutcome: boolean;
  transaction: Option.Option<Transaction>;
};

/** A connection with more prepared statements than this is cleared before its next use. */
const maximumPreparedStatements = 200;

function create(id: string, database: string, key: string): Session {
  return {
    id,
    database,
    key,
    values: new Map(),
    prepared: new Map(),
    commits: new Map(),
    hasUnknownOutcome: false,
    transaction: Option.none,
  };
}

/** The transaction status that is sent to the client with each reply. */
function transactionStatus(session: Session): TransactionStatus {
  if (Option.isNone(session.transaction)) return 'idle';
  return session.transaction.value.failed ? 'failed' : 'open';
}

/** Records a commit of the session, so that its later reads see it. */
function recordCommit(session: Session, service: string, position: Position): void {
  const previous = session.commits.get(service);
  session.commits.set(service, previous === undefined ? position : positions.later(previous, position));
}

function preparedKey(prepared: PreparedStatement): string {
  return `${prepared.writes ? 'w' : 'r'} ${prepared.text}`;
}

/**
 * The statements to send on a connection before a statement of the session, so that the connection has exactly the session's values and
 * the needed prepared statement. `serverState` is updated immediately: if sending them fails, the connection must not be reused.
 */
function preparationStatements(
  dialect: Dialect,
  session: Session,
  serverState: ServerState,
  needed: Option.Option<PreparedStatement>,
): readonly string[] {
  const statements: string[] = [];
  const hasOtherValues = [...serverState.values.keys()].some((name) => !session.values.has(name));
  if (hasOtherValues || serverState.prepared.size > maximumPreparedStatements) {
    statements.push(dialect.statements.clear);
    serverState.values.clear();
    serverState.prepared.clear();
  }
  for (const [name, value] of session.values) {
    if (serverState.values.get(name) === value) continue;
    statements.push(dialect.statements.set(name, value));
    serverState.values.set(name, value);
  }
  if (Option.isSome(needed) && !serverState.prepared.has(preparedKey(needed.value))) {
    serverState.lastNameNumber += 1;
    const name = `p${serverState.lastNameNumber}`;
    statements.push(dialect.statements.prepare(name, needed.value.writes, needed.value.text));
    serverState.prepared.set(preparedKey(needed.value), name);
  }
  return statements;
}

/** The name of a prepared statement on the connection; empty when it is not prepared there. */
function preparedName(serverState: ServerState, prepared: PreparedStatement): string {
  return serverState.prepared.get(preparedKey(prepared)) ?? '';
}

export const sessions = { create, transactionStatus, recordCommit, preparationStatements, preparedName } as const;
