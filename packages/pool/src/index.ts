/** Connections of the HTTP wire to members: few, costly, reused, never more than this edge's share (design 8.2, 8.3). */
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
  exchange: (ask: OutgoingHttpRequest, milliseconds: number) => Promise<Either.Either<Fault, HttpReply>>;
  closed: () => boolean;
}>;

/** What should stand to a member: at most `cap` connections of the epoch. */
export type MemberPoolTarget = Readonly<{ service: string; member: string; address: string; epoch: number; maxConnections: number }>;

export type MemberCounts = Readonly<{ member: string; idle: number; busy: number; opening: number; cap: number }>;

export type Pool = Readonly<{
  /** What the pool should hold from now on; connections beyond it, or of an older epoch, are closed. */
  configure: (wishes: readonly MemberPoolTarget[]) => void;
  /** A connection nobody uses; none says that one is being opened, or that the share is used up. */
  acquire: (member: string) => Option.Option<MemberConnection>;
  /** Hands a connection back; a broken or half-known one is discarded instead. */
  release: (connection: MemberConnection, sound: boolean) => void;
  /** True while nothing is open to a member and the last opening failed: who waits for it would wait for nothing. */
  isUnreachable: (member: string) => boolean;
  /** By service: the most connections that stand to one of its members. */
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
  /** Somebody waits for one. */
  hasWaitingRequest: boolean;
  /** No opening is tried before. */
  nextOpenAt: Instant;
  /** The last opening failed. */
  lastOpenFailed: boolean;
};

/** All member pools, by member. */
type Pools = Readonly<{ runtime: Runtime; onFreed: () => void; byMember: Map<string, MemberPool> }>;

const openMilliseconds = 1_500;
/** New connections are costly for members: this many are opened at once, and a pause follows one that failed. */
const openAtOnce = 2;
const pauseMilliseconds = 300;
/** This many stand ahead of need. */
const warm = 2;

function createMemberPool(runtime: Runtime, wish: MemberPoolTarget): MemberPool {
  return {
    target: wish,
    idle: [],
    busy: new Map(),
    opening: 0,
    hasWaitingRequest: false,
    nextOpenAt: runtime.clock.now(),
    lastOpenFailed: false,
  };
}

function total(pool: MemberPool): number {
  return pool.idle.length + pool.busy.size + pool.opening;
}

/** Opens one more if it is needed and may be opened now. */
function fill(pools: Pools, pool: MemberPool): void {
  const wanted = pool.hasWaitingRequest || total(pool) < Math.min(warm, pool.target.maxConnections);
  if (!wanted || total(pool) >= pool.target.maxConnections || pool.opening >= openAtOnce || pools.runtime.clock.now() < pool.nextOpenAt)
    return;
  void open(pools, pool);
}

async function open(pools: Pools, pool: MemberPool): Promise<void> {
  const { runtime, byMember, onFreed } = pools;
  pool.opening += 1;
  const { member, address, epoch } = pool.target;
  const http = runtime.network.connect(identifiers.address(address));
  const reply = await http.exchange({ method: 'POST', path: '/open', body: {} }, openMilliseconds);
  pool.opening -= 1;
  const opened = Either.isRight(reply) && reply.right.status === 200;
  const stillWanted = byMember.get(member) === pool && pool.target.epoch === epoch && total(pool) < pool.target.maxConnections;
  if (opened && stillWanted) {
    pool.lastOpenFailed = false;
    pool.idle.push({ connection: { member, epoch, exchange: http.exchange, closed: http.closed }, http });
  } else {
    http.close();
    if (!opened) noteFailure(runtime, pool);
  }
  onFreed();
}

function noteFailure(runtime: Runtime, pool: MemberPool): void {
  pool.lastOpenFailed = true;
  pool.nextOpenAt = identifiers.after(runtime.clock.now(), pauseMilliseconds * (0.5 + runtime.randomness.fraction()));
}

/** Closes idle connections that are broken, of an older epoch, or too many. */
function prune(pool: MemberPool): void {
  for (let index = pool.idle.length - 1; index >= 0; index -= 1) {
    const held = pool.idle[index] as PooledConnection;
    if (held.http.closed() || held.connection.epoch !== pool.target.epoch || total(pool) > pool.target.maxConnections) {
      pool.idle.splice(index, 1);
      held.http.close();
    }
  }
}

function closeUnnamed({ byMember }: Pools, named: ReadonlySet<string>): void {
  for (const [member, pool] of byMember) {
    if (named.has(member)) continue;
    for (const held of pool.idle.splice(0)) held.http.close();
    pool.target = { ...pool.target, maxConnections: 0 };
    if (pool.busy.size === 0) byMember.delete(member);
  }
}

function follow(pools: Pools, wishes: readonly MemberPoolTarget[]): void {
  const { runtime, byMember } = pools;
  closeUnnamed(pools, new Set(wishes.map((one) => one.member)));
  for (const wish of wishes) {
    const pool = byMember.get(wish.member);
    if (pool === undefined) byMember.set(wish.member, createMemberPool(runtime, wish));
    else pool.target = wish;
  }
  for (const pool of byMember.values()) {
    prune(pool);
    fill(pools, pool);
    pool.hasWaitingRequest = false;
  }
}

function take(pools: Pools, member: string): Option.Option<MemberConnection> {
  const pool = pools.byMember.get(member);
  if (pool === undefined) return Option.none;
  prune(pool);
  const held = pool.idle.pop();
  if (held === undefined) {
    pool.hasWaitingRequest = true;
    fill(pools, pool);
    return Option.none;
  }
  pool.busy.set(held.connection, held);
  return Option.some(held.connection);
}

function giveBack({ byMember, onFreed }: Pools, connection: MemberConnection, sound: boolean): void {
  const pool = byMember.get(connection.member);
  const held = pool?.busy.get(connection);
  if (pool === undefined || held === undefined) return;
  pool.busy.delete(connection);
  if (sound && !held.http.closed() && connection.epoch === pool.target.epoch && total(pool) < pool.target.maxConnections)
    pool.idle.push(held);
  else held.http.close();
  onFreed();
}

function openByService({ byMember }: Pools): Readonly<Record<string, number>> {
  const most: Record<string, number> = {};
  for (const pool of byMember.values()) most[pool.target.service] = Math.max(most[pool.target.service] ?? 0, total(pool));
  return most;
}

function countsOf({ target: wish, idle, busy, opening }: MemberPool): MemberCounts {
  return { member: wish.member, idle: idle.length, busy: busy.size, opening, cap: wish.maxConnections };
}

/** `onFreed`: a connection is idle now, or an opening has failed. */
function create(runtime: Runtime, onFreed: () => void): Pool {
  const pools: Pools = { runtime, onFreed, byMember: new Map() };

  return {
    configure: (wishes) => follow(pools, wishes),
    acquire: (member) => take(pools, member),
    release: (connection, sound) => giveBack(pools, connection, sound),
    isUnreachable: function unreachable(member) {
      const pool = pools.byMember.get(member);
      return pool !== undefined && pool.lastOpenFailed && pool.idle.length + pool.busy.size === 0;
    },
    openConnections: () => openByService(pools),
    describe: () => [...pools.byMember.values()].map(countsOf),
    closeAll: function closeAll() {
      for (const pool of pools.byMember.values()) for (const held of [...pool.idle, ...pool.busy.values()]) held.http.close();
      pools.byMember.clear();
    },
  };
}

export const pools = { create } as const;
