/** This edge's share of each member's connections: it shrinks at once and grows only into what other edges leave free (design 8.3). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Clock, Instant } from '@stallstall/kernel';
import type { Node } from '@stallstall/node';
import { placements, type ServicePlacement } from '@stallstall/placement';
import { quorum } from '@stallstall/quorum';
import { leaseMarginMilliseconds, leaseTermMilliseconds } from '@stallstall/quorum-lease';

/** @internal */
export type ConnectionCaps = Readonly<{
  /** Records, by service, the most connections that the proxy has open to any one member. */
  recordOpen: (open: Readonly<Record<string, number>>) => void;
  /** Called when the membership or the configuration changes: shares grow only after every node has applied the change. */
  onLayoutChanged: () => void;
  /** Reported to other nodes, by service: the most connections to any one member that this edge has or may open. */
  reported: () => Readonly<Record<string, number>>;
  /** By service: the connections that the proxy may have to any one member. */
  allowed: () => Readonly<Record<string, number>>;
  /** Recalculates the shares. */
  refresh: () => void;
}>;

/** After this time without a change, every node with an unexpired lease has applied the layout. */
const layoutPropagationMilliseconds = leaseTermMilliseconds + leaseMarginMilliseconds;

/** @param node - a getter, since caps are requested before the node is fully constructed */
function create(clock: Clock, node: () => Node): ConnectionCaps {
  const caps = new Map<string, number>();
  let open: Readonly<Record<string, number>> = {};
  let layoutChangedAt: Instant = clock.now();

  function reported(): Readonly<Record<string, number>> {
    const services = new Set([...caps.keys(), ...Object.keys(open)]);
    return Object.fromEntries([...services].map((service) => [service, Math.max(caps.get(service) ?? 0, open[service] ?? 0)]));
  }

  /** The connections that the other edges have or may open; an edge that has not reported yet counts with a full share. */
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
    // Connections the proxy already has were reported by this agent's previous process, so a restarted agent keeps them in its share.
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
