/** Steps for planned changes under load: removing an edge, restarting a proxy. */
import assert from 'node:assert/strict';
import { Given, When, Then } from '@cucumber/cucumber';
import { fault, type HttpReply } from '@stallstall/kernel';
import { checks } from '@stallstall/simulator';
import * as Option from 'fp-ts/lib/Option.js';
import { write } from './fleet-steps.js';
import { type Story, primary, edgeOf, within } from './story.js';

/** `reply`: to the write that was under way. */
type ShutdownStory = Story & { reply: HttpReply };

Given('its clients are sending statements', async function given(this: Story) {
  this.clients = this.fleet.startClients();
  await this.fleet.world.run(3_000);
});

Given('all members of {string} but the primary are killed', async function given(this: Story, service: string) {
  const leader = primary(this, service);
  for (const slot of this.fleet.members) if (slot.place.service === service && slot !== leader) this.fleet.stopSlot(slot);
  await this.fleet.world.run(500);
});

When('an operator removes {word}', async function when(this: Story, edge: string) {
  this.edge = edgeOf(this, edge);
  this.process = this.edge.agent.process;
  await this.fleet.world.run(2_000);
  assert.equal((await this.fleet.sendOperatorRequest('DELETE', `/v1/nodes/${edge}`)).status, 200);
});

When('the proxy of {word} is shut down gracefully and started again', function when(this: Story, edge: string) {
  const slot = edgeOf(this, edge);
  void slot.proxy.running?.drain().then(() => {
    this.fleet.stopSlot(slot.proxy);
    return this.fleet.startProxy(slot);
  });
});

When(
  'the primary of {string} goes dark under a write through {word} with a limit of {int} s, and the proxy of {word} is shut down gracefully',
  async function when(this: ShutdownStory, service: string, name: string, seconds: number, _same: string) {
    const slot = edgeOf(this, name);
    const leader = primary(this, service);
    const body = { kind: 'write', statements: [{ text: 'put tried 1' }], horizonMilliseconds: seconds * 1_000 };
    const reply = this.fleet.sendRequest(slot, 'POST', `/v1/services/${service}/statements`, body);
    this.fleet.world.makeUnresponsive(leader.machine);
    let hasStopped = false;
    void slot.proxy.running?.drain().then(() => {
      hasStopped = true;
    });
    this.reply = await reply;
    assert.equal(hasStopped, false, 'the proxy stopped before it answered');
    await this.fleet.world.run(1_000);
    assert.ok(hasStopped, 'the proxy did not stop');
  },
);

Then('the write is answered as {string} before the proxy stops', function then(this: ShutdownStory, kind: string) {
  within(this.reply, [kind]);
});

Then(
  'a write to {string} through {word} is rejected as {string} within {int} ms, with a Retry-After header',
  async function then(this: Story, service: string, edge: string, kind: string, milliseconds: number) {
    const startedAt = this.fleet.world.now();
    const reply = await write(this, service, edge);
    within(reply, [kind]);
    assert.ok(this.fleet.world.now() - startedAt <= milliseconds, `it took ${this.fleet.world.now() - startedAt} ms`);
    assert.equal(reply.headers?.['retry-after'], '1');
  },
);

Then(
  'another member of {string} leads, and no interval of {int} s passed without a committed write',
  function then(this: Story, service: string, seconds: number) {
    assert.notEqual(primary(this, service).place.member, this.before.member);
    const committedAt = this.fleet.ledger.writes
      .filter((record) => record.service === service && record.fate === 'kept')
      .map((record) => record.endedAt)
      .sort((left, right) => left - right);
    const longest = Math.max(
      ...committedAt.map((at, index) => at - (committedAt[index - 1] ?? at)),
      this.fleet.world.now() - (committedAt.at(-1) ?? 0),
    );
    assert.ok(longest < seconds * 1_000, `${Math.round(longest)} ms passed without a committed write`);
  },
);

Then('the recorded history is consistent', async function then(this: Story) {
  this.clients.stop();
  await this.fleet.world.run(4_000);
  assert.deepEqual(
    [
      ...checks.writes(this.fleet.ledger, checks.logsOf(this.fleet)),
      ...checks.reads(this.fleet.ledger),
      ...checks.sessions(this.fleet.ledger, 0),
    ],
    [],
  );
});

Then('the agent of {word} has stopped with the fault {string}', function then(this: Story, _edge: string, kind: string) {
  assert.equal(this.process?.alive(), false);
  const reason = this.process?.stopReason() ?? Option.none;
  assert.ok(Option.isSome(reason) && fault.kind(reason.value) === kind);
});

Then('no reply was lost', function then(this: Story) {
  const reasons = [...this.fleet.ledger.reasons.keys()];
  assert.ok(
    ['draining', 'session:draining', 'session-lost', 'unreachable'].some((reason) => reasons.includes(reason)),
    'the restart affected no client',
  );
  assert.ok(
    !reasons.includes('reply-lost') && !reasons.includes('outcome-unknown') && !reasons.includes('transaction-ended'),
    reasons.join(' '),
  );
});
