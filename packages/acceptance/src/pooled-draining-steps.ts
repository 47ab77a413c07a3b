/** Steps of pooled.feature for draining, moved databases and withdrawn keys. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { pooledChecks, spareKey } from '@stallstall/simulator';
import * as Option from 'fp-ts/lib/Option.js';
import { type PooledStory, open, conditionOf, kept } from './pooled-story.js';

Given('senders with sessions are at work', async function given(this: PooledStory) {
  this.stop = this.pooled.startClients(30, 200).stop;
  await this.pooled.world.run(4_000);
});

Then('nothing began on it later than {int} s after a core acknowledged that', function then(this: PooledStory, seconds: number) {
  const since = this.pooled.world.logs.length > 0 ? (this.old.running?.drainingSince() ?? Option.none) : Option.none;
  assert.ok(Option.isSome(since), 'no core acknowledged it');
  const begun = this.pooled.runs.filter((run) => run.member === this.old.member && run.first && run.at > since.value);
  assert.ok(
    begun.every((run) => run.at <= since.value + seconds * 1_000),
    `${begun.length} began on it, the last ${Math.round((begun.at(-1)?.at ?? 0) - since.value)} ms later`,
  );
  assert.ok(
    this.pooled.runs.some((run) => run.service === 'bookings' && run.at > since.value + seconds * 1_000),
    'others serve',
  );
});

Then('the checkers of the pooled mode find nothing', async function then(this: PooledStory) {
  this.stop();
  await this.pooled.world.run(4_000);
  const read = pooledChecks.read(this.pooled, []);
  const stale = pooledChecks.stale(read);
  assert.ok(stale.judged > 100);
  assert.deepEqual(
    [
      ...pooledChecks.stamps(read),
      ...pooledChecks.statements(read),
      ...pooledChecks.writes(read),
      ...stale.found,
      ...pooledChecks.duties(this.pooled.platformStore.calls),
    ],
    [],
  );
});

When(
  'a get of {string} in {string} waits at {word} while the database moves to {string}',
  async function when(this: PooledStory, thing: string, database: string, name: string, service: string) {
    const line = await open(this, database, name);
    const replying = line.query('moving', `get ${thing}`, 5_000);
    await this.pooled.world.run(100);
    assert.equal(
      this.pooled.runs.some((run) => run.identifier === 'moving'),
      false,
      'it waits',
    );
    const sheet = this.pooled.firstSheet();
    assert.ok(
      await this.pooled.drive(
        this.pooled.configure(
          7,
          { ...sheet, databases: sheet.databases.map((one) => (one.database === database ? { ...one, service } : one)) },
          1,
        ),
      ),
    );
    this.reply = await this.pooled.drive(replying);
  },
);

Then('it ran on a member of {string}', function then(this: PooledStory, service: string) {
  assert.equal(conditionOf(this.reply), 'served');
  assert.deepEqual(
    this.pooled.runs.filter((run) => run.identifier === 'moving').map((run) => run.service),
    [service],
  );
});

Given('a session in {string} through {word} under the spare key', async function given(this: PooledStory, database: string, name: string) {
  this.line = await open(this, database, name, spareKey);
  assert.equal(conditionOf(await this.pooled.ask(this.line, 'get x1')), 'served');
  this.other = await open(this, database, name, spareKey);
  assert.equal(conditionOf(await this.pooled.ask(this.other, 'begin')), 'served');
  assert.equal(conditionOf(await this.pooled.ask(this.other, 'put x1 before')), 'served');
});

When('the spare key is withdrawn', async function when(this: PooledStory) {
  const sheet = this.pooled.firstSheet();
  const tenants = sheet.tenants.map((tenant) => ({ ...tenant, keys: tenant.keys.filter((key) => key !== spareKey) }));
  assert.ok(await this.pooled.drive(this.pooled.configure(5, { ...sheet, tenants }, 2)));
  await this.pooled.world.run(200);
  this.reply = await this.pooled.ask(this.other, 'commit');
});

Then('a get in that session is denied as {string}', async function then(this: PooledStory, condition: string) {
  assert.equal(conditionOf(await this.pooled.ask(this.line, 'get x1')), condition);
});

Then('its open transaction of before had its end', function then(this: PooledStory) {
  assert.equal(conditionOf(this.reply), 'served');
  assert.equal(kept(this, 'before'), 1);
});
