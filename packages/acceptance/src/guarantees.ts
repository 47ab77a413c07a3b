/** Steps of the stories of guarantees.feature: each causes one failure and looks at what senders, members and operators see. */
import assert from 'node:assert/strict';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { Given, Then, When } from '@cucumber/cucumber';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type HttpReply } from '@stallstall/kernel';
import { disk } from '@stallstall/runtime';
import { checks, fuzz } from '@stallstall/simulator';
import { coreOf, edgeOf, errorOf, primary, statement, within, type Story } from './story.js';

const wallStart = 1_800_000_000_000;

Given('a primary of {string} whose replies to commits are garbled', function given(this: Story, service: string) {
  const running = primary(this, service).running;
  assert.ok(running !== undefined);
  running.knobs.garbles = true;
});

When('{int} writes to {string} come in through {word}', async function when(this: Story, count: number, service: string, edge: string) {
  this.replies = [];
  for (let index = 0; index < count; index += 1) {
    this.replies.push(
      await this.fleet.sendRequest(
        edgeOf(this, edge),
        'POST',
        `/v1/services/${service}/statements`,
        statement('write', `put garbled-${index} 1`),
      ),
    );
  }
});

Then('each of them is denied as {string} and stands once', function then(this: Story, kind: string) {
  const logs = checks.logsOf(this.fleet).get('bookings');
  this.replies.forEach((reply, index) => {
    within(reply, [kind]);
    assert.equal(logs?.get(`garbled-${index}`), 1);
  });
});

Given('a platform that takes {int} ms for every call', function given(this: Story, milliseconds: number) {
  this.fleet.platform().knobs.slowMilliseconds = milliseconds;
});

Then('another member of {string} is settled as its primary', function then(this: Story, service: string) {
  const outcome = this.fleet.world.logs.filter((line) => line.event === 'election.outcome').at(-1);
  for (const edge of this.fleet.edges) {
    const settled = edge.agent.running?.node.electedPrimary(service) ?? Option.none;
    assert.ok(
      Option.isSome(settled) && settled.value.primary !== this.before.member && settled.value.epoch > this.before.epoch,
      `${edge.name} knows no other primary: ${JSON.stringify(outcome?.fields)}`,
    );
  }
});

Then(
  'every window that ended in the last {int} s but the latest {int} s was told in time',
  function then(this: Story, most: number, least: number) {
    const now = wallStart + this.fleet.world.now();
    const from = Math.ceil((now - most * 1_000) / 5_000);
    const until = Math.floor((now - least * 1_000) / 5_000) - 1;
    assert.ok(until >= from);
    assert.deepEqual(checks.usage({ usage: this.fleet.platformStore.usage }, this.fleet.ledger.usageByWindow, from, until), []);
  },
);

When(
  'every core, the edge {word} and the primary of {string} are killed in that moment, and all but the primary return',
  async function when(this: Story, edge: string, service: string) {
    const slot = edgeOf(this, edge);
    this.fleet.stopSlot(primary(this, service));
    for (const core of this.fleet.cores) this.fleet.stopSlot(core);
    for (const one of this.fleet.edges) this.fleet.stopSlot(one.agent);
    this.fleet.stopSlot(slot.proxy);
    await this.fleet.world.run(500);
    for (const core of this.fleet.cores) await this.fleet.startCore(core);
    for (const one of this.fleet.edges) await this.fleet.startAgent(one);
    await this.fleet.startProxy(slot);
  },
);

When('an operator sends {int} sheets, each with a mark of its own', async function when(this: Story, count: number) {
  this.replies = [];
  for (let index = 0; index < count; index += 1) {
    const sheet = this.fleet.defaultConfiguration() as { keys: unknown[] };
    sheet.keys.push({ key: `mark-of-${index}`, services: ['maps'], kinds: ['leader-read'] });
    const reply = await this.fleet.sendOperatorRequest('PUT', '/v1/sheet', { sheet });
    assert.equal(reply.status, 200, JSON.stringify(reply.body));
    this.replies.push(reply);
  }
});

Then(
  'each of the {int} reads back with its mark through core-{int} and core-{int}',
  async function then(this: Story, count: number, first: number, second: number) {
    assert.equal(this.replies.length, count);
    for (const [index, sent] of this.replies.entries()) {
      for (const core of [first, second]) {
        const { version } = sent.body as { version: number };
        const reply = await this.fleet.sendOperatorRequest('GET', `/v1/sheet?version=${version}`, undefined, {}, core - 1);
        assert.equal(reply.status, 200, JSON.stringify(reply.body));
        assert.equal((reply.body as { sheet: { keys: ReadonlyArray<{ key: string }> } }).sheet.keys.at(-1)?.key, `mark-of-${index}`);
      }
    }
  },
);

Then('the versions are listed in pages', async function then(this: Story) {
  const numbers: number[] = [];
  for (let after: number | undefined = 0; after !== undefined;) {
    const reply: HttpReply = await this.fleet.sendOperatorRequest('GET', `/v1/sheet/versions?limit=15&after=${after}`, undefined, {}, 1);
    const listed = reply.body as { rows: ReadonlyArray<{ version: number; sentBy: string }>; next?: number };
    for (const row of listed.rows) assert.ok(row.sentBy.length > 0);
    numbers.push(...listed.rows.map((row) => row.version));
    after = listed.next;
  }
  assert.deepEqual(
    numbers,
    Array.from({ length: 41 }, (_, index) => 41 - index),
  );
});

Given('a data folder that names a holder of the id of a process that runs, but of another life', function given(this: Story) {
  this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'stallstall-story-'));
  // The parent runs for as long as this story does; its life is not the one that stands in the file.
  fs.writeFileSync(path.join(this.folder, 'holder'), `${process.ppid} another-boot 12345`);
});

Then('it can be claimed', function then(this: Story) {
  assert.ok(Either.isRight(disk.claim(this.folder)));
});

Then('once it is claimed by a process that runs, another process cannot claim it', function then(this: Story) {
  fs.writeFileSync(path.join(this.folder, 'holder'), disk.processIdentity(process.ppid));
  const claimed = disk.claim(this.folder);
  assert.ok(Either.isLeft(claimed) && fault.kind(claimed.left) === 'foreign-disk');
  fs.rmSync(this.folder, { recursive: true });
});

When(
  'the session goes on with its transaction every {int} ms for {int} s',
  async function when(this: Story, period: number, seconds: number) {
    const began = this.fleet.world.now();
    this.crowd = [];
    while (this.fleet.world.now() - began < seconds * 1_000) {
      const reply = await this.fleet.sendRequest(
        this.edge,
        'POST',
        '/v1/services/bookings/statements',
        { ...statement('write', 'put ghost 2'), transaction: 'within' },
        { 'x-stallstall-session': this.session },
      );
      this.crowd.push({ reply, after: this.fleet.world.now() - began });
      await this.fleet.world.run(period);
    }
  },
);

Then(
  'its last statement was served no later than {int} s after, and then it was told {string}',
  function then(this: Story, seconds: number, kind: string) {
    const served = this.crowd.filter((one) => errorOf(one.reply) === 'served');
    assert.ok(
      served.length > 0 && Math.max(...served.map((one) => one.after)) <= seconds * 1_000,
      `served up to ${served.at(-1)?.after} ms`,
    );
    within((this.crowd.at(-1) as { reply: HttpReply }).reply, [kind]);
  },
);

When('agent and proxy of {word} are killed and started again', async function when(this: Story, edge: string) {
  const slot = edgeOf(this, edge);
  this.fleet.stopSlot(slot.agent);
  this.fleet.stopSlot(slot.proxy);
  await this.fleet.startAgent(slot);
  await this.fleet.startProxy(slot);
});

Then(
  'for {int} s no write to {string} through {word} is served',
  async function then(this: Story, seconds: number, service: string, edge: string) {
    const until = this.fleet.world.now() + seconds * 1_000;
    const reasons = new Set<string>();
    while (this.fleet.world.now() < until) {
      reasons.add(
        errorOf(
          await this.fleet.sendRequest(edgeOf(this, edge), 'POST', `/v1/services/${service}/statements`, statement('write', 'put tried 1')),
        ),
      );
      await this.fleet.world.run(50);
    }
    assert.ok(!reasons.has('served') && reasons.has('draining'), [...reasons].join(' '));
  },
);

When(
  'an operator sends a sheet through {word}, which is ended as planned before it has answered',
  async function when(this: Story, core: string) {
    const slot = coreOf(this, core);
    for (const one of this.fleet.cores) one.disk.faults.slowMilliseconds = 150;
    const sent = this.fleet.sendConfiguration(this.fleet.defaultConfiguration(), this.fleet.cores.indexOf(slot));
    await this.fleet.world.run(100);
    let ended = false;
    void slot.running?.drain().then(() => {
      ended = true;
      this.fleet.stopSlot(slot);
    });
    await this.fleet.world.run(8_000);
    assert.ok(ended, 'it did not end');
    this.replies = [await sent];
  },
);

Then('the sheet was acknowledged and reads back', async function then(this: Story) {
  const [reply] = this.replies;
  assert.equal(reply?.status, 200, JSON.stringify(reply?.body));
  const read = await this.fleet.sendOperatorRequest(
    'GET',
    `/v1/sheet?version=${(reply?.body as { version: number }).version}`,
    undefined,
    {},
    1,
  );
  assert.equal(read.status, 200);
});

Then('an operator may not accept the loss of {string} while its primary is alive', async function then(this: Story, service: string) {
  within(await this.fleet.sendOperatorRequest('POST', `/v1/services/${service}/accept-loss`, {}), ['unsafe-step']);
});

When('an operator accepts the loss of {string}', async function when(this: Story, service: string) {
  const reply = await this.fleet.sendOperatorRequest('POST', `/v1/services/${service}/accept-loss`, {});
  assert.equal(reply.status, 200, JSON.stringify(reply.body));
  assert.ok((reply.body as { floor: { position: number } }).floor.position > 0);
});

Then('the trail tells of the loss that was accepted', async function then(this: Story) {
  const { rows } = (await this.fleet.sendOperatorRequest('GET', '/v1/audit')).body as {
    rows: ReadonlyArray<{ action: string; detail: string }>;
  };
  assert.ok(rows.some((row) => row.action === 'accept-loss' && row.detail.startsWith('bookings up to')));
});

When(
  'impostors replace {word} and the agent of {word}, and {int} s pass',
  async function when(this: Story, core: string, edge: string, seconds: number) {
    const slot = coreOf(this, core);
    const places = [
      this.fleet.coreAddresses(slot).address,
      this.fleet.edgeAddresses(edgeOf(this, edge)).address,
      this.fleet.edgeAddresses(edgeOf(this, edge)).feed,
    ];
    this.fleet.stopSlot(slot);
    this.fleet.stopSlot(edgeOf(this, edge).agent);
    this.asked = [];
    for (const place of places)
      this.asked.push(
        await fuzz.impostor(this.fleet.world.spawn('impostor', 'impostor-machine').runtime, place, this.fleet.world.fraction),
      );
    await this.fleet.world.run(seconds * 1_000);
  },
);

Then('both received repeated calls, and every other process still runs', function then(this: Story) {
  for (const count of this.asked) assert.ok(count() > 20, `asked ${count()} times`);
  for (const slot of this.fleet.cores.slice(0, 2)) assert.equal(slot.process?.alive(), true, slot.name);
  for (const slot of this.fleet.edges) {
    if (slot.name !== 'edge-6') assert.equal(slot.agent.process?.alive(), true, slot.name);
    assert.equal(slot.proxy.process?.alive(), true, slot.name);
  }
});

When('agent and proxy of {word} are killed in that moment', function when(this: Story, edge: string) {
  this.window = Math.floor((wallStart + this.fleet.world.now()) / 5_000);
  this.fleet.stopSlot(edgeOf(this, edge).agent);
  this.fleet.stopSlot(edgeOf(this, edge).proxy);
});

Then('the window of that moment was told with {int} statement of {string}', function then(this: Story, count: number, service: string) {
  const reported = this.fleet.platformStore.usage.find((call) => call.window === this.window);
  assert.equal(reported?.counts[service], count, JSON.stringify(reported));
});
