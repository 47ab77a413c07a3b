/** The voting half of an election: whether this node accepts a proposed primary (design 7.2). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Reply, Request } from '@stallstall/message';
import { livePrimaryOf, placementOf, type ElectionServices } from './election-services.js';

/** Why this node votes against a proposal; none if it votes for it. */
function rejectionOf(services: ElectionServices, request: Request<'propose'>): Option.Option<string> {
  const { context, epochs } = services;
  const service = placementOf(context, request.service);
  if (service === undefined) return Option.some('no such service in the sheet obeyed here');
  if (!epochs.stateOf(request.service).loaded) return Option.some('own vote not yet read back');
  if (request.membership !== context.membershipVersion()) return Option.some('another version of the membership table is obeyed here');
  if (request.epoch <= epochs.electedEpoch(request.service)) return Option.some('that epoch is settled');
  if (request.epoch <= epochs.votedEpoch(request.service)) return Option.some('voted as high already');
  const candidate = service.members.find((member) => member.member === request.candidate);
  if (candidate === undefined || candidate.state !== 'serving') return Option.some('the candidate is not serving');
  const primary = livePrimaryOf(services, service);
  if (primary !== undefined && primary.member !== request.candidate) return Option.some('the primary is alive');
  return Option.none;
}

/** Votes on a proposal. The reply leaves only once the vote is durable. */
async function handle(services: ElectionServices, request: Request<'propose'>): Promise<Reply<'propose'>> {
  const { context, epochs } = services;
  await epochs.load(request.service);
  const rejection = rejectionOf(services, request);
  if (Option.isSome(rejection)) {
    return { accepted: false, reason: rejection.value, epoch: epochs.currentEpoch(request.service) };
  }
  const isRecorded = await epochs.vote(request.service, { epoch: request.epoch, candidate: request.candidate, proposer: request.node });
  const leaseHolders = context.leaseHolders();
  // A vote that became durable as the set of cores changed is of no set: the barrier was asked for without it (design 4.8).
  const isSameSet = Option.isNone(context.platformCalls) || request.membership === context.membershipVersion();
  const accepted = isRecorded && isSameSet;
  return {
    accepted,
    reason: accepted ? 'accepted' : 'the vote did not become durable',
    epoch: request.epoch,
    ...(Option.isSome(leaseHolders) ? { lessees: [...leaseHolders.value] } : {}),
  };
}

/** @internal */
export const proposals = { handle } as const;
