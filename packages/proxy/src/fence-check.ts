/** The check of control term and fence that every request passes: two comparisons of local state (design 7.3). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Fault, Instant } from '@stallstall/kernel';
import { requestFaults } from './request-faults.js';
import type { PlacementSnapshot } from './statement-request.js';

/** Returns a fault if the control term has ended, so that this edge must not act on its configuration. */
function controlFault(placement: PlacementSnapshot, now: Instant): Option.Option<Fault> {
  return placement.controlTermEnd <= now ? Option.some(requestFaults.staleConfiguration()) : Option.none;
}

/** As `controlFault`; for requests to a leader, also checks that this edge holds a valid fence for the epoch. */
function fault(placement: PlacementSnapshot, now: Instant, service: string, epoch: number, isLeader: boolean): Option.Option<Fault> {
  const stale = controlFault(placement, now);
  if (Option.isSome(stale) || !isLeader) return stale;
  const fence = placement.fences.get(service);
  return fence === undefined || fence.epoch !== epoch || fence.until <= now ? Option.some(requestFaults.fenced(service)) : Option.none;
}

export const fenceChecks = { controlFault, fault } as const;
