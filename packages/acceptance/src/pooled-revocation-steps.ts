/** Steps of pooled.feature for keys, tenants and databases that are taken away under open transactions (design 6.4). */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { StatementReply } from '@stallstall/session-protocol';
import { spareKey, type PooledSheet } from '@stallstall/simulator';
import * as Option from 'fp-ts/lib/Option.js';
import { type PooledStory, commitsOf, conditionOf, openSession, primary } from './pooled-story.js';

type RevocationStory = PooledStory & { pendingReply: Promise<Option.Option<StatementReply>> };

const database = 'bookings-lead';
const unknownKey = 'key-of-nobody';
const written = 'of-the-transaction';

async function configure(story: PooledStory, version: number, change: (sheet: PooledSheet) => PooledSheet): Promise<void> {
  assert.ok(
    await story.pooled.drive(story.pooled.configure(version, change(story.pooled.firstSheet()), 1)),
    `version ${version} was not accepted`,
  );
}

function withoutSpareKey(sheet: PooledSheet): PooledSheet {
  return { ...sheet, tenants: sheet.tenants.map((tenant) => ({ ...tenant, keys: tenant.keys.filter((key) => key !== spareKey) })) };
}

function withOpenDatabase(sheet: PooledSheet): PooledSheet {
  return { ...sheet, databases: sheet.databases.map((entry) => (entry.database === database ? { ...entry, open: true } : entry)) };
}

const changes: Readonly<Record<string, (sheet: PooledSheet) => PooledSheet>> = {
  'the spare key is taken away': withoutSpareKey,
  'the spare key is given to another tenant': function move(sheet) {
    const [first, second] = withoutSpareKey(sheet).tenants;
    return { ...sheet, tenants: [first, { ...second, keys: [...(second?.keys ?? []), spareKey] }] as PooledSheet['tenants'] };
  },
  'the tenant of the spare key is taken away': (sheet) => ({
    ...sheet,
    tenants: sheet.tenants.filter((tenant) => !tenant.keys.includes(spareKey)),
  }),
  'the database is taken away': (sheet) => ({ ...sheet, databases: sheet.databases.filter((entry) => entry.database !== database) }),
  'the database becomes keyed': (sheet) => sheet,
};

Given(
  /^a session in "(.+)" through (\S+) opened with the spare key, whose open transaction (has .+)$/,
  async function given(this: RevocationStory, name: string, edge: string, state: string) {
    const needsNoKey = state.endsWith('without keys');
    if (needsNoKey) {
      await configure(this, 5, withOpenDatabase);
      await this.pooled.world.run(500);
    }
    this.session = await openSession(this, name, edge, needsNoKey ? unknownKey : spareKey);
    assert.equal(conditionOf(await this.pooled.ask(this.session, 'begin')), 'served');
    if (state.startsWith('has put')) assert.equal(conditionOf(await this.pooled.ask(this.session, `put x1 ${written}`)), 'served');
    if (state === 'has failed') assert.equal(conditionOf(await this.pooled.ask(this.session, 'execute nothing x1')), 'undefined');
  },
);

When(/^(the [^,]+), and 1 s passes$/, async function when(this: RevocationStory, change: string) {
  const applied = changes[change];
  assert.ok(applied !== undefined, `no change is called: ${change}`);
  await configure(this, 7, applied);
  await this.pooled.world.run(1_000);
});

When('the spare key is taken away while {string} is at the member', async function when(this: RevocationStory, statement: string) {
  this.pendingReply = this.session.query('under-way', statement, 5_000);
  await this.pooled.world.run(30);
  await configure(this, 7, withoutSpareKey);
  this.reply = await this.pooled.drive(this.pendingReply);
  await this.pooled.world.run(500);
});

When('the spare key is taken away while a put of the transaction waits for a leader', async function when(this: RevocationStory) {
  const leader = primary(this, 'bookings');
  const sheet = this.pooled.firstSheet();
  const databases = sheet.databases.map((entry) => ({ ...entry, horizonMilliseconds: 30_000, aimMilliseconds: 20_000 }));
  await configure(this, 6, () => ({ ...sheet, databases }));
  await this.pooled.world.run(500);
  // The transaction keeps the time limits that it began with, so it begins again under the longer ones.
  assert.equal(conditionOf(await this.pooled.ask(this.session, 'rollback')), 'served');
  assert.equal(conditionOf(await this.pooled.ask(this.session, 'begin')), 'served');
  // Its connections are closed at once, so that nothing can be sent until another member leads.
  this.pooled.stopMember(leader);
  await this.pooled.world.run(100);
  this.pendingReply = this.session.query('waiting', `put x1 ${written}`, 30_000);
  await this.pooled.world.run(50);
  await configure(this, 7, () => withoutSpareKey({ ...sheet, databases }));
  this.reply = await this.pooled.drive(this.pendingReply);
  assert.ok(await this.pooled.until(() => primary(this, 'bookings').running !== undefined, 20_000), 'no other member leads');
});

Then('that statement is answered with {string}', function then(this: RevocationStory, condition: string) {
  assert.equal(conditionOf(this.reply), condition);
});

Then('the transaction is answered with {string}', async function then(this: RevocationStory, replies: string) {
  const expected = replies.split(', ');
  const answered: string[] = [];
  // The transaction is told once that it was aborted, and then ends by its commit.
  if (expected.length > 1) answered.push(conditionOf(await this.pooled.ask(this.session, `put x2 ${written}`)));
  answered.push(conditionOf(await this.pooled.ask(this.session, 'commit')));
  assert.deepEqual(answered, expected);
});

Then(
  'nothing of it is committed, and the primary of {string} has no open transaction',
  function then(this: RevocationStory, service: string) {
    assert.equal(commitsOf(this, written), 0);
    assert.equal(primary(this, service).running?.transactions(), 0);
  },
);

Then('{int} of its writes are committed', function then(this: RevocationStory, count: number) {
  assert.equal(commitsOf(this, written), count);
});

Then('a get in that session then fails with {string}', async function then(this: RevocationStory, condition: string) {
  assert.equal(conditionOf(await this.pooled.ask(this.session, 'get x1')), condition);
});
