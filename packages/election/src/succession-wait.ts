/** The conditions that the winner of an election waits for before it promotes its candidate (design 7.4, 7.5, 7.12). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Instant } from '@stallstall/kernel';
import type { ServicePlacement } from '@stallstall/placement';
import { leaseMarginMilliseconds, leaseTermMilliseconds } from '@stallstall/quorum-lease';
import { candidates, type Candidate } from './candidates.js';
import { commitCoverage } from './commit-coverage.js';
import { durableWatermark } from './durable-watermark.js';
import { primaryOf, type ElectionServices } from './election-services.js';
import type { Electorate } from './replica-set.js';
import type { Majority } from './vote-collection.js';

const catchUpTimeoutMilliseconds = 5_000;
const releasePollMilliseconds = 10;
const catchUpPollMilliseconds = 20;
/** Longer where members implement this product's own HTTP API, since each poll sends a request to every member. */
const httpCatchUpPollMilliseconds = 100;

/** Waits until no node can act on an older epoch any more: every lease has expired, or every edge that holds one has released it. */
async function waitForLeases(services: ElectionServices, service: string, epoch: number, majority: Majority): Promise<void> {
  const { runtime, context } = services;
  const expiresAt: Instant = identifiers.after(majority.reachedAt, leaseTermMilliseconds + leaseMarginMilliseconds);
  const canBeReleased = Option.isSome(context.platformCalls);

  function isReleased(): boolean {
    if (!canBeReleased || Option.isNone(majority.leaseHolders)) return false;
    return context.hasReleased(service, epoch, majority.leaseHolders.value);
  }

  while (runtime.clock.now() < expiresAt && !isReleased()) {
    const remaining = expiresAt - runtime.clock.now();
    await runtime.clock.sleep(canBeReleased ? Math.min(releasePollMilliseconds, remaining) : remaining);
  }
}

/** Whether the candidate has every commit that may have been acknowledged under the older epoch. */
async function isCaughtUp(
  services: ElectionServices,
  service: ServicePlacement,
  { chosen, electorate, formerPrimaryId }: Readonly<{ chosen: Candidate; electorate: Electorate; formerPrimaryId: string | undefined }>,
): Promise<boolean> {
  const [members, watermark] = await Promise.all([
    candidates.readStates(services, service.service, electorate),
    durableWatermark.read(services, service.service),
  ]);
  const candidate = members.find((member) => member.placement.member === chosen.placement.member);
  if (candidate === undefined || Option.isNone(watermark)) return false;
  if (!commitCoverage.hasLongestLog(electorate, members, candidate)) return false;
  const formerPrimary = members.find((member) => member.placement.member === formerPrimaryId && member.state.epoch === chosen.state.epoch);
  const requiredPosition = formerPrimary === undefined || formerPrimary === candidate ? 0 : formerPrimary.state.received;
  return durableWatermark.isReachedBy(candidate.state, watermark.value) && candidate.state.received >= requiredPosition;
}

/**
 * Waits until the leases of older epochs are over, then until the candidate has caught up. Resolves to false when it did not catch up within
 * the time limit, or when the epoch was superseded by a later one.
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
  const formerPrimaryId = primaryOf(context, service)?.member;
  const pollMilliseconds = Option.isSome(context.platformCalls) ? catchUpPollMilliseconds : httpCatchUpPollMilliseconds;
  // Read only now: nothing is acknowledged under the older epoch any more once the leases are over.
  let electorate: Option.Option<Electorate> = Option.none;
  while (runtime.clock.now() < deadline && !epochs.isSuperseded(service.service, epoch)) {
    if (Option.isNone(electorate)) electorate = await commitCoverage.readElectorate(services, service);
    // Each time anew: everything that an edge acknowledged under the older epoch is on a majority of core disks by now.
    if (Option.isSome(electorate) && (await isCaughtUp(services, service, { chosen, electorate: electorate.value, formerPrimaryId })))
      return true;
    await runtime.clock.sleep(pollMilliseconds);
  }
  return false;
}

/** @internal */
export const successionWait = { wait } as const;
