/** What a member's HTTP response says of a statement. */
import * as Option from 'fp-ts/lib/Option.js';
import type { HttpReply } from '@stallstall/kernel';

/** The results of statements that a member ran, and its log position after them. */
export type MemberResult = Readonly<{ results: readonly unknown[]; position: number }>;

const longestText = 300;

function bodyOf(reply: HttpReply): Readonly<Record<string, unknown>> {
  return typeof reply.body === 'object' && reply.body !== null ? (reply.body as Record<string, unknown>) : {};
}

function isPosition(value: unknown): value is number {
  return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;
}

/** None when the response is not one of a statement that ran, whatever its status. */
function result(reply: HttpReply): Option.Option<MemberResult> {
  const { results, position } = bodyOf(reply);
  return reply.status === 200 && Array.isArray(results) && isPosition(position) ? Option.some({ results, position }) : Option.none;
}

/** A member's own rejection is 409 or 503 with a text and its position: then nothing was kept (design 8.2). Whatever else came is not certain. */
function isRejection(reply: HttpReply): boolean {
  const { message, position } = bodyOf(reply);
  return (reply.status === 409 || reply.status === 503) && typeof message === 'string' && isPosition(position);
}

/** The text of a rejection. */
function text(reply: HttpReply): string {
  return String(bodyOf(reply)['message']).slice(0, longestText);
}

export const memberReplies = { result, isRejection, text } as const;
