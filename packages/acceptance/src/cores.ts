/** Steps of cores.feature, about a core set that changes without an operator (design 4.8). */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { coreFleet, type CoreFleet, type CoreMachine } from '@stallstall/simulator';

type CoreStory = { cores: CoreFleet; operator: Readonly<{ stop: () => void }>; lost: string[]; acknowledgedWhenCut: number };

function runningMachines(fleet: CoreFleet): readonly CoreMachine[] {
  return fleet.machines.filter((machine) => machine.process?.alive() === true);
}

/** Whether all running cores that the newest set lists are in that set, and the set's cores meet the condition. */
function areInSet(fleet: CoreFleet, isExpected: (cores: readonly string[]) => boolean): boolean {
  const views = runningMachines(fleet).map((machine) => ({ machine, set: fleet.coreSetOf(machine) }));
  const newest = Math.max(...views.map((view) => view.set.number));
  const cores = views.find((view) => view.set.number === newest)?.set.cores ?? [];
  return (
    isExpected(cores) &&
    views
      .filter((view) => cores.includes(view.machine.name))
      .every((view) => view.set.number === newest && view.set.cores.length === cores.length)
  );
}

/** The sets that all machines are in, for failure messages. */
function describeSets(fleet: CoreFleet): string {
  return JSON.stringify(fleet.machines.map((machine) => ({ name: machine.name, ...fleet.coreSetOf(machine) })));
}

async function assertSetWithin(fleet: CoreFleet, seconds: number, isExpected: (cores: readonly string[]) => boolean): Promise<void> {
  assert.ok(await fleet.runUntil(() => areInSet(fleet, isExpected), seconds * 1_000), describeSets(fleet));
}

async function assertReadBack(fleet: CoreFleet): Promise<void> {
  assert.deepEqual(fleet.violations, []);
  const before = fleet.highestAcknowledgedVersion();
  assert.ok(before > 0, 'nothing was acknowledged');
  for (const machine of runningMachines(fleet)) {
    if (!fleet.coreSetOf(machine).cores.includes(machine.name)) continue;
    const read = await fleet.readVersion(machine);
    assert.ok(Option.isSome(read) && read.value >= before, `${machine.name} read ${JSON.stringify(read)} after ${before} was acknowledged`);
  }
}

Given(
  'a fleet of {int} cores, an edge that holds a lease, and an operator that sends configurations',
  async function given(this: CoreStory, founded: number) {
    this.cores = await coreFleet.create(5, founded);
    this.operator = this.cores.startOperator();
    this.lost = [];
    await this.cores.world.run(1_500);
  },
);

When('core-{int} is lost permanently', function when(this: CoreStory, index: number) {
  this.lost.push(`core-${index}`);
  this.cores.kill(this.cores.machine(`core-${index}`));
});

When('a new core starts with core-{int} and core-{int} as its seeds', async function when(this: CoreStory, first: number, second: number) {
  await this.cores.startBlankCore([first, second].map((index) => this.cores.machine(`core-${index}`).address));
});

// Configurations that arrive faster than such disks can decide them preempt each other in any core set, so the operator slows down too.
When(
  'every disk write takes {int} ms longer, and the operator sends a configuration every {int} ms',
  function when(this: CoreStory, disk: number, send: number) {
    this.cores.slowDisks(disk);
    this.operator.stop();
    this.operator = this.cores.startOperator(send);
  },
);

When('a new core starts whose seeds are unreachable', async function when(this: CoreStory) {
  await this.cores.startBlankCore(['10.9.9.9:7000']);
  await this.cores.world.run(1_000);
});

When(
  'core-{int} is killed and restarted after {float} s with its disk',
  async function when(this: CoreStory, index: number, seconds: number) {
    const machine = this.cores.machine(`core-${index}`);
    this.cores.kill(machine);
    await this.cores.world.run(seconds * 1_000);
    await this.cores.start(machine, false);
  },
);

/** Starts the successor, drains the old machine, and kills it permanently once it has drained, at the latest after 7 s. */
async function drainAndReplace(fleet: CoreFleet, machine: CoreMachine): Promise<CoreMachine> {
  const successor = await fleet.startBlankCore(
    runningMachines(fleet)
      .slice(0, 3)
      .map((core) => core.address),
  );
  await fleet.world.run(1_000);
  const drained = machine.running?.drain().then(() => fleet.kill(machine));
  let hasDrained = false;
  void drained?.then(() => {
    hasDrained = true;
  });
  await fleet.runUntil(() => hasDrained, 7_000);
  fleet.kill(machine);
  return successor;
}

When('core-{int} is drained and replaced by a new core', async function when(this: CoreStory, index: number) {
  const machine = this.cores.machine(`core-${index}`);
  this.lost.push(machine.name);
  await drainAndReplace(this.cores, machine);
});

When('core-{int} loses power', function when(this: CoreStory, index: number) {
  this.cores.kill(this.cores.machine(`core-${index}`));
});

When('core-{int} regains power', async function when(this: CoreStory, index: number) {
  await this.cores.start(this.cores.machine(`core-${index}`), false);
});

async function loseDisk(fleet: CoreFleet, machine: CoreMachine): Promise<void> {
  fleet.kill(machine);
  machine.disk = fleet.world.disk();
  await fleet.world.run(800);
  await fleet.start(machine, false);
}

When('core-{int} loses its disk and restarts', async function when(this: CoreStory, index: number) {
  await loseDisk(this.cores, this.cores.machine(`core-${index}`));
});

Then('within {int} s another configuration is acknowledged', async function then(this: CoreStory, seconds: number) {
  // A configuration that was in flight when a core was lost must not count: it says nothing about the remaining cores.
  await this.cores.world.run(1_000);
  const before = this.cores.highestAcknowledgedVersion();
  assert.ok(await this.cores.runUntil(() => this.cores.highestAcknowledgedVersion() > before, seconds * 1_000), describeSets(this.cores));
});

async function killWhileCopying(fleet: CoreFleet, index: number): Promise<CoreMachine> {
  const machine = fleet.machine(`core-${index}`);
  const logsBefore = fleet.world.logs.length;
  for (
    let elapsed = 0;
    !fleet.world.logs.slice(logsBefore).some((line) => line.process === machine.name && line.event === 'core.copying');
    elapsed += 1
  ) {
    assert.ok(elapsed < 10_000, 'the core never copied');
    await fleet.world.run(1);
  }
  await fleet.world.run(2);
  assert.equal(machine.running?.isOpen(), false);
  fleet.kill(machine);
  return machine;
}

When('core-{int} is killed while it copies, and restarted with its disk', async function when(this: CoreStory, index: number) {
  const machine = await killWhileCopying(this.cores, index);
  await this.cores.world.run(800);
  await this.cores.start(machine, false);
});

When('core-{int} is killed permanently while it copies', async function when(this: CoreStory, index: number) {
  await killWhileCopying(this.cores, index);
});

When('core-{int} is killed permanently as soon as a set lists it', async function when(this: CoreStory, index: number) {
  const machine = this.cores.machine(`core-${index}`);
  function isListed(fleet: CoreFleet): boolean {
    return runningMachines(fleet).some((other) => fleet.coreSetOf(other).cores.includes(machine.name));
  }
  for (let elapsed = 0; !isListed(this.cores); elapsed += 1) {
    assert.ok(elapsed < 10_000, 'no set lists the core');
    await this.cores.world.run(1);
  }
  assert.equal(machine.running?.isOpen(), false);
  this.cores.kill(machine);
});

Then('no core was replaced', function then(this: CoreStory) {
  assert.ok(!this.cores.world.logs.some((line) => line.event === 'core.seated'));
});

When('the cores run for {int} s', async function when(this: CoreStory, seconds: number) {
  await this.cores.world.run(seconds * 1_000);
});

When('core-{int} is cut off', function when(this: CoreStory, index: number) {
  this.cores.isolate(this.cores.machine(`core-${index}`));
  this.acknowledgedWhenCut = this.cores.acknowledgementsBy(`core-${index}`);
});

When('all connections are restored', function when(this: CoreStory) {
  this.cores.healAll();
});

Then('core-{int} has acknowledged nothing since it was cut off', function then(this: CoreStory, index: number) {
  assert.equal(this.cores.acknowledgementsBy(`core-${index}`), this.acknowledgedWhenCut);
});

Then('core-{int} logged that it left the set, and then copied the others', function then(this: CoreStory, index: number) {
  const lines = this.cores.world.logs.filter((line) => line.process === `core-${index}`).map((line) => line.event);
  assert.ok(
    lines.includes('core.departed') && lines.lastIndexOf('core.copying') > lines.indexOf('core.departed'),
    lines.filter((line) => line.startsWith('core.')).join(' '),
  );
});

async function lastAcknowledger(fleet: CoreFleet): Promise<CoreMachine> {
  const before = fleet.highestAcknowledgedVersion();
  assert.ok(await fleet.runUntil(() => fleet.highestAcknowledgedVersion() > before, 2_000));
  return fleet.machine(fleet.lastAcknowledger());
}

When(
  'the core that acknowledged last is lost permanently at that moment, and a new core replaces it',
  async function when(this: CoreStory) {
    const machine = await lastAcknowledger(this.cores);
    this.lost.push(machine.name);
    this.cores.kill(machine);
    await this.cores.world.run(1_000);
    await this.cores.startBlankCore(runningMachines(this.cores).map((core) => core.address));
  },
);

When('the core that acknowledged last loses its disk at that moment, and restarts', async function when(this: CoreStory) {
  const machine = await lastAcknowledger(this.cores);
  this.cores.kill(machine);
  machine.disk = this.cores.world.disk();
  await this.cores.world.run(800);
  await this.cores.start(machine, false);
});

Then(
  'within {int} s the core set has {int} cores, without the lost one',
  async function then(this: CoreStory, seconds: number, count: number) {
    await assertSetWithin(this.cores, seconds, (cores) => cores.length === count && this.lost.every((name) => !cores.includes(name)));
  },
);

Then(/^within (\d+) s the core set is (core-[^\d]*\d.*)$/, async function then(this: CoreStory, seconds: string, names: string) {
  const wanted = names.split(/, | and /);
  await assertSetWithin(this.cores, Number(seconds), (cores) => cores.join(' ') === wanted.join(' '));
});

Then('the edge follows {int} cores and its lease never expired', async function then(this: CoreStory, count: number) {
  await this.cores.world.run(1_000);
  assert.equal(this.cores.edge.coreCount(), count);
  assert.equal(this.cores.leaseGapCount(), 0);
});

Then('every core in the set reads the latest acknowledged configuration', async function then(this: CoreStory) {
  const before = this.cores.highestAcknowledgedVersion();
  assert.ok(
    await this.cores.runUntil(() => this.cores.highestAcknowledgedVersion() > before, 5_000),
    'no further configuration was acknowledged',
  );
  this.operator.stop();
  await this.cores.world.run(2_000);
  await assertReadBack(this.cores);
});

Then(
  'core-{int} rejects a heartbeat, a leave, a configuration and a read within 1 ms',
  async function then(this: CoreStory, index: number) {
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
  },
);

Then('core-{int} is in set {int}', function then(this: CoreStory, index: number, number: number) {
  assert.equal(this.cores.coreSetOf(this.cores.machine(`core-${index}`)).number, number);
});

/** Kills the core and starts it with the content that its disk had that long ago. */
async function startWithOldCopy(story: CoreStory, index: number, seconds: number, failing: boolean): Promise<void> {
  const machine = story.cores.machine(`core-${index}`);
  const old = new Map(machine.disk.entries);
  await story.cores.world.run(seconds * 1_000);
  story.cores.kill(machine);
  machine.disk = story.cores.world.disk();
  for (const [key, value] of old) machine.disk.entries.set(key, value);
  await story.cores.world.run(500);
  machine.disk.faults.failing = failing;
  await story.cores.start(machine, false);
  await story.cores.world.run(2_000);
}

When('core-{int} restarts with a copy of its disk that is {int} s old', function when(this: CoreStory, index: number, seconds: number) {
  return startWithOldCopy(this, index, seconds, false);
});

When(
  'core-{int} restarts with a copy of its disk that is {int} s old and fails all writes for {int} s',
  async function when(this: CoreStory, index: number, seconds: number, failingSeconds: number) {
    await startWithOldCopy(this, index, seconds, true);
    await this.cores.world.run(failingSeconds * 1_000);
    this.cores.machine(`core-${index}`).disk.faults.failing = false;
    await this.cores.world.run(2_000);
  },
);

Then('core-{int} logged that its disk is an old copy, and then copied the others', function then(this: CoreStory, index: number) {
  const lines = this.cores.world.logs.filter((line) => line.process === `core-${index}`).map((line) => line.event);
  assert.ok(
    lines.includes('core.old-disk') && lines.indexOf('core.copying') > lines.indexOf('core.old-disk'),
    lines.filter((line) => line.startsWith('core.')).join(' '),
  );
});

When('core-{int} restarts at {string} with its disk', async function when(this: CoreStory, index: number, host: string) {
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
      await this.cores.runUntil(
        () =>
          runningMachines(this.cores).every(
            (machine) => machine.running?.node.membership().value.seats.find((seat) => seat.node === `core-${index}`)?.address === address,
          ),
        seconds * 1_000,
      ),
      describeSets(this.cores),
    );
  },
);

async function firstProposer(fleet: CoreFleet): Promise<CoreMachine> {
  let proposer: string | undefined;
  for (let elapsed = 0; proposer === undefined && elapsed < 10_000; elapsed += 1) {
    await fleet.world.run(1);
    proposer = fleet.world.logs.find((line) => line.event === 'core.proposes')?.process;
  }
  assert.ok(proposer !== undefined, 'no core proposed a set change');
  return fleet.machine(proposer);
}

async function assertAllReadBack(fleet: CoreFleet, operator: Readonly<{ stop: () => void }>): Promise<void> {
  const before = fleet.highestAcknowledgedVersion();
  assert.ok(await fleet.runUntil(() => fleet.highestAcknowledgedVersion() > before, 5_000), 'no further configuration was acknowledged');
  operator.stop();
  await fleet.world.run(2_000);
  await assertReadBack(fleet);
}

/** The moments range from before the set change is decided until all cores have adopted the set. Unit: half milliseconds. */
async function killProposerAt(moment: number): Promise<void> {
  const fleet = await coreFleet.create(20 + moment, 3);
  const operator = fleet.startOperator();
  await fleet.world.run(1_000);
  fleet.kill(fleet.machine('core-3'));
  await fleet.startBlankCore(['core-1', 'core-2'].map((name) => fleet.machine(name).address));
  const proposer = await firstProposer(fleet);
  await fleet.world.run(moment / 2);
  fleet.kill(proposer);
  await fleet.world.run(800);
  await fleet.start(proposer, false);
  await assertSetWithin(fleet, 6, (cores) => cores.join(' ') === 'core-1 core-2 core-4');
  await assertAllReadBack(fleet, operator);
}

async function killLeavingCoreAt(moment: number): Promise<void> {
  const fleet = await coreFleet.create(60 + moment, 3);
  const operator = fleet.startOperator();
  await fleet.world.run(1_000);
  await fleet.startBlankCore(['core-1', 'core-2'].map((name) => fleet.machine(name).address));
  await fleet.world.run(1_000);
  void fleet.machine('core-1').running?.drain();
  const proposer = await firstProposer(fleet);
  assert.equal(proposer.name, 'core-1');
  await fleet.world.run(moment / 2);
  fleet.kill(proposer);
  await assertSetWithin(fleet, 4, (cores) => cores.join(' ') === 'core-2 core-3 core-4');
  await assertAllReadBack(fleet, operator);
}

Then(
  'a set change completes although its proposer is killed at each of {int} moments around it',
  async function then(this: CoreStory, moments: number) {
    for (let moment = 0; moment < moments; moment += 1) await killProposerAt(moment);
  },
);

Then(
  'a new core replaces a leaving core that is killed at each of {int} moments around the set change',
  async function then(this: CoreStory, moments: number) {
    for (let moment = 0; moment < moments; moment += 1) await killLeavingCoreAt(moment);
  },
);
