/** Steps of units.feature for a lease holder with stub cores, on virtual time. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers } from '@stallstall/kernel';
import { leaseHolder } from '@stallstall/lease';
import type { Reply, MemberRecord, NodeRecord } from '@stallstall/message';
import { peer, type Caller } from '@stallstall/peer';
import { world as worlds } from '@stallstall/simulator';
import { registration } from './member-registry-steps.js';
import type { UnitStory, StubCore } from './unit-story.js';

function seatOf(index: number): NodeRecord {
  return {
    node: `core-${index + 1}`,
    role: 'core',
    area: 'north',
    address: `10.1.0.${index + 1}:7000`,
    outward: `10.1.0.${index + 1}:7001`,
    draining: false,
  };
}

function electedChange(epoch: number): Parameters<Caller['pushChange']>[0] {
  return {
    number: epoch,
    set: 1,
    key: 'epoch/ferries',
    entry: {
      ballot: { counter: epoch, node: 'core-1' },
      version: epoch,
      value: { epoch, primary: 'member-1', wonBy: 'core-1', position: 1, settledAt: 1 },
    },
  };
}

/** A core's reply to a hello, with all seats in the first core set. */
function helloOf({ node }: NodeRecord, seats: readonly NodeRecord[]): Reply<'hello'> {
  return {
    node,
    role: 'core',
    incarnation: 1,
    fleet: 'fleet',
    founding: '',
    cores: [...seats],
    set: { number: 1, seats: [...seats], epochs: {} },
    knownPuts: 0,
    superseded: false,
  } as Reply<'hello'>;
}

/** A core's reply to a lease request, without any epoch or member. */
function leaseReplyOf(index: number): Reply<'lease'> {
  return {
    ready: true,
    token: `life-${index}`,
    number: 1,
    stances: {},
    configuration: 1,
    membership: 1,
    puts: 1,
    roster: [],
    whole: false,
    edges: { north: 1 },
    demand: {},
    wants: false,
    marks: {},
    held: 0,
    set: 1,
  };
}

async function startStub(story: UnitStory, index: number, seats: readonly NodeRecord[]): Promise<void> {
  const { runtime } = story.world.spawn(`core-${index + 1}`, `core-machine-${index + 1}`);
  const stub = story.cores[index] as StubCore;
  await peer.listen(runtime, identifiers.address((seats[index] as NodeRecord).address), {
    hello: () => helloOf(seats[index] as NodeRecord, seats),
    lease: async function lease(request, caller) {
      if (!stub.subscribers.has(caller)) {
        stub.subscribers.add(caller);
        caller.pushChange({
          number: 1,
          set: 1,
          key: 'configuration',
          entry: { ballot: { counter: 1, node: 'core-1' }, version: 1, value: { sheet: { services: [{ service: 'ferries' }] } } },
        });
        caller.pushChange(electedChange(stub.electedEpoch));
      }
      if (stub.isSilent) await runtime.clock.sleep(60_000);
      const reported = stub.reply === undefined ? {} : await stub.reply(request);
      if (stub.reply === undefined) await runtime.clock.sleep(stub.delayMilliseconds);
      stub.number += 1;
      return {
        ...leaseReplyOf(index),
        ready: stub.ready,
        number: stub.number,
        stances: stub.epoch === undefined ? {} : { ferries: stub.epoch },
        held: stub.reportedHoldMilliseconds,
        ...reported,
      };
    },
  });
}

/** Starts the lease holder of an edge that has nothing to report. */
function startLeaseHolder(story: UnitStory, seats: readonly NodeRecord[]): void {
  const { runtime } = story.world.spawn('edge-1', 'edge-machine');
  story.runtime = runtime;
  story.leaseHolder = leaseHolder.create(
    runtime,
    { node: 'edge-1', area: 'north', seeds: () => seats.map((seat) => seat.address) },
    {
      releasedEpochs: () => ({}),
      commitPositions: () => ({}),
      commitWatermarks: () => ({}),
      commitPositionsAge: () => 0,
      isLeaderMissing: () => false,
      statementRate: () => 0,
      refusedMembers: () => [],
      onChange: () => undefined,
    },
  );
  story.leaseHolder.start();
}

/** Starts an edge's lease holder, and one stub core for each of the descriptions. */
export async function startEdge(story: UnitStory, stubs: ReadonlyArray<Partial<StubCore>>): Promise<void> {
  story.world = worlds.create(43);
  story.cores = stubs.map((stub) => ({
    epoch: 5,
    isSilent: false,
    ready: true,
    number: 0,
    electedEpoch: 5,
    delayMilliseconds: 20,
    reportedHoldMilliseconds: 0,
    subscribers: new Set(),
    reply: undefined,
    ...stub,
  }));
  const seats = stubs.map((_stub, index) => seatOf(index));
  for (const index of stubs.keys()) await startStub(story, index, seats);
  startLeaseHolder(story, seats);
}

Given(
  /^an edge, and cores at epoch 5 that report to have held each request for (\d+) ms, with epoch 5 elected$/,
  async function given(this: UnitStory, milliseconds: string) {
    await startEdge(
      this,
      [0, 1, 2].map(() => ({ delayMilliseconds: Number(milliseconds), reportedHoldMilliseconds: Number(milliseconds) })),
    );
  },
);

Then(/^between ([\d.]+) s and ([\d.]+) s of the lease remain$/, function then(this: UnitStory, least: string, most: string) {
  const left = this.leaseHolder.leaseUntil('ferries') - this.runtime.clock.now();
  assert.ok(left >= Number(least) * 1_000 && left <= Number(most) * 1_000, `${left} ms remain`);
});

Given(
  'an edge whose cores push a configuration without its content, and return it to reads under their core set number',
  async function given(this: UnitStory) {
    this.world = worlds.create(44);
    const seats = [0, 1, 2].map(seatOf);
    const ballot = { counter: 1, node: 'core-1' };
    for (const [index, seat] of seats.entries()) {
      const { runtime } = this.world.spawn(`core-${index + 1}`, `core-machine-${index + 1}`);
      const notified = new Set<Caller>();
      await peer.listen(runtime, identifiers.address(seat.address), {
        hello: () => helloOf(seat, seats),
        lease: async function lease(request, caller) {
          if (!notified.has(caller))
            caller.pushChange({ number: 1, set: 1, key: 'configuration', entry: { ballot, version: 1, value: null } });
          notified.add(caller);
          await runtime.clock.sleep(Math.min(request.hold, 300));
          return leaseReplyOf(index);
        },
        look: (request) =>
          request.set === 1
            ? {
                ready: true,
                agreed: true,
                promised: ballot,
                accepted: { ballot, version: 1, value: { sheet: { services: [{ service: 'ferries' }] } } },
              }
            : { ready: false, agreed: false, promised: ballot, accepted: null },
      });
    }
    startLeaseHolder(this, seats);
  },
);

Then('within 1 s the edge has applied it', async function then(this: UnitStory) {
  await this.world.run(1_000);
  assert.deepEqual([...this.leaseHolder.services()], ['ferries']);
});

function hasLease(story: UnitStory): boolean {
  return story.leaseHolder.leaseUntil('ferries') > story.runtime.clock.now();
}

/** Stub cores at these epochs; `-` stands for a core that is not ready. */
function stubsOf(epochs: string): ReadonlyArray<Partial<StubCore>> {
  return epochs.split(', ').map((epoch) => (epoch === '-' ? { ready: false, epoch: 5 } : { epoch: Number(epoch) }));
}

Given(/^an edge, and cores at epochs ([-\d, ]+) with epoch 5 elected$/, async function given(this: UnitStory, epochs: string) {
  await startEdge(this, stubsOf(epochs));
  await this.world.run(3_000);
  const elected = this.leaseHolder.electedPrimary('ferries');
  assert.ok(Option.isSome(elected) && elected.value.epoch === 5);
});

Then(/^the edge has (a|no) lease$/, function then(this: UnitStory, lease: string) {
  assert.equal(hasLease(this), lease === 'a');
});

Given(
  'an edge, and cores at epoch 5 that reply after {int} ms, with epoch 5 elected',
  async function given(this: UnitStory, delay: number) {
    await startEdge(this, [{ delayMilliseconds: delay }, { delayMilliseconds: delay }, { delayMilliseconds: delay }]);
  },
);

When('the edge obtains its first lease', async function when(this: UnitStory) {
  for (let spent = 0; !hasLease(this) && spent < 5_000; spent += 1) await this.world.run(1);
  assert.ok(hasLease(this));
});

Then('at most {float} s of the lease remain', function then(this: UnitStory, seconds: number) {
  const left = this.leaseHolder.leaseUntil('ferries') - this.runtime.clock.now();
  assert.ok(left <= seconds * 1_000 && left > seconds * 1_000 - 100, `${left} ms remain`);
});

When('the cores stop replying', function when(this: UnitStory) {
  for (const stub of this.cores) {
    stub.isSilent = true;
    stub.reply = () => new Promise(() => undefined);
  }
});

Then('the lease expires within 2 s and is not renewed', async function then(this: UnitStory) {
  // Replies to earlier requests may still arrive; their leases run from the send time of those requests.
  await this.world.run(2_000);
  for (let round = 0; round < 30; round += 1) {
    assert.equal(hasLease(this), false);
    await this.world.run(100);
  }
});

async function setCoreEpochs(story: UnitStory, epochs: string): Promise<void> {
  for (const [index, stub] of stubsOf(epochs).entries()) Object.assign(story.cores[index] as StubCore, stub);
  await story.world.run(1_000);
}

When(/^the cores are at epochs ([\d, ]+)$/, async function when(this: UnitStory, epochs: string) {
  await setCoreEpochs(this, epochs);
});

When(/^the cores are at epochs ([\d, ]+) and epoch (\d+) is elected$/, async function when(this: UnitStory, epochs: string, epoch: string) {
  for (const stub of this.cores) for (const caller of stub.subscribers) caller.pushChange(electedChange(Number(epoch)));
  await setCoreEpochs(this, epochs);
});

Then('the edge has no lease, and releases epochs below {int}', function then(this: UnitStory, epoch: number) {
  assert.equal(hasLease(this), false);
  assert.equal(this.leaseHolder.releaseEpoch('ferries'), epoch);
});

Then('the edge has a lease, and releases nothing', function then(this: UnitStory) {
  assert.equal(hasLease(this), true);
  assert.ok(this.leaseHolder.releaseEpoch('ferries') <= 5);
});

function memberRecord(draining: boolean): MemberRecord {
  return { ...registration('member-1', 4, draining), gone: false, down: false };
}

Given(
  'an edge whose held request at each core is overtaken by a later one that reports {string} as draining',
  async function given(this: UnitStory, member: string) {
    const heldRequests: Array<() => void> = [];
    this.releaseHeldRequests = () => heldRequests.forEach((reply) => reply());
    await startEdge(this, [{}, {}, {}]);
    for (const stub of this.cores) {
      let requests = 0;
      stub.reply = async function reply(request) {
        requests += 1;
        if (requests === 1) return { number: 1, whole: true, roster: [memberRecord(false)] };
        if (request.hold > 0) {
          await new Promise<void>((resolve) => heldRequests.push(resolve));
          return { number: 2, roster: [memberRecord(false)] };
        }
        return { number: 3, roster: [memberRecord(true)] };
      };
    }
    await this.world.run(400);
    assert.deepEqual(
      this.leaseHolder.members().map((entry) => [entry.member, entry.draining]),
      [[member, false]],
    );
    assert.equal(heldRequests.length, 3);
    this.leaseHolder.reportNow();
    await this.world.run(100);
    assert.deepEqual(
      this.leaseHolder.members().map((entry) => entry.draining),
      [true],
    );
  },
);

When('the held requests are answered after that, with {string} serving', async function when(this: UnitStory, _member: string) {
  this.releaseHeldRequests();
  await this.world.run(100);
});

Then('the edge sees {string} as draining', function then(this: UnitStory, member: string) {
  assert.deepEqual(
    this.leaseHolder.members().map((entry) => [entry.member, entry.draining]),
    [[member, true]],
  );
});
