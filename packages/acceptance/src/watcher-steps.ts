/** Steps of watcher.feature: what a node applies of the changes that cores push (design 5.2). */
import assert from 'node:assert/strict';
import { Then } from '@cucumber/cucumber';
import * as Either from 'fp-ts/lib/Either.js';
import { fault } from '@stallstall/kernel';
import type { Change } from '@stallstall/message';
import { watcher, type Register, type Watcher } from '@stallstall/register';
import { world as worlds, type World } from '@stallstall/simulator';

/** Nothing can be read: what is applied is applied by what was pushed. */
const unreachable = {
  read: () => Promise.resolve(Either.left(fault.create({ kind: 'no-majority', message: 'no core replies', remedy: 'try again' }))),
} as unknown as Register;

type Watched = Readonly<{ world: World; watch: Watcher; applied: number[]; setSetNumber: (number: number) => void }>;

function watchThreeCores(): Watched {
  const world = worlds.create(8);
  const applied: number[] = [];
  let setNumber = 1;
  const watch = watcher.create(world.spawn('watcher', 'machine').runtime, {
    register: unreachable,
    coreCount: () => 3,
    onApplied: (_key, entry) => void applied.push(entry.version),
    cores: { number: () => setNumber, includes: () => true },
  });
  return {
    world,
    watch,
    applied,
    setSetNumber: function setSetNumber(number) {
      setNumber = number;
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
  'of changes every {int} ms, which core-2 pushes {int} ms later than core-1 does, each is applied {int} ms after core-1 pushed it',
  async function then(interval: number, delay: number, bound: number) {
    const { world, watch, applied } = watchThreeCores();
    const most = 40;
    for (let version = 1; version <= most; version += 1) {
      world.at(version * interval, () => watch.receive('core-1', changeOf(version)));
      world.at(version * interval + delay, () => watch.receive('core-2', changeOf(version)));
    }
    for (let version = 1; version <= most; version += 1) {
      await world.run(version * interval + bound - world.now());
      assert.ok(applied.includes(version), `version ${version} is not applied: ${applied.join(' ')}`);
    }
    assert.deepEqual(
      applied,
      [...applied].sort((left, right) => left - right),
    );
  },
);

Then('what cores pushed under different sets is never counted together', async function then() {
  const { world, watch, applied, setSetNumber } = watchThreeCores();
  watch.receive('core-1', changeOf(1, 1));
  watch.receive('core-1', changeOf(2, 1));
  setSetNumber(2);
  watch.recount();
  watch.receive('core-2', changeOf(1, 2));
  watch.receive('core-2', changeOf(2, 2));
  await world.run(1_000);
  assert.deepEqual(applied, []);
  watch.receive('core-1', changeOf(2, 2));
  assert.deepEqual(applied, [2]);
});

Then('of a key that nobody completes a node keeps {int} changes of each core at the most', function then(most: number) {
  const { watch, applied } = watchThreeCores();
  for (let version = 1; version <= 3 * most; version += 1) watch.receive('core-1', changeOf(version));
  watch.receive('core-2', changeOf(2 * most));
  assert.deepEqual(applied, []);
  watch.receive('core-2', changeOf(2 * most + 1));
  assert.deepEqual(applied, [2 * most + 1]);
});

Then('a change that a core no longer has under a later set leaves no doubt behind', function then() {
  const { watch, applied, setSetNumber } = watchThreeCores();
  for (const core of ['core-1', 'core-2']) watch.receive(core, changeOf(1));
  watch.receive('core-1', changeOf(2));
  assert.equal(watch.unapplied('configuration').length, 1);
  setSetNumber(2);
  watch.recount();
  for (const core of ['core-1', 'core-2', 'core-3']) watch.receive(core, changeOf(1, 2));
  assert.deepEqual(applied, [1]);
  assert.deepEqual(watch.unapplied('configuration'), []);
});
