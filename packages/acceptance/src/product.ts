/** Steps of product.feature: settings, versions, upgrades and metrics. */
import assert from 'node:assert/strict';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { Given, Then, When } from '@cucumber/cucumber';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, http, identifiers, type HttpReply } from '@stallstall/kernel';
import { agentSettings, settings } from '@stallstall/cli';
import { world as worlds, type EdgeSlot } from '@stallstall/simulator';
import { bringUp, coreOf, edgeOf, type Story } from './story.js';

const firstSettings = {
  node: 'edge-1',
  area: 'north',
  address: '127.0.0.1:7000',
  outward: '127.0.0.1:7001',
  feed: '127.0.0.1:7002',
  platform: '127.0.0.1:9000',
  seeds: ['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'],
};
const laterSettings = { ...firstSettings, platform: '127.0.0.1:9009', seeds: ['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:4'] };

Given('an agent that follows its settings file', function given(this: Story) {
  this.world = worlds.create(9);
  this.process = this.world.spawn('agent', 'edge-machine');
  this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'stallstall-story-'));
  const file = path.join(this.folder, 'agent.json');
  fs.writeFileSync(file, JSON.stringify(firstSettings));
  const first = settings.read(agentSettings, file, {});
  assert.ok(Either.isRight(first));
  this.currentSettings = settings.follow(
    this.process.runtime,
    {
      watch: (_file, again) => {
        this.onSettingsChange = again;
      },
    },
    { schema: agentSettings, file, flags: {} },
    first.right,
  );
});

function write(story: Story, text: string): void {
  fs.writeFileSync(path.join(story.folder, 'agent.json'), text);
  story.world.logs.splice(0);
  story.onSettingsChange();
}

When('the file names another platform and another seed', function when(this: Story) {
  write(this, JSON.stringify(laterSettings));
});

Then('both are applied at once, without a restart', function then(this: Story) {
  assert.deepEqual(this.currentSettings(), laterSettings);
});

When('the file is half written', function when(this: Story) {
  write(this, JSON.stringify(firstSettings).slice(0, 60));
});

When('the file names a seed by host name instead of its IP address', function when(this: Story) {
  write(this, JSON.stringify({ ...firstSettings, seeds: ['127.0.0.1:1', '127.0.0.1:2', 'seed.example:3'] }));
});

When("the file changes the process's own address", function when(this: Story) {
  write(this, JSON.stringify({ ...laterSettings, address: '127.0.0.1:7777' }));
});

Then('the previous settings stay in force, and the log names the remedy', function then(this: Story) {
  assert.deepEqual(this.currentSettings(), laterSettings);
  const [line] = this.world.logs;
  assert.equal(line?.event, 'settings.denied');
  assert.match(String(line?.fields['reason']), /fix/);
});

Then('the previous settings stay in force, and the log says that {string} waits for a restart', function then(this: Story, column: string) {
  assert.deepEqual(this.currentSettings(), laterSettings);
  const [line] = this.world.logs;
  assert.equal(line?.event, 'settings.waits');
  assert.equal(line?.fields['column'], column);
  assert.match(String(line?.fields['remedy']), /restart/);
  fs.rmSync(this.folder, { recursive: true });
});

Given(
  'a fleet of Red Común with its placement configuration applied and its primaries elected, and a spare edge whose seeds are wrong',
  async function given(this: Story) {
    this.fleet = await bringUp('Red Común', { spareEdge: true });
    this.edge = this.fleet.spare as EdgeSlot;
    this.edge.seeds = ['10.9.9.1:1', '10.9.9.2:1', '10.9.9.3:1'];
    await this.fleet.startAgent(this.edge);
  },
);

When('its settings name the right seeds', function when(this: Story) {
  this.edge.seeds = this.fleet.cores.map((slot) => this.fleet.coreAddresses(slot).address);
});

When(
  'every process in turn is drained, stopped and started as a version that speaks protocols {int} to {int}',
  async function when(this: Story, from: number, to: number) {
    const { fleet } = this;
    async function inTurn(
      slot: { running: Readonly<{ drain: () => Promise<void> }> | undefined; process: unknown },
      again: () => Promise<void>,
    ): Promise<void> {
      let ended = false;
      void slot.running?.drain().then(() => {
        ended = true;
      });
      assert.ok(await fleet.runUntil(() => ended, 10_000), 'a process did not end as planned');
      fleet.stopSlot(slot as never);
      await again();
      await fleet.world.run(1_500);
    }
    for (const slot of fleet.cores) {
      slot.protocols = { from, to };
      await inTurn(slot, () => fleet.startCore(slot));
    }
    for (const slot of fleet.edges) {
      slot.protocols = { from, to };
      await inTurn(slot.agent, () => fleet.startAgent(slot));
      await inTurn(slot.proxy, () => fleet.startProxy(slot));
    }
  },
);

Then('every node is reachable and speaks protocol {int} with the others', async function then(this: Story, protocol: number) {
  const { nodes } = (await this.fleet.sendOperatorRequest('GET', '/v1/fleet')).body as {
    nodes: ReadonlyArray<{ node: string; heardMilliseconds: number; protocol: number }>;
  };
  assert.equal(nodes.length, 9);
  for (const node of nodes)
    assert.ok(node.heardMilliseconds >= 0 && node.heardMilliseconds < 1_000 && node.protocol === protocol, JSON.stringify(node));
});

Then('every finished write was served or rejected', function then(this: Story) {
  const expectedOutcomes = new Set(['served', 'draining', 'session-lost', 'unreachable']);
  const others = this.fleet.ledger.writes.filter((one) => !expectedOutcomes.has(one.reason) && one.reason !== 'abandoned');
  assert.deepEqual(
    others.map((one) => `${one.reason} ${one.startedAt}-${one.endedAt}`),
    [],
  );
});

When(
  '{word} is started as a version that speaks protocols {int} to {int}',
  async function when(this: Story, edge: string, from: number, to: number) {
    const slot = edgeOf(this, edge);
    this.fleet.stopSlot(slot.agent);
    slot.protocols = { from, to };
    await this.fleet.startAgent(slot);
  },
);

Then('both sides log that they speak different protocols, with the remedy', function then(this: Story) {
  for (const process of ['edge-5/agent', 'core-1']) {
    const line = this.fleet.world.logs.find((one) => one.process === process && one.event === 'peer.incompatible');
    assert.match(String(line?.fields['reason']), /protocols.*one process at a time/, process);
  }
});

When('{word} is started on a data folder of format {int}', async function when(this: Story, core: string, format: number) {
  const slot = coreOf(this, core);
  this.fleet.stopSlot(slot);
  const kept = JSON.parse(slot.disk.entries.get('fleet') ?? 'null') as Record<string, unknown>;
  slot.disk.entries.set('fleet', JSON.stringify({ ...kept, format }));
  await this.fleet.startCore(slot);
});

Then('{word} has stopped as {string} and names the remedy', function then(this: Story, core: string, kind: string) {
  const reason = coreOf(this, core).process?.stopReason() ?? Option.none;
  assert.ok(Option.isSome(reason) && fault.kind(reason.value) === kind);
  assert.match(reason.value.message, /run the version that wrote it/);
});

When(
  'all cores restart on data folders of format 1, whose sheet has a history of {int} versions',
  async function when(this: Story, count: number) {
    const cells = this.fleet.cores.map(
      (slot) =>
        JSON.parse(slot.disk.entries.get('register/configuration') ?? 'null') as {
          accepted: { version: number; value: Record<string, unknown> } | null;
        } | null,
    );
    for (const slot of this.fleet.cores) {
      this.fleet.stopSlot(slot);
      const { format: _format, ...fleet } = JSON.parse(slot.disk.entries.get('fleet') ?? 'null') as Record<string, unknown>;
      const cell = structuredClone(cells.find((one) => one !== null && one.accepted !== null)) as {
        accepted: { version: number; value: Record<string, unknown> };
      };
      const { recent: _recent, ...value } = cell.accepted.value;
      cell.accepted.value = {
        ...value,
        history: Array.from({ length: count }, (_, index) => ({
          ...value,
          sendId: `old-${index}`,
          sentBy: `writer-${index + 1}`,
          version: index + 1,
        })),
      };
      cell.accepted.version = count + 1;
      slot.disk.entries.set('fleet', JSON.stringify(fleet));
      slot.disk.entries.set('register/configuration', JSON.stringify(cell));
    }
    for (const slot of this.fleet.cores) await this.fleet.startCore(slot);
  },
);

Then('the versions of the history read back by their numbers', async function then(this: Story) {
  for (const version of [1, 2]) {
    const reply = await this.fleet.sendOperatorRequest('GET', `/v1/sheet?version=${version}`);
    assert.equal(reply.status, 200, JSON.stringify(reply.body));
    assert.equal((reply.body as { sentBy: string }).sentBy, `writer-${version}`);
  }
});

async function page(story: Story, edge: EdgeSlot, path: string): Promise<HttpReply> {
  const { runtime } = story.fleet.world.spawn('reader', 'operator-machine');
  const asked = http.exchangeOnce(runtime, identifiers.address(story.fleet.edgeAddresses(edge).outward), { method: 'GET', path }, 2_000);
  await story.fleet.world.run(100);
  const reply = await asked;
  assert.ok(Either.isRight(reply));
  return reply.right;
}

Then('every agent reports its own metrics and those of its proxy', async function then(this: Story) {
  for (const edge of this.fleet.edges) {
    const counts = (await page(this, edge, '/v1/metrics')).body as Record<string, number>;
    assert.ok(
      (counts['proxy.served'] ?? 0) > 0 && (counts['proxy.notes'] ?? 0) > 0 && (counts['nodes'] ?? 0) === 9,
      JSON.stringify(counts),
    );
  }
});

Then("every agent's health checks pass", async function then(this: Story) {
  for (const edge of this.fleet.edges) {
    const reply = await page(this, edge, '/v1/liveness');
    assert.equal(reply.status, 200, JSON.stringify(reply.body));
  }
});

Then('the health report of {word} fails {string} with a remedy', async function then(this: Story, edge: string, check: string) {
  const reply = await page(this, edgeOf(this, edge), '/v1/liveness');
  assert.equal(reply.status, 503);
  const failed = (reply.body as { checks: ReadonlyArray<{ check: string; sound: boolean; remedy: string }> }).checks.filter(
    (one) => !one.sound,
  );
  assert.ok(
    failed.some((one) => one.check === check && one.remedy.length > 0),
    JSON.stringify(failed),
  );
});
