/** Which member is proposed as primary: the one that holds most, and never less than what was acknowledged (design 7.5). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { DurableWatermark } from '@stallstall/message';
import type { MemberPlacement, ServicePlacement } from '@stallstall/placement';
import { durableWatermark } from './durable-watermark.js';
import { livePrimaryOf, type ElectionServices } from './election-services.js';
import type { MemberState } from './member-state.js';

/** A member that gave its STATE. @internal */
export type Candidate = Readonly<{ member: MemberPlacement; state: MemberState }>;

const probeMilliseconds = 800;

/** Sorts the member that holds most first; of equals the primary, which need not be promoted, then the lowest id. */
function byMostReceived(left: Candidate, right: Candidate): number {
  if (left.state.epoch !== right.state.epoch) return right.state.epoch - left.state.epoch;
  if (left.state.received !== right.state.received) return right.state.received - left.state.received;
  if (left.state.role !== right.state.role) return left.state.role === 'primary' ? -1 : 1;
  return left.member.member < right.member.member ? -1 : 1;
}

/** The members that reply within the time of a probe. */
async function readStates({ liveness }: ElectionServices, service: ServicePlacement): Promise<readonly Candidate[]> {
  const replies = await Promise.all(
    service.members.map(async function readState(member): Promise<readonly Candidate[]> {
      const probed = await liveness.probe(member.member, member.address, probeMilliseconds, service.service);
      return Either.isRight(probed) ? [{ member, state: probed.right.state }] : [];
    }),
  );
  return replies.flat();
}

/** The best of the eligible members; none if there is none. A live primary is the only one eligible. */
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
    ({ member, state }) =>
      member.state === 'serving' &&
      (primary === undefined || member.member === primary.member) &&
      (Option.isSome(context.platformCalls) || state.epoch >= electedEpoch) &&
      durableWatermark.isHeldBy(state, watermark),
  );
  return Option.fromNullable(mostReceived(eligible));
}

function mostReceived(candidates: readonly Candidate[]): Candidate | undefined {
  return [...candidates].sort(byMostReceived)[0];
}

/**
 * Whether every acknowledged commit is on one of these members at least. A commit is on its primary and on as many replicas as the
 * configuration says, so of N members any N less that many hold it (design 7.5).
 */
function coverAllCommits({ context }: ElectionServices, service: ServicePlacement, candidates: readonly Candidate[]): boolean {
  if (Option.isNone(context.platformCalls) || service.synchronousReplicas === 0) return true;
  return candidates.length >= service.members.length - service.synchronousReplicas;
}

/** @internal */
export const candidates = { probeMilliseconds, readStates, choose, mostReceived, coverAllCommits } as const;
