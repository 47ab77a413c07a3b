/** Replies that the pooler gives itself, without a member. */
import * as Option from 'fp-ts/lib/Option.js';
import type { Condition, StatementReply } from '@stallstall/session-protocol';

/** The statement was carried out by the pooler alone, such as a session setting. */
function done(): StatementReply {
  return { rows: [], completion: { kind: 'done', stamp: '-' }, transactionStatus: 'idle', position: Option.none };
}

/** The statement failed with this condition; the text is for people. */
function fault(condition: Condition, text: string): StatementReply {
  return { rows: [], completion: { kind: 'fault', condition, text }, transactionStatus: 'idle', position: Option.none };
}

/** The text of a rejection that the client may retry after so many milliseconds. */
function retryAfter(milliseconds: number): string {
  return `not run; come back in ${milliseconds} ms`;
}

export const replies = { done, fault, retryAfter } as const;
