/** Majority arithmetic and the membership table (design 4). */
import type { Membership, NodeRole, Seat } from '@stallstall/message';

/** The least number of `total` that any two of are bound to share one. */
function majority(total: number): number {
  return Math.floor(total / 2) + 1;
}

/**
 * The latest moment that a majority of `total` has reached. `own`: this process is one of them and has reached every moment. Terms are
 * reckoned by this, since a term runs from the send time of what a majority echoed.
 */
function latestReachedByMajority(moments: readonly number[], total: number, own: boolean): number {
  const needed = majority(total) - (own ? 1 : 0);
  if (needed <= 0) return Number.POSITIVE_INFINITY;
  const sorted = [...moments].sort((left, right) => right - left);
  return sorted[needed - 1] ?? Number.NEGATIVE_INFINITY;
}

/** The node's entry; undefined when it is no member. */
function findNode(membership: Membership, node: string): Seat | undefined {
  return membership.seats.find((candidate) => candidate.node === node);
}

/** The entries of a role. */
function nodesWithRole(membership: Membership, role: NodeRole): readonly Seat[] {
  return membership.seats.filter((candidate) => candidate.role === role);
}

/** Adds an entry, or replaces the one of the same node. */
function putNode(membership: Membership, added: Seat): Membership {
  const others = membership.seats.filter((candidate) => candidate.node !== added.node);
  return { ...membership, seats: [...others, added].sort(byName) };
}

/** Takes a node out. */
function removeNode(membership: Membership, node: string): Membership {
  return {
    ...membership,
    seats: membership.seats.filter((candidate) => candidate.node !== node),
  };
}

function byName(left: Seat, right: Seat): number {
  return left.node < right.node ? -1 : 1;
}

const emptyMembership: Membership = { seats: [], epochs: {} };

export const quorum = { majority, latestReachedByMajority, findNode, nodesWithRole, putNode, removeNode, emptyMembership } as const;
