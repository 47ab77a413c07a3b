// Connections to members: few, costly, reused, never more than this edge's share (design 8.2, 8.3).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Fault, type HttpAsk, type HttpConnection, type HttpReply, type Instant, type Kernel } from '@stallstall/kernel';

export type MemberConnection = Readonly<{
  member: string;
  epoch: number;
  exchange: (ask: HttpAsk, milliseconds: number) => Promise<Either.Either<Fault, HttpReply>>;
  closed: () => boolean;
}>;

export type MemberWish = Readonly<{ service: string; member: string; address: string; epoch: number; cap: number }>;

export type Pool = Readonly<{
  /** What the pool should hold from now on; connections beyond it, or of an older epoch, are closed. */
  wish: (wishes: readonly MemberWish[]) => void;
  /** A connection nobody uses; none says that one is being opened, or that the share is used up. */
  take: (member: string) => Option.Option<MemberConnection>;
  /** Hands a connection back; a broken or half-known one is discarded instead. */
  giveBack: (connection: MemberConnection, sound: boolean) => void;
  /** True while nothing is open to a member and the last opening failed: who waits for it would wait for nothing. */
  unreachable: (member: string) => boolean;
  open: () => Readonly<Record<string, number>>;
  describe: () => ReadonlyArray<Readonly<{ member: string; idle: number; busy: number; opening: number; cap: number }>>;
  closeAll: () => void;
}>;

type Held = { readonly connection: MemberConnection; readonly http: HttpConnection };
type MemberPool = {
  wish: MemberWish;
  readonly idle: Held[];
  readonly busy: Map<MemberConnection, Held>;
  opening: number;
  wanted: boolean;
  quietUntil: Instant;
  failed: boolean;
};

const openMilliseconds = 1_500;
/** New connections are costly for members: this many at once, and a pause after one that failed. */
const openAtOnce = 2;
const pauseMilliseconds = 300;
const warm = 2;

function create(kernel: Kernel, onFreed: () => void): Pool {
  const pools = new Map<string, MemberPool>();

  function total(pool: MemberPool): number {
    return pool.idle.length + pool.busy.size + pool.opening;
  }

  function fill(pool: MemberPool): void {
    const wanted = pool.wanted || total(pool) < Math.min(warm, pool.wish.cap);
    if (!wanted || total(pool) >= pool.wish.cap || pool.opening >= openAtOnce || kernel.clock.now() < pool.quietUntil) return;
    void open(pool);
  }

  async function open(pool: MemberPool): Promise<void> {
    pool.opening += 1;
    const { member, address, epoch } = pool.wish;
    const http = kernel.network.connect(identifiers.address(address));
    const reply = await http.exchange({ method: 'POST', path: '/open', body: {} }, openMilliseconds);
    pool.opening -= 1;
    if (
      Either.isLeft(reply) ||
      reply.right.status !== 200 ||
      pools.get(member) !== pool ||
      pool.wish.epoch !== epoch ||
      total(pool) >= pool.wish.cap
    ) {
      http.close();
      if (Either.isLeft(reply) || reply.right.status !== 200) {
        pool.failed = true;
        pool.quietUntil = identifiers.after(kernel.clock.now(), pauseMilliseconds * (0.5 + kernel.randomness.fraction()));
      }
      onFreed();
      return;
    }
    pool.failed = false;
    const connection: MemberConnection = { member, epoch, exchange: http.exchange, closed: http.closed };
    pool.idle.push({ connection, http });
    onFreed();
  }

  function prune(pool: MemberPool): void {
    for (let index = pool.idle.length - 1; index >= 0; index -= 1) {
      const held = pool.idle[index] as Held;
      if (held.http.closed() || held.connection.epoch !== pool.wish.epoch || total(pool) > pool.wish.cap) {
        pool.idle.splice(index, 1);
        held.http.close();
      }
    }
  }

  function wish(wishes: readonly MemberWish[]): void {
    const named = new Set(wishes.map((one) => one.member));
    for (const [member, pool] of pools) {
      if (named.has(member)) continue;
      for (const held of pool.idle.splice(0)) held.http.close();
      pool.wish = { ...pool.wish, cap: 0 };
      if (pool.busy.size === 0) pools.delete(member);
    }
    for (const one of wishes) {
      const pool = pools.get(one.member);
      if (pool === undefined) {
        pools.set(one.member, {
          wish: one,
          idle: [],
          busy: new Map(),
          opening: 0,
          wanted: false,
          quietUntil: kernel.clock.now(),
          failed: false,
        });
      } else pool.wish = one;
    }
    for (const pool of pools.values()) {
      prune(pool);
      fill(pool);
      pool.wanted = false;
    }
  }

  function take(member: string): Option.Option<MemberConnection> {
    const pool = pools.get(member);
    if (pool === undefined) return Option.none;
    prune(pool);
    const held = pool.idle.pop();
    if (held === undefined) {
      pool.wanted = true;
      fill(pool);
      return Option.none;
    }
    pool.busy.set(held.connection, held);
    return Option.some(held.connection);
  }

  function giveBack(connection: MemberConnection, sound: boolean): void {
    const pool = pools.get(connection.member);
    const held = pool?.busy.get(connection);
    if (pool === undefined || held === undefined) return;
    pool.busy.delete(connection);
    if (sound && !held.http.closed() && connection.epoch === pool.wish.epoch && total(pool) < pool.wish.cap) pool.idle.push(held);
    else held.http.close();
    onFreed();
  }

  return {
    wish,
    take,
    giveBack,
    unreachable: function unreachable(member) {
      const pool = pools.get(member);
      return pool !== undefined && pool.failed && pool.idle.length + pool.busy.size === 0;
    },
    open: function open() {
      const most: Record<string, number> = {};
      for (const pool of pools.values()) most[pool.wish.service] = Math.max(most[pool.wish.service] ?? 0, total(pool));
      return most;
    },
    describe: function describe() {
      return [...pools.values()].map((pool) => ({
        member: pool.wish.member,
        idle: pool.idle.length,
        busy: pool.busy.size,
        opening: pool.opening,
        cap: pool.wish.cap,
      }));
    },
    closeAll: function closeAll() {
      for (const pool of pools.values()) for (const held of [...pool.idle, ...pool.busy.values()]) held.http.close();
      pools.clear();
    },
  };
}

export const pools = { create } as const;
