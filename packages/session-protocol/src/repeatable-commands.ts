/** Which of a session's statements may be asked of a member again once a reply was lost (design 8.5, 8.14). */
import type { RetrySafety } from '@stallstall/kernel';
import type { Command } from './dialect.js';

/** Within a transaction nothing is asked again by itself: its connection is broken off and the whole is begun anew by its sender. */
export const repeatableCommands: Readonly<Record<Command['kind'], RetrySafety>> = {
  begin: 'idempotent',
  commit: 'never',
  rollback: 'idempotent',
  read: 'idempotent',
  write: 'never',
  set: 'idempotent',
  prepare: 'idempotent',
  // One that writes is a write: which of the two it is, its shape says.
  execute: 'never',
  forget: 'idempotent',
};
