/** A lease that a majority of peers grants by echoing a node's heartbeats at the same epoch (design 7.3). */
import { identifiers, runtimeUtilities, type Instant } from '@stallstall/kernel';
import { quorum } from '@stallstall/quorum';
import { leaseTermMilliseconds } from './lease-timing.js';

/** A peer's reply to a heartbeat: `sentAt` is when this node sent the heartbeat, `epochs` is the peer's epoch for each service. */
export type HeartbeatEcho = Readonly<{ sentAt: Instant; epochs: Readonly<Record<string, number>> }>;

/** Which service and epoch a lease is for, and which peers grant it. */
export type LeaseQuery = Readonly<{
  service: string;
  epoch: number;
  /** The other voters. */
  peers: readonly string[];
  /** The number of voters, including this node if it votes. */
  voterCount: number;
  /** Whether this node is itself a voter. An edge is not: only cores grant its lease (design 7.12). @default true */
  isVoter?: boolean;
}>;

export type QuorumLease = Readonly<{
  /** Records a peer's echo, unless an echo of a later heartbeat is already recorded. */
  recordEcho: (peer: string, echo: HeartbeatEcho) => void;
  forget: (peer: string) => void;
  /** When the lease expires; a moment in the past when no majority agrees on the epoch. */
  validUntil: (query: LeaseQuery) => Instant;
  /** How many nodes, including this one, have echoed a heartbeat within the last lease term, at any epoch. */
  reachableCount: (now: Instant, peers: readonly string[]) => number;
}>;

type Echoes = Map<string, HeartbeatEcho>;

function recordEcho(echoes: Echoes, peer: string, echo: HeartbeatEcho): void {
  const latest = echoes.get(peer);
  if (latest === undefined || latest.sentAt < echo.sentAt) echoes.set(peer, echo);
}

function validUntil(echoes: Echoes, { service, epoch, peers, voterCount, isVoter = true }: LeaseQuery): Instant {
  if (epoch === 0) return identifiers.instant(Number.NEGATIVE_INFINITY);
  const sentTimes: number[] = [];
  for (const peer of peers) {
    const echo = echoes.get(peer);
    if (echo !== undefined && echo.epochs[service] === epoch) sentTimes.push(echo.sentAt);
  }
  const grantedAt = identifiers.instant(quorum.latestReachedByMajority(sentTimes, voterCount, isVoter));
  return identifiers.after(grantedAt, leaseTermMilliseconds);
}

function reachableCount(echoes: Echoes, now: Instant, peers: readonly string[]): number {
  const reachable = peers.filter((peer) => (echoes.get(peer)?.sentAt ?? Number.NEGATIVE_INFINITY) + leaseTermMilliseconds > now);
  return 1 + reachable.length;
}

function create(): QuorumLease {
  const echoes: Echoes = new Map();
  return {
    recordEcho: (peer, echo) => recordEcho(echoes, peer, echo),
    forget: (peer) => void echoes.delete(peer),
    validUntil: (query) => validUntil(echoes, query),
    reachableCount: (now, peers) => reachableCount(echoes, now, peers),
  };
}

/** The name under which the other services of a process look up its lease. */
export const quorumLeaseService = runtimeUtilities.serviceName<QuorumLease>('quorum-lease');

export const quorumLease = { create } as const;
