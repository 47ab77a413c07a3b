/** A lease that a majority of peers grants by echoing a node's heartbeats at the same epoch (design 7.3). */
import { identifiers, runtimeUtilities, type Instant } from '@stallstall/kernel';
import { quorum } from '@stallstall/quorum';
import { leaseTermMilliseconds } from './lease-timing.js';

/** A peer's reply to a heartbeat. `sentAt` is when the heartbeat left this node; `epochs` is the peer's epoch for each service. */
export type HeartbeatEcho = Readonly<{ sentAt: Instant; epochs: Readonly<Record<string, number>> }>;

/** Whose echoes grant a lease, and for what. */
export type LeaseQuery = Readonly<{
  service: string;
  epoch: number;
  /** The other voters. */
  peers: readonly string[];
  /** The number of voters, this node included where it is one. */
  voterCount: number;
  /** Whether this node votes itself; an edge does not: cores alone grant its lease (design 7.12). @default true */
  isVoter?: boolean;
}>;

export type QuorumLease = Readonly<{
  /** Keeps the echo of the heartbeat that was sent last; an overtaken echo is dropped. */
  recordEcho: (peer: string, echo: HeartbeatEcho) => void;
  forget: (peer: string) => void;
  /** When the lease ends; in the past when no majority agrees on the epoch. */
  validUntil: (query: LeaseQuery) => Instant;
  /** How many nodes, this one included, have echoed a heartbeat within the last term, at whatever epoch. */
  reachableCount: (now: Instant, peers: readonly string[]) => number;
}>;

type Echoes = Map<string, HeartbeatEcho>;

function recordEcho(echoes: Echoes, peer: string, echo: HeartbeatEcho): void {
  const latest = echoes.get(peer);
  if (latest === undefined || latest.sentAt < echo.sentAt) echoes.set(peer, echo);
}

function validUntil(echoes: Echoes, { service, epoch, peers, voterCount, isVoter = true }: LeaseQuery): Instant {
  if (epoch === 0) return identifiers.instant(Number.NEGATIVE_INFINITY);
  const agreeing: number[] = [];
  for (const peer of peers) {
    const echo = echoes.get(peer);
    if (echo !== undefined && echo.epochs[service] === epoch) agreeing.push(echo.sentAt);
  }
  const grantedAt = identifiers.instant(quorum.latestReachedByMajority(agreeing, voterCount, isVoter));
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

/** The name under which a process's other services find its lease. */
export const quorumLeaseService = runtimeUtilities.serviceName<QuorumLease>('quorum-lease');

export const quorumLease = { create } as const;
