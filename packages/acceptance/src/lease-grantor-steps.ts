/** Steps of units.feature for a core's lease grantor, on virtual time. */
import assert from 'node:assert/strict';
import { Given, When, Then } from '@cucumber/cucumber';
import { leaseGrantor } from '@stallstall/lease';
import type { Request } from '@stallstall/message';
import { world as worlds } from '@stallstall/simulator';
import * as Option from 'fp-ts/lib/Option.js';
import { leaseRequest } from './lease-request.js';
import type { UnitStory } from './unit-story.js';
import { startRegistry } from './member-registry-steps.js';

function leaseHoldersOf(story: UnitStory): readonly string[] {
  const holders = story.leaseGrantor.leaseHolders();
  assert.ok(Option.isSome(holders), 'the grantor does not know its lease holders');
  return holders.value;
}

async function startLeaseGrantor(story: UnitStory, ready: boolean): Promise<void> {
  story.world = worlds.create(45);
  story.registry = startRegistry(story.world, 'core-1');
  story.runtime = story.world.spawn('core', 'core-machine').runtime;
  story.epoch = 5;
  story.servingSince = story.runtime.clock.now();
  story.replies = [];
  story.leaseGrantor = leaseGrantor.create(story.runtime, {
    isReady: () => ready,
    servingSince: () => story.servingSince,
    epochs: () => ({ ferries: story.epoch }),
    configurationVersion: () => 1,
    membershipVersion: () => 1,
    putCount: () => 1,
    registry: story.registry,
    isLeaderMissing: () => false,
    onConnectionRefused: () => undefined,
  });
  await story.world.run(10);
  // An earlier process may have granted leases: the holders are unknown until those have expired.
  assert.ok(Option.isNone(story.leaseGrantor.leaseHolders()));
  await story.world.run(2_600);
}

Given("a core's lease grantor at epoch 5", async function given(this: UnitStory) {
  await startLeaseGrantor(this, true);
});

Given("a core's lease grantor that is not ready", async function given(this: UnitStory) {
  await startLeaseGrantor(this, false);
});

function requestOf(node: string, released: number, change: Partial<Request<'lease'>> = {}): Request<'lease'> {
  return leaseRequest(node, { released: released === 0 ? {} : { ferries: released }, ...change });
}

When(
  '{string} requests a lease, and 1 s later {string} requests one, having released epochs below {int}',
  async function when(this: UnitStory, first: string, second: string, epoch: number) {
    await this.leaseGrantor.grant(requestOf(first, 0));
    await this.world.run(1_000);
    await this.leaseGrantor.grant(requestOf(second, epoch));
  },
);

When('{string} requests a lease, having released epochs below {int}', async function when(this: UnitStory, node: string, epoch: number) {
  await this.leaseGrantor.grant(requestOf(node, epoch));
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
  this.servingSince = this.runtime.clock.now();
});

Then('for {float} s it does not know its lease holders, and after that it has none', async function then(this: UnitStory, seconds: number) {
  await this.world.run(seconds * 1_000 - 20);
  assert.ok(Option.isNone(this.leaseGrantor.leaseHolders()), 'it names lease holders although leases granted before may still be valid');
  await this.world.run(40);
  assert.deepEqual(leaseHoldersOf(this), []);
});

Then('it has no lease holders', function then(this: UnitStory) {
  assert.deepEqual(leaseHoldersOf(this), []);
});

Then('a reply to {string} contains no epoch', async function then(this: UnitStory, node: string) {
  const reply = await this.leaseGrantor.grant(requestOf(node, 0));
  assert.deepEqual([reply.ready, reply.stances], [false, {}]);
});

When("{string} sends two requests, and the core's epoch changes 100 ms later", async function when(this: UnitStory, node: string) {
  const first = await this.leaseGrantor.grant(requestOf(node, 0, { hold: 450 }));
  void this.leaseGrantor
    .grant(requestOf(node, 0, { token: first.token, seen: first.number, hold: 450 }))
    .then((reply) => this.replies.push({ at: this.world.now(), reply }));
  await this.world.run(100);
  assert.deepEqual(this.replies, []);
  this.epoch = 6;
  this.changedAt = this.world.now();
  this.leaseGrantor.notify();
  await this.world.run(500);
});

Then(
  'the second request is answered within {int} ms of the change, with the new epoch',
  function then(this: UnitStory, milliseconds: number) {
    const [received] = this.replies;
    assert.ok(received !== undefined && received.at - this.changedAt <= milliseconds, JSON.stringify(this.replies));
    assert.deepEqual(received.reply.stances, { ferries: 6 });
  },
);
