/** The local check of terms and epochs on the ordinary path: two comparisons (design 7.3). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Fault, Instant } from '@stallstall/kernel';
import { requestFaults } from './request-faults.js';
import type { PlacementSnapshot } from './statement-request.js';

/** Whether this edge may act on its configuration now. */
function controlFault(known: PlacementSnapshot, now: Instant): Option.Option<Fault> {
  return known.controlTermEnd <= now ? Option.some(requestFaults.staleConfiguration()) : Option.none;
}

/** As `controlFault`, and for a leader whether the epoch's fence holds now. */
function fault(known: PlacementSnapshot, now: Instant, service: string, epoch: number, leader: boolean): Option.Option<Fault> {
  const stale = controlFault(known, now);
  if (Option.isSome(stale) || !leader) return stale;
  const fence = known.fences.get(service);
  return fence === undefined || fence.epoch !== epoch || fence.until <= now ? Option.some(requestFaults.fenced(service)) : Option.none;
}

export const fenceChecks = { controlFault, fault } as const;
