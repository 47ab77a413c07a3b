/** Steps of the stories of simulator.feature: what the seeded runs lean on (design 10.4.1). */
import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import fs from 'node:fs';
import { fileURLToPath } from 'node:url';
import { Given, Then, When } from '@cucumber/cucumber';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Disk, type Fault, type Link } from '@stallstall/kernel';
import {
  lossBudget,
  pooledFaults,
  pooledFleet,
  pooledStorm,
  world as worlds,
  type Loss,
  type LossBudget,
  type PooledCore,
  type PooledFleet,
  type PooledStorm,
  type Process,
  type SimulatedDisk,
  type World,
} from '@stallstall/simulator';

type SimulatorStory = {
  faults: readonly string[];
  world: World;
  losses: LossBudget;
  lostAt: number[];
  lost: string[];
  disk: SimulatedDisk;
  process: Process;
  put: Promise<Either.Either<Fault, null>>;
  putAt: number;
  near: Link;
  far: Link;
  fleet: PooledFleet;
  pooled: PooledFleet;
  storm: PooledStorm;
  coresBefore: readonly PooledCore[];
};

const tableStart = '## What the pooled runs do';

function diskOf(process: Process): Disk {
  assert(Option.isSome(process.runtime.disk));
  return process.runtime.disk.value;
}

Given('the faults of the pooled runs', function given(this: SimulatorStory) {
  this.faults = pooledStorm.faults;
});

Then('the table in guarantees.md names each of them, and no other', function then(this: SimulatorStory) {
  const page = fs.readFileSync(fileURLToPath(new URL('../../../docs/guarantees.md', import.meta.url)), 'utf8');
  const section = page.slice(page.indexOf(tableStart)).split('\n## ')[0] ?? '';
  const rows = section.split('\n').filter((line) => line.startsWith('| '));
  const named = rows.slice(2).flatMap((row) => (row.split('|')[2] ?? '').split(',').map((name) => name.trim()));
  assert.deepEqual([...new Set(named)].sort(), [...this.faults].sort());
});

Given('a tolerance of one core', function given(this: SimulatorStory) {
  this.world = worlds.create(1);
  this.losses = lossBudget.create(this.world);
  this.lostAt = [];
});

When('two cores are to be lost at once, each for {int} s', function when(this: SimulatorStory, seconds: number) {
  const { world, losses, lostAt } = this;
  for (let core = 0; core < 2; core += 1)
    losses.take([
      function lose(back) {
        lostAt.push(world.now());
        world.schedule(seconds * 1_000, () => back());
      },
    ]);
});

When(
  'a drawn fault of two losses strikes, then another drawn one, and then one that must strike, each loss for {int} s',
  function when(this: SimulatorStory, seconds: number) {
    const { world, losses } = this;
    this.lost = [];
    const { lost } = this;
    function loss(name: string): Loss {
      return function lose(back) {
        lost.push(name);
        world.schedule(seconds * 1_000, () => back());
      };
    }
    losses.take([loss('drawn, its first'), loss('drawn, its second')]);
    losses.take([loss('drawn later')]);
    losses.take([loss('must strike, its first'), loss('must strike, its second')], true);
  },
);

Then('what had begun is lost first, then what must strike, and then what was drawn later', async function then(this: SimulatorStory) {
  await this.world.run(60_000);
  assert.deepEqual(this.lost, [
    'drawn, its first',
    'drawn, its second',
    'must strike, its first',
    'must strike, its second',
    'drawn later',
  ]);
});

When('the day ends a second later', async function when(this: SimulatorStory) {
  await this.world.run(1_000);
  this.losses.close();
});

Then('the second is lost {int} s after the first', async function then(this: SimulatorStory, seconds: number) {
  await this.world.run(20_000);
  assert.deepEqual(this.lostAt, [0, seconds * 1_000]);
});

Then('only the first was lost', async function then(this: SimulatorStory) {
  await this.world.run(20_000);
  assert.deepEqual(this.lostAt, [0]);
});

Given('a pooled fleet one of whose cores is lost and to be replaced', async function given(this: SimulatorStory) {
  this.fleet = pooledFleet.create(9);
  await this.fleet.startAll();
  await this.fleet.world.run(3_000);
  this.storm = pooledFaults.create(this.fleet);
  this.coresBefore = [...this.fleet.cores];
  const fault = pooledFaults.every.find((one) => one.name === 'core-replaced-when-lost');
  assert(fault !== undefined);
  await pooledFaults.strike(this.fleet, this.storm, fault);
});

When('everything is started again before its successor comes', async function when(this: SimulatorStory) {
  await this.fleet.world.run(100);
  await this.fleet.drive(pooledFaults.restore(this.fleet, this.storm));
});

/** A successor comes within this time. */
const successorMilliseconds = 4_000;

Then('the lost core runs no more once its successor has come', async function then(this: SimulatorStory) {
  await this.fleet.world.run(successorMilliseconds);
  const replaced = this.coresBefore.filter((slot) => !this.fleet.cores.includes(slot));
  assert.equal(replaced.length, 1);
  assert.deepEqual(
    replaced.map((slot) => slot.process?.alive()),
    [false],
  );
});

Given('a process with a disk', function given(this: SimulatorStory) {
  this.world = worlds.create(1);
  this.disk = this.world.disk();
  this.process = this.world.spawn('core-1', 'machine-1', this.disk);
});

When('its disk hangs for {int} s, with a put under way', function when(this: SimulatorStory, seconds: number) {
  const { world, disk } = this;
  disk.faults.hanging = true;
  world.schedule(seconds * 1_000, function over() {
    disk.faults.hanging = false;
  });
  this.put = diskOf(this.process).put('key', 'value');
  void this.put.then(() => {
    this.putAt = world.now();
  });
});

Then('the put is done after {int} s, and reads back', async function then(this: SimulatorStory, seconds: number) {
  await this.world.run(seconds * 1_000 + 100);
  assert(this.putAt >= seconds * 1_000);
  assert(Either.isRight(await this.put));
  assert.deepEqual(await diskOf(this.process).read('key'), Either.right(Option.some('value')));
});

When('its disk is full for {int} s', function when(this: SimulatorStory, seconds: number) {
  const { world, disk } = this;
  disk.faults.full = true;
  world.schedule(seconds * 1_000, function over() {
    disk.faults.full = false;
  });
});

/** Within this time a disk that works again is found to. */
const diskTriedMilliseconds = 300;

Then('a put fails, and one after {int} s succeeds', async function then(this: SimulatorStory, seconds: number) {
  const failed = diskOf(this.process).put('key', 'value');
  await this.world.run(seconds * 1_000);
  assert(Either.isLeft(await failed));
  // The disk is tried every 250 ms while it is in trouble.
  await this.world.run(diskTriedMilliseconds);
  const kept = diskOf(this.process).put('key', 'value');
  await this.world.run(100);
  assert(Either.isRight(await kept));
});

Given('two processes with a connection', async function given(this: SimulatorStory) {
  this.world = worlds.create(1);
  const address = identifiers.address('10.0.0.1:7000');
  this.process = this.world.spawn('core-1', 'machine-1');
  const other = this.world.spawn('core-2', 'machine-2');
  await other.runtime.network.listen(address, (link) => {
    this.far = link;
  });
  const opening = this.process.runtime.network.open(address);
  await this.world.run(100);
  const opened = await opening;
  assert(Either.isRight(opened));
  this.near = opened.right;
});

When('the connections of one are reset', async function when(this: SimulatorStory) {
  assert.equal(this.world.resetConnections(this.process, 1), 1);
  await this.world.run(10);
});

Then('both find it closed', async function then(this: SimulatorStory) {
  assert(Option.isNone(await this.near.receive()));
  assert(Option.isNone(await this.far.receive()));
});

When(
  'each of its cores is replaced in turn by a blank one, {int} s apart',
  { timeout: 60_000 },
  async function when(this: SimulatorStory, seconds: number) {
    for (const slot of [...this.pooled.cores]) {
      this.pooled.stopCore(slot);
      const successor = this.pooled.addCore(slot.area);
      this.pooled.removeCore(slot, successor);
      await this.pooled.startCore(successor);
      await this.pooled.world.run(seconds * 1_000);
    }
  },
);

Then('the last one serves within {int} s', async function then(this: SimulatorStory, seconds: number) {
  const last = this.pooled.cores.at(-1);
  assert(await this.pooled.until(() => last?.running?.isOpen() === true, seconds * 1_000));
});

type SeededOutcome = Readonly<{ seeds: readonly number[]; failed: readonly number[] }>;

When('six seeds are played on two threads, of which seed 2 throws where nobody catches it', function when(this: { seeded: SeededOutcome }) {
  const program = fileURLToPath(new URL('../fixtures/breaking-seeds.mjs', import.meta.url));
  const { stdout } = spawnSync(process.execPath, [program], { encoding: 'utf8', timeout: 30_000 });
  this.seeded = JSON.parse(stdout) as SeededOutcome;
});

Then('all six have a result, and seed 2 alone failed', function then(this: { seeded: SeededOutcome }) {
  assert.deepEqual(this.seeded, { seeds: [1, 2, 3, 4, 5, 6], failed: [2] });
});
