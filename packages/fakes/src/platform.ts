/** A stand-in for the platform: promotions and usage from one holder at a time, and a record of both (design 10.1). */
import * as Either from 'fp-ts/lib/Either.js';
import { http, identifiers, runtimeUtilities, type HttpReply, type HttpRequest, type Runtime, type Listener } from '@stallstall/kernel';

export type PlatformMember = Readonly<{ service: string; member: string; control: string }>;
export type PlatformSettings = Readonly<{ address: string; members: readonly PlatformMember[] }>;

/** `at` is when a call arrived, however long the platform then took over it. */
export type PromotionCall = Readonly<{ at: number; service: string; member: string; epoch: number; turn: number; accepted: boolean }>;
export type UsageCall = Readonly<{
  at: number;
  window: number;
  endsAt: number;
  counts: Readonly<Record<string, number>>;
  turn: number;
  holder: string;
  accepted: boolean;
}>;

export type PlatformKnobs = { slowMilliseconds: number; down: boolean; losesReplies: boolean; denies: boolean; garbles: boolean };
export type PlatformStore = {
  promotions: PromotionCall[];
  usage: UsageCall[];
  leaders: Map<string, Readonly<{ member: string; epoch: number; turn: number }>>;
  usageTurn: number;
};

export type Platform = Readonly<{ stop: () => Promise<void>; knobs: PlatformKnobs; store: PlatformStore }>;

function emptyStore(): PlatformStore {
  return { promotions: [], usage: [], leaders: new Map(), usageTurn: 0 };
}

const garbled: readonly HttpReply[] = [
  { status: 500, body: null },
  { status: 200, body: '' },
  { status: 502, body: '<html>' },
  { status: 302, body: {} },
  { status: 204, body: null },
];

async function start(runtime: Runtime, settings: PlatformSettings, store: PlatformStore): Promise<Platform> {
  const knobs: PlatformKnobs = { slowMilliseconds: 0, down: false, losesReplies: false, denies: false, garbles: false };
  let stopped = false;

  async function trouble(): Promise<HttpReply | undefined> {
    if (knobs.slowMilliseconds > 0) await runtime.clock.sleep(knobs.slowMilliseconds);
    return knobs.down || knobs.denies ? { status: 503, body: { message: 'the platform is down' } } : undefined;
  }

  /** What reaches the caller of a call that was taken. */
  function lost(reply: HttpReply): Promise<HttpReply> {
    if (knobs.losesReplies) return new Promise(() => undefined);
    return Promise.resolve(knobs.garbles ? (garbled[Math.floor(runtime.randomness.fraction() * garbled.length)] as HttpReply) : reply);
  }

  async function promote(request: HttpRequest): Promise<HttpReply> {
    const at = runtime.clock.wall();
    const asked = request.body as Readonly<{ service: string; member: string; epoch: number; turn: number }>;
    const down = await trouble();
    if (down !== undefined) return down;
    const known = store.leaders.get(asked.service);
    const accepted =
      known === undefined ||
      asked.turn > known.turn ||
      (asked.turn === known.turn && asked.member === known.member && asked.epoch === known.epoch);
    store.promotions.push({ at, service: asked.service, member: asked.member, epoch: asked.epoch, turn: asked.turn, accepted });
    if (!accepted) return { status: 409, body: { message: 'a later turn was here' } };
    const target = settings.members.find((one) => one.member === asked.member && one.service === asked.service);
    if (target === undefined) return { status: 404, body: { message: 'no such member' } };
    const reply = await http.exchangeOnce(
      runtime,
      identifiers.address(target.control),
      { method: 'POST', path: '/promote', body: { epoch: asked.epoch } },
      500,
    );
    if (Either.isLeft(reply) || reply.right.status !== 200)
      return { status: 502, body: { message: 'the member did not take the promotion' } };
    store.leaders.set(asked.service, { member: asked.member, epoch: asked.epoch, turn: asked.turn });
    void retarget();
    return lost({ status: 200, body: { promoted: true } });
  }

  async function usage(request: HttpRequest): Promise<HttpReply> {
    const at = runtime.clock.wall();
    const down = await trouble();
    if (down !== undefined) return down;
    const asked = request.body as Omit<UsageCall, 'at' | 'accepted'>;
    const accepted = asked.turn >= store.usageTurn;
    store.usage.push({
      at,
      window: asked.window,
      endsAt: asked.endsAt,
      counts: asked.counts,
      turn: asked.turn,
      holder: asked.holder,
      accepted,
    });
    if (!accepted) return { status: 409, body: { message: 'a later turn was here' } };
    store.usageTurn = asked.turn;
    return lost({ status: 200, body: { taken: true } });
  }

  async function retarget(): Promise<void> {
    for (const [service, leader] of store.leaders) {
      const primary = settings.members.find((one) => one.member === leader.member);
      if (primary === undefined) continue;
      await Promise.all(
        settings.members
          .filter((one) => one.service === service && one.member !== leader.member)
          .map((one) =>
            http.exchangeOnce(
              runtime,
              identifiers.address(one.control),
              { method: 'POST', path: '/follow', body: { primary: primary.control, epoch: leader.epoch } },
              400,
            ),
          ),
      );
    }
  }

  const listening: Listener = await runtime.network.serve(identifiers.address(settings.address), {
    routes: [
      { method: 'POST', path: '/v1/promotions', handle: promote },
      { method: 'POST', path: '/v1/usage', handle: usage },
      {
        method: 'GET',
        path: '/v1/record',
        handle: async () => ({ status: 200, body: { promotions: store.promotions, usage: store.usage } }),
      },
      {
        method: 'POST',
        path: '/v1/knobs',
        handle: async function turn(request) {
          Object.assign(knobs, request.body);
          return { status: 200, body: knobs };
        },
      },
    ],
  });
  void runtimeUtilities.every(runtime.clock, 500, retarget, () => !stopped);

  return {
    knobs,
    store,
    stop: async function stop() {
      stopped = true;
      await listening.stop();
    },
  };
}

export const platform = { start, emptyStore } as const;
