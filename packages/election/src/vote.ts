/** A node's vote in the election of a primary, and where votes survive a restart (design 7.2). */
import type * as Either from 'fp-ts/lib/Either.js';
import type * as Option from 'fp-ts/lib/Option.js';
import type { Fault } from '@stallstall/kernel';

export type Vote = Readonly<{ epoch: number; candidate: string; proposer: string }>;

/** A core keeps votes on its own disk, an edge in the register. */
export type VoteStore = Readonly<{
  /** The vote of the highest epoch for a service; none if there was none. */
  load: (service: string) => Promise<Either.Either<Fault, Option.Option<Vote>>>;
  /** Resolves to true once the vote is durable, to false when a vote for the same or a later epoch was there before it. */
  record: (service: string, vote: Vote) => Promise<boolean>;
}>;
