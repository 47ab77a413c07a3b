/** A node's vote in the election of a primary, and the store that keeps votes across restarts (design 7.2). */
import type * as Either from 'fp-ts/lib/Either.js';
import type * as Option from 'fp-ts/lib/Option.js';
import type { Fault } from '@stallstall/kernel';

export type Vote = Readonly<{ epoch: number; candidate: string; proposer: string }>;

/** A core stores its votes on its own disk, an edge in the register. */
export type VoteStore = Readonly<{
  /** The vote with the highest epoch for a service; none if this node has not voted. */
  load: (service: string) => Promise<Either.Either<Fault, Option.Option<Vote>>>;
  /** Resolves to true once the vote is durable, and to false when a vote for the same or a later epoch is already stored. */
  record: (service: string, vote: Vote) => Promise<boolean>;
}>;
