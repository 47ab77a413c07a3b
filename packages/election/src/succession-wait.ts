/** What the winner of an election waits for before it promotes its candidate (design 7.4, 7.5, 7.12). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Instant } from '@stallstall/kernel';
import type { ServicePlacement } from '@stallstall/placement';
import { leaseMarginMilliseconds, leaseTermMilliseconds } from '@stallstall/quorum-lease';
import { candidates, type Candidate } from './candidates.js';
import { durableWatermark } from './durable-watermark.js';
import { primaryOf, type ElectionServices } from './election-services.js';
import type { Majority } from './vote-collection.js';

const catchUpTimeoutMilliseconds = 5_000;
const releasePollMilliseconds = 10;
const catchUpPollMilliseconds = 20;
/** Where members speak this product's own HTTP, each poll asks all of them. */
const httpCatchUpPollMilliseconds = 100;

/** Waits until no node can act on an older epoch any more: every lease has run out, or every edge that holds one has released it. */
async function waitForLeases(services: ElectionServices, service: string, epoch: number, majority: Majority): Promise<void> {
  const { runtime, context } = services;
  const expiresAt: Instant = identifiers.after(majority.at, leaseTermMilliseconds + leaseMarginMilliseconds);
  const mayBeReleased = Option.isSome(context.platformCalls);

  function isReleased(): boolean {
    if (!mayBeReleased || Option.isNone(majority.leaseHolders)) return false;
    return context.hasReleased(service, epoch, majority.leaseHolders.value);
  }

  while (runtime.clock.now() < expiresAt && !isReleased()) {
    const left = expiresAt - runtime.clock.now();
    await runtime.clock.sleep(mayBeReleased ? Math.min(releasePollMilliseconds, left) : left);
  }
}

/** Where replicas are synchronous, whoever holds most of what was received when all were asked holds all that was acknowledged. */
function holdsMost(
  services: ElectionServices,
  service: ServicePlacement,
  members: readonly Candidate[],
  candidate: Candidate | undefined,
): boolean {
  if (Option.isNone(services.context.platformCalls) || service.synchronousReplicas === 0) return true;
  const furthest = candidates.mostReceived(members);
  if (furthest === undefined) return true;
  return (
    candidates.coverAllCommits(services, service, members) &&
    candidate !== undefined &&
    candidate.state.epoch === furthest.state.epoch &&
    candidate.state.received >= furthest.state.received
  );
}

/** Whether the candidate holds everything that may have been acknowledged under the older epoch. */
async function isCaughtUp(services: ElectionServices, service: ServicePlacement, chosen: Candidate, before?: string): Promise<boolean> {
  const [members, watermark] = await Promise.all([
    candidates.readStates(services, service),
    durableWatermark.read(services, service.service),
  ]);
  const candidate = members.find((one) => one.member.member === chosen.member.member);
  if (candidate === undefined || Option.isNone(watermark)) return false;
  if (!holdsMost(services, service, members, candidate)) return false;
  const formerPrimary = members.find((one) => one.member.member === before && one.state.epoch === chosen.state.epoch);
  const target = formerPrimary === undefined || formerPrimary === candidate ? 0 : formerPrimary.state.received;
  return durableWatermark.isHeldBy(candidate.state, watermark.value) && candidate.state.received >= target;
}

/**
 * Waits for the leases of older epochs, then until the candidate has caught up. Resolves to false when it did not in time, or when a later
 * epoch has overtaken this one.
 */
async function wait(
  services: ElectionServices,
  service: ServicePlacement,
  chosen: Candidate,
  epoch: number,
  majority: Majority,
): Promise<boolean> {
  const { runtime, context, epochs } = services;
  await waitForLeases(services, service.service, epoch, majority);
  const deadline = identifiers.after(runtime.clock.now(), catchUpTimeoutMilliseconds);
  const before = primaryOf(context, service)?.member;
  const poll = Option.isSome(context.platformCalls) ? catchUpPollMilliseconds : httpCatchUpPollMilliseconds;
  while (runtime.clock.now() < deadline && !epochs.isOvertaken(service.service, epoch)) {
    // Read after the wait: what any edge has acknowledged under the older epoch is on a majority of disks by now.
    if (await isCaughtUp(services, service, chosen, before)) return true;
    await runtime.clock.sleep(poll);
  }
  return false;
}

/** @internal */
export const successionWait = { wait } as const;
