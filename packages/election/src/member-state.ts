/** What a member says of itself when it is asked for its STATE (design 7.1). */
import type * as Either from 'fp-ts/lib/Either.js';
import { Type, type Static } from '@sinclair/typebox';
import type { Fault, Instant } from '@stallstall/kernel';

export const MemberStateSchema = Type.Object({
  member: Type.String({ minLength: 1, maxLength: 200 }),
  role: Type.Union([Type.Literal('primary'), Type.Literal('replica')]),
  epoch: Type.Integer({ minimum: 0 }),
  /** Positions of the member's log: received, and applied. */
  received: Type.Integer({ minimum: 0 }),
  applied: Type.Integer({ minimum: 0 }),
  /** The member's own term, where members count terms beside the epochs of this fleet. */
  term: Type.Optional(Type.Integer({ minimum: 0 })),
});
export type MemberState = Readonly<Static<typeof MemberStateSchema>>;

/** A member's state. `sentAt` is when the question left, also for a caller that joined a question already under way. */
export type ProbedState = Readonly<{ sentAt: Instant; state: MemberState }>;

/** How members are reached where they do not speak this product's own HTTP. */
export type MemberProbe = Readonly<{
  /** Asks a member for its STATE. Errors: `not-listening` when its machine refuses the connection, and those of the connection. */
  readState: (service: string, member: string, address: string, milliseconds: number) => Promise<Either.Either<Fault, MemberState>>;
  /** Sees that the connection is open without asking anything: a probe has its price, an open connection has none. */
  ensureConnection: (service: string, member: string, address: string, milliseconds: number) => Promise<Either.Either<Fault, null>>;
}>;
