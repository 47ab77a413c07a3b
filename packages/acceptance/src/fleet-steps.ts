/** The steps of the stories: given-when-then over an in-memory fleet; virtual time alone passes. */
import assert from 'node:assert/strict';
import { Given, Then, When, setDefaultTimeout, setWorldConstructor } from '@cucumber/cucumber';
import * as Option from 'fp-ts/lib/Option.js';
import { type HttpReply } from '@stallstall/kernel';
import { checks, type EdgeSlot } from '@stallstall/simulator';
import { brightpath } from '@stallstall/fakes';
import { bringUp, coreOf, edgeOf, errorOf, kindsOf, primary, statement, Story, within } from './story.js';

setWorldConstructor(Story as never);
setDefaultTimeout(120_000);

Given(
  'a fleet of {word} with its placement configuration applied and its primaries elected',
  async function given(this: Story, deployment: string) {
    this.fleet = await bringUp(deployment);
  },
);

Given('a fleet of Red Común with its placement configuration applied and its primaries elected', async function given(this: Story) {
  this.fleet = await bringUp('Red Común');
});

Given('replicas that lag by {int} ms', async function given(this: Story, milliseconds: number) {
  this.fleet = await bringUp(this.fleet.deployment === brightpath ? 'Brightpath' : 'Red Común', {
    replicateMilliseconds: milliseconds,
    synchronous: 0,
  });
});

Given(
  'a session on {string} through {word} with an open transaction that put {string} as {int}',
  async function given(this: Story, service: string, edge: string, name: string, value: number) {
    this.edge = edgeOf(this, edge);
    const opened = await this.fleet.sendRequest(this.edge, 'POST', `/v1/services/${service}/sessions`, {});
    assert.equal(opened.status, 201);
    this.session = (opened.body as { session: string }).session;
    const begun = await this.fleet.sendRequest(
      this.edge,
      'POST',
      `/v1/services/${service}/statements`,
      { ...statement('write', `put ${name} ${value}`), transaction: 'begin' },
      { 'x-stallstall-session': this.session },
    );
    assert.equal(begun.status, 200, JSON.stringify(begun.body));
  },
);

When(
  'a client puts {string} as {int} in {string} through {word}',
  async function when(this: Story, name: string, value: number, service: string, edge: string) {
    const reply = await this.fleet.sendRequest(edgeOf(this, edge), 'POST', `/v1/services/${service}/statements`, {
      kind: 'write',
      statements: [{ text: 'put', parameters: [name, value] }],
    });
    assert.equal(reply.status, 200, JSON.stringify(reply.body));
  },
);

When(
  'a session on {string} through {word} puts {string} as {int}',
  async function when(this: Story, service: string, edge: string, name: string, value: number) {
    this.edge = edgeOf(this, edge);
    const opened = await this.fleet.sendRequest(this.edge, 'POST', `/v1/services/${service}/sessions`, {});
    this.session = (opened.body as { session: string }).session;
    const reply = await this.fleet.sendRequest(
      this.edge,
      'POST',
      `/v1/services/${service}/statements`,
      { kind: 'write', statements: [{ text: 'put', parameters: [name, value] }] },
      { 'x-stallstall-session': this.session },
    );
    assert.equal(reply.status, 200, JSON.stringify(reply.body));
  },
);

When('the primary of {string} is killed', async function when(this: Story, service: string) {
  const slot = primary(this, service);
  this.before = { member: slot.place.member, epoch: this.fleet.platformStore.leaders.get(service)?.epoch ?? 0 };
  this.fleet.stopSlot(slot);
});

When('the primary of {string} is killed while a replica holds all of its log', async function when(this: Story, service: string) {
  const slot = primary(this, service);
  const others = this.fleet.members.filter((member) => member.place.service === service && member !== slot);
  assert.ok(
    await this.fleet.runUntil(() => others.some((other) => other.store.log.length === slot.store.log.length), 5_000),
    'no replica caught up',
  );
  this.before = { member: slot.place.member, epoch: this.fleet.platformStore.leaders.get(service)?.epoch ?? 0 };
  this.fleet.stopSlot(slot);
});

When('its clients send statements for {int} s', async function when(this: Story, seconds: number) {
  const clients = this.fleet.startClients();
  await this.fleet.world.run(seconds * 1_000);
  clients.stop();
  await this.fleet.world.run(3_000);
});

When('{int} s pass', async function when(this: Story, seconds: number) {
  await this.fleet.world.run(seconds * 1_000);
});

When('{word} is cut off from the other nodes', async function when(this: Story, edge: string) {
  const machine = edgeOf(this, edge).machine;
  for (const other of [...this.fleet.cores, ...this.fleet.edges]) {
    if (other.machine === machine) continue;
    this.fleet.world.cut(machine, other.machine);
    this.fleet.world.cut(other.machine, machine);
  }
});

When('{word} comes back with an empty disk', async function when(this: Story, core: string) {
  const slot = coreOf(this, core);
  this.fleet.stopSlot(slot);
  slot.disk = this.fleet.world.disk();
  await this.fleet.startCore(slot);
});

When('core-{int} is killed', async function when(this: Story, index: number) {
  this.fleet.stopSlot(coreOf(this, `core-${index}`));
});

When('a second agent starts as {word}', async function when(this: Story, edge: string) {
  this.edge = edgeOf(this, edge);
  this.process = this.edge.agent.process;
  await this.fleet.startAgent(this.edge);
});

When('an operator drains {word}', async function when(this: Story, edge: string) {
  assert.equal((await this.fleet.sendOperatorRequest('POST', `/v1/nodes/${edge}/drain`, {})).status, 200);
});

When('the agent of {word} is killed', async function when(this: Story, edge: string) {
  this.fleet.stopSlot(edgeOf(this, edge).agent);
});

When(
  'an operator sends a configuration with an unknown service in a row and a weight for an unknown member',
  async function when(this: Story) {
    const sheet = this.fleet.defaultConfiguration() as { rows: Array<{ service: string; weights: Record<string, number> }> };
    (sheet.rows[0] as { service: string }).service = 'nowhere';
    (sheet.rows[4] as { weights: Record<string, number> }).weights['stranger'] = 2;
    this.replies = [await this.fleet.sendOperatorRequest('PUT', '/v1/sheet', { sheet })];
  },
);

When('two operators send configurations through different cores at the same time', async function when(this: Story) {
  const sends = [
    this.fleet.sendConfiguration(this.fleet.defaultConfiguration(), 0),
    this.fleet.sendConfiguration(this.fleet.defaultConfiguration(), 1),
  ];
  await this.fleet.world.run(5_000);
  this.replies = await Promise.all(sends);
});

When('an operator sends a configuration based on version {int}', async function when(this: Story, version: number) {
  this.replies = [
    await this.fleet.sendOperatorRequest('PUT', '/v1/sheet', { sheet: this.fleet.defaultConfiguration() }, { 'if-match': String(version) }),
  ];
});

When("an operator removes the clients' key", async function when(this: Story) {
  const sheet = this.fleet.defaultConfiguration();
  sheet['keys'] = [];
  assert.equal((await this.fleet.sendOperatorRequest('PUT', '/v1/sheet', { sheet })).status, 200);
});

When('an operator marks the primary of {string} draining', async function when(this: Story, service: string) {
  const slot = primary(this, service);
  this.before = { member: slot.place.member, epoch: this.fleet.platformStore.leaders.get(service)?.epoch ?? 0 };
  const sheet = this.fleet.defaultConfiguration() as { services: Array<{ members: Array<{ member: string; state: string }> }> };
  for (const one of sheet.services) for (const member of one.members) if (member.member === slot.place.member) member.state = 'draining';
  assert.equal((await this.fleet.sendOperatorRequest('PUT', '/v1/sheet', { sheet })).status, 200);
});

Then('the membership table names {int} cores and {int} edges', async function then(this: Story, cores: number, edges: number) {
  const nodes = ((await this.fleet.sendOperatorRequest('GET', '/v1/fleet')).body as { nodes: ReadonlyArray<{ role: string }> }).nodes;
  assert.equal(nodes.filter((node) => node.role === 'core').length, cores);
  assert.equal(nodes.filter((node) => node.role === 'edge').length, edges);
});

export async function readGives(
  story: Story,
  kind: string,
  name: string,
  service: string,
  edge: EdgeSlot,
  value: number,
  headers: Readonly<Record<string, string>> = {},
): Promise<void> {
  const reply = await story.fleet.sendRequest(edge, 'POST', `/v1/services/${service}/statements`, statement(kind, `get ${name}`), headers);
  assert.equal(reply.status, 200, JSON.stringify(reply.body));
  assert.deepEqual((reply.body as { results: unknown }).results, [value]);
}

Then(
  'a {word} of {string} in {string} through {word} gives {int}',
  async function then(this: Story, kind: string, name: string, service: string, edge: string, value: number) {
    await readGives(this, kind, name, service, edgeOf(this, edge), value);
  },
);

Then(
  'after {int} s a {word} of {string} in {string} through {word} gives {int}',
  async function then(this: Story, seconds: number, kind: string, name: string, service: string, edge: string, value: number) {
    await this.fleet.world.run(seconds * 1_000);
    await readGives(this, kind, name, service, edgeOf(this, edge), value);
  },
);

Then('its own-read of {string} gives {int} immediately', async function then(this: Story, name: string, value: number) {
  for (let attempt = 0; attempt < 12; attempt += 1)
    await readGives(this, 'own-read', name, 'seats', this.edge, value, { 'x-stallstall-session': this.session });
});

Then(
  'within {int} s another member of {string} is elected at a later epoch',
  async function then(this: Story, seconds: number, service: string) {
    function settled(story: Story): boolean {
      return story.fleet.edges
        .filter((slot) => slot.agent.running !== undefined)
        .every((slot) => {
          const current = slot.agent.running?.node.electedPrimary(service) ?? Option.none;
          return Option.isSome(current) && current.value.epoch > story.before.epoch && current.value.primary !== story.before.member;
        });
    }
    assert.ok(await this.fleet.runUntil(() => settled(this), seconds * 1_000), 'no other member was elected in time');
    await this.fleet.world.run(1_000);
  },
);

Then('at least {int} statements were served and none was rejected', function then(this: Story, least: number) {
  assert.ok((this.fleet.ledger.reasons.get('served') ?? 0) >= least, JSON.stringify(Object.fromEntries(this.fleet.ledger.reasons)));
  assert.deepEqual([...this.fleet.ledger.reasons.keys()], ['served']);
  assert.deepEqual(checks.reads(this.fleet.ledger), []);
  assert.deepEqual(checks.writes(this.fleet.ledger, checks.logsOf(this.fleet)), []);
});

Then('no member had more connections than its limit', function then(this: Story) {
  const peaks = new Map(this.fleet.members.map((slot) => [slot.place.member, slot.running?.peakConnections() ?? 0]));
  assert.deepEqual(checks.limits(this.fleet, peaks), []);
  assert.ok(Math.max(...peaks.values()) > 9, 'no connection was used at all');
});

Then(
  'it is rejected as {string} with {int} faults that state row, column and remedy',
  function then(this: Story, kind: string, count: number) {
    const reply = this.replies[0] as HttpReply;
    within(reply, [kind]);
    const reported = (reply.body as { details?: unknown }).details;
    const faults = Array.isArray(reported) ? (reported as ReadonlyArray<Record<string, string>>) : [];
    assert.equal(faults.length, count);
    for (const one of faults) assert.ok(one['row'] && one['column'] && one['message'] && one['remedy']);
  },
);

Then('the current configuration version is {int}', async function then(this: Story, version: number) {
  const reply = await this.fleet.sendOperatorRequest('GET', '/v1/sheet');
  assert.equal(reply.status, 200, JSON.stringify(reply.body));
  assert.equal((reply.body as { version: number }).version, version);
});

Then('both are acknowledged with different versions', function then(this: Story) {
  const versions = this.replies.map((reply) => (reply.body as { version: number }).version);
  assert.deepEqual(
    this.replies.map((reply) => reply.status),
    [200, 200],
  );
  assert.equal(new Set(versions).size, 2);
});

Then('both can be read back by version', async function then(this: Story) {
  for (const reply of this.replies) {
    const version = (reply.body as { version: number }).version;
    assert.equal((await this.fleet.sendOperatorRequest('GET', `/v1/sheet?version=${version}`)).status, 200);
  }
});

Then(
  'within {int} s a commit in the session is rejected as {string} or {string}',
  async function then(this: Story, seconds: number, first: string, second: string) {
    await this.fleet.world.run(seconds * 1_000);
    const reply = await this.fleet.sendRequest(
      this.edge,
      'POST',
      '/v1/services/bookings/statements',
      { kind: 'write', statements: [], transaction: 'commit' },
      { 'x-stallstall-session': this.session },
    );
    within(reply, [first, second]);
  },
);

Then('{string} is not stored in {string}', function then(this: Story, name: string, service: string) {
  assert.equal(checks.logsOf(this.fleet).get(service)?.get(name), undefined);
});

export async function write(story: Story, service: string, edge: string): Promise<HttpReply> {
  return story.fleet.sendRequest(edgeOf(story, edge), 'POST', `/v1/services/${service}/statements`, statement('write', 'put tried 1'));
}

Then(
  'a write to {string} through {word} is denied as {string} or {string}',
  async function then(this: Story, service: string, edge: string, first: string, second: string) {
    within(await write(this, service, edge), kindsOf(first, second));
  },
);

Then(
  'a write to {string} through {word} is denied as {string}',
  async function then(this: Story, service: string, edge: string, kind: string) {
    within(await write(this, service, edge), kindsOf(kind));
  },
);

Then('a write to {string} through {word} is served', async function then(this: Story, service: string, edge: string) {
  within(await write(this, service, edge), ['served']);
});

Then('{word} is not ready', async function then(this: Story, edge: string) {
  assert.equal((await this.fleet.sendRequest(edgeOf(this, edge), 'GET', '/ready')).status, 503);
});

Given('members of {string} that take {int} ms for a statement', async function given(this: Story, _service: string, milliseconds: number) {
  this.fleet = await bringUp('Red Común', { runMilliseconds: milliseconds });
});

When(
  '{int} writes to {string} are sent through {word} and it is then partitioned from the other edges',
  async function when(this: Story, count: number, service: string, edge: string) {
    const slot = edgeOf(this, edge);
    const began = this.fleet.world.now();
    this.crowd = [];
    for (let index = 0; index < count; index += 1) {
      void this.fleet
        .post(slot, `/v1/services/${service}/statements`, { ...statement('write', `put crowd-${index} 1`), horizonMilliseconds: 20_000 })
        .then((reply) => {
          this.crowd.push({ reply, after: this.fleet.world.now() - began });
        });
    }
    await this.fleet.world.run(100);
    for (const other of this.fleet.edges) {
      if (other.machine === slot.machine) continue;
      this.fleet.world.cut(slot.machine, other.machine);
      this.fleet.world.cut(other.machine, slot.machine);
    }
  },
);

Then('all of the writes have a response', function then(this: Story) {
  assert.equal(this.crowd.length, 390);
});

Then(
  'the writes that waited at the edge are rejected within {int} s as {string} or {string}',
  function then(this: Story, seconds: number, first: string, second: string) {
    const rejected = this.crowd.filter((one) => [first, second].includes(errorOf(one.reply)));
    // Two rounds of a share of 14 connections may have left before the fence closed; all others waited.
    assert.ok(rejected.length >= 390 - 2 * 14, `${rejected.length} were`);
    for (const one of rejected) assert.equal(one.reply.headers?.['retry-after'], '1');
    assert.ok(Math.max(...rejected.map((one) => one.after)) < seconds * 1_000);
  },
);
