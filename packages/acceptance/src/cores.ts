/** Steps of the stories about a set of cores that changes by itself (design 4.8). */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { coreFleet, type CoreFleet, type CoreMachine } from '@stallstall/simulator';

type CoreStory = { cores: CoreFleet; operator: Readonly<{ stop: () => void }>; lost: string[]; acknowledgedThen: number };

function alive(fleet: CoreFleet): readonly CoreMachine[] {
  return fleet.machines.filter((machine) => machine.process?.alive() === true);
}

/** All that run and are of the set stand at the same one, and it has these cores. */
function standAt(fleet: CoreFleet, holds: (cores: readonly string[]) => boolean): boolean {
  const sets = alive(fleet).map((machine) => ({ machine, set: fleet.setOf(machine) }));
  const newest = Math.max(...sets.map((one) => one.set.number));
  const cores = sets.find((one) => one.set.number === newest)?.set.cores ?? [];
  return (
    holds(cores) &&
    sets
      .filter((one) => cores.includes(one.machine.name))
      .every((one) => one.set.number === newest && one.set.cores.length === cores.length)
  );
}

function reported(fleet: CoreFleet): string {
  return JSON.stringify(fleet.machines.map((machine) => ({ name: machine.name, ...fleet.setOf(machine) })));
}

async function within(fleet: CoreFleet, seconds: number, holds: (cores: readonly string[]) => boolean): Promise<void> {
  assert.ok(await fleet.until(() => standAt(fleet, holds), seconds * 1_000), reported(fleet));
}

async function readBack(fleet: CoreFleet): Promise<void> {
  assert.deepEqual(fleet.violations, []);
  const before = fleet.acknowledged();
  assert.ok(before > 0, 'nothing was acknowledged');
  for (const machine of alive(fleet)) {
    if (!fleet.setOf(machine).cores.includes(machine.name)) continue;
    const read = await fleet.readAt(machine);
    assert.ok(Option.isSome(read) && read.value >= before, `${machine.name} read ${JSON.stringify(read)} after ${before} was acknowledged`);
  }
}

Given(
  '{int} cores that founded a fleet, an edge with its lease, and an operator who sends configurations',
  async function given(this: CoreStory, founded: number) {
    this.cores = await coreFleet.create(5, founded);
    this.operator = this.cores.startOperator();
    this.lost = [];
    await this.cores.world.run(1_500);
  },
);

When('core-{int} is lost for good', function when(this: CoreStory, index: number) {
  this.lost.push(`core-${index}`);
  this.cores.kill(this.cores.machine(`core-${index}`));
});

When(
  'a blank machine comes whose seeds name core-{int} and core-{int}',
  async function when(this: CoreStory, first: number, second: number) {
    await this.cores.spare([first, second].map((index) => this.cores.machine(`core-${index}`).address));
  },
);

// Orders that come faster than such disks can decide them keep each other from being decided, whichever cores are there.
When('every disk takes {int} ms more, and the operator sends every {int} ms', function when(this: CoreStory, disk: number, send: number) {
  this.cores.slowDisks(disk);
  this.operator.stop();
  this.operator = this.cores.startOperator(send);
});

When('a blank machine comes that can reach nobody', async function when(this: CoreStory) {
  await this.cores.spare(['10.9.9.9:7000']);
  await this.cores.world.run(1_000);
});

When(
  'core-{int} is killed and comes back after {float} s with its disk',
  async function when(this: CoreStory, index: number, seconds: number) {
    const machine = this.cores.machine(`core-${index}`);
    this.cores.kill(machine);
    await this.cores.world.run(seconds * 1_000);
    await this.cores.start(machine, false);
  },
);

/** The successor comes first; the old machine is told to end, ends once it has drained, and is gone for good. */
async function replaceAsPlanned(fleet: CoreFleet, machine: CoreMachine): Promise<CoreMachine> {
  const successor = await fleet.spare(
    alive(fleet)
      .slice(0, 3)
      .map((one) => one.address),
  );
  await fleet.world.run(1_000);
  const drained = machine.running?.drain().then(() => fleet.kill(machine));
  let ended = false;
  void drained?.then(() => {
    ended = true;
  });
  await fleet.until(() => ended, 7_000);
  fleet.kill(machine);
  return successor;
}

When('core-{int} is replaced as planned by a blank machine', async function when(this: CoreStory, index: number) {
  const machine = this.cores.machine(`core-${index}`);
  this.lost.push(machine.name);
  await replaceAsPlanned(this.cores, machine);
});

When('core-{int} loses power', function when(this: CoreStory, index: number) {
  this.cores.kill(this.cores.machine(`core-${index}`));
});

When('core-{int} has power again', async function when(this: CoreStory, index: number) {
  await this.cores.start(this.cores.machine(`core-${index}`), false);
});

async function loseDisk(fleet: CoreFleet, machine: CoreMachine): Promise<void> {
  fleet.kill(machine);
  machine.disk = fleet.world.disk();
  await fleet.world.run(800);
  await fleet.start(machine, false);
}

When('core-{int} loses its disk and comes back', async function when(this: CoreStory, index: number) {
  await loseDisk(this.cores, this.cores.machine(`core-${index}`));
});

Then('within {int} s another configuration is acknowledged', async function then(this: CoreStory, seconds: number) {
  // What was under way when a core was lost says nothing of those that are left.
  await this.cores.world.run(1_000);
  const before = this.cores.acknowledged();
  assert.ok(await this.cores.until(() => this.cores.acknowledged() > before, seconds * 1_000), reported(this.cores));
});

async function killAsItCopies(fleet: CoreFleet, index: number): Promise<CoreMachine> {
  const machine = fleet.machine(`core-${index}`);
  const seen = fleet.world.logs.length;
  for (
    let spent = 0;
    !fleet.world.logs.slice(seen).some((line) => line.process === machine.name && line.event === 'core.copying');
    spent += 1
  ) {
    assert.ok(spent < 10_000, 'it never copied');
    await fleet.world.run(1);
  }
  await fleet.world.run(2);
  assert.equal(machine.running?.isOpen(), false);
  fleet.kill(machine);
  return machine;
}

When('core-{int} is killed as it copies, and comes back with its disk', async function when(this: CoreStory, index: number) {
  const machine = await killAsItCopies(this.cores, index);
  await this.cores.world.run(800);
  await this.cores.start(machine, false);
});

When('core-{int} is killed as it copies, for good', async function when(this: CoreStory, index: number) {
  await killAsItCopies(this.cores, index);
});

When('core-{int} is killed as soon as it is given a seat, for good', async function when(this: CoreStory, index: number) {
  const machine = this.cores.machine(`core-${index}`);
  function isSeated(fleet: CoreFleet): boolean {
    return alive(fleet).some((one) => fleet.setOf(one).cores.includes(machine.name));
  }
  for (let spent = 0; !isSeated(this.cores); spent += 1) {
    assert.ok(spent < 10_000, 'it was given no seat');
    await this.cores.world.run(1);
  }
  assert.equal(machine.running?.isOpen(), false);
  this.cores.kill(machine);
});

Then('no seat has changed hands', function then(this: CoreStory) {
  assert.ok(!this.cores.world.logs.some((line) => line.event === 'core.seated'));
});

When('{int} s of cores pass', async function when(this: CoreStory, seconds: number) {
  await this.cores.world.run(seconds * 1_000);
});

When('core-{int} is cut off', function when(this: CoreStory, index: number) {
  this.cores.cutOff(this.cores.machine(`core-${index}`));
  this.acknowledgedThen = this.cores.acknowledgedBy(`core-${index}`);
});

When('the cuts are healed', function when(this: CoreStory) {
  this.cores.healAll();
});

Then('core-{int} has acknowledged nothing since it was cut off', function then(this: CoreStory, index: number) {
  assert.equal(this.cores.acknowledgedBy(`core-${index}`), this.acknowledgedThen);
});

Then('core-{int} logged that it departed, and copied', function then(this: CoreStory, index: number) {
  const lines = this.cores.world.logs.filter((line) => line.process === `core-${index}`).map((line) => line.event);
  assert.ok(
    lines.includes('core.departed') && lines.lastIndexOf('core.copying') > lines.indexOf('core.departed'),
    lines.filter((line) => line.startsWith('core.')).join(' '),
  );
});

async function lastAcknowledger(fleet: CoreFleet): Promise<CoreMachine> {
  const before = fleet.acknowledged();
  assert.ok(await fleet.until(() => fleet.acknowledged() > before, 2_000));
  return fleet.machine(fleet.lastAcknowledger());
}

When(
  'the core that acknowledged last is lost for good, at once, and a blank machine takes its place',
  async function when(this: CoreStory) {
    const machine = await lastAcknowledger(this.cores);
    this.lost.push(machine.name);
    this.cores.kill(machine);
    await this.cores.world.run(1_000);
    await this.cores.spare(alive(this.cores).map((one) => one.address));
  },
);

When('the core that acknowledged last loses its disk, at once, and comes back', async function when(this: CoreStory) {
  const machine = await lastAcknowledger(this.cores);
  this.cores.kill(machine);
  machine.disk = this.cores.world.disk();
  await this.cores.world.run(800);
  await this.cores.start(machine, false);
});

Then(
  'within {int} s the cores are {int}, without the one that was lost',
  async function then(this: CoreStory, seconds: number, count: number) {
    await within(this.cores, seconds, (cores) => cores.length === count && this.lost.every((name) => !cores.includes(name)));
  },
);

Then(/^within (\d+) s the cores are (core-[^\d]*\d.*)$/, async function then(this: CoreStory, seconds: string, names: string) {
  const wanted = names.split(/, | and /);
  await within(this.cores, Number(seconds), (cores) => cores.join(' ') === wanted.join(' '));
});

Then('the edge follows {int} cores and its lease never ran out', async function then(this: CoreStory, count: number) {
  await this.cores.world.run(1_000);
  assert.equal(this.cores.edge.coreCount(), count);
  assert.equal(this.cores.leaseGaps(), 0);
});

Then('every core reads back what was acknowledged', async function then(this: CoreStory) {
  const before = this.cores.acknowledged();
  assert.ok(await this.cores.until(() => this.cores.acknowledged() > before, 5_000), 'nothing is acknowledged any more');
  this.operator.stop();
  await this.cores.world.run(2_000);
  await readBack(this.cores);
});

Then('core-{int} turns away a beat, a leave, a configuration and a read within 1 ms', async function then(this: CoreStory, index: number) {
  const { platformApi } = this.cores.machine(`core-${index}`);
  assert.ok(platformApi !== undefined && !platformApi.ready());
  assert.equal(
    await platformApi.heartbeat({
      member: 'bookings-1',
      service: 'bookings',
      address: '10.3.0.1:5000',
      area: 'north',
      draining: false,
      role: 'replica',
      slots: 4,
      sequence: 1,
    }),
    false,
  );
  assert.equal(await platformApi.leave('bookings-1'), false);
  const replies: Either.Either<unknown, unknown>[] = [];
  void platformApi.configure({ version: 9, source: '9' }, {}).then((reply) => replies.push(reply));
  void platformApi.readSource().then((reply) => replies.push(reply));
  await this.cores.world.run(1);
  assert.deepEqual(replies.map(Either.isLeft), [true, true]);
  this.operator.stop();
});

Then('core-{int} stands at set {int}', function then(this: CoreStory, index: number, number: number) {
  assert.equal(this.cores.setOf(this.cores.machine(`core-${index}`)).number, number);
});

/** Ends the core, and starts it over what its disk held that long ago. */
async function startWithOldCopy(story: CoreStory, index: number, seconds: number, failing: boolean): Promise<void> {
  const machine = story.cores.machine(`core-${index}`);
  const old = new Map(machine.disk.entries);
  await story.cores.world.run(seconds * 1_000);
  story.cores.kill(machine);
  machine.disk = story.cores.world.disk();
  for (const [key, value] of old) machine.disk.entries.set(key, value);
  await story.cores.world.run(500);
  machine.disk.trouble.failing = failing;
  await story.cores.start(machine, false);
  await story.cores.world.run(2_000);
}

When('core-{int} comes back with a copy of its disk that is {int} s old', function when(this: CoreStory, index: number, seconds: number) {
  return startWithOldCopy(this, index, seconds, false);
});

When(
  'core-{int} comes back with a copy of its disk that is {int} s old and takes no bytes for {int} s',
  async function when(this: CoreStory, index: number, seconds: number, failingSeconds: number) {
    await startWithOldCopy(this, index, seconds, true);
    await this.cores.world.run(failingSeconds * 1_000);
    this.cores.machine(`core-${index}`).disk.trouble.failing = false;
    await this.cores.world.run(2_000);
  },
);

Then('core-{int} logged that its disk is old, and copied', function then(this: CoreStory, index: number) {
  const lines = this.cores.world.logs.filter((line) => line.process === `core-${index}`).map((line) => line.event);
  assert.ok(
    lines.includes('core.old-disk') && lines.indexOf('core.copying') > lines.indexOf('core.old-disk'),
    lines.filter((line) => line.startsWith('core.')).join(' '),
  );
});

When('core-{int} comes back with its disk at {string}', async function when(this: CoreStory, index: number, host: string) {
  const machine = this.cores.machine(`core-${index}`);
  this.cores.kill(machine);
  machine.address = `${host}:7000`;
  machine.outward = `${host}:7001`;
  await this.cores.world.run(500);
  await this.cores.start(machine, false);
});

Then(
  'within {int} s every core lists core-{int} at {string}',
  async function then(this: CoreStory, seconds: number, index: number, address: string) {
    assert.ok(
      await this.cores.until(
        () =>
          alive(this.cores).every(
            (machine) => machine.running?.node.membership().value.seats.find((seat) => seat.node === `core-${index}`)?.address === address,
          ),
        seconds * 1_000,
      ),
      reported(this.cores),
    );
  },
);

async function firstProposer(fleet: CoreFleet): Promise<CoreMachine> {
  let found: string | undefined;
  for (let spent = 0; found === undefined && spent < 10_000; spent += 1) {
    await fleet.world.run(1);
    found = fleet.world.logs.find((line) => line.event === 'core.proposes')?.process;
  }
  assert.ok(found !== undefined, 'nobody proposed a step');
  return fleet.machine(found);
}

async function everyoneReadsBack(fleet: CoreFleet, operator: Readonly<{ stop: () => void }>): Promise<void> {
  const before = fleet.acknowledged();
  assert.ok(await fleet.until(() => fleet.acknowledged() > before, 5_000), 'nothing is acknowledged any more');
  operator.stop();
  await fleet.world.run(2_000);
  await readBack(fleet);
}

/** From before the step is decided until it has been told to everyone. */
async function killProposerAt(moment: number): Promise<void> {
  const fleet = await coreFleet.create(20 + moment, 3);
  const operator = fleet.startOperator();
  await fleet.world.run(1_000);
  fleet.kill(fleet.machine('core-3'));
  await fleet.spare(['core-1', 'core-2'].map((name) => fleet.machine(name).address));
  const proposer = await firstProposer(fleet);
  await fleet.world.run(moment / 2);
  fleet.kill(proposer);
  await fleet.world.run(800);
  await fleet.start(proposer, false);
  await within(fleet, 6, (cores) => cores.join(' ') === 'core-1 core-2 core-4');
  await everyoneReadsBack(fleet, operator);
}

async function killLeaverAt(moment: number): Promise<void> {
  const fleet = await coreFleet.create(60 + moment, 3);
  const operator = fleet.startOperator();
  await fleet.world.run(1_000);
  await fleet.spare(['core-1', 'core-2'].map((name) => fleet.machine(name).address));
  await fleet.world.run(1_000);
  void fleet.machine('core-1').running?.drain();
  const proposer = await firstProposer(fleet);
  assert.equal(proposer.name, 'core-1');
  await fleet.world.run(moment / 2);
  fleet.kill(proposer);
  await within(fleet, 4, (cores) => cores.join(' ') === 'core-2 core-3 core-4');
  await everyoneReadsBack(fleet, operator);
}

Then(
  'a step ends well though its proposer is killed at any of {int} moments around it',
  async function then(this: CoreStory, moments: number) {
    for (let moment = 0; moment < moments; moment += 1) await killProposerAt(moment);
  },
);

Then(
  'the successor has its seat though the leaver is killed at any of {int} moments around the step',
  async function then(this: CoreStory, moments: number) {
    for (let moment = 0; moment < moments; moment += 1) await killLeaverAt(moment);
  },
);
