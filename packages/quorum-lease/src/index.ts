// The fence: a term of 2 s from the send time of echoed beats, peers counted only at the same epoch (design 7.3).
import { identifiers, kernel as kernels, type Instant } from '@stallstall/kernel';
import { quorum } from '@stallstall/quorum';

export const termMilliseconds = 2_000;
/** What the winner waits beyond a whole term; the inequality is design 7.4. */
export const marginMilliseconds = 500;

/**
 * A span that another process measured, as this one may count on it: shorter by more than any two clocks drift apart (design 7.4).
 */
export function withClockDrift(milliseconds: number): number {
  return milliseconds * 0.95;
}

export type Echo = Readonly<{ sentAt: Instant; epochs: Readonly<Record<string, number>> }>;

export type QuorumLease = Readonly<{
  heard: (peer: string, echo: Echo) => void;
  forget: (peer: string) => void;
  /**
   * When this node's term for a service at an epoch ends; in the past when a majority does not agree. Who is no voter
   * counts for nothing itself: an edge's lease is granted by cores alone (design 7.12).
   */
  until: (service: string, epoch: number, peers: readonly string[], total: number, ownCounts: boolean, voter?: boolean) => Instant;
  /** How many peers, this node among them, answered a beat within the last term, at whatever epoch. */
  reachable: (now: Instant, peers: readonly string[]) => number;
}>;

function create(): QuorumLease {
  const echoes = new Map<string, Echo>();

  function heard(peer: string, echo: Echo): void {
    const last = echoes.get(peer);
    if (last === undefined || last.sentAt < echo.sentAt) echoes.set(peer, echo);
  }

  function until(service: string, epoch: number, peers: readonly string[], total: number, ownCounts: boolean, voter = true): Instant {
    if (epoch === 0 || !ownCounts) return identifiers.instant(Number.NEGATIVE_INFINITY);
    const moments: number[] = [];
    for (const peer of peers) {
      const echo = echoes.get(peer);
      if (echo !== undefined && echo.epochs[service] === epoch) moments.push(echo.sentAt);
    }
    return identifiers.after(identifiers.instant(quorum.reachedByMajority(moments, total, voter)), termMilliseconds);
  }

  function reachable(now: Instant, peers: readonly string[]): number {
    return 1 + peers.filter((peer) => (echoes.get(peer)?.sentAt ?? Number.NEGATIVE_INFINITY) + termMilliseconds > now).length;
  }

  return {
    heard,
    until,
    reachable,
    forget: function forget(peer) {
      echoes.delete(peer);
    },
  };
}

export const quorumLeaseService = kernels.serviceName<QuorumLease>('fence');

export const quorumLease = { create } as const;
