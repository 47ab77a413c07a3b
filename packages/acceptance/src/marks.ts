/** Steps of marks.feature: one core's half of the leases, and edges that tell it what they have seen (design 8.11). */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { leaseAgent } from '@stallstall/agent';
import { identifiers, type Instant, type Runtime } from '@stallstall/kernel';
import { leaseGrantor, type LeaseGrantor } from '@stallstall/lease';
import type { Request, Reply, Seat } from '@stallstall/message';
import { peer, type Peer } from '@stallstall/peer';
import type { MemberRegistry } from '@stallstall/member-registry';
import { world as worlds, type World } from '@stallstall/simulator';
import { leaseAsk } from './lease-ask.js';

type MarkStory = {
  world: World;
  runtime: Runtime;
  leaseGrantor: LeaseGrantor;
  openedAt: Instant;
  /** The token of the core that each edge knows; none for one that has not asked yet. */
  tokens: Map<string, string>;
  last: Reply<'lease'>;
  /** The tokens with which the agent asked each of the cores, in order. */
  asked: string[][];
  proxy: Peer;
};

const service = 'ferries';
const term = 4;
/** An edge that has not been asked for its commits says this much. */
const untoldMilliseconds = 600_000;

function emptyRegistry(): MemberRegistry {
  return { version: () => 0, changedSince: () => [] } satisfies Partial<MemberRegistry> as unknown as MemberRegistry;
}

async function ask(story: MarkStory, node: string, change: Partial<Request<'lease'>>): Promise<void> {
  const known = { token: story.tokens.get(node) ?? '', positionsAgo: untoldMilliseconds };
  story.last = await story.leaseGrantor.grant(leaseAsk(node, { ...known, ...change }));
  story.tokens.set(node, story.last.token);
}

Given(
  'a core that has been an active voter for {int} s, while a leader is missing',
  async function given(this: MarkStory, seconds: number) {
    this.world = worlds.create(46);
    this.runtime = this.world.spawn('core', 'core-machine').runtime;
    this.openedAt = this.runtime.clock.now();
    this.tokens = new Map();
    this.leaseGrantor = leaseGrantor.create(this.runtime, {
      isReady: () => true,
      servingSince: () => this.openedAt,
      epochs: () => ({ [service]: term }),
      configurationVersion: () => 1,
      membershipVersion: () => 1,
      putCount: () => 1,
      registry: emptyRegistry(),
      isLeaderMissing: () => true,
      onConnectionRefused: () => undefined,
    });
    await this.world.run(seconds * 1_000);
  },
);

When('the core becomes an active voter again', function when(this: MarkStory) {
  this.openedAt = this.runtime.clock.now();
});

When('the process of {string} restarts', function when(this: MarkStory, node: string) {
  this.tokens.delete(node);
});

When('{string} requests a lease without reporting its commits', function when(this: MarkStory, node: string) {
  return ask(this, node, {});
});

When(
  '{string} saw the leader at {int}, {int} ms ago, and reports commits up to {int}',
  function when(this: MarkStory, node: string, position: number, ago: number, commit: number) {
    return ask(this, node, {
      marks: { [service]: { term, number: position, ago } },
      positions: { [service]: { term, number: commit } },
      positionsAgo: ago,
    });
  },
);

async function tell(story: MarkStory, milliseconds: number, nodes: readonly string[], commit: number): Promise<void> {
  await story.world.run(milliseconds);
  for (const node of nodes) await ask(story, node, { positions: { [service]: { term, number: commit } }, positionsAgo: 0 });
}

When(
  '{int} ms pass, and {string} and {string} report their commits, the highest at {int}',
  function when(this: MarkStory, milliseconds: number, first: string, second: string, commit: number) {
    return tell(this, milliseconds, [first, second], commit);
  },
);

When(
  '{int} ms pass, and {string} reports its commits, the highest at {int}',
  function when(this: MarkStory, milliseconds: number, node: string, commit: number) {
    return tell(this, milliseconds, [node], commit);
  },
);

When(
  '{int} s pass, and {string} reports its commits, the highest at {int}',
  function when(this: MarkStory, seconds: number, node: string, commit: number) {
    return tell(this, seconds * 1_000, [node], commit);
  },
);

Then('the watermark is {int}, and covers commits until {int} ms ago', function then(this: MarkStory, position: number, ago: number) {
  const mark = this.last.marks[service];
  assert.deepEqual(mark && { number: mark.number, ago: Math.round(mark.ago) }, { number: position, ago });
});

// -- The edge's half.

const feedAddress = '10.2.0.1:7000';
const agentLeaseMilliseconds = 50;

function seatOf(index: number): Seat {
  const host = `10.1.0.${index + 1}`;
  return { node: `core-${index + 1}`, role: 'core', area: 'north', address: `${host}:7000`, outward: `${host}:7001`, draining: false };
}

/** A core that is asked for leases and grants none; what it is asked with is kept. */
async function startAskedCore(story: MarkStory, index: number, seats: readonly Seat[]): Promise<void> {
  const { runtime } = story.world.spawn(`core-${index + 1}`, `core-machine-${index + 1}`);
  const set = { number: 1, seats: [...seats], epochs: {} };
  const own = seats[index] as Seat;
  await peer.listen(runtime, identifiers.address(own.address), {
    hello: () =>
      ({
        node: own.node,
        role: 'core',
        incarnation: 1,
        fleet: 'fleet',
        founding: '',
        cores: [...seats],
        set,
        knownPuts: 0,
        superseded: false,
      }) as never,
    lease: async function lease({ token }) {
      (story.asked[index] as string[]).push(token);
      await runtime.clock.sleep(agentLeaseMilliseconds);
      const untold = { stances: {}, roster: [], edges: {}, demand: {}, marks: {}, wants: false, held: 0 };
      return {
        ...untold,
        ready: true,
        token: `life-${index}`,
        number: 1,
        configuration: 0,
        membership: 1,
        puts: 1,
        whole: token === '',
        set: 1,
      };
    },
  });
}

/** One process of a proxy: it asks its agent once without a token, as one does that knows nothing of it, and then with it. */
async function askAsProxy(story: MarkStory, name: string): Promise<void> {
  const { runtime } = story.world.spawn(name, 'edge-machine');
  story.proxy = peer.dial(runtime, identifiers.address(feedAddress));
  await story.world.run(100);
  const untold = {
    serial: 0,
    seen: 0,
    hold: 0,
    configuration: 0,
    released: {},
    positions: {},
    marks: {},
    notListening: [],
    demand: 0,
    metrics: {},
  };
  const first = story.proxy.call('placement', { ...untold, token: '' }, 500);
  await story.world.run(100);
  const reply = await first;
  const token = reply._tag === 'Some' ? reply.value.token : '';
  const second = story.proxy.call('placement', { ...untold, token }, 500);
  await story.world.run(100);
  assert.equal((await second)._tag, 'Some');
}

Given('an agent that requests leases from {int} cores, and feeds a proxy', async function given(this: MarkStory, count: number) {
  this.world = worlds.create(47);
  const seats = Array.from({ length: count }, (_, index) => seatOf(index));
  this.asked = seats.map(() => []);
  for (const index of seats.keys()) await startAskedCore(this, index, seats);
  const { runtime } = this.world.spawn('agent', 'edge-machine');
  await leaseAgent.start(runtime, { node: 'edge-1', area: 'north', feed: feedAddress, seeds: () => seats.map((seat) => seat.address) });
  await this.world.run(1_000);
  await askAsProxy(this, 'proxy');
});

When("{int} s pass, and the proxy's process is replaced by another", async function when(this: MarkStory, seconds: number) {
  await this.world.run(seconds * 1_000);
  this.proxy.close();
  for (const tokens of this.asked) {
    assert.ok(tokens.length > 1 && tokens.slice(1).every((token) => token !== ''), tokens.join(' '));
    tokens.length = 0;
  }
  await askAsProxy(this, 'next-proxy');
  await this.world.run(1_000);
});

Then('each core received a request as from a restarted edge, followed by ordinary requests', function then(this: MarkStory) {
  for (const tokens of this.asked) {
    assert.ok(tokens.includes(''), 'no ask says that the edge begins anew');
    assert.ok(tokens.slice(tokens.lastIndexOf('') + 1).length > 3, 'it begins anew again and again');
  }
});
