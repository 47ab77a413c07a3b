/** Which commands may be sent to a member again after their reply was lost (design 8.5, 8.14). */
import type { RetrySafety } from '@stallstall/kernel';
import type { Command } from './dialect.js';

/** Commands in a transaction are never retried individually: the connection is reset and the client retries the whole transaction. */
export const repeatableCommands: Readonly<Record<Command['kind'], RetrySafety>> = {
  begin: 'idempotent',
  commit: 'never',
  rollback: 'idempotent',
  read: 'idempotent',
  write: 'never',
  set: 'idempotent',
  prepare: 'idempotent',
  // Whether it writes depends on the prepared statement.
  execute: 'never',
  forget: 'idempotent',
};
