/** Majority arithmetic and operations on the membership table (design 4). */
import type { Membership, NodeRole, NodeRecord } from '@stallstall/message';

/** The smallest group size out of `total` for which any two groups overlap. */
function majority(total: number): number {
  return Math.floor(total / 2) + 1;
}

/**
 * The latest moment that a majority of `total` processes has reached. With `includesSelf`, this process is one of them and counts as having
 * reached every moment. Lease terms are computed with this, because a term starts when the heartbeat that a majority echoed was sent.
 */
function latestReachedByMajority(moments: readonly number[], total: number, includesSelf: boolean): number {
  const needed = majority(total) - (includesSelf ? 1 : 0);
  if (needed <= 0) return Number.POSITIVE_INFINITY;
  const sorted = [...moments].sort((left, right) => right - left);
  return sorted[needed - 1] ?? Number.NEGATIVE_INFINITY;
}

/** The table's entry for a node; undefined when the node is not listed. */
function findNode(membership: Membership, node: string): NodeRecord | undefined {
  return membership.seats.find((entry) => entry.node === node);
}

/** The entries of all nodes with this role. */
function nodesWithRole(membership: Membership, role: NodeRole): readonly NodeRecord[] {
  return membership.seats.filter((entry) => entry.role === role);
}

/** Adds an entry, or replaces the existing entry of the same node. */
function putNode(membership: Membership, added: NodeRecord): Membership {
  const others = membership.seats.filter((entry) => entry.node !== added.node);
  return { ...membership, seats: [...others, added].sort(compareNodeNames) };
}

function removeNode(membership: Membership, node: string): Membership {
  return {
    ...membership,
    seats: membership.seats.filter((entry) => entry.node !== node),
  };
}

function compareNodeNames(left: NodeRecord, right: NodeRecord): number {
  return left.node < right.node ? -1 : 1;
}

const emptyMembership: Membership = { seats: [], epochs: {} };

export const quorum = { majority, latestReachedByMajority, findNode, nodesWithRole, putNode, removeNode, emptyMembership } as const;
