/** Interprets the HTTP responses of members to statements. */
import * as Option from 'fp-ts/lib/Option.js';
import type { HttpReply } from '@stallstall/kernel';

/** The results of statements that a member ran, and its log position after them. */
export type MemberResult = Readonly<{ results: readonly unknown[]; position: number }>;

const maxTextLength = 300;

function bodyOf(reply: HttpReply): Readonly<Record<string, unknown>> {
  return typeof reply.body === 'object' && reply.body !== null ? (reply.body as Record<string, unknown>) : {};
}

function isPosition(value: unknown): value is number {
  return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;
}

/** Returns the result of a statement that ran; none for every other response. */
function result(reply: HttpReply): Option.Option<MemberResult> {
  const { results, position } = bodyOf(reply);
  return reply.status === 200 && Array.isArray(results) && isPosition(position) ? Option.some({ results, position }) : Option.none;
}

/**
 * Whether the member itself rejected the request: status 409 or 503 with a message and a position. Only then is it certain that nothing was
 * applied (design 8.2).
 */
function isRejection(reply: HttpReply): boolean {
  const { message, position } = bodyOf(reply);
  return (reply.status === 409 || reply.status === 503) && typeof message === 'string' && isPosition(position);
}

/** The message of a rejection. */
function text(reply: HttpReply): string {
  return String(bodyOf(reply)['message']).slice(0, maxTextLength);
}

export const memberReplies = { result, isRejection, text } as const;
