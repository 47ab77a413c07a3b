/** Divides the connections that a member admits among all edges that hold leases (design 8.3). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Clock, Instant } from '@stallstall/kernel';
import type { MemberAddress } from '@stallstall/session-protocol';
import type { ConnectionLimits } from './connections.js';
import type { View } from './view.js';

export type ConnectionLimiter = Readonly<{
  limitsFor: (memberAddress: MemberAddress) => ConnectionLimits;
  /** Statements per second sent by this edge, smoothed over a few seconds. */
  demand: () => number;
  /** Must be called at regular intervals with the number of statements sent since the start. */
  recordSent: (sent: number) => void;
}>;

/** Connections of each member reserved for the cores' own queries. */
const reservedConnections = 6;
/** Connections that an edge in another area may open to a replica. */
const otherAreaConnections = 2;
/** Only this share of a member's limit is used: a machine that reconnects needs room while its previous connections still count. */
const usedShare = 0.75;
/** This share of a member's connections is divided equally among the edges, the rest in proportion to demand. */
const equalShare = 0.25;
/** Weight of the newest sample in the smoothed demand. */
const demandWeight = 0.05;
/**
 * Part of its limit that an edge retains without demand. It is below 1 because members count an unreachable machine's connections for
 * some seconds more.
 */
const retainedShare = 0.7;

function sum(counts: Readonly<Record<string, number>>): number {
  return Object.values(counts).reduce((total, count) => total + count, 0);
}

/** This edge's connections out of `limit`: an equal share plus a share in proportion to its demand. */
function byDemand(limit: number, edges: number, ownDemand: number, totalDemand: number): number {
  const ownShare = totalDemand > 0 ? Math.min(1, ownDemand / totalDemand) : 1 / edges;
  return limit * (equalShare / edges + (1 - equalShare) * ownShare);
}

/** All edges share the leader; a replica is read mostly by edges of its own area and only occasionally by others. */
function shareOfMember(view: View, memberAddress: MemberAddress, limit: number, demand: number): number {
  const edges = Math.max(1, sum(view.edgesByArea));
  if (view.leaders.get(memberAddress.service)?.primary === memberAddress.member)
    return byDemand(limit, edges, demand, sum(view.demandByArea));
  const area = view.members.get(memberAddress.member)?.area ?? '';
  const areaEdges = view.edgesByArea[area] ?? 0;
  if (areaEdges === 0) return limit / edges;
  const otherAreaLimit = Math.min(otherAreaConnections, limit / edges);
  return area === view.area
    ? byDemand(limit - otherAreaLimit * (edges - areaEdges), areaEdges, demand, view.demandByArea[area] ?? 0)
    : otherAreaLimit;
}

function create(clock: Clock, view: () => View): ConnectionLimiter {
  let demand = 0;
  let lastSent = 0;
  let recordedAt: Instant = clock.now();

  function limitsFor(memberAddress: MemberAddress): ConnectionLimits {
    const current = view();
    const service = Option.isSome(current.configuration)
      ? current.configuration.value.services.find((entry) => entry.service === memberAddress.service)
      : undefined;
    const limit = Math.max(0, (service?.connectionLimit ?? 0) - reservedConnections) * usedShare;
    const share = shareOfMember(current, memberAddress, limit, demand);
    return { maximum: Math.max(1, Math.floor(share)), retained: Math.max(1, Math.ceil(share * retainedShare)) };
  }

  function recordSent(sent: number): void {
    const now = clock.now();
    const rate = ((sent - lastSent) * 1_000) / Math.max(1, now - recordedAt);
    demand += (rate - demand) * demandWeight;
    lastSent = sent;
    recordedAt = now;
  }

  return { limitsFor, demand: () => demand, recordSent };
}

export const connectionLimiters = { create } as const;
