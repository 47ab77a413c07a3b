/** The state that a member reports in its heartbeats and in reply to a STATE request (design 7.1). */
import type * as Either from 'fp-ts/lib/Either.js';
import { Type, type Static } from '@sinclair/typebox';
import type { Fault, Instant } from '@stallstall/kernel';

export const MemberStateSchema = Type.Object({
  member: Type.String({ minLength: 1, maxLength: 200 }),
  role: Type.Union([Type.Literal('primary'), Type.Literal('replica')]),
  epoch: Type.Integer({ minimum: 0 }),
  /** Positions in the member's log: the last one received, and the last one applied. */
  received: Type.Integer({ minimum: 0 }),
  applied: Type.Integer({ minimum: 0 }),
  /** The term that the member counts itself, where members do so independently of this product's epochs. */
  term: Type.Optional(Type.Integer({ minimum: 0 })),
});
export type MemberState = Readonly<Static<typeof MemberStateSchema>>;

/** A member's state. `sentAt` is when the request was sent, also for a caller that joined a request already in progress. */
export type ProbedState = Readonly<{ sentAt: Instant; state: MemberState }>;

/** Reads the state of members that do not implement this product's own HTTP API. */
export type MemberProbe = Readonly<{
  /**
   * Requests a member's STATE. Errors: `not-listening` when the member's machine refuses the connection, `departed` when another member
   * answers at the address, and the errors of the connection.
   */
  readState: (service: string, member: string, address: string, timeoutMilliseconds: number) => Promise<Either.Either<Fault, MemberState>>;
  /** Opens the connection if it is not open, and sends no request: a request costs the member work, an idle connection does not. */
  ensureConnection: (service: string, member: string, address: string, timeoutMilliseconds: number) => Promise<Either.Either<Fault, null>>;
}>;
