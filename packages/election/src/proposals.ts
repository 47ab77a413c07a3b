/** The voting side of an election: whether this node accepts a proposed primary (design 7.2). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Reply, Request } from '@stallstall/message';
import type { MemberPlacement, ServicePlacement } from '@stallstall/placement';
import { livePrimaryOf, placementOf, type ElectionServices } from './election-services.js';

/** A draining member may be primary only where commits wait for replicas: it may then have the only copy of one (design 7.15). */
function mayBePrimary({ context }: ElectionServices, service: ServicePlacement, candidate: MemberPlacement): boolean {
  return candidate.state === 'serving' || (Option.isSome(context.platformCalls) && service.synchronousReplicas > 0);
}

/** Why this node rejects a proposal; none if it accepts it. */
function rejectionReason(services: ElectionServices, request: Request<'propose'>): Option.Option<string> {
  const { context, epochs } = services;
  const service = placementOf(context, request.service);
  if (service === undefined) return Option.some('the placement configuration applied here does not contain the service');
  if (!epochs.stateOf(request.service).isVoteLoaded) return Option.some('this node has not loaded its own vote yet');
  if (request.membership !== context.membershipVersion())
    return Option.some('this node has applied another version of the membership table');
  if (request.epoch <= epochs.electedEpoch(request.service)) return Option.some('a primary was already elected at this or a later epoch');
  if (request.epoch <= epochs.votedEpoch(request.service)) return Option.some('this node already voted for this or a later epoch');
  const candidate = service.members.find((member) => member.member === request.candidate);
  if (candidate === undefined || !mayBePrimary(services, service, candidate)) return Option.some('the candidate is not serving');
  const primary = livePrimaryOf(services, service);
  if (primary !== undefined && primary.member !== request.candidate) return Option.some('the primary is alive');
  return Option.none;
}

/** Votes on a proposal. The reply is sent only once the vote is durable. */
async function handle(services: ElectionServices, request: Request<'propose'>): Promise<Reply<'propose'>> {
  const { context, epochs } = services;
  await epochs.load(request.service);
  const rejection = rejectionReason(services, request);
  if (Option.isSome(rejection)) {
    return { accepted: false, reason: rejection.value, epoch: epochs.currentEpoch(request.service) };
  }
  const isDurable = await epochs.vote(request.service, { epoch: request.epoch, candidate: request.candidate, proposer: request.node });
  const leaseHolders = context.leaseHolders();
  // A vote that became durable while the set of cores changed counts in neither set: the epochs that the new set excludes were collected
  // without it (design 4.8).
  const isSameMembership = Option.isNone(context.platformCalls) || request.membership === context.membershipVersion();
  const accepted = isDurable && isSameMembership;
  return {
    accepted,
    reason: accepted ? 'accepted' : 'the vote did not become durable',
    epoch: request.epoch,
    ...(Option.isSome(leaseHolders) ? { lessees: [...leaseHolders.value] } : {}),
  };
}

/** @internal */
export const proposals = { handle } as const;
