/** What an election needs from the node that it runs in. */
import type * as Option from 'fp-ts/lib/Option.js';
import type { ElectedPrimary, Membership, Reply, Request } from '@stallstall/message';
import type { PlacementConfiguration } from '@stallstall/placement';
import type { PlatformCalls } from './platform-calls.js';

export type ElectionContext = Readonly<{
  /** The id of this node. */
  self: string;
  /** Requests in the platform's own format. None: members learn epochs over this product's own HTTP API, and edges vote too. */
  platformCalls: Option.Option<PlatformCalls>;
  /**
   * Edges to which this node granted a lease that may still be valid (granted within the last term and margin). None while a lease that an
   * earlier process of this node granted may still be valid.
   */
  leaseHolders: () => Option.Option<readonly string[]>;
  /** Whether all these edges have reported that they have nothing in flight below an epoch (design 7.12). */
  hasReleased: (service: string, epoch: number, leaseHolders: readonly string[]) => boolean;
  /** Whether a member has announced its departure, which is final, to this core. */
  hasAnnouncedDeparture: (member: string) => boolean;
  /** Called each time this node votes, which raises its epoch. */
  onEpochRaised: () => void;
  membership: () => Membership;
  membershipVersion: () => number;
  /** The placement configuration that this node has applied. */
  placement: () => Option.Option<PlacementConfiguration>;
  electedPrimary: (service: string) => Option.Option<ElectedPrimary>;
  /** The platform's address; read before each call, since settings may change at run time. */
  platformAddress: () => string;
  /** Sends a proposal to another node and resolves to its vote; none when it does not reply. */
  sendProposal: (node: string, request: Request<'propose'>) => Promise<Option.Option<Reply<'propose'>>>;
}>;
