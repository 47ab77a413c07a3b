/** Steps of the stories of units.feature: roster, leases, freshness and connections, each alone on virtual time. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import * as Option from 'fp-ts/lib/Option.js';
import { liveness, livenessService } from '@stallstall/election';
import { identifiers, type Instant, type Kernel, type Listening } from '@stallstall/kernel';
import { leaseHolder, leaseGrantor, type LeaseHolder, type LeaseGrantor } from '@stallstall/lease';
import type { Request, Reply, MemberRecord, Seat } from '@stallstall/message';
import { peer, type Caller } from '@stallstall/peer';
import { type Connections, type PooledLine } from '@stallstall/pooler/connections';
import { memberRegistry, type Registration, type MemberRegistry, type ReceivedBeat } from '@stallstall/member-registry';
import { world as worlds, type Process, type World } from '@stallstall/simulator';
import { leaseAsk } from './lease-ask.js';

type StubCore = {
  stance: number | undefined;
  silent: boolean;
  ready: boolean;
  number: number;
  settled: number;
  delay: number;
  held: number;
  lessees: Set<Caller>;
  reply: ((ask: Request<'lease'>) => Promise<Partial<Reply<'lease'>>>) | undefined;
};

export type UnitStory = {
  world: World;
  kernel: Kernel;
  roster: MemberRegistry;
  other: MemberRegistry;
  taken: Map<number, boolean>;
  changesSeen: number;
  cores: StubCore[];
  lessee: LeaseHolder;
  freed: () => void;
  lessor: LeaseGrantor;
  stance: number;
  openedAt: Instant;
  ready: boolean;
  replied: Array<Readonly<{ at: number; reply: Reply<'lease'> }>>;
  changedAt: number;
  connections: Connections;
  member: Process;
  memberListening: Listening;
  heard: string[];
  opening: string;
  wanted: boolean[];
  pooled: PooledLine;
};

// -- The roster.

function registration(member: string, sequence: number, draining: boolean): Registration {
  return { member, service: 'ferries', address: '10.3.0.1:5000', area: 'north', draining, role: 'replica', slots: 4, sequence };
}

function rosterOn(world: World, name: string): MemberRegistry {
  const { kernel } = world.spawn(name, `${name}-machine`);
  kernel.services.offer(livenessService, liveness.create(kernel));
  return memberRegistry.create(kernel, () => undefined);
}

function known(of: MemberRegistry, member: string): MemberRecord {
  const entry = of.recordOf(member);
  assert.ok(Option.isSome(entry), `${member} is not known`);
  return entry.value;
}

Given('a roster', function given(this: UnitStory) {
  this.world = worlds.create(41);
  this.roster = rosterOn(this.world, 'core-1');
  this.taken = new Map();
});

Given('the roster of another core', function given(this: UnitStory) {
  this.other = rosterOn(this.world, 'core-2');
});

When('{string} beats with number {int} as draining', function when(this: UnitStory, member: string, sequence: number) {
  this.changesSeen = this.roster.version();
  this.taken.set(sequence, this.roster.heartbeat(registration(member, sequence, true)));
});

When('{string} beats with number {int} as in service', function when(this: UnitStory, member: string, sequence: number) {
  this.changesSeen = this.roster.version();
  this.taken.set(sequence, this.roster.heartbeat(registration(member, sequence, false)));
});

When('{string} leaves', function when(this: UnitStory, member: string) {
  this.roster.leave(member);
});

When('another core tells of a beat of {string} with number {int}', function when(this: UnitStory, member: string, sequence: number) {
  this.roster.merge([{ entry: { ...registration(member, sequence, false), gone: false, down: false }, ago: 0 }]);
});

When('another core tells that {string} has left', function when(this: UnitStory, member: string) {
  this.roster.merge([{ entry: { ...registration(member, 7, false), gone: true, down: false }, ago: 0 }]);
});

When('{float} s pass and the roster looks', async function when(this: UnitStory, seconds: number) {
  await this.world.run(seconds * 1_000);
  this.changesSeen = this.roster.version();
  this.roster.sweep();
});

Then(
  'the beat with number {int} was not taken, and {string} is draining',
  function then(this: UnitStory, sequence: number, member: string) {
    assert.equal(this.taken.get(sequence), false);
    assert.equal(known(this.roster, member).draining, true);
    assert.deepEqual(
      this.roster.membersOf('ferries').map((one) => one.state),
      ['draining'],
    );
  },
);

Then('only the beat with number {int} is spread', function then(this: UnitStory, sequence: number) {
  assert.deepEqual(
    this.roster.takeRecent().map((one) => one.entry.sequence),
    [sequence],
  );
  this.roster.heartbeat(registration('member-1', sequence - 2, false));
  assert.deepEqual(this.roster.takeRecent(), []);
});

Then('{string} is gone, of no service, and spread as gone', function then(this: UnitStory, member: string) {
  assert.equal(known(this.roster, member).gone, true);
  assert.deepEqual(this.roster.membersOf('ferries'), []);
  assert.deepEqual(
    this.roster.takeRecent().map((one) => [one.entry.member, one.entry.gone]),
    [[member, true]],
  );
});

Then('{string} is gone, of no service', function then(this: UnitStory, member: string) {
  assert.equal(known(this.roster, member).gone, true);
  assert.deepEqual(this.roster.membersOf('ferries'), []);
});

Then('{string} is of its service', function then(this: UnitStory, member: string) {
  assert.deepEqual(
    this.roster.membersOf('ferries').map((one) => one.member),
    [member],
  );
});

Then('{string} is up', function then(this: UnitStory, member: string) {
  const { down, gone } = known(this.roster, member);
  assert.deepEqual([down, gone], [false, false]);
});

Then(/^"(.+)" is (up|down), and its readers are told of one more change$/, function then(this: UnitStory, member: string, stands: string) {
  assert.equal(known(this.roster, member).down, stands === 'down');
  assert.equal(this.roster.version(), this.changesSeen + 1);
  assert.deepEqual(
    this.roster.changedSince(this.changesSeen).map((entry) => entry.member),
    [member],
  );
});

Then('its readers are told of no change', function then(this: UnitStory) {
  assert.equal(this.roster.version(), this.changesSeen);
  assert.deepEqual(this.roster.changedSince(this.changesSeen), []);
});

Then(
  'what is spread to the other core is {string} of {int} s ago, and nothing the next time',
  function then(this: UnitStory, member: string, seconds: number) {
    const told: readonly ReceivedBeat[] = this.roster.takeRecent();
    assert.deepEqual(
      told.map((one) => one.entry.member),
      [member],
    );
    // Each process has a clock of its own, and they do not go at one rate.
    assert.ok(Math.abs((told[0]?.ago ?? 0) - seconds * 1_000) < seconds * 20, JSON.stringify(told));
    assert.deepEqual(this.roster.takeRecent(), []);
    this.other.merge(told);
  },
);

Then('the other core spreads nothing of it, and has it down {int} s later', async function then(this: UnitStory, seconds: number) {
  assert.deepEqual(this.other.takeRecent(), []);
  this.other.sweep();
  assert.equal(known(this.other, 'member-1').down, false);
  await this.world.run(seconds * 1_000 + 150);
  this.other.sweep();
  assert.equal(known(this.other, 'member-1').down, true);
});

// -- The edge's half of the leases, over cores that say what they are told to.

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

async function startStub(story: UnitStory, index: number, seats: readonly Seat[]): Promise<void> {
  const { kernel } = story.world.spawn(`core-${index + 1}`, `core-machine-${index + 1}`);
  const stub = story.cores[index] as StubCore;
  await peer.listen(kernel, identifiers.address((seats[index] as Seat).address), {
    hello: () =>
      ({
        node: `core-${index + 1}`,
        role: 'core',
        incarnation: 1,
        fleet: 'fleet',
        founding: '',
        cores: [...seats],
        set: { number: 1, seats: [...seats], epochs: {} },
        knownPuts: 0,
        superseded: false,
      }) as Reply<'hello'>,
    lease: async function lease(ask, caller) {
      if (!stub.lessees.has(caller)) {
        stub.lessees.add(caller);
        caller.change({
          number: 1,
          set: 1,
          key: 'configuration',
          entry: { ballot: { counter: 1, node: 'core-1' }, version: 1, value: { sheet: { services: [{ service: 'ferries' }] } } },
        });
        caller.change(settledChange(stub.settled));
      }
      if (stub.silent) await kernel.clock.sleep(60_000);
      const told = stub.reply === undefined ? {} : await stub.reply(ask);
      if (stub.reply === undefined) await kernel.clock.sleep(stub.delay);
      stub.number += 1;
      return {
        ready: stub.ready,
        token: `life-${index}`,
        number: stub.number,
        stances: stub.stance === undefined ? {} : { ferries: stub.stance },
        configuration: 1,
        membership: 1,
        puts: 1,
        roster: [],
        whole: false,
        edges: { north: 1 },
        demand: {},
        wants: false,
        marks: {},
        held: stub.held,
        set: 1,
        ...told,
      };
    },
  });
}

async function startEdge(story: UnitStory, stubs: ReadonlyArray<Partial<StubCore>>): Promise<void> {
  story.world = worlds.create(43);
  story.cores = stubs.map((stub) => ({
    stance: 5,
    silent: false,
    ready: true,
    number: 0,
    settled: 5,
    delay: 20,
    held: 0,
    lessees: new Set(),
    reply: undefined,
    ...stub,
  }));
  const seats = stubs.map((_stub, index) => seatOf(index));
  for (const index of stubs.keys()) await startStub(story, index, seats);
  const { kernel } = story.world.spawn('edge-1', 'edge-machine');
  story.kernel = kernel;
  story.lessee = leaseHolder.create(
    kernel,
    { node: 'edge-1', area: 'north', seeds: () => seats.map((seat) => seat.address) },
    {
      released: () => ({}),
      positions: () => ({}),
      commitWatermarks: () => ({}),
      positionsAgo: () => 0,
      isLeaderMissing: () => false,
      demand: () => 0,
      refusedMembers: () => [],
      onChange: () => undefined,
    },
  );
  story.lessee.start();
}

Given(
  /^an edge and cores that hold each question for (\d+) ms and say so, standing at 5, with epoch 5 settled$/,
  async function given(this: UnitStory, milliseconds: string) {
    await startEdge(
      this,
      [0, 1, 2].map(() => ({ delay: Number(milliseconds), held: Number(milliseconds) })),
    );
  },
);

Then(/^between ([\d.]+) s and ([\d.]+) s of it are left$/, function then(this: UnitStory, least: string, most: string) {
  const left = this.lessee.leaseUntil('ferries') - this.kernel.clock.now();
  assert.ok(left >= Number(least) * 1_000 && left <= Number(most) * 1_000, `${left} ms are left`);
});

Given(
  'an edge whose cores tell of a configuration without its content, and show it to whoever asks under their set',
  async function given(this: UnitStory) {
    this.world = worlds.create(44);
    const seats = [0, 1, 2].map(seatOf);
    const ballot = { counter: 1, node: 'core-1' };
    for (const [index, seat] of seats.entries()) {
      const { kernel } = this.world.spawn(`core-${index + 1}`, `core-machine-${index + 1}`);
      const told = new Set<Caller>();
      await peer.listen(kernel, identifiers.address(seat.address), {
        hello: () =>
          ({
            node: seat.node,
            role: 'core',
            incarnation: 1,
            fleet: 'fleet',
            founding: '',
            cores: [...seats],
            set: { number: 1, seats: [...seats], epochs: {} },
            knownPuts: 0,
            superseded: false,
          }) as Reply<'hello'>,
        lease: async function lease(ask, caller) {
          if (!told.has(caller)) caller.change({ number: 1, set: 1, key: 'configuration', entry: { ballot, version: 1, value: null } });
          told.add(caller);
          await kernel.clock.sleep(Math.min(ask.hold, 300));
          return {
            ready: true,
            held: 0,
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
            set: 1,
          };
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
    const { kernel } = this.world.spawn('edge-1', 'edge-machine');
    this.kernel = kernel;
    this.lessee = leaseHolder.create(
      kernel,
      { node: 'edge-1', area: 'north', seeds: () => seats.map((seat) => seat.address) },
      {
        released: () => ({}),
        positions: () => ({}),
        commitWatermarks: () => ({}),
        positionsAgo: () => 0,
        isLeaderMissing: () => false,
        demand: () => 0,
        refusedMembers: () => [],
        onChange: () => undefined,
      },
    );
    this.lessee.start();
  },
);

Then('within 1 s the edge obeys it', async function then(this: UnitStory) {
  await this.world.run(1_000);
  assert.deepEqual([...this.lessee.services()], ['ferries']);
});

function hasLease(story: UnitStory): boolean {
  return story.lessee.leaseUntil('ferries') > story.kernel.clock.now();
}

/** `-` is a core that is not ready. */
function stubsOf(stances: string): ReadonlyArray<Partial<StubCore>> {
  return stances.split(', ').map((one) => (one === '-' ? { ready: false, stance: 5 } : { stance: Number(one) }));
}

Given(/^an edge and cores that stand at ([-\d, ]+), and epoch 5 settled$/, async function given(this: UnitStory, stances: string) {
  await startEdge(this, stubsOf(stances));
  await this.world.run(3_000);
  const settled = this.lessee.electedPrimary('ferries');
  assert.ok(Option.isSome(settled) && settled.value.epoch === 5);
});

Then(/^the edge has (a|no) lease$/, function then(this: UnitStory, lease: string) {
  assert.equal(hasLease(this), lease === 'a');
});

Given(
  'an edge and cores that reply after {int} ms, standing at 5, with epoch 5 settled',
  async function given(this: UnitStory, delay: number) {
    await startEdge(this, [{ delay }, { delay }, { delay }]);
  },
);

When('the edge has its first lease', async function when(this: UnitStory) {
  for (let spent = 0; !hasLease(this) && spent < 5_000; spent += 1) await this.world.run(1);
  assert.ok(hasLease(this));
});

Then('no more than {float} s of it are left', function then(this: UnitStory, seconds: number) {
  const left = this.lessee.leaseUntil('ferries') - this.kernel.clock.now();
  assert.ok(left <= seconds * 1_000 && left > seconds * 1_000 - 100, `${left} ms are left`);
});

When('the cores fall silent', function when(this: UnitStory) {
  for (const stub of this.cores) {
    stub.silent = true;
    stub.reply = () => new Promise(() => undefined);
  }
});

Then('the lease is over within 2 s and does not come back', async function then(this: UnitStory) {
  // What had been asked before may still be replied, and counts from when it was asked.
  await this.world.run(2_000);
  for (let round = 0; round < 30; round += 1) {
    assert.equal(hasLease(this), false);
    await this.world.run(100);
  }
});

async function standAt(story: UnitStory, stances: string): Promise<void> {
  for (const [index, stub] of stubsOf(stances).entries()) Object.assign(story.cores[index] as StubCore, stub);
  await story.world.run(1_000);
}

When(/^the cores stand at ([\d, ]+)$/, async function when(this: UnitStory, stances: string) {
  await standAt(this, stances);
});

When(/^the cores stand at ([\d, ]+) and epoch (\d+) is settled$/, async function when(this: UnitStory, stances: string, epoch: string) {
  for (const stub of this.cores) for (const caller of stub.lessees) caller.change(settledChange(Number(epoch)));
  await standAt(this, stances);
});

Then('the edge has no lease, and lets go of what is below {int}', function then(this: UnitStory, epoch: number) {
  assert.equal(hasLease(this), false);
  assert.equal(this.lessee.releaseEpoch('ferries'), epoch);
});

Then('the edge has a lease, and lets go of nothing', function then(this: UnitStory) {
  assert.equal(hasLease(this), true);
  assert.ok(this.lessee.releaseEpoch('ferries') <= 5);
});

function rosterEntry(draining: boolean): MemberRecord {
  return { ...registration('member-1', 4, draining), gone: false, down: false };
}

Given(
  'an edge whose held ask at each core is overtaken by a later one that says {string} is draining',
  async function given(this: UnitStory, member: string) {
    const held: Array<() => void> = [];
    this.freed = () => held.forEach((reply) => reply());
    await startEdge(this, [{}, {}, {}]);
    for (const stub of this.cores) {
      let asks = 0;
      stub.reply = async function reply(ask) {
        asks += 1;
        if (asks === 1) return { number: 1, whole: true, roster: [rosterEntry(false)] };
        if (ask.hold > 0) {
          await new Promise<void>((resolve) => held.push(resolve));
          return { number: 2, roster: [rosterEntry(false)] };
        }
        return { number: 3, roster: [rosterEntry(true)] };
      };
    }
    await this.world.run(400);
    assert.deepEqual(
      this.lessee.members().map((entry) => [entry.member, entry.draining]),
      [[member, false]],
    );
    assert.equal(held.length, 3);
    this.lessee.reportNow();
    await this.world.run(100);
    assert.deepEqual(
      this.lessee.members().map((entry) => entry.draining),
      [true],
    );
  },
);

When('the held asks are replied after all, with {string} in service', async function when(this: UnitStory, _member: string) {
  this.freed();
  await this.world.run(100);
});

Then('the edge knows {string} as draining', function then(this: UnitStory, member: string) {
  assert.deepEqual(
    this.lessee.members().map((entry) => [entry.member, entry.draining]),
    [[member, true]],
  );
});

// -- The core's half.

function lesseesOf(story: UnitStory): readonly string[] {
  const known = story.lessor.leaseHolders();
  assert.ok(Option.isSome(known), 'it does not say');
  return known.value;
}

async function startLessor(story: UnitStory, ready: boolean): Promise<void> {
  story.world = worlds.create(45);
  story.roster = rosterOn(story.world, 'core-1');
  story.kernel = story.world.spawn('core', 'core-machine').kernel;
  story.stance = 5;
  story.openedAt = story.kernel.clock.now();
  story.replied = [];
  story.lessor = leaseGrantor.create(story.kernel, {
    ready: () => ready,
    openedAt: () => story.openedAt,
    epochs: () => ({ ferries: story.stance }),
    configuration: () => 1,
    membership: () => 1,
    puts: () => 1,
    registry: story.roster,
    isLeaderMissing: () => false,
    onConnectionRefused: () => undefined,
  });
  await story.world.run(10);
  // A process before it may have granted some: it names none until these have ended.
  assert.ok(Option.isNone(story.lessor.leaseHolders()));
  await story.world.run(2_600);
}

Given("a core's half of the leases, standing at 5", async function given(this: UnitStory) {
  await startLessor(this, true);
});

Given("a core's half of the leases, not ready", async function given(this: UnitStory) {
  await startLessor(this, false);
});

function askOf(node: string, released: number, change: Partial<Request<'lease'>> = {}): Request<'lease'> {
  return leaseAsk(node, { released: released === 0 ? {} : { ferries: released }, ...change });
}

When(
  '{string} asks, and 1 s later {string} asks, having released what is below {int}',
  async function when(this: UnitStory, first: string, second: string, epoch: number) {
    await this.lessor.grant(askOf(first, 0));
    await this.world.run(1_000);
    await this.lessor.grant(askOf(second, epoch));
  },
);

When('{string} asks, having released what is below {int}', async function when(this: UnitStory, node: string, epoch: number) {
  await this.lessor.grant(askOf(node, epoch));
});

Then('both count, and the epoch {int} is not released by both', function then(this: UnitStory, epoch: number) {
  assert.deepEqual([...lesseesOf(this)].sort(), ['edge-1', 'edge-2']);
  assert.equal(this.lessor.hasReleased('ferries', epoch, ['edge-1', 'edge-2']), false);
  assert.equal(this.lessor.hasReleased('ferries', epoch, ['edge-2']), true);
  assert.equal(this.lessor.hasReleased('ferries', epoch, ['edge-3']), false);
});

Then('the epoch {int} is released by both, and {int} is not', function then(this: UnitStory, epoch: number, next: number) {
  assert.equal(this.lessor.hasReleased('ferries', epoch, ['edge-1', 'edge-2']), true);
  assert.equal(this.lessor.hasReleased('ferries', next, ['edge-1', 'edge-2']), false);
});

When('{float} s pass since the asks', async function when(this: UnitStory, seconds: number) {
  await this.world.run(seconds * 1_000 - 200);
  assert.deepEqual(lesseesOf(this).length, 2);
  await this.world.run(200);
});

When('its core is given a seat anew', function when(this: UnitStory) {
  this.openedAt = this.kernel.clock.now();
});

Then(
  "it can't say for {float} s whom leases were granted to, and names none after that",
  async function then(this: UnitStory, seconds: number) {
    await this.world.run(seconds * 1_000 - 20);
    assert.ok(Option.isNone(this.lessor.leaseHolders()), 'it names edges though another occupant of its seat may have granted leases');
    await this.world.run(40);
    assert.deepEqual(lesseesOf(this), []);
  },
);

Then('none counts', function then(this: UnitStory) {
  assert.deepEqual(lesseesOf(this), []);
});

Then('a reply to {string} names no stance', async function then(this: UnitStory, node: string) {
  const reply = await this.lessor.grant(askOf(node, 0));
  assert.deepEqual([reply.ready, reply.stances], [false, {}]);
});

When("{string} asks twice, and the core's stance changes 100 ms later", async function when(this: UnitStory, node: string) {
  const first = await this.lessor.grant(askOf(node, 0, { hold: 450 }));
  void this.lessor
    .grant(askOf(node, 0, { token: first.token, seen: first.number, hold: 450 }))
    .then((reply) => this.replied.push({ at: this.world.now(), reply }));
  await this.world.run(100);
  assert.deepEqual(this.replied, []);
  this.stance = 6;
  this.changedAt = this.world.now();
  this.lessor.notify();
  await this.world.run(500);
});

Then('the second ask is replied within {int} ms of the change, with the new stance', function then(this: UnitStory, milliseconds: number) {
  const [replied] = this.replied;
  assert.ok(replied !== undefined && replied.at - this.changedAt <= milliseconds, JSON.stringify(this.replied));
  assert.deepEqual(replied.reply.stances, { ferries: 6 });
});
