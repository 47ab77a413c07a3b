/** Chooses the member to propose as primary: the one with the longest log, provided that it has all acknowledged commits (design 7.5). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { DurableWatermark } from '@stallstall/message';
import type { MemberPlacement, ServicePlacement } from '@stallstall/placement';
import { durableWatermark } from './durable-watermark.js';
import { livePrimaryOf, type ElectionServices } from './election-services.js';
import type { MemberState } from './member-state.js';

/** A member that replied to STATE. @internal */
export type Candidate = Readonly<{ placement: MemberPlacement; state: MemberState }>;

const probeTimeoutMilliseconds = 800;

/**
 * Sorts the member with the longest log first. Of members with equal logs the primary comes first, since it need not be promoted, then the
 * lowest id.
 */
function byMostReceived(left: Candidate, right: Candidate): number {
  if (left.state.epoch !== right.state.epoch) return right.state.epoch - left.state.epoch;
  if (left.state.received !== right.state.received) return right.state.received - left.state.received;
  if (left.state.role !== right.state.role) return left.state.role === 'primary' ? -1 : 1;
  return left.placement.member < right.placement.member ? -1 : 1;
}

/** The members of a service that reply to STATE within the time limit of a probe. */
async function readStates({ liveness }: ElectionServices, service: ServicePlacement): Promise<readonly Candidate[]> {
  const replies = await Promise.all(
    service.members.map(async function readState(member): Promise<readonly Candidate[]> {
      const probed = await liveness.probe(member.member, member.address, probeTimeoutMilliseconds, service.service);
      return Either.isRight(probed) ? [{ placement: member, state: probed.right.state }] : [];
    }),
  );
  return replies.flat();
}

/** The eligible member with the longest log; none if no member is eligible. While the primary is alive, only it is eligible. */
function choose(
  services: ElectionServices,
  service: ServicePlacement,
  candidates: readonly Candidate[],
  watermark: DurableWatermark,
): Option.Option<Candidate> {
  const { context, epochs } = services;
  const primary = livePrimaryOf(services, service);
  const electedEpoch = epochs.electedEpoch(service.service);
  const eligible = candidates.filter(
    ({ placement, state }) =>
      placement.state === 'serving' &&
      (primary === undefined || placement.member === primary.member) &&
      (Option.isSome(context.platformCalls) || state.epoch >= electedEpoch) &&
      durableWatermark.isReachedBy(state, watermark),
  );
  return Option.fromNullable(mostReceived(eligible));
}

function mostReceived(candidates: readonly Candidate[]): Candidate | undefined {
  return [...candidates].sort(byMostReceived)[0];
}

/**
 * Whether every acknowledged commit is on at least one of these members. An acknowledged commit is on the primary and on S synchronous
 * replicas, S being set in the configuration. Of N members, any N - S therefore include one that has it (design 7.5).
 */
function coverAllCommits({ context }: ElectionServices, service: ServicePlacement, candidates: readonly Candidate[]): boolean {
  if (Option.isNone(context.platformCalls) || service.synchronousReplicas === 0) return true;
  return candidates.length >= service.members.length - service.synchronousReplicas;
}

/** @internal */
export const candidates = { probeTimeoutMilliseconds, readStates, choose, mostReceived, coverAllCommits } as const;
