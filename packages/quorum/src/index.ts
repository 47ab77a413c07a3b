// Majority arithmetic and the membership table (design 4).
import type { Membership, NodeRole, Seat } from '@stallstall/message';

/** N/2+1 of the paper. */
function majority(total: number): number {
  return Math.floor(total / 2) + 1;
}

/**
 * The highest moment that a majority of `total` has reached, when one member always counts: used by every term, since a
 * term runs from the send time of what a majority echoed.
 */
function reachedByMajority(moments: readonly number[], total: number, own: boolean): number {
  const needed = majority(total) - (own ? 1 : 0);
  if (needed <= 0) return Number.POSITIVE_INFINITY;
  const sorted = [...moments].sort(function newestFirst(left, right) {
    return right - left;
  });
  return sorted[needed - 1] ?? Number.NEGATIVE_INFINITY;
}

function seat(membership: Membership, node: string): Seat | undefined {
  return membership.seats.find(function same(candidate) {
    return candidate.node === node;
  });
}

function withRole(membership: Membership, role: NodeRole): readonly Seat[] {
  return membership.seats.filter(function has(candidate) {
    return candidate.role === role;
  });
}

function put(membership: Membership, added: Seat): Membership {
  const others = membership.seats.filter(function differs(candidate) {
    return candidate.node !== added.node;
  });
  return { ...membership, seats: [...others, added].sort(byName) };
}

function remove(membership: Membership, node: string): Membership {
  return {
    ...membership,
    seats: membership.seats.filter(function differs(candidate) {
      return candidate.node !== node;
    }),
  };
}

function byName(left: Seat, right: Seat): number {
  return left.node < right.node ? -1 : 1;
}

const empty: Membership = { seats: [], epochs: {} };

export const quorum = { majority, reachedByMajority, seat, withRole, put, remove, empty } as const;
