/** This edge's part of the connections that a member admits, of all edges that hold leases (design 8.3). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Clock, Instant } from '@stallstall/kernel';
import type { MemberAddress } from '@stallstall/session-protocol';
import type { Share } from './connections.js';
import type { View } from './view.js';

export type ConnectionShare = Readonly<{
  share: (place: MemberAddress) => Share;
  /** Statements a second that are asked of this edge, smoothed over some seconds. */
  demand: () => number;
  /** To be called at even intervals with the number of statements sent since the start. */
  noteSent: (sent: number) => void;
}>;

/** Connections of each member kept free for the cores' own queries. */
const reservedConnections = 6;
/** Connections that an edge of another area may hold to a replica. */
const farConnections = 2;
/** Only this part of a member's limit is used, so that machines that come back find room beside the connections they had. */
const usedShare = 0.75;
/** This part of a member's connections is shared equally, the rest by demand. */
const equalPart = 0.25;
/** Weight of the newest sample in the smoothed demand. */
const demandWeight = 0.05;
/** Part of its share that an edge keeps without demand: members count the connections of an unreachable machine for some seconds more. */
const keptShare = 0.7;

function sum(counts: Readonly<Record<string, number>>): number {
  return Object.values(counts).reduce((total, count) => total + count, 0);
}

/** A part of a whole for each edge equally, the rest by this edge's part of the demand. */
function byDemand(limit: number, edges: number, ownDemand: number, totalDemand: number): number {
  const own = totalDemand > 0 ? Math.min(1, ownDemand / totalDemand) : 1 / edges;
  return limit * (equalPart / edges + (1 - equalPart) * own);
}

/** All edges need the leader; a replica is read in its own area, and from elsewhere only now and then. */
function shareOf(view: View, place: MemberAddress, limit: number, demand: number): number {
  const edges = Math.max(1, sum(view.edges));
  if (view.leaders.get(place.service)?.primary === place.member) return byDemand(limit, edges, demand, sum(view.demand));
  const area = view.members.get(place.member)?.area ?? '';
  const near = view.edges[area] ?? 0;
  if (near === 0) return limit / edges;
  const far = Math.min(farConnections, limit / edges);
  return area === view.area ? byDemand(limit - far * (edges - near), near, demand, view.demand[area] ?? 0) : far;
}

function create(clock: Clock, view: () => View): ConnectionShare {
  let demand = 0;
  let sentBefore = 0;
  let notedAt: Instant = clock.now();

  function share(place: MemberAddress): Share {
    const known = view();
    const service = Option.isSome(known.sheet) ? known.sheet.value.services.find((one) => one.service === place.service) : undefined;
    const limit = Math.max(0, (service?.connectionLimit ?? 0) - reservedConnections) * usedShare;
    const whole = shareOf(known, place, limit, demand);
    return { most: Math.max(1, Math.floor(whole)), kept: Math.max(1, Math.ceil(whole * keptShare)) };
  }

  function noteSent(sent: number): void {
    const now = clock.now();
    const rate = ((sent - sentBefore) * 1_000) / Math.max(1, now - notedAt);
    demand += (rate - demand) * demandWeight;
    sentBefore = sent;
    notedAt = now;
  }

  return { share, demand: () => demand, noteSent };
}

export const connectionShares = { create } as const;
