/** Steps of pooled.feature for members' heartbeats and leaves. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { pooledFleet, type PooledFleet } from '@stallstall/simulator';
import type { PooledStory } from './pooled-story.js';

const sampleHeartbeat = {
  service: 'bookings',
  address: '10.3.0.1:5000',
  area: 'north',
  draining: false,
  role: 'replica',
  slots: 4,
  sequence: 1,
};

Given('a core that has not contacted any other core', async function given(this: PooledStory) {
  this.pooled = pooledFleet.create(11);
  await this.pooled.startCore(this.pooled.cores[0] as PooledFleet['cores'][number]);
  await this.pooled.world.run(2_000);
});

Then('a heartbeat sent to it is rejected, and so is a leave', async function then(this: PooledStory) {
  assert.equal((await this.pooled.drive(this.pooled.call(0, '/members/bookings-1/beat', sampleHeartbeat))).status, 503);
  assert.equal((await this.pooled.drive(this.pooled.call(0, '/members/bookings-1/leave', {}))).status, 503);
});

When('the other cores start and the fleet is formed', async function when(this: PooledStory) {
  for (const slot of this.pooled.cores.slice(1)) await this.pooled.startCore(slot);
  assert.ok(
    await this.pooled.until(() => this.pooled.cores.every((slot) => slot.running?.isOpen() === true), 8_000),
    'the fleet was not formed',
  );
});

Then('a heartbeat sent to it is accepted', async function then(this: PooledStory) {
  assert.equal((await this.pooled.drive(this.pooled.call(0, '/members/bookings-1/beat', sampleHeartbeat))).status, 200);
});

When(
  '{string} sends a heartbeat as {word} with number {int} to core {int}',
  async function when(this: PooledStory, member: string, phase: string, sequence: number, core: number) {
    const heartbeat = { ...sampleHeartbeat, service: 'maps', address: '10.3.1.9:5000', draining: phase === 'draining', sequence };
    await this.pooled.drive(this.pooled.call(core - 1, `/members/${member}/beat`, heartbeat));
    await this.pooled.world.run(300);
  },
);

When('{string} leaves through core {int}', async function when(this: PooledStory, member: string, core: number) {
  assert.equal((await this.pooled.drive(this.pooled.call(core - 1, `/members/${member}/leave`, {}))).status, 200);
  await this.pooled.world.run(300);
});

Then('every edge lists {string} as draining', function then(this: PooledStory, member: string) {
  for (const slot of this.pooled.edges) assert.equal(slot.proxy?.view().members.get(member)?.draining, true, slot.name);
});

Then('no edge lists {string}', function then(this: PooledStory, member: string) {
  for (const slot of this.pooled.edges) assert.equal(slot.proxy?.view().members.has(member), false, slot.name);
});
