/** This edge's share of each member's connections: it shrinks at once and grows only into what others have left free (design 8.3). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Clock, Instant } from '@stallstall/kernel';
import type { Node } from '@stallstall/node';
import { placements, type ServicePlacement } from '@stallstall/placement';
import { quorum } from '@stallstall/quorum';
import { leaseMarginMilliseconds, leaseTermMilliseconds } from '@stallstall/quorum-lease';

/** @internal */
export type ConnectionCaps = Readonly<{
  /** The proxy holds so many connections to any one member, by service. */
  recordOpen: (open: Readonly<Record<string, number>>) => void;
  /** The membership or the configuration has changed: shares grow only once every node knows of it. */
  onLayoutChanged: () => void;
  /** What the other nodes are told: the most connections that this edge holds or may hold. */
  reported: () => Readonly<Record<string, number>>;
  /** What the proxy may hold. */
  allowed: () => Readonly<Record<string, number>>;
  /** Reckons the shares anew. */
  refresh: () => void;
}>;

/** A layout that has stood so long is known to every node whose leases still run. */
const layoutPropagationMilliseconds = leaseTermMilliseconds + leaseMarginMilliseconds;

/** @param node - looked up at each call: caps are asked for before the node is complete */
function create(clock: Clock, node: () => Node): ConnectionCaps {
  const caps = new Map<string, number>();
  let open: Readonly<Record<string, number>> = {};
  let layoutChangedAt: Instant = clock.now();

  function reported(): Readonly<Record<string, number>> {
    const services = new Set([...caps.keys(), ...Object.keys(open)]);
    return Object.fromEntries([...services].map((service) => [service, Math.max(caps.get(service) ?? 0, open[service] ?? 0)]));
  }

  /** What the other edges hold or may hold; one that has reported nothing yet counts with a whole share. */
  function claimedByOthers(service: string, share: number): number {
    return node()
      .connectionCapsOfOthers()
      .reduce((sum, claimed) => sum + (Option.isSome(claimed) ? (claimed.value[service] ?? 0) : share), 0);
  }

  function shareOf({ connectionLimit }: ServicePlacement): number {
    const table = node().membership().value;
    const isListed = quorum.findNode(table, node().settings.node) !== undefined;
    return isListed ? placements.connectionShare(connectionLimit, table.seats.length, quorum.nodesWithRole(table, 'edge').length) : 0;
  }

  function mayGrow(): boolean {
    const now = clock.now();
    return now - layoutChangedAt >= layoutPropagationMilliseconds && node().configurationLeaseUntil() > now;
  }

  function refreshService(placement: ServicePlacement): void {
    const { service, connectionLimit } = placement;
    const share = shareOf(placement);
    // What a proxy holds already, its agent's predecessor had reported to the others: a restarted agent takes it over.
    const current = Math.max(caps.get(service) ?? 0, Math.min(share, open[service] ?? 0));
    caps.set(service, Math.min(share, current));
    if (share <= current || !mayGrow()) return;
    const free = connectionLimit - node().membership().value.seats.length - claimedByOthers(service, share);
    caps.set(service, Math.max(current, Math.min(share, free)));
  }

  function refresh(): void {
    const configuration = node().configuration();
    if (Option.isNone(configuration)) return;
    for (const service of configuration.value.value.sheet.services) refreshService(service);
  }

  return {
    recordOpen: function recordOpen(counts) {
      open = counts;
    },
    onLayoutChanged: function onLayoutChanged() {
      layoutChangedAt = clock.now();
      refresh();
    },
    reported,
    allowed: () => Object.fromEntries(caps),
    refresh,
  };
}

/** @internal */
export const connectionCaps = { create } as const;
