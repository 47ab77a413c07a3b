// Steps of the stories of units.feature: roster, leases, freshness and connections, each alone on virtual time.
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import * as Option from 'fp-ts/lib/Option.js';
import { liveness, livenessService } from '@stallstall/elect';
import { identifiers, type Kernel, type Listening, type Stream } from '@stallstall/kernel';
import { lessee, lessor, type Lessee, type Lessor } from '@stallstall/lease';
import type { Ask, Reply, RosterEntry, Seat } from '@stallstall/message';
import { peer, type Caller } from '@stallstall/peer';
import { wire } from '@stallstall/platform';
import { connections, type Connections, type PooledLine } from '@stallstall/pooler/connections';
import { freshness } from '@stallstall/pooler/freshness';
import { roster, type Registration, type Roster, type Spread } from '@stallstall/roster';
import { world as worlds, type Process, type World } from '@stallstall/simulator';
import { positions, type MemberPlace, type Position } from '@stallstall/statement';

type StubCore = {
  stance: number | undefined;
  silent: boolean;
  ready: boolean;
  number: number;
  settled: number;
  delay: number;
  held: number;
  lessees: Set<Caller>;
  reply: ((ask: Ask<'lease'>) => Promise<Partial<Reply<'lease'>>>) | undefined;
};

type UnitStory = {
  world: World;
  kernel: Kernel;
  roster: Roster;
  other: Roster;
  taken: Map<number, boolean>;
  changesSeen: number;
  cores: StubCore[];
  lessee: Lessee;
  freed: () => void;
  lessor: Lessor;
  stance: number;
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

function rosterOn(world: World, name: string): Roster {
  const { kernel } = world.spawn(name, `${name}-machine`);
  kernel.services.offer(livenessService, liveness.create(kernel));
  return roster.create(kernel, () => undefined);
}

function known(of: Roster, member: string): RosterEntry {
  const entry = of.entryOf(member);
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
  this.changesSeen = this.roster.number();
  this.taken.set(sequence, this.roster.beat(registration(member, sequence, true)));
});

When('{string} beats with number {int} as in service', function when(this: UnitStory, member: string, sequence: number) {
  this.changesSeen = this.roster.number();
  this.taken.set(sequence, this.roster.beat(registration(member, sequence, false)));
});

When('{string} leaves', function when(this: UnitStory, member: string) {
  this.roster.leave(member);
});

When('another core tells of a beat of {string} with number {int}', function when(this: UnitStory, member: string, sequence: number) {
  this.roster.take([{ entry: { ...registration(member, sequence, false), gone: false, down: false }, ago: 0 }]);
});

When('another core tells that {string} has left', function when(this: UnitStory, member: string) {
  this.roster.take([{ entry: { ...registration(member, 7, false), gone: true, down: false }, ago: 0 }]);
});

When('{float} s pass and the roster looks', async function when(this: UnitStory, seconds: number) {
  await this.world.run(seconds * 1_000);
  this.changesSeen = this.roster.number();
  this.roster.step();
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
    this.roster.spread().map((one) => one.entry.sequence),
    [sequence],
  );
  this.roster.beat(registration('member-1', sequence - 2, false));
  assert.deepEqual(this.roster.spread(), []);
});

Then('{string} is gone, of no service, and spread as gone', function then(this: UnitStory, member: string) {
  assert.equal(known(this.roster, member).gone, true);
  assert.deepEqual(this.roster.membersOf('ferries'), []);
  assert.deepEqual(
    this.roster.spread().map((one) => [one.entry.member, one.entry.gone]),
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
  assert.equal(this.roster.number(), this.changesSeen + 1);
  assert.deepEqual(
    this.roster.since(this.changesSeen).map((entry) => entry.member),
    [member],
  );
});

Then('its readers are told of no change', function then(this: UnitStory) {
  assert.equal(this.roster.number(), this.changesSeen);
  assert.deepEqual(this.roster.since(this.changesSeen), []);
});

Then(
  'what is spread to the other core is {string} of {int} s ago, and nothing the next time',
  function then(this: UnitStory, member: string, seconds: number) {
    const told: readonly Spread[] = this.roster.spread();
    assert.deepEqual(
      told.map((one) => one.entry.member),
      [member],
    );
    // Each process has a clock of its own, and they do not go at one rate.
    assert.ok(Math.abs((told[0]?.ago ?? 0) - seconds * 1_000) < seconds * 20, JSON.stringify(told));
    assert.deepEqual(this.roster.spread(), []);
    this.other.take(told);
  },
);

Then('the other core spreads nothing of it, and has it down {int} s later', async function then(this: UnitStory, seconds: number) {
  assert.deepEqual(this.other.spread(), []);
  this.other.step();
  assert.equal(known(this.other, 'member-1').down, false);
  await this.world.run(seconds * 1_000 + 150);
  this.other.step();
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
  story.lessee = lessee.create(
    kernel,
    { node: 'edge-1', area: 'north', seeds: () => seats.map((seat) => seat.address) },
    {
      released: () => ({}),
      positions: () => ({}),
      marks: () => ({}),
      positionsAgo: () => 0,
      troubled: () => false,
      demand: () => 0,
      notListening: () => [],
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
    this.lessee = lessee.create(
      kernel,
      { node: 'edge-1', area: 'north', seeds: () => seats.map((seat) => seat.address) },
      {
        released: () => ({}),
        positions: () => ({}),
        marks: () => ({}),
        positionsAgo: () => 0,
        troubled: () => false,
        demand: () => 0,
        notListening: () => [],
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
  const settled = this.lessee.settled('ferries');
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
  assert.equal(this.lessee.release('ferries'), epoch);
});

Then('the edge has a lease, and lets go of nothing', function then(this: UnitStory) {
  assert.equal(hasLease(this), true);
  assert.ok(this.lessee.release('ferries') <= 5);
});

function rosterEntry(draining: boolean): RosterEntry {
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
      this.lessee.roster().map((entry) => [entry.member, entry.draining]),
      [[member, false]],
    );
    assert.equal(held.length, 3);
    this.lessee.tell();
    await this.world.run(100);
    assert.deepEqual(
      this.lessee.roster().map((entry) => entry.draining),
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
    this.lessee.roster().map((entry) => [entry.member, entry.draining]),
    [[member, true]],
  );
});

// -- The core's half.

function lesseesOf(story: UnitStory): readonly string[] {
  const known = story.lessor.lessees();
  assert.ok(Option.isSome(known), 'it does not say');
  return known.value;
}

async function startLessor(story: UnitStory, ready: boolean): Promise<void> {
  story.world = worlds.create(45);
  story.roster = rosterOn(story.world, 'core-1');
  story.kernel = story.world.spawn('core', 'core-machine').kernel;
  story.stance = 5;
  story.replied = [];
  story.lessor = lessor.create(story.kernel, {
    ready: () => ready,
    stances: () => ({ ferries: story.stance }),
    configuration: () => 1,
    membership: () => 1,
    puts: () => 1,
    roster: story.roster,
    troubled: () => false,
    onNotListening: () => undefined,
  });
  await story.world.run(10);
  // A process before it may have granted some: it names none until these have ended.
  assert.ok(Option.isNone(story.lessor.lessees()));
  await story.world.run(2_600);
}

Given("a core's half of the leases, standing at 5", async function given(this: UnitStory) {
  await startLessor(this, true);
});

Given("a core's half of the leases, not ready", async function given(this: UnitStory) {
  await startLessor(this, false);
});

function askOf(node: string, released: number, change: Partial<Ask<'lease'>> = {}): Ask<'lease'> {
  return {
    node,
    area: 'north',
    token: '',
    seen: 0,
    hold: 0,
    acknowledged: 0,
    obeyed: 0,
    released: released === 0 ? {} : { ferries: released },
    positions: {},
    marks: {},
    positionsAgo: 0,
    demand: 1,
    content: true,
    notListening: [],
    ...change,
  };
}

When(
  '{string} asks, and 1 s later {string} asks, having released what is below {int}',
  async function when(this: UnitStory, first: string, second: string, epoch: number) {
    await this.lessor.lease(askOf(first, 0));
    await this.world.run(1_000);
    await this.lessor.lease(askOf(second, epoch));
  },
);

When('{string} asks, having released what is below {int}', async function when(this: UnitStory, node: string, epoch: number) {
  await this.lessor.lease(askOf(node, epoch));
});

Then('both count, and the epoch {int} is not released by both', function then(this: UnitStory, epoch: number) {
  assert.deepEqual([...lesseesOf(this)].sort(), ['edge-1', 'edge-2']);
  assert.equal(this.lessor.released('ferries', epoch, ['edge-1', 'edge-2']), false);
  assert.equal(this.lessor.released('ferries', epoch, ['edge-2']), true);
  assert.equal(this.lessor.released('ferries', epoch, ['edge-3']), false);
});

Then('the epoch {int} is released by both, and {int} is not', function then(this: UnitStory, epoch: number, next: number) {
  assert.equal(this.lessor.released('ferries', epoch, ['edge-1', 'edge-2']), true);
  assert.equal(this.lessor.released('ferries', next, ['edge-1', 'edge-2']), false);
});

When('{float} s pass since the asks', async function when(this: UnitStory, seconds: number) {
  await this.world.run(seconds * 1_000 - 200);
  assert.deepEqual(lesseesOf(this).length, 2);
  await this.world.run(200);
});

Then('none counts', function then(this: UnitStory) {
  assert.deepEqual(lesseesOf(this), []);
});

Then('a reply to {string} names no stance', async function then(this: UnitStory, node: string) {
  const reply = await this.lessor.lease(askOf(node, 0));
  assert.deepEqual([reply.ready, reply.stances], [false, {}]);
});

When("{string} asks twice, and the core's stance changes 100 ms later", async function when(this: UnitStory, node: string) {
  const first = await this.lessor.lease(askOf(node, 0, { hold: 450 }));
  void this.lessor
    .lease(askOf(node, 0, { token: first.token, seen: first.number, hold: 450 }))
    .then((reply) => this.replied.push({ at: this.world.now(), reply }));
  await this.world.run(100);
  assert.deepEqual(this.replied, []);
  this.stance = 6;
  this.changedAt = this.world.now();
  this.lessor.changed();
  await this.world.run(500);
});

Then('the second ask is replied within {int} ms of the change, with the new stance', function then(this: UnitStory, milliseconds: number) {
  const [replied] = this.replied;
  assert.ok(replied !== undefined && replied.at - this.changedAt <= milliseconds, JSON.stringify(this.replied));
  assert.deepEqual(replied.reply.stances, { ferries: 6 });
});

// -- Freshness.

Then('over {int} seeded histories no bound is covered by a position below what was acknowledged before it', function then(count: number) {
  const random = worlds.create(47).fraction;
  for (let round = 0; round < count; round += 1) {
    const table = freshness.create(() => identifiers.instant(0));
    /** How far the log had been acknowledged by each moment. */
    const log: number[] = [0];
    for (let at = 1; at < 400; at += 1) log.push((log[at - 1] as number) + (random() < 0.3 ? 1 : 0));
    const asked = Array.from({ length: 60 }, () => Math.floor(random() * 380)).map((at) => ({
      at,
      repliedAt: Math.min(399, at + Math.floor(random() * 20)),
    }));
    asked.sort((left, right) => left.repliedAt - right.repliedAt);
    for (const one of asked) {
      table.learnt('ferries', identifiers.instant(one.at), {
        term: 3,
        number: log[Math.min(one.repliedAt, one.at + Math.floor(random() * 5))] as number,
      });
      for (let moment = 0; moment <= one.repliedAt; moment += 7) {
        const covering = table.covering('ferries', identifiers.instant(moment));
        if (Option.isSome(covering)) assert.ok(covering.value.number >= (log[moment] as number), `round ${round}, moment ${moment}`);
      }
    }
    const newest = Math.max(...asked.map((one) => one.at));
    assert.ok(Option.isSome(table.covering('ferries', identifiers.instant(newest))));
  }
});

Then('a moment after the newest question is covered by nothing', function then() {
  const table = freshness.create(() => identifiers.instant(0));
  table.learnt('ferries', identifiers.instant(100), { term: 3, number: 9 });
  table.learnt('ferries', identifiers.instant(60), { term: 3, number: 12 });
  assert.deepEqual(table.covering('ferries', identifiers.instant(100)), Option.some({ term: 3, number: 9 }));
  assert.ok(Option.isNone(table.covering('ferries', identifiers.instant(101))));
  assert.ok(Option.isNone(table.covering('trams', identifiers.instant(50))));
  table.learnt('ferries', identifiers.instant(200), { term: 3, number: 4 });
  assert.deepEqual(
    table.covering('ferries', identifiers.instant(150)),
    Option.some({ term: 3, number: 9 }),
    'what was covered once stays covered',
  );
});

Then('of two commits the later stands', function then() {
  const table = freshness.create(() => identifiers.instant(0));
  const told: readonly Position[] = [
    { term: 3, number: 9 },
    { term: 2, number: 40 },
    { term: 3, number: 11 },
    { term: 3, number: 10 },
  ];
  for (const position of told) table.committed('ferries', position);
  assert.deepEqual(table.commits(), { ferries: { term: 3, number: 11 } });
  assert.ok(positions.compare({ term: 2, number: 40 }, { term: 3, number: 1 }) < 0);
});

// -- Connections.

const place: MemberPlace = { service: 'ferries', member: 'member-1', address: '10.3.0.1:5000' };

async function listenAsMember(story: UnitStory): Promise<void> {
  async function task(stream: Stream): Promise<void> {
    const framer = wire.framer(100_000);
    for (;;) {
      const piece = await stream.read();
      if (Option.isNone(piece)) return;
      for (const message of framer.push(piece.value).messages) {
        story.heard.push(message);
        stream.write(message.startsWith('OPEN') ? story.opening : 'DONE -\r\nIDLE I 3.1\r\n');
      }
    }
  }
  story.memberListening = await story.member.kernel.network.listenStream(identifiers.address(place.address), (stream) => void task(stream));
}

Given('connections to a member, with a share of {int}', async function given(this: UnitStory, share: number) {
  this.world = worlds.create(49);
  this.heard = [];
  this.opening = 'IDLE I 3.1\r\n';
  this.member = this.world.spawn('member-1', 'member-machine');
  await listenAsMember(this);
  this.kernel = this.world.spawn('proxy', 'edge-machine').kernel;
  this.connections = connections.create(
    this.kernel,
    wire,
    () => ({ most: share, kept: share }),
    () => undefined,
  );
});

When('tenant {string} wants {int}', async function when(this: UnitStory, tenant: string, count: number) {
  this.wanted = Array.from({ length: count }, () => this.connections.want(place, tenant));
  await this.world.run(50);
});

function take(story: UnitStory, tenant: string, session: string): PooledLine {
  const taken = story.connections.take(place, tenant, session);
  assert.ok(Option.isSome(taken), `none can be taken for ${tenant}`);
  return taken.value;
}

Then('{int} are opened, and the third was told that there is no room', function then(this: UnitStory, count: number) {
  assert.deepEqual(this.wanted, [true, true, false]);
  assert.deepEqual(
    this.heard,
    Array.from({ length: count }, () => 'OPEN ferries a member-1'),
  );
});

Then('{int} can be taken, and no third', function then(this: UnitStory, count: number) {
  for (let index = 0; index < count; index += 1) take(this, 'a', `s${index}`);
  assert.equal(this.connections.busy('member-1'), count);
  assert.ok(Option.isNone(this.connections.take(place, 'a', 's9')));
  assert.equal(this.connections.want(place, 'a'), false);
});

When('it is taken for session {string}', function when(this: UnitStory, session: string) {
  this.pooled = take(this, 'a', session);
});

When('it is given back', function when(this: UnitStory) {
  this.connections.giveBack(this.pooled, true);
});

Then('tenant {string} finds no room', function then(this: UnitStory, tenant: string) {
  assert.equal(this.connections.want(place, tenant), false);
});

Then(
  "the member heard that a's was closed, and {string} can take one while {string} cannot",
  function then(this: UnitStory, taker: string, other: string) {
    assert.deepEqual(this.wanted, [true]);
    assert.deepEqual([...this.heard].sort(), ['CLOSE', 'OPEN ferries a member-1', 'OPEN ferries b member-1']);
    assert.ok(Option.isNone(this.connections.take(place, other, 's1')));
    assert.equal(take(this, taker, 's2').tenant, taker);
  },
);

Then('a session that gave one back is handed the same one again', function then(this: UnitStory) {
  const [first, second, third] = ['s1', 's2', 's3'].map((session) => take(this, 'a', session)) as [PooledLine, PooledLine, PooledLine];
  second.image.values.set('mood', 'calm');
  third.image.values.set('mood', 'calm');
  for (const pooled of [second, first, third]) this.connections.giveBack(pooled, true);
  for (const [session, pooled] of [
    ['s1', first],
    ['s2', second],
    ['s3', third],
  ] as const) {
    assert.equal(take(this, 'a', session), pooled);
    this.connections.giveBack(pooled, true);
  }
  this.pooled = first;
});

Then('another session is handed one on which no values stand', function then(this: UnitStory) {
  assert.equal(take(this, 'a', 's9'), this.pooled);
});

Then('one that is given back as not sound is not handed out again', async function then(this: UnitStory) {
  this.connections.giveBack(this.pooled, false);
  assert.ok(this.pooled.line.closed());
  for (const session of ['s1', 's9']) assert.notEqual(take(this, 'a', session), this.pooled);
  assert.ok(Option.isNone(this.connections.take(place, 'a', 's1')));
  await this.world.run(20);
});

When('nothing listens there', async function when(this: UnitStory) {
  await this.memberListening.stop();
});

/** For how long nobody may wait for the member, after the failure of just now. */
async function alone(story: UnitStory): Promise<number> {
  const began = story.world.now();
  const opened = story.connections.describe().opened;
  while (!story.connections.want(place, 'a') && story.world.now() - began < 5_000) await story.world.run(1);
  assert.equal(story.connections.describe().opened, opened + 1);
  return story.world.now() - began;
}

/** Until the opening under way has failed. */
async function failed(story: UnitStory): Promise<void> {
  while (story.connections.describe().opening > 0) await story.world.run(1);
}

Then(
  'it is failing, told as not listening, and left alone for {int} to {int} ms',
  async function then(this: UnitStory, least: number, most: number) {
    assert.deepEqual([this.connections.failing('member-1'), this.connections.notListening()], [true, ['member-1']]);
    // The opening failed within the 50 ms that have passed since it was wanted.
    const spent = await alone(this);
    assert.ok(spent >= least - 50 && spent <= most, `${spent} ms`);
    await failed(this);
  },
);

Then(
  'after {int} failures it is left alone for {int} to {int} ms',
  async function then(this: UnitStory, count: number, least: number, most: number) {
    let spent = 0;
    let before = 0;
    for (let failures = 2; failures < count; failures += 1) {
      before = spent;
      spent = await alone(this);
      await failed(this);
      if (failures < 5) assert.ok(spent > before, `${spent} ms after ${failures} failures, ${before} ms before`);
    }
    assert.equal(this.connections.describe().failed, count);
    spent = await alone(this);
    assert.ok(spent >= least - 5 && spent <= most + 5, `${spent} ms`);
    await failed(this);
  },
);

When('it listens again and tenant {string} wants 1', async function when(this: UnitStory, tenant: string) {
  await listenAsMember(this);
  await this.world.run(2_000);
  assert.equal(this.connections.want(place, tenant), true);
  await this.world.run(50);
});

Then('it is neither failing nor told as not listening', function then(this: UnitStory) {
  assert.deepEqual([this.connections.failing('member-1'), this.connections.notListening()], [false, []]);
  // Its failures are forgotten, also once this connection is lost.
  this.connections.giveBack(take(this, 'a', 's1'), false);
  assert.equal(this.connections.failing('member-1'), false);
});

Then('it is failing, and not told as not listening', function then(this: UnitStory) {
  assert.deepEqual([this.connections.failing('member-1'), this.connections.notListening()], [true, []]);
});

When('its machine goes dark, and tenant {string} wants 1', async function when(this: UnitStory, tenant: string) {
  this.world.darken('member-machine');
  assert.equal(this.connections.want(place, tenant), true);
  await this.world.run(1_100);
});

When(
  'its machine is lit and it replies {string} to every opening, and tenant {string} wants 1',
  async function when(this: UnitStory, opening: string, tenant: string) {
    this.world.light('member-machine');
    this.opening = `${opening}\r\n`;
    await this.world.run(1_000);
    assert.equal(this.connections.want(place, tenant), true);
    await this.world.run(1_100);
  },
);

When('{float} s of connections pass', async function when(this: UnitStory, seconds: number) {
  assert.deepEqual(this.connections.notListening(), ['member-1']);
  await this.world.run(seconds * 1_000);
});

async function rested(
  story: UnitStory,
  milliseconds: number,
  members: ReadonlyMap<string, Readonly<{ address: string }>>,
): Promise<boolean> {
  await story.world.run(milliseconds);
  story.connections.tend(members);
  const taken = story.connections.take(place, 'a', 's1');
  if (Option.isSome(taken)) story.connections.giveBack(taken.value, true);
  return Option.isSome(taken);
}

const atItsPlace = new Map([[place.member, { address: place.address }]]);

Then('after 19 s of rest it can still be had, and after 21 s not', async function then(this: UnitStory) {
  assert.equal(await rested(this, 19_000, atItsPlace), true);
  assert.equal(await rested(this, 21_000, atItsPlace), false);
  await this.world.run(20);
  assert.ok(this.heard.includes('CLOSE'));
});

Then('once its member moved or left it cannot be had', async function then(this: UnitStory) {
  for (const members of [new Map([[place.member, { address: '10.3.0.2:5000' }]]), new Map<string, Readonly<{ address: string }>>()]) {
    assert.equal(this.connections.want(place, 'a'), true);
    await this.world.run(50);
    assert.equal(await rested(this, 0, atItsPlace), true);
    assert.equal(await rested(this, 0, members), false);
  }
});
