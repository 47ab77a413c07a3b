/** How open transactions end on their members, other than by a commit. */
import * as Option from 'fp-ts/lib/Option.js';
import type { Dialect } from '@stallstall/session-protocol';
import type { Connections } from './connections.js';
import type { Transaction } from './sessions.js';

const rollbackMilliseconds = 1_000;

/** Breaks off the transaction's connection, so that its member rolls it back. Only its end is accepted from the client after this. */
function abandon(connections: Connections, transaction: Transaction): void {
  transaction.failed = true;
  if (Option.isNone(transaction.pinned)) return;
  const { pooled } = transaction.pinned.value;
  transaction.pinned = Option.none;
  connections.release(pooled, false);
}

/** Abandons a transaction unless a statement of it is under way. */
function abandonIdle(connections: Connections, transaction: Transaction): void {
  if (!transaction.busy) abandon(connections, transaction);
}

/** Rolls the transaction back on its member, so that its connection can be used again. One whose statement is under way is only marked. */
async function rollback(connections: Connections, dialect: Dialect, transaction: Transaction): Promise<void> {
  transaction.failed = true;
  if (Option.isNone(transaction.pinned) || transaction.busy) return;
  const { pooled } = transaction.pinned.value;
  transaction.pinned = Option.none;
  const ran = await pooled.connection.run([dialect.query(dialect.internalIdentifier, dialect.statements.rollback)], rollbackMilliseconds);
  connections.release(pooled, ran.isComplete && ran.replies[0]?.transactionStatus === 'idle');
}

export const transactions = { abandon, abandonIdle, rollback } as const;
