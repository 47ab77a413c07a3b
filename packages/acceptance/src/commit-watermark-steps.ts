/** Steps of commit-watermarks.feature: a core's lease grantor, and edges that report their commits to it (design 8.11). */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { leaseAgent } from '@stallstall/agent';
import { identifiers, type Instant, type Runtime } from '@stallstall/kernel';
import { leaseGrantor, type LeaseGrantor } from '@stallstall/lease';
import type { Request, Reply, NodeRecord } from '@stallstall/message';
import { peer, type Peer } from '@stallstall/peer';
import type { MemberRegistry } from '@stallstall/member-registry';
import { world as worlds, type World } from '@stallstall/simulator';
import { leaseRequest } from './lease-request.js';

type WatermarkStory = {
  world: World;
  runtime: Runtime;
  leaseGrantor: LeaseGrantor;
  servingSince: Instant;
  /** The core's token as known to each edge; none for an edge that has sent no request yet. */
  tokens: Map<string, string>;
  lastReply: Reply<'lease'>;
  /** For each core, the tokens of the agent's requests, in order. */
  receivedTokens: string[][];
  proxy: Peer;
};

const service = 'ferries';
const term = 4;
/** The age reported by an edge that has not been asked for its commits. */
const noReportAgeMilliseconds = 600_000;

function emptyRegistry(): MemberRegistry {
  return { version: () => 0, changedSince: () => [] } satisfies Partial<MemberRegistry> as unknown as MemberRegistry;
}

async function requestLease(story: WatermarkStory, node: string, change: Partial<Request<'lease'>>): Promise<void> {
  const report = { token: story.tokens.get(node) ?? '', positionsAgo: noReportAgeMilliseconds };
  story.lastReply = await story.leaseGrantor.grant(leaseRequest(node, { ...report, ...change }));
  story.tokens.set(node, story.lastReply.token);
}

Given(
  'a core that has been an active voter for {int} s, while a leader is missing',
  async function given(this: WatermarkStory, seconds: number) {
    this.world = worlds.create(46);
    this.runtime = this.world.spawn('core', 'core-machine').runtime;
    this.servingSince = this.runtime.clock.now();
    this.tokens = new Map();
    this.leaseGrantor = leaseGrantor.create(this.runtime, {
      isReady: () => true,
      servingSince: () => this.servingSince,
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

When('the core becomes an active voter again', function when(this: WatermarkStory) {
  this.servingSince = this.runtime.clock.now();
});

When('the process of {string} restarts', function when(this: WatermarkStory, node: string) {
  this.tokens.delete(node);
});

When('{string} requests a lease without reporting its commits', function when(this: WatermarkStory, node: string) {
  return requestLease(this, node, {});
});

When(
  '{string} saw the leader at {int}, {int} ms ago, and reports commits up to {int}',
  function when(this: WatermarkStory, node: string, position: number, ago: number, commit: number) {
    return requestLease(this, node, {
      marks: { [service]: { term, number: position, ago } },
      positions: { [service]: { term, number: commit } },
      positionsAgo: ago,
    });
  },
);

async function reportCommits(story: WatermarkStory, milliseconds: number, nodes: readonly string[], commit: number): Promise<void> {
  await story.world.run(milliseconds);
  for (const node of nodes) await requestLease(story, node, { positions: { [service]: { term, number: commit } }, positionsAgo: 0 });
}

When(
  '{int} ms pass, and {string} and {string} report their commits, the highest at {int}',
  function when(this: WatermarkStory, milliseconds: number, first: string, second: string, commit: number) {
    return reportCommits(this, milliseconds, [first, second], commit);
  },
);

When(
  '{int} ms pass, and {string} reports its commits, the highest at {int}',
  function when(this: WatermarkStory, milliseconds: number, node: string, commit: number) {
    return reportCommits(this, milliseconds, [node], commit);
  },
);

When(
  '{int} s pass, and {string} reports its commits, the highest at {int}',
  function when(this: WatermarkStory, seconds: number, node: string, commit: number) {
    return reportCommits(this, seconds * 1_000, [node], commit);
  },
);

Then('the watermark is {int}, and covers commits until {int} ms ago', function then(this: WatermarkStory, position: number, ago: number) {
  const watermark = this.lastReply.marks[service];
  assert.deepEqual(watermark && { number: watermark.number, ago: Math.round(watermark.ago) }, { number: position, ago });
});

// -- The edge's side.

const agentAddress = '10.2.0.1:7000';
const replyDelayMilliseconds = 50;

function seatOf(index: number): NodeRecord {
  const host = `10.1.0.${index + 1}`;
  return { node: `core-${index + 1}`, role: 'core', area: 'north', address: `${host}:7000`, outward: `${host}:7001`, draining: false };
}

/** A core that reports no epochs, and records the tokens of the requests that it receives. */
async function startRecordingCore(story: WatermarkStory, index: number, seats: readonly NodeRecord[]): Promise<void> {
  const { runtime } = story.world.spawn(`core-${index + 1}`, `core-machine-${index + 1}`);
  const set = { number: 1, seats: [...seats], epochs: {} };
  const own = seats[index] as NodeRecord;
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
      (story.receivedTokens[index] as string[]).push(token);
      await runtime.clock.sleep(replyDelayMilliseconds);
      const nothingReported = { stances: {}, roster: [], edges: {}, demand: {}, marks: {}, wants: false, held: 0 };
      return {
        ...nothingReported,
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

/** Starts a proxy process. Its first request to the agent has no token, like that of any new process; its second has the agent's token. */
async function runProxyProcess(story: WatermarkStory, name: string): Promise<void> {
  const { runtime } = story.world.spawn(name, 'edge-machine');
  story.proxy = peer.dial(runtime, identifiers.address(agentAddress));
  await story.world.run(100);
  const request = {
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
  const first = story.proxy.call('placement', { ...request, token: '' }, 500);
  await story.world.run(100);
  const reply = await first;
  const token = reply._tag === 'Some' ? reply.value.token : '';
  const second = story.proxy.call('placement', { ...request, token }, 500);
  await story.world.run(100);
  assert.equal((await second)._tag, 'Some');
}

Given('an agent that requests leases from {int} cores, and feeds a proxy', async function given(this: WatermarkStory, count: number) {
  this.world = worlds.create(47);
  const seats = Array.from({ length: count }, (_, index) => seatOf(index));
  this.receivedTokens = seats.map(() => []);
  for (const index of seats.keys()) await startRecordingCore(this, index, seats);
  const { runtime } = this.world.spawn('agent', 'edge-machine');
  await leaseAgent.start(runtime, { node: 'edge-1', area: 'north', feed: agentAddress, seeds: () => seats.map((seat) => seat.address) });
  await this.world.run(1_000);
  await runProxyProcess(this, 'proxy');
});

When("{int} s pass, and the proxy's process is replaced by another", async function when(this: WatermarkStory, seconds: number) {
  await this.world.run(seconds * 1_000);
  this.proxy.close();
  for (const tokens of this.receivedTokens) {
    assert.ok(tokens.length > 1 && tokens.slice(1).every((token) => token !== ''), tokens.join(' '));
    tokens.length = 0;
  }
  await runProxyProcess(this, 'next-proxy');
  await this.world.run(1_000);
});

Then('each core received a request as from a restarted edge, followed by ordinary requests', function then(this: WatermarkStory) {
  for (const tokens of this.receivedTokens) {
    assert.ok(tokens.includes(''), 'no request was sent as from a restarted edge');
    assert.ok(tokens.slice(tokens.lastIndexOf('') + 1).length > 3, 'requests are repeatedly sent as from a restarted edge');
  }
});
