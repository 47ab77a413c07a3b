/** Steps of units.feature for the member registry, without a fleet, on virtual time. */
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

export function startRegistry(world: World, name: string): MemberRegistry {
  const { runtime } = world.spawn(name, `${name}-machine`);
  runtime.services.register(livenessService, liveness.create(runtime));
  return memberRegistry.create(runtime, () => undefined);
}

function recordIn(registry: MemberRegistry, member: string): MemberRecord {
  const record = registry.recordOf(member);
  assert.ok(Option.isSome(record), `the registry has no record of ${member}`);
  return record.value;
}

Given('a member registry', function given(this: UnitStory) {
  this.world = worlds.create(41);
  this.registry = startRegistry(this.world, 'core-1');
  this.appliedBySequence = new Map();
});

Given('the member registry of another core', function given(this: UnitStory) {
  this.otherRegistry = startRegistry(this.world, 'core-2');
});

When('{string} sends a draining heartbeat with sequence number {int}', function when(this: UnitStory, member: string, sequence: number) {
  this.versionBefore = this.registry.version();
  this.appliedBySequence.set(sequence, this.registry.recordHeartbeat(registration(member, sequence, true)));
});

When('{string} sends a serving heartbeat with sequence number {int}', function when(this: UnitStory, member: string, sequence: number) {
  this.versionBefore = this.registry.version();
  this.appliedBySequence.set(sequence, this.registry.recordHeartbeat(registration(member, sequence, false)));
});

When('{string} announces its departure', function when(this: UnitStory, member: string) {
  this.registry.recordDeparture(member);
});

When(
  'another core forwards a heartbeat of {string} with sequence number {int}',
  function when(this: UnitStory, member: string, sequence: number) {
    this.registry.mergeHeartbeats([{ entry: { ...registration(member, sequence, false), gone: false, down: false }, ago: 0 }]);
  },
);

When('another core forwards the departure of {string}', function when(this: UnitStory, member: string) {
  this.registry.mergeHeartbeats([{ entry: { ...registration(member, 7, false), gone: true, down: false }, ago: 0 }]);
});

When('{float} s pass and the registry sweeps', async function when(this: UnitStory, seconds: number) {
  await this.world.run(seconds * 1_000);
  this.versionBefore = this.registry.version();
  this.registry.sweep();
});

Then(
  'the heartbeat with sequence number {int} was ignored, and {string} is draining',
  function then(this: UnitStory, sequence: number, member: string) {
    assert.equal(this.appliedBySequence.get(sequence), false);
    assert.equal(recordIn(this.registry, member).draining, true);
    assert.deepEqual(
      this.registry.membersOf('ferries').map((placement) => placement.state),
      ['draining'],
    );
  },
);

Then('only the heartbeat with sequence number {int} is sent to other cores', function then(this: UnitStory, sequence: number) {
  assert.deepEqual(
    this.registry.takeRecentHeartbeats().map((heartbeat) => heartbeat.entry.sequence),
    [sequence],
  );
  this.registry.recordHeartbeat(registration('member-1', sequence - 2, false));
  assert.deepEqual(this.registry.takeRecentHeartbeats(), []);
});

Then('{string} is gone, belongs to no service, and its departure is sent to other cores', function then(this: UnitStory, member: string) {
  assert.equal(recordIn(this.registry, member).gone, true);
  assert.deepEqual(this.registry.membersOf('ferries'), []);
  assert.deepEqual(
    this.registry.takeRecentHeartbeats().map((heartbeat) => [heartbeat.entry.member, heartbeat.entry.gone]),
    [[member, true]],
  );
});

Then('{string} is gone and belongs to no service', function then(this: UnitStory, member: string) {
  assert.equal(recordIn(this.registry, member).gone, true);
  assert.deepEqual(this.registry.membersOf('ferries'), []);
});

Then('{string} belongs to its service', function then(this: UnitStory, member: string) {
  assert.deepEqual(
    this.registry.membersOf('ferries').map((placement) => placement.member),
    [member],
  );
});

Then('{string} is up', function then(this: UnitStory, member: string) {
  const { down, gone } = recordIn(this.registry, member);
  assert.deepEqual([down, gone], [false, false]);
});

Then(/^"(.+)" is (up|down), and readers see one change$/, function then(this: UnitStory, member: string, expected: string) {
  assert.equal(recordIn(this.registry, member).down, expected === 'down');
  assert.equal(this.registry.version(), this.versionBefore + 1);
  assert.deepEqual(
    this.registry.changedSince(this.versionBefore).map((record) => record.member),
    [member],
  );
});

Then('readers see no change', function then(this: UnitStory) {
  assert.equal(this.registry.version(), this.versionBefore);
  assert.deepEqual(this.registry.changedSince(this.versionBefore), []);
});

Then(
  'the other core is sent a heartbeat of {string} from {int} s ago, and nothing the next time',
  function then(this: UnitStory, member: string, seconds: number) {
    const sent: readonly ReceivedHeartbeat[] = this.registry.takeRecentHeartbeats();
    assert.deepEqual(
      sent.map((heartbeat) => heartbeat.entry.member),
      [member],
    );
    // Each process has its own clock, and the clocks run at slightly different rates.
    assert.ok(Math.abs((sent[0]?.ago ?? 0) - seconds * 1_000) < seconds * 20, JSON.stringify(sent));
    assert.deepEqual(this.registry.takeRecentHeartbeats(), []);
    this.otherRegistry.mergeHeartbeats(sent);
  },
);

Then('the other core forwards nothing, and considers the member down {int} s later', async function then(this: UnitStory, seconds: number) {
  assert.deepEqual(this.otherRegistry.takeRecentHeartbeats(), []);
  this.otherRegistry.sweep();
  assert.equal(recordIn(this.otherRegistry, 'member-1').down, false);
  await this.world.run(seconds * 1_000 + 150);
  this.otherRegistry.sweep();
  assert.equal(recordIn(this.otherRegistry, 'member-1').down, true);
});
