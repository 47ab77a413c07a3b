/** Chooses the member to propose as primary: the one with the longest log, provided that it has all acknowledged commits (design 7.5). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { DurableWatermark } from '@stallstall/message';
import type { MemberPlacement, ServicePlacement } from '@stallstall/placement';
import { durableWatermark } from './durable-watermark.js';
import { commitCoverage } from './commit-coverage.js';
import { livePrimaryOf, type ElectionServices } from './election-services.js';
import type { MemberState } from './member-state.js';
import { replicaSets, type Electorate } from './replica-set.js';

/** A member that replied to STATE. @internal */
export type Candidate = Readonly<{ placement: MemberPlacement; state: MemberState }>;

const probeTimeoutMilliseconds = 800;

/**
 * Sorts the member with the longest log first. Of members with equal logs the primary comes first, since it need not be promoted, then the
 * lowest id.
 */
function byMostReceived(left: Candidate, right: Candidate): number {
  const order = replicaSets.compareLogs(right.state, left.state);
  if (order !== 0) return order;
  if (left.state.role !== right.state.role) return left.state.role === 'primary' ? -1 : 1;
  return left.placement.member < right.placement.member ? -1 : 1;
}

/** Those of the members that reply to STATE within the time limit of a probe. */
async function readStates(
  { liveness }: ElectionServices,
  service: string,
  { members }: Pick<Electorate, 'members'>,
): Promise<readonly Candidate[]> {
  const replies = await Promise.all(
    members.map(async function readState(member): Promise<readonly Candidate[]> {
      const probed = await liveness.probe(member.member, member.address, probeTimeoutMilliseconds, service);
      return Either.isRight(probed) ? [{ placement: member, state: probed.right.state }] : [];
    }),
  );
  return replies.flat();
}

/** What a candidate is chosen from: the members to ask, their replies, and the watermark of acknowledged commits. @internal */
export type CandidateChoice = Readonly<{ electorate: Electorate; replies: readonly Candidate[]; watermark: DurableWatermark }>;

/** Whether a member may be primary, apart from whether it is draining. While the primary is alive, only the primary may. */
function isEligible(
  services: ElectionServices,
  service: ServicePlacement,
  { placement, state }: Candidate,
  watermark: DurableWatermark,
): boolean {
  const { context, epochs } = services;
  const primary = livePrimaryOf(services, service);
  return (
    service.members.some(({ member }) => member === placement.member) &&
    (primary === undefined || placement.member === primary.member) &&
    (Option.isSome(context.platformCalls) || state.epoch >= epochs.electedEpoch(service.service)) &&
    durableWatermark.isReachedBy(state, watermark)
  );
}

/**
 * The eligible member with the longest log; none if no member is eligible. A draining member is chosen only if no primary replies and no
 * other member has its commits: it hands them over as primary before it ends.
 */
function choose(
  services: ElectionServices,
  service: ServicePlacement,
  { electorate, replies, watermark }: CandidateChoice,
): Option.Option<Candidate> {
  const eligible = replies.filter((reply) => isEligible(services, service, reply, watermark));
  const serving = mostReceived(eligible.filter(({ placement }) => placement.state === 'serving'));
  const hasPrimary = replies.some(({ state }) => state.role === 'primary');
  if (hasPrimary || commitCoverage.hasLongestLog(electorate, replies, serving)) return Option.fromNullable(serving);
  const furthest = mostReceived(eligible);
  return Option.fromNullable(commitCoverage.hasLongestLog(electorate, replies, furthest) ? furthest : serving);
}

function mostReceived(candidates: readonly Candidate[]): Candidate | undefined {
  return [...candidates].sort(byMostReceived)[0];
}

/** @internal */
export const candidates = { probeTimeoutMilliseconds, readStates, choose } as const;
