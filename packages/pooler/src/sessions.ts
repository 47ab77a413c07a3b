/** A client's session: its values and prepared names are its own until it ends (design 8.2, 8.10). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Instant } from '@stallstall/kernel';
import type { DatabasePlacement } from '@stallstall/placement';
import { positions, type Dialect, type Position, type TransactionStatus } from '@stallstall/session-protocol';
import type { ServerState, PooledConnection } from './connections.js';

/** A statement that a session prepared under a name of its own. */
export type PreparedStatement = Readonly<{ writes: boolean; text: string }>;

/** Where a transaction runs once its first statement has been placed: its connection, and the epoch it was placed under. */
export type PinnedConnection = Readonly<{ pooled: PooledConnection; epoch: number; leader: boolean }>;

export type Transaction = {
  readonly readOnly: boolean;
  readonly database: DatabasePlacement;
  readonly tenant: string;
  readonly startedAt: Instant;
  pinned: Option.Option<PinnedConnection>;
  /** Only its end is accepted any more. */
  failed: boolean;
  /** The client has been told that it failed. */
  isFailureReported: boolean;
  /** A statement of it is under way. */
  busy: boolean;
  /** Since when no statement of it is under way. */
  idleSince: Instant;
};

export type Session = {
  readonly id: string;
  readonly database: string;
  /** The key that the client presented. */
  readonly key: string;
  readonly values: Map<string, string>;
  readonly prepared: Map<string, PreparedStatement>;
  /** The latest commit of the session on each service. */
  readonly commits: Map<string, Position>;
  /** The outcome of a commit of it is not previous. */
  hasUnknownOutcome: boolean;
  transaction: Option.Option<Transaction>;
};

/** When a connection has more prepared statements than this, its state is cleared before it is used again. */
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

/** The transaction status that the client is told after each statement. */
function transactionStatus(session: Session): TransactionStatus {
  if (Option.isNone(session.transaction)) return 'idle';
  return session.transaction.value.failed ? 'failed' : 'open';
}

/** Notes a commit of the session, so that its later reads see it. */
function recordCommit(session: Session, service: string, position: Position): void {
  const previous = session.commits.get(service);
  session.commits.set(service, previous === undefined ? position : positions.later(previous, position));
}

function preparedKey(prepared: PreparedStatement): string {
  return `${prepared.writes ? 'w' : 'r'} ${prepared.text}`;
}

/**
 * The statements to be sent on a connection before a statement of the session, so that exactly the session's values stand there, and the
 * needed prepared statement. The connection's serverState is changed at once: should they not be carried out, the connection must not be used.
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

/** The connection's name of a prepared statement; empty when it stands there under none. */
function preparedName(serverState: ServerState, prepared: PreparedStatement): string {
  return serverState.prepared.get(preparedKey(prepared)) ?? '';
}

export const sessions = { create, transactionStatus, recordCommit, preparationStatements, preparedName } as const;
