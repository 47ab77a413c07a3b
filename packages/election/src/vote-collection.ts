/** The proposing half of an election: asks every node for its vote (design 7.2). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Instant } from '@stallstall/kernel';
import type { Reply, Request } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import type { ElectionServices } from './election-services.js';
import { proposals } from './proposals.js';

/** The paper's election timeout. Unit: milliseconds. */
export const electionTimeoutMilliseconds = 3_000;

/** When the majority was complete, and which edges its voters had granted leases; none if one of them cannot say. @internal */
export type Majority = Readonly<{ at: Instant; leaseHolders: Option.Option<readonly string[]> }>;

type Tally = {
  accepted: number;
  outstanding: number;
  lastReason: string;
  readonly leaseHolders: Set<string>;
  /** A voter cannot say whom it granted leases. */
  isIncomplete: boolean;
};

function count(tally: Tally, reply: Option.Option<Reply<'propose'>>): void {
  tally.outstanding -= 1;
  if (Option.isNone(reply)) return;
  if (!reply.value.accepted) {
    tally.lastReason = reply.value.reason;
    return;
  }
  tally.accepted += 1;
  if (reply.value.lessees === undefined) tally.isIncomplete = true;
  for (const holder of reply.value.lessees ?? []) tally.leaseHolders.add(holder);
}

/** Resolves to the majority as soon as it is complete, or to the reason why there is none within the election timeout. */
function collect(services: ElectionServices, request: Request<'propose'>): Promise<Either.Either<string, Majority>> {
  const { runtime, context } = services;
  const nodes = context.membership().seats.map((seat) => seat.node);
  const needed = quorum.majority(nodes.length);
  const tally: Tally = { accepted: 0, outstanding: nodes.length, lastReason: 'no answer', leaseHolders: new Set(), isIncomplete: false };

  function askNode(node: string): Promise<Option.Option<Reply<'propose'>>> {
    return node === context.self ? proposals.handle(services, request).then(Option.some) : context.sendProposal(node, request);
  }

  function majority(): Majority {
    return { at: runtime.clock.now(), leaseHolders: tally.isIncomplete ? Option.none : Option.some([...tally.leaseHolders]) };
  }

  return new Promise(function collectVotes(resolve) {
    runtime.clock.startTimer(electionTimeoutMilliseconds, function timeOut() {
      resolve(Either.left(`${tally.accepted} of ${needed} ACCEPTs in time; ${tally.lastReason}`));
    });
    async function collectVote(node: string): Promise<void> {
      count(tally, await askNode(node));
      if (tally.accepted >= needed) resolve(Either.right(majority()));
      else if (tally.outstanding === 0) resolve(Either.left(`${tally.accepted} of ${needed} ACCEPTs; ${tally.lastReason}`));
    }
    for (const node of nodes) void collectVote(node);
  });
}

/** @internal */
export const voteCollection = { collect } as const;
