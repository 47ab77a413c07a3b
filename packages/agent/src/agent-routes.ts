/** HTTP routes for an agent's metrics and health, in the same format as those of cores (design 9.5). */
import * as Option from 'fp-ts/lib/Option.js';
import type { HttpReply, HttpRoute } from '@stallstall/kernel';
import { quorum } from '@stallstall/quorum';
import { leaseTermMilliseconds } from '@stallstall/quorum-lease';
import { proxySilenceMilliseconds, type AgentContext } from './agent-context.js';
import { clampToLeaseTerm } from './proxy-feed.js';

/** `sound` is false if an operator should act. */
type HealthCheck = Readonly<{ check: string; sound: boolean; detail: string; remedy: string }>;

/** Services for which this edge holds no lease. */
function servicesWithoutLease({ runtime, node }: AgentContext): readonly string[] {
  const configuration = node.configuration();
  const services = Option.isSome(configuration) ? configuration.value.value.sheet.services.map((entry) => entry.service) : [];
  return services.filter((service) => node.serviceLeaseUntil(service) <= runtime.clock.now());
}

/** How many nodes sent a heartbeat within a lease term, including this one. */
function countReachableNodes({ runtime, node }: AgentContext): number {
  const reachable = node.membership().value.seats.filter(function isReachable(record) {
    const at = node.lastHeartbeatAt(record.node);
    return Option.isSome(at) && runtime.clock.now() - at.value < leaseTermMilliseconds;
  });
  return 1 + reachable.length;
}

async function metrics(context: AgentContext): Promise<HttpReply> {
  const { runtime, node, proxyMetrics } = context;
  const configuration = node.configuration();
  return {
    status: 200,
    body: {
      nodes: node.membership().value.seats.length,
      heard: countReachableNodes(context),
      configuration: Option.isSome(configuration) ? configuration.value.version : 0,
      membership: node.membership().version,
      controlTermMilliseconds: Math.round(clampToLeaseTerm(node.configurationLeaseUntil() - runtime.clock.now())),
      fencedServices: servicesWithoutLease(context).length,
      ...Object.fromEntries(Object.entries(proxyMetrics).map(([name, count]) => [`proxy.${name}`, count])),
    },
  };
}

function checkControl({ runtime, node }: AgentContext): HealthCheck {
  const sound = node.configurationLeaseUntil() > runtime.clock.now();
  return {
    check: 'control',
    sound,
    detail: sound ? 'a majority of cores confirms this edge' : 'no majority of cores has confirmed this edge within the lease term',
    remedy: 'check whether this machine can reach the cores',
  };
}

function checkNodes(context: AgentContext): HealthCheck {
  const total = context.node.membership().value.seats.length;
  const reachable = countReachableNodes(context);
  return {
    check: 'nodes',
    sound: reachable >= quorum.majority(total),
    detail: `${reachable} of ${total} nodes reachable`,
    remedy: 'check whether this machine can reach the other nodes',
  };
}

function checkLeases(context: AgentContext): HealthCheck {
  const missing = servicesWithoutLease(context);
  return {
    check: 'fence',
    sound: missing.length === 0,
    detail: missing.length === 0 ? 'a lease is held for every service' : `no lease for ${missing.join(' ')}`,
    remedy: 'see stallstall elections',
  };
}

function checkProxy({ runtime, proxyRequestedAt: proxyAskedAt }: AgentContext): HealthCheck {
  const sound = proxyAskedAt !== undefined && runtime.clock.now() - proxyAskedAt < proxySilenceMilliseconds;
  return {
    check: 'proxy',
    sound,
    detail: sound ? 'the proxy is connected' : 'the proxy sends no requests',
    remedy: 'start the proxy of this edge, with the feed address of this agent',
  };
}

/** 503 when one of the checks fails. */
async function health(context: AgentContext): Promise<HttpReply> {
  const checks = [checkControl(context), checkNodes(context), checkLeases(context), checkProxy(context)];
  const isHealthy = checks.every((check) => check.sound);
  return { status: isHealthy ? 200 : 503, body: { node: context.settings.node, checks } };
}

function create(context: AgentContext): readonly HttpRoute[] {
  return [
    { method: 'GET', path: '/v1/metrics', handle: () => metrics(context) },
    { method: 'GET', path: '/v1/liveness', handle: () => health(context) },
  ];
}

/** @internal */
export const agentRoutes = { create } as const;
