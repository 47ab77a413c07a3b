/** Steps for version-claims.feature: versions and send ids that are each bound to one document. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { maxClaimsPerSlot, claimTable, type ClaimTable } from '@stallstall/core';
import type { HttpReply } from '@stallstall/kernel';
import { ballotZero, type Entry } from '@stallstall/message';
import type { Register } from '@stallstall/register';
import { orderChecks, pooledFleet, type PooledFleet, type PooledSheet } from '@stallstall/simulator';
import type { Story } from './story.js';

type ClaimStory = Story & { pooled: PooledFleet; claims: ClaimTable; claimCount: number; firstVersion: number };

/** A configuration that differs from all others by an additional database. */
function configurationOf(fleet: PooledFleet, suffix: string): PooledSheet {
  const first = fleet.firstSheet();
  const [database] = first.databases;
  assert.ok(database !== undefined);
  return { ...first, databases: [...first.databases, { ...database, database: `extra-${suffix}` }] };
}

/** The same configuration with its fields in the opposite order. */
function withFieldsReversed(configuration: PooledSheet): PooledSheet {
  return Object.fromEntries(Object.entries(configuration).reverse()) as PooledSheet;
}

async function outcomesOf(fleet: PooledFleet, version: number, configuration: PooledSheet): Promise<readonly string[]> {
  const outcomes: string[] = [];
  for (const index of fleet.cores.keys()) outcomes.push((await fleet.drive(fleet.order({ version, sheet: configuration }, index))).outcome);
  return outcomes;
}

const acknowledgedByAll = ['acknowledged', 'acknowledged', 'acknowledged'];
const rejectedByAll = ['refused', 'refused', 'refused'];

Given(
  'a pooled fleet that has stored configuration versions {int} and {int}',
  async function given(this: ClaimStory, first: number, second: number) {
    this.pooled = pooledFleet.create(17);
    await this.pooled.startAll();
    for (const version of [first, second])
      assert.ok(await this.pooled.drive(this.pooled.configure(version, configurationOf(this.pooled, String(version)), version % 3)));
  },
);

Then(
  'every core acknowledges version {int} again, also with its fields reordered, and rejects another configuration under it',
  async function then(this: ClaimStory, version: number) {
    const configuration = configurationOf(this.pooled, String(version));
    assert.deepEqual(await outcomesOf(this.pooled, version, configurationOf(this.pooled, 'other')), rejectedByAll);
    assert.deepEqual(await outcomesOf(this.pooled, version, configuration), acknowledgedByAll);
    assert.deepEqual(await outcomesOf(this.pooled, version, withFieldsReversed(configuration)), acknowledgedByAll);
  },
);

Then(
  /^every core acknowledges version (\d+) (?:again|that nobody sent before), rejects another configuration under it, and reads back version (\d+)$/,
  async function then(this: ClaimStory, version: string, current: string) {
    const fleet = this.pooled;
    assert.deepEqual(await outcomesOf(fleet, Number(version), configurationOf(fleet, version)), acknowledgedByAll);
    assert.deepEqual(await outcomesOf(fleet, Number(version), configurationOf(fleet, 'other')), rejectedByAll);
    for (const index of fleet.cores.keys()) {
      const read = await fleet.drive(fleet.readBack(index));
      assert.ok(Option.isSome(read));
      assert.deepEqual(read.value, { version: Number(current), sheet: configurationOf(fleet, current) });
    }
  },
);

async function untilAllOpen(fleet: PooledFleet): Promise<void> {
  assert.ok(await fleet.until(() => fleet.cores.every((slot) => slot.running?.isOpen() === true), 20_000));
}

When('each core in turn restarts with an empty disk', async function when(this: ClaimStory) {
  for (const slot of this.pooled.cores) {
    this.pooled.stopCore(slot);
    slot.disk = this.pooled.world.disk();
    await this.pooled.startCore(slot);
    await untilAllOpen(this.pooled);
    await this.pooled.world.run(4_000);
  }
});

When('all cores are stopped and restarted', async function when(this: ClaimStory) {
  for (const slot of this.pooled.cores) this.pooled.stopCore(slot);
  for (const slot of this.pooled.cores) await this.pooled.startCore(slot);
  await untilAllOpen(this.pooled);
});

When('all cores restart with data folders that contain no claims', async function when(this: ClaimStory) {
  for (const slot of this.pooled.cores) {
    this.pooled.stopCore(slot);
    const { entries } = slot.disk;
    for (const key of [...entries.keys()]) if (key.startsWith('register/ledger/')) entries.delete(key);
    entries.set('register/configuration', (entries.get('register/configuration') ?? '').replace(/,"digest":"[^"]*"/, ''));
  }
  for (const slot of this.pooled.cores) await this.pooled.startCore(slot);
  await untilAllOpen(this.pooled);
});

Then(
  'every core rejects another configuration under version {int}, and acknowledges version {int} again',
  async function then(this: ClaimStory, version: number, acknowledged: number) {
    assert.deepEqual(await outcomesOf(this.pooled, version, configurationOf(this.pooled, 'other')), rejectedByAll);
    assert.deepEqual(await outcomesOf(this.pooled, acknowledged, configurationOf(this.pooled, String(acknowledged))), acknowledgedByAll);
  },
);

/** Cuts a core off from all other machines and from the operators, and restores the network after some time. */
function cutOff(fleet: PooledFleet, machine: string, milliseconds: number): void {
  const others = [...fleet.machines(), 'operator-machine'].filter((other) => other !== machine);
  for (const other of others) {
    fleet.world.cut(machine, other);
    fleet.world.cut(other, machine);
  }
  fleet.world.schedule(milliseconds, () => fleet.world.healAll());
}

When(
  '{int} pairs of configurations are sent under one version each, and the core that receives the first is cut off after a delay that grows by {int} ms',
  { timeout: 120_000 },
  async function when(this: ClaimStory, pairs: number, step: number) {
    const fleet = this.pooled;
    for (let pair = 0; pair < pairs; pair += 1) {
      const version = 10 + pair * 2;
      const core = pair % fleet.cores.length;
      const first = fleet.configure(version, configurationOf(fleet, `${version}-first`), core);
      fleet.world.schedule(pair * step, () => cutOff(fleet, fleet.cores[core]?.machine ?? '', 900));
      await fleet.world.run(pair * step + 1);
      const second = fleet.configure(version, configurationOf(fleet, `${version}-second`), core + 1);
      await fleet.drive(Promise.all([first, second]));
      await fleet.world.run(2_000);
    }
  },
);

Then(
  'of each pair one is acknowledged by every core and the other rejected, and all replies are consistent with a single register',
  { timeout: 120_000 },
  async function then(this: ClaimStory) {
    const fleet = this.pooled;
    const faultsEndedAt = fleet.world.now();
    const versions = [...new Set(fleet.versions.map((sent) => sent.version))].filter((version) => version >= 10);
    for (const version of versions) {
      const outcomes = await Promise.all(
        [`${version}-first`, `${version}-second`].map((suffix) => outcomesOf(fleet, version, configurationOf(fleet, suffix))),
      );
      assert.deepEqual([...outcomes].sort(), [acknowledgedByAll, rejectedByAll], `version ${version}`);
    }
    assert.deepEqual(orderChecks.judge(fleet.orderCalls, faultsEndedAt), []);
  },
);

// -- The claim table alone.

/** An in-memory register that applies every change immediately. */
function inMemoryRegister(): Register {
  const cells = new Map<string, Entry>();
  return {
    read: async (key) => Either.right(Option.fromNullable(cells.get(key))),
    change: async function change(key, decide) {
      const current = Option.fromNullable(cells.get(key));
      const decided = decide(current);
      if (Option.isSome(decided)) cells.set(key, { ballot: ballotZero, version: (cells.get(key)?.version ?? 0) + 1, value: decided.value });
      return Either.right({ wrote: Option.isSome(decided), entry: Option.fromNullable(cells.get(key)) });
    },
  };
}

Given('a claim table that has recorded more version claims than it keeps', { timeout: 60_000 }, async function given(this: ClaimStory) {
  this.claims = claimTable.create(inMemoryRegister());
  this.claimCount = maxClaimsPerSlot * 100;
  for (let version = 0; version < this.claimCount; version += 1) await this.claims.claimVersion(version, `document ${version}`, 1_000);
});

Then('the newest versions are recognized, and the oldest are reported as expired for any document', async function then(this: ClaimStory) {
  for (let version = this.claimCount - 1_000; version < this.claimCount; version += 1) {
    assert.deepEqual(await this.claims.claimVersion(version, `document ${version}`, 1_000), Either.right('same'));
    assert.deepEqual(await this.claims.claimVersion(version, 'another document', 1_000), Either.right('different'));
  }
  for (let version = 0; version < 1_000; version += 1) {
    assert.deepEqual(await this.claims.claimVersion(version, `document ${version}`, 1_000), Either.right('expired'));
    assert.deepEqual(await this.claims.claimVersion(version, 'another document', 1_000), Either.right('expired'));
  }
});

// -- Send ids.

const sendId = 'repeated-send-id';

function configurationWithKey(story: ClaimStory, key: string): unknown {
  const configuration = story.fleet.defaultConfiguration() as { keys: readonly unknown[] };
  return { ...configuration, keys: [...configuration.keys, { key, services: ['maps'], kinds: ['leader-read'] }] };
}

function sendConfiguration(story: ClaimStory, key: string, core: number, requestSendId?: string): Promise<HttpReply> {
  const body = { sheet: configurationWithKey(story, key), ...(requestSendId === undefined ? {} : { sendId: requestSendId }) };
  return story.fleet.sendOperatorRequest('PUT', '/v1/sheet', body, {}, core);
}

function versionOf(reply: HttpReply | undefined): number {
  assert.equal(reply?.status, 200, JSON.stringify(reply?.body));
  return (reply?.body as { version: number }).version;
}

function assertRejected(reply: HttpReply | undefined, kind: string): void {
  assert.equal(reply?.status, 409, JSON.stringify(reply?.body));
  const body = reply?.body as { error: string; remedy: string };
  assert.equal(body.error, kind);
  assert.ok(body.remedy.length > 0);
}

When(
  'an operator sends a configuration under a send id, again through another core, and another configuration under the same send id',
  async function when(this: ClaimStory) {
    this.replies = [
      await sendConfiguration(this, 'first-key', 0, sendId),
      await sendConfiguration(this, 'first-key', 1, sendId),
      await sendConfiguration(this, 'other-key', 2, sendId),
    ];
  },
);

Then(
  'both replies to the same configuration contain the same version, and the other configuration is rejected as {string}',
  function then(this: ClaimStory, kind: string) {
    this.firstVersion = versionOf(this.replies[0]);
    assert.equal(versionOf(this.replies[1]), this.firstVersion);
    assertRejected(this.replies[2], kind);
  },
);

When('{int} more configurations are sent', { timeout: 120_000 }, async function when(this: ClaimStory, count: number) {
  for (let sent = 0; sent < count; sent += 1) versionOf(await sendConfiguration(this, `additional-key-${sent}`, sent % 3));
});

Then(
  'the reply to the same configuration under the send id is still its first version, and the other is still rejected',
  async function then(this: ClaimStory) {
    for (const core of [0, 1, 2]) {
      assert.equal(versionOf(await sendConfiguration(this, 'first-key', core, sendId)), this.firstVersion);
      assertRejected(await sendConfiguration(this, 'other-key', core, sendId), 'version-conflict');
    }
  },
);
