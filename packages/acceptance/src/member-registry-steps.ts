/** Steps of units.feature for the member registry, alone on virtual time. */
import assert from 'node:assert/strict';
import { Given, When, Then } from '@cucumber/cucumber';
import { livenessService, liveness } from '@stallstall/election';
import { type Registration, type MemberRegistry, memberRegistry, type ReceivedHeartbeat } from '@stallstall/member-registry';
import type { MemberRecord } from '@stallstall/message';
import { type World, world as worlds } from '@stallstall/simulator';
import * as Option from 'fp-ts/lib/Option.js';
import type { UnitStory } from './unit-story.js';

export function registration(member: string, sequence: number, draining: boolean): Registration {
  return { member, service: 'ferries', address: '10.3.0.1:5000', area: 'north', draining, role: 'replica', slots: 4, sequence };
}

export function registryOn(world: World, name: string): MemberRegistry {
  const { runtime } = world.spawn(name, `${name}-machine`);
  runtime.services.offer(livenessService, liveness.create(runtime));
  return memberRegistry.create(runtime, () => undefined);
}

function known(of: MemberRegistry, member: string): MemberRecord {
  const entry = of.recordOf(member);
  assert.ok(Option.isSome(entry), `${member} is not known`);
  return entry.value;
}

Given('a member registry', function given(this: UnitStory) {
  this.world = worlds.create(41);
  this.registry = registryOn(this.world, 'core-1');
  this.taken = new Map();
});

Given('the member registry of another core', function given(this: UnitStory) {
  this.other = registryOn(this.world, 'core-2');
});

When('{string} beats with number {int} as draining', function when(this: UnitStory, member: string, sequence: number) {
  this.changesSeen = this.registry.version();
  this.taken.set(sequence, this.registry.recordHeartbeat(registration(member, sequence, true)));
});

When('{string} beats with number {int} as in service', function when(this: UnitStory, member: string, sequence: number) {
  this.changesSeen = this.registry.version();
  this.taken.set(sequence, this.registry.recordHeartbeat(registration(member, sequence, false)));
});

When('{string} leaves', function when(this: UnitStory, member: string) {
  this.registry.recordDeparture(member);
});

When('another core tells of a beat of {string} with number {int}', function when(this: UnitStory, member: string, sequence: number) {
  this.registry.mergeHeartbeats([{ entry: { ...registration(member, sequence, false), gone: false, down: false }, ago: 0 }]);
});

When('another core tells that {string} has left', function when(this: UnitStory, member: string) {
  this.registry.mergeHeartbeats([{ entry: { ...registration(member, 7, false), gone: true, down: false }, ago: 0 }]);
});

When('{float} s pass and the registry sweeps', async function when(this: UnitStory, seconds: number) {
  await this.world.run(seconds * 1_000);
  this.changesSeen = this.registry.version();
  this.registry.sweep();
});

Then(
  'the beat with number {int} was not taken, and {string} is draining',
  function then(this: UnitStory, sequence: number, member: string) {
    assert.equal(this.taken.get(sequence), false);
    assert.equal(known(this.registry, member).draining, true);
    assert.deepEqual(
      this.registry.membersOf('ferries').map((one) => one.state),
      ['draining'],
    );
  },
);

Then('only the beat with number {int} is spread', function then(this: UnitStory, sequence: number) {
  assert.deepEqual(
    this.registry.takeRecentHeartbeats().map((one) => one.entry.sequence),
    [sequence],
  );
  this.registry.recordHeartbeat(registration('member-1', sequence - 2, false));
  assert.deepEqual(this.registry.takeRecentHeartbeats(), []);
});

Then('{string} is gone, of no service, and spread as gone', function then(this: UnitStory, member: string) {
  assert.equal(known(this.registry, member).gone, true);
  assert.deepEqual(this.registry.membersOf('ferries'), []);
  assert.deepEqual(
    this.registry.takeRecentHeartbeats().map((one) => [one.entry.member, one.entry.gone]),
    [[member, true]],
  );
});

Then('{string} is gone, of no service', function then(this: UnitStory, member: string) {
  assert.equal(known(this.registry, member).gone, true);
  assert.deepEqual(this.registry.membersOf('ferries'), []);
});

Then('{string} is of its service', function then(this: UnitStory, member: string) {
  assert.deepEqual(
    this.registry.membersOf('ferries').map((one) => one.member),
    [member],
  );
});

Then('{string} is up', function then(this: UnitStory, member: string) {
  const { down, gone } = known(this.registry, member);
  assert.deepEqual([down, gone], [false, false]);
});

Then(/^"(.+)" is (up|down), and its readers are told of one more change$/, function then(this: UnitStory, member: string, stands: string) {
  assert.equal(known(this.registry, member).down, stands === 'down');
  assert.equal(this.registry.version(), this.changesSeen + 1);
  assert.deepEqual(
    this.registry.changedSince(this.changesSeen).map((entry) => entry.member),
    [member],
  );
});

Then('its readers are told of no change', function then(this: UnitStory) {
  assert.equal(this.registry.version(), this.changesSeen);
  assert.deepEqual(this.registry.changedSince(this.changesSeen), []);
});

Then(
  'what is spread to the other core is {string} of {int} s ago, and nothing the next time',
  function then(this: UnitStory, member: string, seconds: number) {
    const reported: readonly ReceivedHeartbeat[] = this.registry.takeRecentHeartbeats();
    assert.deepEqual(
      reported.map((one) => one.entry.member),
      [member],
    );
    // Each process has a clock of its own, and they do not go at one rate.
    assert.ok(Math.abs((reported[0]?.ago ?? 0) - seconds * 1_000) < seconds * 20, JSON.stringify(reported));
    assert.deepEqual(this.registry.takeRecentHeartbeats(), []);
    this.other.mergeHeartbeats(reported);
  },
);

Then('the other core spreads nothing of it, and has it down {int} s later', async function then(this: UnitStory, seconds: number) {
  assert.deepEqual(this.other.takeRecentHeartbeats(), []);
  this.other.sweep();
  assert.equal(known(this.other, 'member-1').down, false);
  await this.world.run(seconds * 1_000 + 150);
  this.other.sweep();
  assert.equal(known(this.other, 'member-1').down, true);
});
