/** Steps for a member that answers STATE late. */
import assert from 'node:assert/strict';
import { Given, When, Then } from '@cucumber/cucumber';
import { liveness } from '@stallstall/election';
import { identifiers } from '@stallstall/kernel';
import { world as worlds } from '@stallstall/simulator';
import * as Either from 'fp-ts/lib/Either.js';
import type { Story } from './story.js';

Given('a member that answers STATE after {int} ms', async function given(this: Story, milliseconds: number) {
  this.world = worlds.create(3);
  const served = this.world.spawn('member', 'member-machine');
  await served.runtime.network.serve(identifiers.address('10.3.0.1:5000'), {
    routes: [
      {
        method: 'GET',
        path: '/state',
        handle: async function state() {
          await served.runtime.clock.sleep(milliseconds);
          return { status: 200, body: { member: 'one', role: 'primary', epoch: 1, received: 5, applied: 5 } };
        },
      },
    ],
  });
});

When('a node asks it, and asks again {int} ms later', async function when(this: Story, milliseconds: number) {
  const asker = this.world.spawn('node', 'node-machine');
  const asked = liveness.create(asker.runtime);
  const probes: Story['probes'] = [];
  this.probes = probes;
  async function ask(): Promise<void> {
    const moment = asker.runtime.clock.now();
    const reply = await asked.probe('one', '10.3.0.1:5000', 900);
    if (Either.isRight(reply)) probes.push({ asked: moment, sentAt: reply.right.sentAt });
  }
  void ask();
  await this.world.run(milliseconds);
  void ask();
  await this.world.run(2_000);
});

Then('both answers count from the first question', function then(this: Story) {
  assert.equal(this.probes.length, 2);
  const first = Math.min(...this.probes.map((probe) => probe.asked));
  for (const probe of this.probes) assert.equal(probe.sentAt, first);
});
