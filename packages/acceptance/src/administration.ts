/** Steps about the administration API, changes pushed to nodes, and calls to the platform. */
import assert from 'node:assert/strict';
import { fileURLToPath } from 'node:url';
import { Given, Then, When } from '@cucumber/cucumber';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { type HttpReply } from '@stallstall/kernel';
import { openapi } from '@stallstall/cli';
import { watcher, type Register } from '@stallstall/register';
import { checks, world as worlds } from '@stallstall/simulator';
import { bringUp, edgeOf, primary, type Story, within } from './story.js';
import { readGives } from './fleet-steps.js';

const rootKey = 'root-key-of-the-story';

Given(
  'a fleet of Red Común with its placement configuration applied and its primaries elected, whose cores have a root key',
  async function given(this: Story) {
    this.fleet = await bringUp('Red Común', { operatorKey: rootKey });
  },
);

When('root creates an operator {string} for the service {string}', async function when(this: Story, operator: string, service: string) {
  const reply = await this.fleet.sendOperatorRequest(
    'PUT',
    `/v1/operators/${operator}`,
    { services: [service], nodes: false, operators: false },
    { 'x-stallstall-operator': rootKey },
  );
  assert.equal(reply.status, 200, JSON.stringify(reply.body));
  this.key = (reply.body as { key: string }).key;
});

async function sendChangedWeights(story: Story, service: string): Promise<HttpReply> {
  const current = await story.fleet.sendOperatorRequest('GET', '/v1/sheet', undefined, { 'x-stallstall-operator': story.key });
  const { sheet: configuration } = current.body as { sheet: { rows: Array<{ service: string; weights: Record<string, number> }> } };
  for (const row of configuration.rows) if (row.service === service) for (const member of Object.keys(row.weights)) row.weights[member] = 7;
  return story.fleet.sendOperatorRequest('PUT', '/v1/sheet', { sheet: configuration }, { 'x-stallstall-operator': story.key });
}

Then(
  '{string} may send a configuration that changes the weights of {string}',
  async function then(this: Story, _operator: string, service: string) {
    assert.equal((await sendChangedWeights(this, service)).status, 200);
  },
);

Then(
  '{string} may not send a configuration that changes the weights of {string}',
  async function then(this: Story, _operator: string, service: string) {
    within(await sendChangedWeights(this, service), ['key-denied']);
  },
);

Then('{string} may not drain {word}', async function then(this: Story, _operator: string, edge: string) {
  within(await this.fleet.sendOperatorRequest('POST', `/v1/nodes/${edge}/drain`, {}, { 'x-stallstall-operator': this.key }), [
    'key-denied',
  ]);
});

Then('a caller without a key may not read the fleet status', async function then(this: Story) {
  within(await this.fleet.sendOperatorRequest('GET', '/v1/fleet'), ['key-denied']);
});

Then(
  'the audit trail lists a configuration sent by {string} and an operator created by {string}',
  async function then(this: Story, author: string, creator: string) {
    const reply = await this.fleet.sendOperatorRequest('GET', '/v1/audit', undefined, { 'x-stallstall-operator': rootKey });
    const rows = (reply.body as { rows: ReadonlyArray<{ by: string; action: string }> }).rows;
    assert.ok(rows.some((row) => row.by === author && row.action === 'sheet'));
    assert.ok(rows.some((row) => row.by === creator && row.action === 'operator-put'));
  },
);

When('an operator lists the members {int} at a time', async function when(this: Story, limit: number) {
  this.replies = [];
  for (let after: number | undefined = 0; after !== undefined;) {
    const reply: HttpReply = await this.fleet.sendOperatorRequest('GET', `/v1/members?limit=${limit}&after=${after}`);
    this.replies.push(reply);
    after = (reply.body as { next?: number }).next;
  }
});

Then('{int} members are listed on {int} pages and none twice', function then(this: Story, members: number, pages: number) {
  const names = this.replies.flatMap((reply) => (reply.body as { rows: ReadonlyArray<{ member: string }> }).rows.map((row) => row.member));
  assert.equal(this.replies.length, pages);
  assert.equal(names.length, members);
  assert.equal(new Set(names).size, members);
});

Then('all health checks pass', async function then(this: Story) {
  const reply = await this.fleet.sendOperatorRequest('GET', '/v1/liveness');
  assert.equal(reply.status, 200, JSON.stringify(reply.body));
});

Then('only the health check {string} fails, with a remedy', async function then(this: Story, check: string) {
  const reply = await this.fleet.sendOperatorRequest('GET', '/v1/liveness');
  assert.equal(reply.status, 503);
  const failed = (reply.body as { checks: ReadonlyArray<{ check: string; sound: boolean; remedy: string }> }).checks.filter(
    (result) => !result.sound,
  );
  assert.deepEqual(
    failed.map((result) => result.check),
    [check],
  );
  assert.ok((failed[0]?.remedy ?? '').length > 0);
});

When('an operator imports mappings from {string} and sends the configuration', async function when(this: Story, file: string) {
  this.imported = await openapi.read(fileURLToPath(new URL(`../fixtures/${file}`, import.meta.url)));
  const reply = await this.fleet.sendOperatorRequest('PUT', '/v1/sheet', {
    sheet: { ...this.fleet.defaultConfiguration(), mappings: this.imported.mappings },
  });
  assert.equal(reply.status, 200, JSON.stringify(reply.body));
  await this.fleet.world.run(500);
});

Then(
  'the import contains {string} and {string} and skips {string}',
  function then(this: Story, first: string, second: string, skipped: string) {
    assert.deepEqual(this.imported.mappings.map((mapping) => mapping.mapping).sort(), [first, second].sort());
    assert.deepEqual(this.imported.leftOut, [skipped]);
  },
);

Then(
  'a client that calls {string} with {string} and {int} succeeds',
  async function then(this: Story, mapping: string, seat: string, value: number) {
    within(await this.fleet.sendRequest(edgeOf(this, 'edge-1'), 'POST', `/v1/mappings/${mapping}`, { parameters: [seat, value] }), [
      'served',
    ]);
  },
);

Then(
  'a client that calls {string} with {string} after {int} s receives {int}',
  async function then(this: Story, mapping: string, seat: string, seconds: number, value: number) {
    await this.fleet.world.run(seconds * 1_000);
    const reply = await this.fleet.sendRequest(edgeOf(this, 'edge-2'), 'POST', `/v1/mappings/${mapping}`, { parameters: [seat] });
    assert.deepEqual((reply.body as { results: unknown }).results, [value]);
  },
);

When(
  'the agent of {word} is shut down gracefully and started again {int} ms later',
  async function when(this: Story, edge: string, milliseconds: number) {
    const slot = edgeOf(this, edge);
    void slot.agent.running?.stop();
    this.fleet.stopSlot(slot.agent);
    await this.fleet.world.run(milliseconds);
    await this.fleet.startAgent(slot);
  },
);

Then('every statement was served', function then(this: Story) {
  assert.deepEqual([...this.fleet.ledger.reasons.keys()], ['served']);
});

function pushVersion(story: Story, core: string, version: number): void {
  story.watcher.receive(core, {
    number: version,
    key: 'configuration',
    entry: { ballot: { counter: version * 10, node: 'x' }, version, value: `configuration ${version}` },
  });
}

Given('a node to which three cores push changes', function given(this: Story) {
  this.world = worlds.create(4);
  const { runtime } = this.world.spawn('node', 'node-machine');
  const emptyRegister: Register = {
    read: () => Promise.resolve(Either.right(Option.none)),
    change: () => Promise.resolve(Either.right({ wrote: false, entry: Option.none })),
  };
  this.watcher = watcher.create(runtime, { register: emptyRegister, coreCount: () => 3, onApplied: () => undefined });
});

When('a majority pushes version {int}, and then another majority version {int}', function when(this: Story, newer: number, older: number) {
  pushVersion(this, 'core-1', newer);
  pushVersion(this, 'core-2', newer);
  pushVersion(this, 'core-2', older);
  pushVersion(this, 'core-3', older);
});

When('a single core pushes version {int}', function when(this: Story, version: number) {
  pushVersion(this, 'core-1', version);
});

When('a second core pushes the same version {int}', function when(this: Story, version: number) {
  pushVersion(this, 'core-3', version);
});

Then('it has applied version {int}', function then(this: Story, version: number) {
  const applied = this.watcher.applied('configuration');
  assert.equal(Option.isSome(applied) ? applied.value.version : 0, version);
});

Given('a platform that accepts usage calls but whose replies are lost', function given(this: Story) {
  this.fleet.platform().knobs.losesReplies = true;
});

When(
  '{word} is cut off from the cores {int} s before a window ends, for {int} s',
  async function when(this: Story, edge: string, before: number, seconds: number) {
    const windowMilliseconds = 5_000;
    await this.fleet.world.run(windowMilliseconds);
    const wall = Math.round(1_800_000_000_000 + this.fleet.world.now());
    this.window = Math.floor(wall / windowMilliseconds) + 1;
    await this.fleet.world.run((this.window + 1) * windowMilliseconds - before * 1_000 - wall);
    const machine = edgeOf(this, edge).machine;
    for (const core of this.fleet.cores) {
      this.fleet.world.cut(machine, core.machine);
      this.fleet.world.cut(core.machine, machine);
    }
    await this.fleet.world.run(seconds * 1_000);
    this.fleet.world.healAll();
  },
);

Then('that window was sent more than once, in time, and always with the same counts of what was served', function then(this: Story) {
  const reported = this.fleet.platformStore.usage.filter((call) => call.window === this.window);
  assert.ok(reported.length > 1, `the window was sent ${reported.length} times`);
  assert.deepEqual(checks.usage({ usage: reported }, this.fleet.ledger.usageByWindow, this.window, this.window), []);
});

function proposerOf(story: Story, service: string, since: number): string | undefined {
  return story.fleet.world.logs.find((line) => line.at >= since && line.event === 'election.propose' && line.fields['service'] === service)
    ?.process;
}

When(
  'the node that proposes for {string} is killed {int} s after its proposal',
  async function when(this: Story, service: string, seconds: number) {
    const since = this.fleet.world.now();
    assert.ok(await this.fleet.runUntil(() => proposerOf(this, service, since) !== undefined, 9_000), 'no node proposed an election');
    await this.fleet.world.run(seconds * 1_000);
    const proposer = proposerOf(this, service, since) as string;
    const slots = [
      ...this.fleet.cores.map((slot) => [slot.name, slot] as const),
      ...this.fleet.edges.map((slot) => [`${slot.name}/agent`, slot.agent] as const),
    ];
    const [, slot] = slots.find(([name]) => name === proposer) as (typeof slots)[number];
    this.fleet.stopSlot(slot);
    this.edge = this.fleet.edges.find((edge) => edge.agent === slot) ?? this.edge;
  },
);

When("the platform's replies are lost for {int} s from the first promotion on", async function when(this: Story, seconds: number) {
  const before = this.fleet.platformStore.promotions.length;
  this.fleet.platform().knobs.losesReplies = true;
  assert.ok(await this.fleet.runUntil(() => this.fleet.platformStore.promotions.length > before, 12_000), 'no promotion was called');
  const promotedAt = this.fleet.world.now();
  await this.fleet.world.run(seconds * 1_000);
  this.fleet.platform().knobs.losesReplies = false;
  const appliedEpochs = this.fleet.world.logs.filter(
    (line) => line.at >= promotedAt && line.event === 'node.applied' && line.fields['key'] === 'epoch/bookings',
  );
  this.window = Math.min(...appliedEpochs.map((line) => line.at - promotedAt));
});

Given(
  'replicas of {string} that no longer receive its log, and a primary that waits for no replica',
  async function given(this: Story, service: string) {
    this.fleet = await bringUp('Red Común', { synchronous: 0 });
    const leader = primary(this, service);
    for (const slot of this.fleet.members)
      if (slot.place.service === service && slot !== leader && slot.running !== undefined) slot.running.knobs.deaf = true;
  },
);

When('the primary of {string} restarts', async function when(this: Story, service: string) {
  await this.fleet.startMember(primary(this, service));
});

Then('the platform was called in order of fencing tokens, and no two elections shared a token', function then(this: Story) {
  assert.deepEqual(checks.promotions(this.fleet.platformStore), []);
});

Then(
  'another member of {string} was elected within {int} s of the first promotion',
  function then(this: Story, service: string, seconds: number) {
    assert.ok(this.window < seconds * 1_000, `the election took ${this.window} ms`);
    assert.notEqual(primary(this, service).place.member, this.before.member);
  },
);

Then('all promotion calls of that election used one fencing token', function then(this: Story) {
  const epochs = this.fleet.platformStore.promotions.filter((call) => call.epoch > this.before.epoch && call.service === 'bookings');
  assert.ok(epochs.length > 0, 'the platform received no promotion call');
  assert.equal(new Set(epochs.map((call) => call.turn)).size, 1);
});

Then(
  'within {int} s a {word} of {string} in {string} through {word} gives {int}',
  async function then(this: Story, seconds: number, kind: string, name: string, service: string, edge: string, value: number) {
    await this.fleet.world.run(seconds * 1_000);
    await readGives(this, kind, name, service, edgeOf(this, edge), value);
  },
);
