/** Steps of the stories of orders.feature: numbers and send ids that stand for one text each. */
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

type OrderStory = Story & { pooled: PooledFleet; ledger: ClaimTable; claimed: number; firstVersion: number };

/** A sheet that can be told from all others by a database of its own. */
function sheetOf(fleet: PooledFleet, mark: string): PooledSheet {
  const first = fleet.firstSheet();
  const [model] = first.databases;
  assert.ok(model !== undefined);
  return { ...first, databases: [...first.databases, { ...model, database: `mark-${mark}` }] };
}

/** The same sheet, its fields in the opposite order. */
function reordered(sheet: PooledSheet): PooledSheet {
  return Object.fromEntries(Object.entries(sheet).reverse()) as PooledSheet;
}

async function outcomesOf(fleet: PooledFleet, version: number, sheet: PooledSheet): Promise<readonly string[]> {
  const outcomes: string[] = [];
  for (const index of fleet.cores.keys()) outcomes.push((await fleet.drive(fleet.order({ version, sheet }, index))).outcome);
  return outcomes;
}

const acknowledgedByAll = ['acknowledged', 'acknowledged', 'acknowledged'];
const refusedByAll = ['refused', 'refused', 'refused'];

Given('a pooled fleet that has taken versions {int} and {int}', async function given(this: OrderStory, first: number, second: number) {
  this.pooled = pooledFleet.create(17);
  await this.pooled.startAll();
  for (const version of [first, second])
    assert.ok(await this.pooled.drive(this.pooled.configure(version, sheetOf(this.pooled, String(version)), version % 3)));
});

Then(
  'every core acknowledges version {int} again, also written in another order, and refuses another sheet under it',
  async function then(this: OrderStory, version: number) {
    const sheet = sheetOf(this.pooled, String(version));
    assert.deepEqual(await outcomesOf(this.pooled, version, sheetOf(this.pooled, 'other')), refusedByAll);
    assert.deepEqual(await outcomesOf(this.pooled, version, sheet), acknowledgedByAll);
    assert.deepEqual(await outcomesOf(this.pooled, version, reordered(sheet)), acknowledgedByAll);
  },
);

Then(
  /^every core acknowledges version (\d+) (?:again|that nobody sent before), refuses another sheet under it, and reads back version (\d+)$/,
  async function then(this: OrderStory, version: string, standing: string) {
    const fleet = this.pooled;
    assert.deepEqual(await outcomesOf(fleet, Number(version), sheetOf(fleet, version)), acknowledgedByAll);
    assert.deepEqual(await outcomesOf(fleet, Number(version), sheetOf(fleet, 'other')), refusedByAll);
    for (const index of fleet.cores.keys()) {
      const read = await fleet.drive(fleet.readBack(index));
      assert.ok(Option.isSome(read));
      assert.deepEqual(read.value, { version: Number(standing), sheet: sheetOf(fleet, standing) });
    }
  },
);

async function open(fleet: PooledFleet): Promise<void> {
  assert.ok(await fleet.until(() => fleet.cores.every((slot) => slot.running?.isOpen() === true), 20_000));
}

When('each core in turn comes back with an empty disk', async function when(this: OrderStory) {
  for (const slot of this.pooled.cores) {
    this.pooled.stopCore(slot);
    slot.disk = this.pooled.world.disk();
    await this.pooled.startCore(slot);
    await open(this.pooled);
    await this.pooled.world.run(4_000);
  }
});

When('all cores are stopped and come back', async function when(this: OrderStory) {
  for (const slot of this.pooled.cores) this.pooled.stopCore(slot);
  for (const slot of this.pooled.cores) await this.pooled.startCore(slot);
  await open(this.pooled);
});

When('all cores come back on data folders that hold no ledger', async function when(this: OrderStory) {
  for (const slot of this.pooled.cores) {
    this.pooled.stopCore(slot);
    const { entries } = slot.disk;
    for (const key of [...entries.keys()]) if (key.startsWith('register/ledger/')) entries.delete(key);
    entries.set('register/configuration', (entries.get('register/configuration') ?? '').replace(/,"digest":"[^"]*"/, ''));
  }
  for (const slot of this.pooled.cores) await this.pooled.startCore(slot);
  await open(this.pooled);
});

Then(
  'every core refuses another sheet under version {int}, and acknowledges version {int} again',
  async function then(this: OrderStory, version: number, again: number) {
    assert.deepEqual(await outcomesOf(this.pooled, version, sheetOf(this.pooled, 'other')), refusedByAll);
    assert.deepEqual(await outcomesOf(this.pooled, again, sheetOf(this.pooled, String(again))), acknowledgedByAll);
  },
);

/** Cuts a core off from all others and from the operators, and joins it again. */
function cutOff(fleet: PooledFleet, machine: string, milliseconds: number): void {
  const others = [...fleet.machines(), 'operator-machine'].filter((other) => other !== machine);
  for (const other of others) {
    fleet.world.cut(machine, other);
    fleet.world.cut(other, machine);
  }
  fleet.world.at(milliseconds, () => fleet.world.healAll());
}

When(
  '{int} pairs of sheets are sent under one number each, and the core of the first is cut off {int} ms later each time',
  { timeout: 120_000 },
  async function when(this: OrderStory, pairs: number, step: number) {
    const fleet = this.pooled;
    for (let pair = 0; pair < pairs; pair += 1) {
      const version = 10 + pair * 2;
      const core = pair % fleet.cores.length;
      const first = fleet.configure(version, sheetOf(fleet, `${version}-first`), core);
      fleet.world.at(pair * step, () => cutOff(fleet, fleet.cores[core]?.machine ?? '', 900));
      await fleet.world.run(pair * step + 1);
      const second = fleet.configure(version, sheetOf(fleet, `${version}-second`), core + 1);
      await fleet.drive(Promise.all([first, second]));
      await fleet.world.run(2_000);
    }
  },
);

Then(
  'each time one sheet is acknowledged by every core and the other is refused, and the history is one of a single register',
  { timeout: 120_000 },
  async function then(this: OrderStory) {
    const fleet = this.pooled;
    const calmFrom = fleet.world.now();
    const versions = [...new Set(fleet.versions.map((sent) => sent.version))].filter((version) => version >= 10);
    for (const version of versions) {
      const outcomes = await Promise.all(
        [`${version}-first`, `${version}-second`].map((mark) => outcomesOf(fleet, version, sheetOf(fleet, mark))),
      );
      assert.deepEqual([...outcomes].sort(), [acknowledgedByAll, refusedByAll], `version ${version}`);
    }
    assert.deepEqual(orderChecks.judge(fleet.orderCalls, calmFrom), []);
  },
);

// -- The ledger by itself.

/** A register of one process: every change is chosen at once. */
function plainRegister(): Register {
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

Given('a ledger of numbers that has taken more claims than it keeps', { timeout: 60_000 }, async function given(this: OrderStory) {
  this.ledger = claimTable.create(plainRegister());
  this.claimed = maxClaimsPerSlot * 100;
  for (let number = 0; number < this.claimed; number += 1) await this.ledger.claimVersion(number, `text ${number}`, 1_000);
});

Then('the newest numbers are known, and the oldest are forgotten for any text', async function then(this: OrderStory) {
  for (let number = this.claimed - 1_000; number < this.claimed; number += 1) {
    assert.deepEqual(await this.ledger.claimVersion(number, `text ${number}`, 1_000), Either.right('same'));
    assert.deepEqual(await this.ledger.claimVersion(number, 'another text', 1_000), Either.right('different'));
  }
  for (let number = 0; number < 1_000; number += 1) {
    assert.deepEqual(await this.ledger.claimVersion(number, `text ${number}`, 1_000), Either.right('expired'));
    assert.deepEqual(await this.ledger.claimVersion(number, 'another text', 1_000), Either.right('expired'));
  }
});

// -- Send ids.

const sendId = 'the send that comes twice';

function marked(story: OrderStory, mark: string): unknown {
  const sheet = story.fleet.sheet() as { keys: readonly unknown[] };
  return { ...sheet, keys: [...sheet.keys, { key: mark, services: ['maps'], kinds: ['leader-read'] }] };
}

function put(story: OrderStory, mark: string, core: number, id?: string): Promise<HttpReply> {
  const body = { sheet: marked(story, mark), ...(id === undefined ? {} : { sendId: id }) };
  return story.fleet.operate('PUT', '/v1/sheet', body, {}, core);
}

function versionOf(reply: HttpReply | undefined): number {
  assert.equal(reply?.status, 200, JSON.stringify(reply?.body));
  return (reply?.body as { version: number }).version;
}

function isRefused(reply: HttpReply | undefined, kind: string): void {
  assert.equal(reply?.status, 409, JSON.stringify(reply?.body));
  const reported = reply?.body as { error: string; remedy: string };
  assert.equal(reported.error, kind);
  assert.ok(reported.remedy.length > 0);
}

When(
  'an operator sends a sheet under a send id, and again through another core, and another sheet under the same send id',
  async function when(this: OrderStory) {
    this.replies = [
      await put(this, 'mark-of-the-send', 0, sendId),
      await put(this, 'mark-of-the-send', 1, sendId),
      await put(this, 'mark-of-another', 2, sendId),
    ];
  },
);

Then(
  'both replies to the same sheet name one version, and the other sheet is refused as {string}',
  function then(this: OrderStory, kind: string) {
    this.firstVersion = versionOf(this.replies[0]);
    assert.equal(versionOf(this.replies[1]), this.firstVersion);
    isRefused(this.replies[2], kind);
  },
);

When('{int} more sheets are sent', { timeout: 120_000 }, async function when(this: OrderStory, count: number) {
  for (let sent = 0; sent < count; sent += 1) versionOf(await put(this, `mark-number-${sent}`, sent % 3));
});

Then(
  'the same sheet under the send id is replied with its first version, and the other is refused still',
  async function then(this: OrderStory) {
    for (const core of [0, 1, 2]) {
      assert.equal(versionOf(await put(this, 'mark-of-the-send', core, sendId)), this.firstVersion);
      isRefused(await put(this, 'mark-of-another', core, sendId), 'version-conflict');
    }
  },
);
