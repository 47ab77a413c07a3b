/** Steps about cores whose disk or machine was replaced, and about competing proposals in elections. */
import assert from 'node:assert/strict';
import { When, Then } from '@cucumber/cucumber';
import { identifiers } from '@stallstall/kernel';
import { peer } from '@stallstall/peer';
import * as Option from 'fp-ts/lib/Option.js';
import { type Story, coreOf, primary, edgeOf } from './story.js';

When(
  'the disk of {word} is copied, an operator sends two more configurations, and {word} restarts with the copy',
  async function when(this: Story, core: string, _again: string) {
    const slot = coreOf(this, core);
    await this.fleet.world.run(1_000);
    const copy = new Map(slot.disk.entries);
    for (let attempt = 0; attempt < 2; attempt += 1)
      assert.equal((await this.fleet.sendOperatorRequest('PUT', '/v1/sheet', { sheet: this.fleet.defaultConfiguration() })).status, 200);
    await this.fleet.world.run(1_000);
    this.fleet.stopSlot(slot);
    slot.disk = this.fleet.world.disk();
    for (const [key, value] of copy) slot.disk.entries.set(key, value);
    await this.fleet.startCore(slot);
  },
);

Then(
  '{word} logs {string} and serves ballots within {int} s',
  async function then(this: Story, core: string, event: string, seconds: number) {
    assert.ok(await this.fleet.runUntil(() => coreOf(this, core).running?.isOpen() === true, seconds * 1_000), 'the core did not open');
    assert.ok(
      this.fleet.world.logs.some((line) => line.process === core && line.event === event),
      `no ${event}`,
    );
  },
);

Then('{word} holds version {int} on its own disk', function then(this: Story, core: string, version: number) {
  const cell = JSON.parse(coreOf(this, core).disk.entries.get('register/configuration') ?? 'null') as { accepted: { version: number } };
  assert.equal(cell.accepted.version, version);
});

async function proposeTo(story: Story, address: string, proposer: string, epoch: number): Promise<boolean> {
  const runtime = story.fleet.world.spawn(proposer, 'proposer-machine').runtime;
  const link = peer.dial(runtime, identifiers.address(address));
  await story.fleet.world.run(50);
  const membership = story.fleet.cores[1]?.running?.node.membership().version ?? 0;
  const pendingReply = link.call(
    'propose',
    { service: 'bookings', epoch, candidate: primary(story, 'bookings').place.member, position: 100, node: proposer, membership },
    1_000,
  );
  await story.fleet.world.run(100);
  const reply = await pendingReply;
  link.close();
  return Option.isSome(reply) && reply.value.accepted;
}

When('every node votes for the primary of {string} at epoch {int}', async function when(this: Story, _service: string, epoch: number) {
  const addresses = [
    ...this.fleet.cores.map((slot) => this.fleet.coreAddresses(slot).address),
    ...this.fleet.edges.map((slot) => this.fleet.edgeAddresses(slot).address),
  ];
  for (const address of addresses) assert.ok(await proposeTo(this, address, 'edge-1', epoch), `${address} did not vote`);
});

Then('{word} rejects another proposal for epoch {int}', async function then(this: Story, core: string, epoch: number) {
  const slot = coreOf(this, core);
  assert.ok(await this.fleet.runUntil(() => slot.running?.isOpen() === true, 2_000), 'the core did not open');
  // Long enough for the core to apply the membership table and the configuration again, so that only its vote can reject the proposal.
  await this.fleet.world.run(1_000);
  assert.equal(await proposeTo(this, this.fleet.coreAddresses(slot).address, 'edge-2', epoch), false);
});

Then(
  'within {int} s a primary of {string} is elected at a later epoch than {int}',
  async function then(this: Story, seconds: number, service: string, epoch: number) {
    assert.ok(
      await this.fleet.runUntil(
        () =>
          this.fleet.edges.every((slot) => {
            const elected = slot.agent.running?.node.electedPrimary(service) ?? Option.none;
            return Option.isSome(elected) && elected.value.epoch > epoch;
          }),
        seconds * 1_000,
      ),
      'no primary was elected at a later epoch',
    );
  },
);

When(
  'core-{int} is replaced by a machine with an empty disk at {string}',
  async function when(this: Story, index: number, address: string) {
    const slot = coreOf(this, `core-${index}`);
    this.fleet.stopSlot(slot);
    slot.disk = this.fleet.world.disk();
    await this.fleet.startCore(slot, address);
  },
);

Then('{word} accepts a configuration', async function then(this: Story, core: string) {
  const reply = await this.fleet.sendOperatorRequest(
    'PUT',
    '/v1/sheet',
    { sheet: this.fleet.defaultConfiguration() },
    {},
    this.fleet.cores.indexOf(coreOf(this, core)),
  );
  assert.equal(reply.status, 200, JSON.stringify(reply.body));
});

When(
  'edges {int}, {int}, {int} and {int} are killed and {int} s pass',
  async function when(this: Story, first: number, second: number, third: number, fourth: number, seconds: number) {
    for (const index of [first, second, third, fourth]) this.fleet.stopSlot(edgeOf(this, `edge-${index}`).agent);
    await this.fleet.world.run(seconds * 1_000);
  },
);

When('an operator tries to remove {word} after {word} is killed too', async function when(this: Story, edge: string, killed: string) {
  this.fleet.stopSlot(edgeOf(this, killed).agent);
  await this.fleet.world.run(3_000);
  this.replies = [await this.fleet.sendOperatorRequest('DELETE', `/v1/nodes/${edge}`)];
});
