/** Replies that the pooler generates itself. */
import * as Option from 'fp-ts/lib/Option.js';
import type { Condition, StatementReply } from '@stallstall/session-protocol';

/** The reply to a statement that the pooler executed itself, such as setting a session value. */
function done(): StatementReply {
  return { rows: [], completion: { kind: 'done', stamp: '-' }, transactionStatus: 'idle', position: Option.none };
}

/** The reply to a statement that failed; `text` is a message for humans. */
function fault(condition: Condition, text: string): StatementReply {
  return { rows: [], completion: { kind: 'fault', condition, text }, transactionStatus: 'idle', position: Option.none };
}

/** The message of a rejection that the client may retry after the given delay. */
function retryAfter(milliseconds: number): string {
  return `not run; retry in ${milliseconds} ms`;
}

export const replies = { done, fault, retryAfter } as const;
