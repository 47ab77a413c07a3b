/** Steps of units.feature for a core's lease grantor, alone on virtual time. */
import assert from 'node:assert/strict';
import { Given, When, Then } from '@cucumber/cucumber';
import { leaseGrantor } from '@stallstall/lease';
import type { Request } from '@stallstall/message';
import { world as worlds } from '@stallstall/simulator';
import * as Option from 'fp-ts/lib/Option.js';
import { leaseAsk } from './lease-ask.js';
import type { UnitStory } from './unit-story.js';
import { startRegistry } from './member-registry-steps.js';

function leaseHoldersOf(story: UnitStory): readonly string[] {
  const known = story.leaseGrantor.leaseHolders();
  assert.ok(Option.isSome(known), 'it does not say');
  return known.value;
}

async function startLeaseGrantor(story: UnitStory, ready: boolean): Promise<void> {
  story.world = worlds.create(45);
  story.registry = startRegistry(story.world, 'core-1');
  story.runtime = story.world.spawn('core', 'core-machine').runtime;
  story.epoch = 5;
  story.openedAt = story.runtime.clock.now();
  story.replied = [];
  story.leaseGrantor = leaseGrantor.create(story.runtime, {
    isReady: () => ready,
    servingSince: () => story.openedAt,
    epochs: () => ({ ferries: story.epoch }),
    configurationVersion: () => 1,
    membershipVersion: () => 1,
    putCount: () => 1,
    registry: story.registry,
    isLeaderMissing: () => false,
    onConnectionRefused: () => undefined,
  });
  await story.world.run(10);
  // A process before it may have granted some: it names none until these have ended.
  assert.ok(Option.isNone(story.leaseGrantor.leaseHolders()));
  await story.world.run(2_600);
}

Given("a core's lease grantor at epoch 5", async function given(this: UnitStory) {
  await startLeaseGrantor(this, true);
});

Given("a core's lease grantor that is not ready", async function given(this: UnitStory) {
  await startLeaseGrantor(this, false);
});

function askOf(node: string, released: number, change: Partial<Request<'lease'>> = {}): Request<'lease'> {
  return leaseAsk(node, { released: released === 0 ? {} : { ferries: released }, ...change });
}

When(
  '{string} requests a lease, and 1 s later {string} requests one, having released epochs below {int}',
  async function when(this: UnitStory, first: string, second: string, epoch: number) {
    await this.leaseGrantor.grant(askOf(first, 0));
    await this.world.run(1_000);
    await this.leaseGrantor.grant(askOf(second, epoch));
  },
);

When('{string} requests a lease, having released epochs below {int}', async function when(this: UnitStory, node: string, epoch: number) {
  await this.leaseGrantor.grant(askOf(node, epoch));
});

Then('both are lease holders, and not both have released epochs below {int}', function then(this: UnitStory, epoch: number) {
  assert.deepEqual([...leaseHoldersOf(this)].sort(), ['edge-1', 'edge-2']);
  assert.equal(this.leaseGrantor.hasReleased('ferries', epoch, ['edge-1', 'edge-2']), false);
  assert.equal(this.leaseGrantor.hasReleased('ferries', epoch, ['edge-2']), true);
  assert.equal(this.leaseGrantor.hasReleased('ferries', epoch, ['edge-3']), false);
});

Then('both have released epochs below {int}, and not those below {int}', function then(this: UnitStory, epoch: number, next: number) {
  assert.equal(this.leaseGrantor.hasReleased('ferries', epoch, ['edge-1', 'edge-2']), true);
  assert.equal(this.leaseGrantor.hasReleased('ferries', next, ['edge-1', 'edge-2']), false);
});

When('{float} s pass since the requests', async function when(this: UnitStory, seconds: number) {
  await this.world.run(seconds * 1_000 - 200);
  assert.deepEqual(leaseHoldersOf(this).length, 2);
  await this.world.run(200);
});

When('its core becomes an active voter again', function when(this: UnitStory) {
  this.openedAt = this.runtime.clock.now();
});

Then('for {float} s it does not know its lease holders, and after that it has none', async function then(this: UnitStory, seconds: number) {
  await this.world.run(seconds * 1_000 - 20);
  assert.ok(Option.isNone(this.leaseGrantor.leaseHolders()), 'it names edges though another occupant of its seat may have granted leases');
  await this.world.run(40);
  assert.deepEqual(leaseHoldersOf(this), []);
});

Then('it has no lease holders', function then(this: UnitStory) {
  assert.deepEqual(leaseHoldersOf(this), []);
});

Then('a reply to {string} contains no epoch', async function then(this: UnitStory, node: string) {
  const reply = await this.leaseGrantor.grant(askOf(node, 0));
  assert.deepEqual([reply.ready, reply.stances], [false, {}]);
});

When("{string} sends two requests, and the core's epoch changes 100 ms later", async function when(this: UnitStory, node: string) {
  const first = await this.leaseGrantor.grant(askOf(node, 0, { hold: 450 }));
  void this.leaseGrantor
    .grant(askOf(node, 0, { token: first.token, seen: first.number, hold: 450 }))
    .then((reply) => this.replied.push({ at: this.world.now(), reply }));
  await this.world.run(100);
  assert.deepEqual(this.replied, []);
  this.epoch = 6;
  this.changedAt = this.world.now();
  this.leaseGrantor.notify();
  await this.world.run(500);
});

Then(
  'the second request is answered within {int} ms of the change, with the new epoch',
  function then(this: UnitStory, milliseconds: number) {
    const [replied] = this.replied;
    assert.ok(replied !== undefined && replied.at - this.changedAt <= milliseconds, JSON.stringify(this.replied));
    assert.deepEqual(replied.reply.stances, { ferries: 6 });
  },
);
