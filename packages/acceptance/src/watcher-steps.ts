/** Steps of watcher.feature: which of the changes that cores push a node applies (design 5.2). */
import assert from 'node:assert/strict';
import { Then } from '@cucumber/cucumber';
import * as Either from 'fp-ts/lib/Either.js';
import { fault } from '@stallstall/kernel';
import type { Change } from '@stallstall/message';
import { watcher, type Register, type Watcher } from '@stallstall/register';
import { world as worlds, type World } from '@stallstall/simulator';

/** A register whose reads fail, so that changes are applied only because cores pushed them. */
const unreachableRegister = {
  read: () => Promise.resolve(Either.left(fault.create({ kind: 'no-majority', message: 'no core replies', remedy: 'try again' }))),
} as unknown as Register;

type WatcherSetup = Readonly<{ world: World; nodeWatcher: Watcher; applied: number[]; setCoreSetNumber: (number: number) => void }>;

function watchThreeCores(): WatcherSetup {
  const world = worlds.create(8);
  const applied: number[] = [];
  let coreSetNumber = 1;
  const nodeWatcher = watcher.create(world.spawn('watcher', 'machine').runtime, {
    register: unreachableRegister,
    coreCount: () => 3,
    onApplied: (_key, entry) => void applied.push(entry.version),
    cores: { number: () => coreSetNumber, includes: () => true },
  });
  return {
    world,
    nodeWatcher,
    applied,
    setCoreSetNumber: function setCoreSetNumber(number) {
      coreSetNumber = number;
    },
  };
}

function changeOf(version: number, set = 1): Change {
  return {
    number: version,
    set,
    key: 'configuration',
    entry: { ballot: { counter: version, node: 'proposer' }, version, value: { version } },
  };
}

Then(
  'of changes every {int} ms, which core-2 pushes {int} ms after core-1, each is applied within {int} ms of the push by core-1',
  async function then(interval: number, delay: number, bound: number) {
    const { world, nodeWatcher, applied } = watchThreeCores();
    const lastVersion = 40;
    for (let version = 1; version <= lastVersion; version += 1) {
      world.schedule(version * interval, () => nodeWatcher.receive('core-1', changeOf(version)));
      world.schedule(version * interval + delay, () => nodeWatcher.receive('core-2', changeOf(version)));
    }
    for (let version = 1; version <= lastVersion; version += 1) {
      await world.run(version * interval + bound - world.now());
      assert.ok(applied.includes(version), `version ${version} is not applied: ${applied.join(' ')}`);
    }
    assert.deepEqual(
      applied,
      [...applied].sort((left, right) => left - right),
    );
  },
);

Then('pushes under different core sets are never counted together', async function then() {
  const { world, nodeWatcher, applied, setCoreSetNumber } = watchThreeCores();
  nodeWatcher.receive('core-1', changeOf(1, 1));
  nodeWatcher.receive('core-1', changeOf(2, 1));
  setCoreSetNumber(2);
  nodeWatcher.recount();
  nodeWatcher.receive('core-2', changeOf(1, 2));
  nodeWatcher.receive('core-2', changeOf(2, 2));
  await world.run(1_000);
  assert.deepEqual(applied, []);
  nodeWatcher.receive('core-1', changeOf(2, 2));
  assert.deepEqual(applied, [2]);
});

Then('of a key whose changes reach no majority, a node retains at most {int} changes per core', function then(limit: number) {
  const { nodeWatcher, applied } = watchThreeCores();
  for (let version = 1; version <= 3 * limit; version += 1) nodeWatcher.receive('core-1', changeOf(version));
  nodeWatcher.receive('core-2', changeOf(2 * limit));
  assert.deepEqual(applied, []);
  nodeWatcher.receive('core-2', changeOf(2 * limit + 1));
  assert.deepEqual(applied, [2 * limit + 1]);
});

Then('a change that a core no longer has under a later core set does not remain unapplied', function then() {
  const { nodeWatcher, applied, setCoreSetNumber } = watchThreeCores();
  for (const core of ['core-1', 'core-2']) nodeWatcher.receive(core, changeOf(1));
  nodeWatcher.receive('core-1', changeOf(2));
  assert.equal(nodeWatcher.unapplied('configuration').length, 1);
  setCoreSetNumber(2);
  nodeWatcher.recount();
  for (const core of ['core-1', 'core-2', 'core-3']) nodeWatcher.receive(core, changeOf(1, 2));
  assert.deepEqual(applied, [1]);
  assert.deepEqual(nodeWatcher.unapplied('configuration'), []);
});
