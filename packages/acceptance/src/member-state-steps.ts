/** Steps for a member that replies to STATE late. */
import assert from 'node:assert/strict';
import { Given, When, Then } from '@cucumber/cucumber';
import { liveness } from '@stallstall/election';
import { identifiers } from '@stallstall/kernel';
import { world as worlds } from '@stallstall/simulator';
import * as Either from 'fp-ts/lib/Either.js';
import type { Story } from './story.js';

Given('a member that replies to STATE after {int} ms', async function given(this: Story, milliseconds: number) {
  this.world = worlds.create(3);
  const memberProcess = this.world.spawn('member', 'member-machine');
  await memberProcess.runtime.network.serve(identifiers.address('10.3.0.1:5000'), {
    routes: [
      {
        method: 'GET',
        path: '/state',
        handle: async function state() {
          await memberProcess.runtime.clock.sleep(milliseconds);
          return { status: 200, body: { member: 'member-1', role: 'primary', epoch: 1, received: 5, applied: 5 } };
        },
      },
    ],
  });
});

When('a node requests its STATE, and requests it again {int} ms later', async function when(this: Story, milliseconds: number) {
  const nodeProcess = this.world.spawn('node', 'node-machine');
  const nodeLiveness = liveness.create(nodeProcess.runtime);
  const probes: Story['probes'] = [];
  this.probes = probes;
  async function requestState(): Promise<void> {
    const requestedAt = nodeProcess.runtime.clock.now();
    const reply = await nodeLiveness.probe('member-1', '10.3.0.1:5000', 900);
    if (Either.isRight(reply)) probes.push({ requestedAt, sentAt: reply.right.sentAt });
  }
  void requestState();
  await this.world.run(milliseconds);
  void requestState();
  await this.world.run(2_000);
});

Then('both replies carry the send time of the first request', function then(this: Story) {
  assert.equal(this.probes.length, 2);
  const first = Math.min(...this.probes.map((probe) => probe.requestedAt));
  for (const probe of this.probes) assert.equal(probe.sentAt, first);
});
