/** The proposing side of an election: requests a vote from every node and counts the replies (design 7.2). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Instant } from '@stallstall/kernel';
import type { Reply, Request } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import type { ElectionServices } from './election-services.js';
import { proposals } from './proposals.js';

/** The election timeout of the paper that the election follows. Unit: milliseconds. */
export const electionTimeoutMilliseconds = 3_000;

/** When the majority was reached, and the edges to which its voters had granted leases; none if a voter does not know them. @internal */
export type Majority = Readonly<{ reachedAt: Instant; leaseHolders: Option.Option<readonly string[]> }>;

type Tally = {
  acceptedCount: number;
  outstandingCount: number;
  lastRejection: string;
  readonly leaseHolders: Set<string>;
  /** Set when a voter does not know to whom it granted leases. */
  hasUnknownLeaseHolders: boolean;
};

function countReply(tally: Tally, reply: Option.Option<Reply<'propose'>>): void {
  tally.outstandingCount -= 1;
  if (Option.isNone(reply)) return;
  if (!reply.value.accepted) {
    tally.lastRejection = reply.value.reason;
    return;
  }
  tally.acceptedCount += 1;
  if (reply.value.lessees === undefined) tally.hasUnknownLeaseHolders = true;
  for (const leaseHolder of reply.value.lessees ?? []) tally.leaseHolders.add(leaseHolder);
}

/** Resolves to the majority as soon as it is reached, or to the reason why it was not reached within the election timeout. */
function collect(services: ElectionServices, request: Request<'propose'>): Promise<Either.Either<string, Majority>> {
  const { runtime, context } = services;
  const nodes = context.membership().seats.map((seat) => seat.node);
  const needed = quorum.majority(nodes.length);
  const tally: Tally = {
    acceptedCount: 0,
    outstandingCount: nodes.length,
    lastRejection: 'none',
    leaseHolders: new Set(),
    hasUnknownLeaseHolders: false,
  };

  function requestVote(node: string): Promise<Option.Option<Reply<'propose'>>> {
    return node === context.self ? proposals.handle(services, request).then(Option.some) : context.sendProposal(node, request);
  }

  function majority(): Majority {
    return {
      reachedAt: runtime.clock.now(),
      leaseHolders: tally.hasUnknownLeaseHolders ? Option.none : Option.some([...tally.leaseHolders]),
    };
  }

  return new Promise(function collectVotes(resolve) {
    runtime.clock.startTimer(electionTimeoutMilliseconds, function timeOut() {
      resolve(Either.left(`${tally.acceptedCount} of ${needed} required votes before the timeout; last rejection: ${tally.lastRejection}`));
    });
    async function collectVote(node: string): Promise<void> {
      countReply(tally, await requestVote(node));
      if (tally.acceptedCount >= needed) resolve(Either.right(majority()));
      else if (tally.outstandingCount === 0)
        resolve(Either.left(`${tally.acceptedCount} of ${needed} required votes; last rejection: ${tally.lastRejection}`));
    }
    for (const node of nodes) void collectVote(node);
  });
}

/** @internal */
export const voteCollection = { collect } as const;
