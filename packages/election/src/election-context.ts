/** What an election needs of the node it runs in. */
import type * as Option from 'fp-ts/lib/Option.js';
import type { ElectedPrimary, Membership, Reply, Request } from '@stallstall/message';
import type { PlacementConfiguration } from '@stallstall/placement';
import type { PlatformCalls } from './platform-calls.js';

export type ElectionContext = Readonly<{
  /** This node's id. */
  self: string;
  /** None: members are told epochs over this product's own HTTP, and edges vote. */
  platformCalls: Option.Option<PlatformCalls>;
  /**
   * Edges that this node granted a lease within a term and its margin; none while one that an earlier process of this node granted may
   * still run.
   */
  leaseHolders: () => Option.Option<readonly string[]>;
  /** Whether these edges have reported that nothing of theirs is in flight below an epoch (design 7.12). */
  hasReleased: (service: string, epoch: number, leaseHolders: readonly string[]) => boolean;
  /** Called once this node has voted for a later epoch. */
  onEpochRaised: () => void;
  membership: () => Membership;
  membershipVersion: () => number;
  /** The placement configuration that is applied here. */
  placement: () => Option.Option<PlacementConfiguration>;
  electedPrimary: (service: string) => Option.Option<ElectedPrimary>;
  /** The platform's address; asked at each call, since settings may change. */
  platformAddress: () => string;
  /** Asks another node for its vote; none when it does not reply. */
  sendProposal: (node: string, request: Request<'propose'>) => Promise<Option.Option<Reply<'propose'>>>;
}>;
