/** Aborts and rolls back open transactions. */
import * as Option from 'fp-ts/lib/Option.js';
import type { Dialect } from '@stallstall/session-protocol';
import type { Connections } from './connections.js';
import type { Transaction } from './sessions.js';

const rollbackTimeoutMilliseconds = 1_000;

/** Aborts the transaction by resetting its connection, so that the member rolls it back. The client may then only commit or roll back. */
function abandon(connections: Connections, transaction: Transaction): void {
  transaction.failed = true;
  if (Option.isNone(transaction.pinned)) return;
  const { pooled } = transaction.pinned.value;
  transaction.pinned = Option.none;
  connections.release(pooled, false);
}

/** Aborts the transaction unless one of its statements is in flight. */
function abandonIdle(connections: Connections, transaction: Transaction): void {
  if (!transaction.busy) abandon(connections, transaction);
}

/**
 * Aborts a transaction that is no longer allowed. A statement that is in flight gets its true reply, and the transaction is aborted after it,
 * unless that statement was its commit.
 */
function revoke(connections: Connections, transaction: Transaction): void {
  transaction.failed = true;
  abandonIdle(connections, transaction);
}

/**
 * Rolls the transaction back on its member, so that its connection can be reused. If a statement is in flight, it is only marked as
 * failed.
 */
async function rollback(connections: Connections, dialect: Dialect, transaction: Transaction): Promise<void> {
  transaction.failed = true;
  if (Option.isNone(transaction.pinned) || transaction.busy) return;
  const { pooled } = transaction.pinned.value;
  transaction.pinned = Option.none;
  const ran = await pooled.connection.run(
    [dialect.query(dialect.internalIdentifier, dialect.statements.rollback)],
    rollbackTimeoutMilliseconds,
  );
  connections.release(pooled, ran.isComplete && ran.replies[0]?.transactionStatus === 'idle');
}

export const transactions = { abandon, abandonIdle, revoke, rollback } as const;
