/** Services that the modules of an election share, and look-ups that several of them need. */
import * as Option from 'fp-ts/lib/Option.js';
import type { Runtime } from '@stallstall/kernel';
import { placements, type MemberPlacement, type ServicePlacement } from '@stallstall/placement';
import type { DurableReports, Register } from '@stallstall/register';
import type { ElectionContext } from './election-context.js';
import type { Liveness } from './liveness.js';
import type { ServiceEpochs } from './service-epochs.js';

/** @internal */
export type ElectionServices = Readonly<{
  runtime: Runtime;
  context: ElectionContext;
  register: Register;
  durableReports: DurableReports;
  liveness: Liveness;
  epochs: ServiceEpochs;
}>;

/** The placement of a service; undefined when the applied configuration does not contain it. */
export function placementOf(context: ElectionContext, service: string): ServicePlacement | undefined {
  const placement = context.placement();
  return Option.isSome(placement) ? placements.findService(placement.value, service) : undefined;
}

/** The last elected primary, if it is still a member of the service. */
export function primaryOf(context: ElectionContext, service: ServicePlacement): MemberPlacement | undefined {
  const elected = context.electedPrimary(service.service);
  return Option.isSome(elected) ? service.members.find((member) => member.member === elected.value.primary) : undefined;
}

/** The primary, if this node considers it alive and the applied configuration does not mark it as draining. */
export function livePrimaryOf({ context, liveness }: ElectionServices, service: ServicePlacement): MemberPlacement | undefined {
  const primary = primaryOf(context, service);
  return primary !== undefined && primary.state === 'serving' && liveness.isAlive(primary.member) ? primary : undefined;
}
