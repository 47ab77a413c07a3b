/** Steps of units.feature for a lease holder beside cores that reply as they are told, alone on virtual time. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers } from '@stallstall/kernel';
import { leaseHolder } from '@stallstall/lease';
import type { Reply, MemberRecord, Seat } from '@stallstall/message';
import { peer, type Caller } from '@stallstall/peer';
import { world as worlds } from '@stallstall/simulator';
import { registration } from './member-registry-steps.js';
import type { UnitStory, StubCore } from './unit-story.js';

function seatOf(index: number): Seat {
  return {
    node: `core-${index + 1}`,
    role: 'core',
    area: 'north',
    address: `10.1.0.${index + 1}:7000`,
    outward: `10.1.0.${index + 1}:7001`,
    draining: false,
  };
}

function settledChange(epoch: number): Parameters<Caller['change']>[0] {
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

/** A core's reply to a hello, where all seats are those of the first set. */
function helloOf({ node }: Seat, seats: readonly Seat[]): Reply<'hello'> {
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

/** A core's reply to a lease request that nothing is known of but its own token. */
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

async function startStub(story: UnitStory, index: number, seats: readonly Seat[]): Promise<void> {
  const { runtime } = story.world.spawn(`core-${index + 1}`, `core-machine-${index + 1}`);
  const stub = story.cores[index] as StubCore;
  await peer.listen(runtime, identifiers.address((seats[index] as Seat).address), {
    hello: () => helloOf(seats[index] as Seat, seats),
    lease: async function lease(ask, caller) {
      if (!stub.leaseHolders.has(caller)) {
        stub.leaseHolders.add(caller);
        caller.change({
          number: 1,
          set: 1,
          key: 'configuration',
          entry: { ballot: { counter: 1, node: 'core-1' }, version: 1, value: { sheet: { services: [{ service: 'ferries' }] } } },
        });
        caller.change(settledChange(stub.settled));
      }
      if (stub.silent) await runtime.clock.sleep(60_000);
      const reported = stub.reply === undefined ? {} : await stub.reply(ask);
      if (stub.reply === undefined) await runtime.clock.sleep(stub.delay);
      stub.number += 1;
      return {
        ...leaseReplyOf(index),
        ready: stub.ready,
        number: stub.number,
        stances: stub.epoch === undefined ? {} : { ferries: stub.epoch },
        held: stub.held,
        ...reported,
      };
    },
  });
}

/** Starts the lease holder of an edge that has nothing to report. */
function startLeaseHolder(story: UnitStory, seats: readonly Seat[]): void {
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

async function startEdge(story: UnitStory, stubs: ReadonlyArray<Partial<StubCore>>): Promise<void> {
  story.world = worlds.create(43);
  story.cores = stubs.map((stub) => ({
    epoch: 5,
    silent: false,
    ready: true,
    number: 0,
    settled: 5,
    delay: 20,
    held: 0,
    leaseHolders: new Set(),
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
      [0, 1, 2].map(() => ({ delay: Number(milliseconds), held: Number(milliseconds) })),
    );
  },
);

Then(/^between ([\d.]+) s and ([\d.]+) s of the lease remain$/, function then(this: UnitStory, least: string, most: string) {
  const left = this.leaseHolder.leaseUntil('ferries') - this.runtime.clock.now();
  assert.ok(left >= Number(least) * 1_000 && left <= Number(most) * 1_000, `${left} ms are left`);
});

Given(
  'an edge whose cores push a configuration without its content, and return it to reads under their core set number',
  async function given(this: UnitStory) {
    this.world = worlds.create(44);
    const seats = [0, 1, 2].map(seatOf);
    const ballot = { counter: 1, node: 'core-1' };
    for (const [index, seat] of seats.entries()) {
      const { runtime } = this.world.spawn(`core-${index + 1}`, `core-machine-${index + 1}`);
      const reported = new Set<Caller>();
      await peer.listen(runtime, identifiers.address(seat.address), {
        hello: () => helloOf(seat, seats),
        lease: async function lease(ask, caller) {
          if (!reported.has(caller)) caller.change({ number: 1, set: 1, key: 'configuration', entry: { ballot, version: 1, value: null } });
          reported.add(caller);
          await runtime.clock.sleep(Math.min(ask.hold, 300));
          return leaseReplyOf(index);
        },
        look: (ask) =>
          ask.set === 1
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

/** `-` is a core that is not ready. */
function stubsOf(epochs: string): ReadonlyArray<Partial<StubCore>> {
  return epochs.split(', ').map((one) => (one === '-' ? { ready: false, epoch: 5 } : { epoch: Number(one) }));
}

Given(/^an edge, and cores at epochs ([-\d, ]+) with epoch 5 elected$/, async function given(this: UnitStory, epochs: string) {
  await startEdge(this, stubsOf(epochs));
  await this.world.run(3_000);
  const settled = this.leaseHolder.electedPrimary('ferries');
  assert.ok(Option.isSome(settled) && settled.value.epoch === 5);
});

Then(/^the edge has (a|no) lease$/, function then(this: UnitStory, lease: string) {
  assert.equal(hasLease(this), lease === 'a');
});

Given(
  'an edge, and cores at epoch 5 that reply after {int} ms, with epoch 5 elected',
  async function given(this: UnitStory, delay: number) {
    await startEdge(this, [{ delay }, { delay }, { delay }]);
  },
);

When('the edge obtains its first lease', async function when(this: UnitStory) {
  for (let spent = 0; !hasLease(this) && spent < 5_000; spent += 1) await this.world.run(1);
  assert.ok(hasLease(this));
});

Then('at most {float} s of the lease remain', function then(this: UnitStory, seconds: number) {
  const left = this.leaseHolder.leaseUntil('ferries') - this.runtime.clock.now();
  assert.ok(left <= seconds * 1_000 && left > seconds * 1_000 - 100, `${left} ms are left`);
});

When('the cores stop replying', function when(this: UnitStory) {
  for (const stub of this.cores) {
    stub.silent = true;
    stub.reply = () => new Promise(() => undefined);
  }
});

Then('the lease expires within 2 s and is not renewed', async function then(this: UnitStory) {
  // What had been asked before may still be replied, and counts from when it was asked.
  await this.world.run(2_000);
  for (let round = 0; round < 30; round += 1) {
    assert.equal(hasLease(this), false);
    await this.world.run(100);
  }
});

async function standAt(story: UnitStory, epochs: string): Promise<void> {
  for (const [index, stub] of stubsOf(epochs).entries()) Object.assign(story.cores[index] as StubCore, stub);
  await story.world.run(1_000);
}

When(/^the cores are at epochs ([\d, ]+)$/, async function when(this: UnitStory, epochs: string) {
  await standAt(this, epochs);
});

When(/^the cores are at epochs ([\d, ]+) and epoch (\d+) is elected$/, async function when(this: UnitStory, epochs: string, epoch: string) {
  for (const stub of this.cores) for (const caller of stub.leaseHolders) caller.change(settledChange(Number(epoch)));
  await standAt(this, epochs);
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
    const held: Array<() => void> = [];
    this.freed = () => held.forEach((reply) => reply());
    await startEdge(this, [{}, {}, {}]);
    for (const stub of this.cores) {
      let asks = 0;
      stub.reply = async function reply(ask) {
        asks += 1;
        if (asks === 1) return { number: 1, whole: true, roster: [memberRecord(false)] };
        if (ask.hold > 0) {
          await new Promise<void>((resolve) => held.push(resolve));
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
    assert.equal(held.length, 3);
    this.leaseHolder.reportNow();
    await this.world.run(100);
    assert.deepEqual(
      this.leaseHolder.members().map((entry) => entry.draining),
      [true],
    );
  },
);

When('the held requests are answered after that, with {string} serving', async function when(this: UnitStory, _member: string) {
  this.freed();
  await this.world.run(100);
});

Then('the edge sees {string} as draining', function then(this: UnitStory, member: string) {
  assert.deepEqual(
    this.leaseHolder.members().map((entry) => [entry.member, entry.draining]),
    [[member, true]],
  );
});
