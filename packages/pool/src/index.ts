/** Connections over the HTTP protocol to members. They are costly to open, so they are reused, within this edge's share (design 8.2, 8.3). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import {
  identifiers,
  type Fault,
  type OutgoingHttpRequest,
  type HttpConnection,
  type HttpReply,
  type Instant,
  type Runtime,
} from '@stallstall/kernel';

/** A connection to a member, opened while its service was at `epoch`. */
export type MemberConnection = Readonly<{
  member: string;
  epoch: number;
  exchange: (request: OutgoingHttpRequest, milliseconds: number) => Promise<Either.Either<Fault, HttpReply>>;
  closed: () => boolean;
}>;

/** The desired pool of a member: at most `maxConnections` connections, all opened in `epoch`. */
export type MemberPoolTarget = Readonly<{ service: string; member: string; address: string; epoch: number; maxConnections: number }>;

export type MemberCounts = Readonly<{ member: string; idle: number; busy: number; opening: number; cap: number }>;

export type Pool = Readonly<{
  /** Sets the desired pools. Connections over a limit or of an older epoch are closed once they are idle. */
  configure: (targets: readonly MemberPoolTarget[]) => void;
  /** Returns an idle connection. None: one is being opened, an open is being delayed, or the limit is reached. */
  acquire: (member: string) => Option.Option<MemberConnection>;
  /** Returns a connection to the pool, or closes it if it is not reusable: broken, or in an unknown state. */
  release: (connection: MemberConnection, isReusable: boolean) => void;
  /** Whether the member has no open connection and the last attempt to open one failed, so that waiting for one is pointless. */
  isUnreachable: (member: string) => boolean;
  /** By service: the largest number of connections to any one of its members. */
  openConnections: () => Readonly<Record<string, number>>;
  describe: () => readonly MemberCounts[];
  closeAll: () => void;
}>;

type PooledConnection = { readonly connection: MemberConnection; readonly http: HttpConnection };

type MemberPool = {
  target: MemberPoolTarget;
  readonly idle: PooledConnection[];
  readonly busy: Map<MemberConnection, PooledConnection>;
  opening: number;
  /** Whether a request found no idle connection. */
  hasWaitingRequest: boolean;
  /** No connection is opened before this time. */
  nextOpenAt: Instant;
  lastOpenFailed: boolean;
};

/** The pools of all members, by member. */
type Pools = Readonly<{ runtime: Runtime; onAvailable: () => void; byMember: Map<string, MemberPool> }>;

const openTimeoutMilliseconds = 1_500;
/** Opening a connection is costly for a member: this many are opened at the same time, and a failed open is followed by a delay. */
const maxConcurrentOpens = 2;
const openRetryMilliseconds = 300;
/** This many connections are opened before any request needs them. */
const minConnections = 2;

function createMemberPool(runtime: Runtime, target: MemberPoolTarget): MemberPool {
  return {
    target,
    idle: [],
    busy: new Map(),
    opening: 0,
    hasWaitingRequest: false,
    nextOpenAt: runtime.clock.now(),
    lastOpenFailed: false,
  };
}

function connectionCount(pool: MemberPool): number {
  return pool.idle.length + pool.busy.size + pool.opening;
}

/** Opens one more connection if one is needed and may be opened now. */
function openIfNeeded(pools: Pools, pool: MemberPool): void {
  const isNeeded = pool.hasWaitingRequest || connectionCount(pool) < Math.min(minConnections, pool.target.maxConnections);
  if (
    !isNeeded ||
    connectionCount(pool) >= pool.target.maxConnections ||
    pool.opening >= maxConcurrentOpens ||
    pools.runtime.clock.now() < pool.nextOpenAt
  )
    return;
  void open(pools, pool);
}

async function open(pools: Pools, pool: MemberPool): Promise<void> {
  const { runtime, byMember, onAvailable } = pools;
  pool.opening += 1;
  const { member, address, epoch } = pool.target;
  const http = runtime.network.connect(identifiers.address(address));
  const reply = await http.exchange({ method: 'POST', path: '/open', body: {} }, openTimeoutMilliseconds);
  pool.opening -= 1;
  const isOpen = Either.isRight(reply) && reply.right.status === 200;
  const isStillNeeded = byMember.get(member) === pool && pool.target.epoch === epoch && connectionCount(pool) < pool.target.maxConnections;
  if (isOpen && isStillNeeded) {
    pool.lastOpenFailed = false;
    pool.idle.push({ connection: { member, epoch, exchange: http.exchange, closed: http.closed }, http });
  } else {
    http.close();
    if (!isOpen) delayNextOpen(runtime, pool);
  }
  onAvailable();
}

function delayNextOpen(runtime: Runtime, pool: MemberPool): void {
  pool.lastOpenFailed = true;
  pool.nextOpenAt = identifiers.after(runtime.clock.now(), openRetryMilliseconds * (0.5 + runtime.randomness.fraction()));
}

/** Closes idle connections that are broken, of an older epoch, or over the limit. */
function closeUnusable(pool: MemberPool): void {
  for (let index = pool.idle.length - 1; index >= 0; index -= 1) {
    const pooled = pool.idle[index] as PooledConnection;
    if (pooled.http.closed() || pooled.connection.epoch !== pool.target.epoch || connectionCount(pool) > pool.target.maxConnections) {
      pool.idle.splice(index, 1);
      pooled.http.close();
    }
  }
}

/** Closes the pools of members that are no longer configured; busy connections stay until they are released. */
function closeRemovedMembers({ byMember }: Pools, configured: ReadonlySet<string>): void {
  for (const [member, pool] of byMember) {
    if (configured.has(member)) continue;
    for (const pooled of pool.idle.splice(0)) pooled.http.close();
    pool.target = { ...pool.target, maxConnections: 0 };
    if (pool.busy.size === 0) byMember.delete(member);
  }
}

function configure(pools: Pools, targets: readonly MemberPoolTarget[]): void {
  const { runtime, byMember } = pools;
  closeRemovedMembers(pools, new Set(targets.map((target) => target.member)));
  for (const target of targets) {
    const pool = byMember.get(target.member);
    if (pool === undefined) byMember.set(target.member, createMemberPool(runtime, target));
    else pool.target = target;
  }
  for (const pool of byMember.values()) {
    closeUnusable(pool);
    openIfNeeded(pools, pool);
    pool.hasWaitingRequest = false;
  }
}

function acquire(pools: Pools, member: string): Option.Option<MemberConnection> {
  const pool = pools.byMember.get(member);
  if (pool === undefined) return Option.none;
  closeUnusable(pool);
  const pooled = pool.idle.pop();
  if (pooled === undefined) {
    pool.hasWaitingRequest = true;
    openIfNeeded(pools, pool);
    return Option.none;
  }
  pool.busy.set(pooled.connection, pooled);
  return Option.some(pooled.connection);
}

function release({ byMember, onAvailable }: Pools, connection: MemberConnection, isReusable: boolean): void {
  const pool = byMember.get(connection.member);
  const pooled = pool?.busy.get(connection);
  if (pool === undefined || pooled === undefined) return;
  pool.busy.delete(connection);
  if (isReusable && !pooled.http.closed() && connection.epoch === pool.target.epoch && connectionCount(pool) < pool.target.maxConnections)
    pool.idle.push(pooled);
  else pooled.http.close();
  onAvailable();
}

function openConnections({ byMember }: Pools): Readonly<Record<string, number>> {
  const largest: Record<string, number> = {};
  for (const pool of byMember.values()) largest[pool.target.service] = Math.max(largest[pool.target.service] ?? 0, connectionCount(pool));
  return largest;
}

function countsOf({ target, idle, busy, opening }: MemberPool): MemberCounts {
  return { member: target.member, idle: idle.length, busy: busy.size, opening, cap: target.maxConnections };
}

/** @param onAvailable - called when a connection was released or an attempt to open one has ended */
function create(runtime: Runtime, onAvailable: () => void): Pool {
  const pools: Pools = { runtime, onAvailable, byMember: new Map() };

  return {
    configure: (targets) => configure(pools, targets),
    acquire: (member) => acquire(pools, member),
    release: (connection, isReusable) => release(pools, connection, isReusable),
    isUnreachable: function isUnreachable(member) {
      const pool = pools.byMember.get(member);
      return pool !== undefined && pool.lastOpenFailed && pool.idle.length + pool.busy.size === 0;
    },
    openConnections: () => openConnections(pools),
    describe: () => [...pools.byMember.values()].map(countsOf),
    closeAll: function closeAll() {
      for (const pool of pools.byMember.values()) for (const pooled of [...pool.idle, ...pool.busy.values()]) pooled.http.close();
      pools.byMember.clear();
    },
  };
}

export const pools = { create } as const;
