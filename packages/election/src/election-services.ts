/** What the modules of an election share. */
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

/** The placement of a service; undefined when the applied configuration does not name it. */
export function placementOf(context: ElectionContext, service: string): ServicePlacement | undefined {
  const placement = context.placement();
  return Option.isSome(placement) ? placements.findService(placement.value, service) : undefined;
}

/** The member that was elected last, if the service still has it. */
export function primaryOf(context: ElectionContext, service: ServicePlacement): MemberPlacement | undefined {
  const elected = context.electedPrimary(service.service);
  return Option.isSome(elected) ? service.members.find((member) => member.member === elected.value.primary) : undefined;
}

/** The primary, when this node sees it alive and no configuration takes it out of service. */
export function livePrimaryOf({ context, liveness }: ElectionServices, service: ServicePlacement): MemberPlacement | undefined {
  const primary = primaryOf(context, service);
  return primary !== undefined && primary.state === 'serving' && liveness.isAlive(primary.member) ? primary : undefined;
}
