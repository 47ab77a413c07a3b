/** The agent's replies to its proxy: the configuration, leases, members and connection shares (design 3.4). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Reply, Request, ServiceFeed } from '@stallstall/message';
import type { ServicePlacement } from '@stallstall/placement';
import { quorum } from '@stallstall/quorum';
import { leaseTermMilliseconds } from '@stallstall/quorum-lease';
import type { AgentContext } from './agent-context.js';

/** Limits the remaining time of a lease to 0 up to the term, since JSON has no infinity. Unit: milliseconds. @internal */
export function clampToLeaseTerm(left: number): number {
  return Math.max(0, Math.min(left, leaseTermMilliseconds));
}

function serviceFeed({ runtime, node, freshness }: AgentContext, { service, members }: ServicePlacement): ServiceFeed {
  const elected = node.electedPrimary(service);
  const epoch = Option.isSome(elected) ? elected.value.epoch : 0;
  return {
    service,
    epoch,
    primary: Option.isSome(elected) ? elected.value.primary : '',
    fence: clampToLeaseTerm(node.serviceLeaseUntil(service) - runtime.clock.now()),
    targets: members.map((member) => freshness.targetOf(service, epoch, member.member)),
  };
}

/** Records the proxy's report and replies with the configuration and state that it is to apply. */
function reply(context: AgentContext, request: Request<'feed'>): Reply<'feed'> {
  const { runtime, settings, node, caps } = context;
  caps.recordOpen(request.open);
  context.proxyMetrics = request.metrics;
  context.proxyRequestedAt = runtime.clock.now();
  caps.refresh();
  const configuration = node.configuration();
  const placement = Option.isSome(configuration) ? configuration.value.value.sheet : undefined;
  const version = Option.isSome(configuration) ? configuration.value.version : 0;
  const record = quorum.findNode(node.membership().value, settings.node);
  return {
    configuration: placement !== undefined && version !== request.configuration ? { version, sheet: placement } : null,
    configurationVersion: version,
    term: clampToLeaseTerm(node.configurationLeaseUntil() - runtime.clock.now()),
    services: (placement?.services ?? []).map((service) => serviceFeed(context, service)),
    shares: { ...caps.allowed() },
    draining: record?.draining ?? false,
    area: settings.area,
    node: settings.node,
  };
}

/** @internal */
export const proxyFeed = { reply } as const;
