/** Steps of pooled.feature for draining members, moved databases and withdrawn keys. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { pooledChecks, spareKey } from '@stallstall/simulator';
import * as Option from 'fp-ts/lib/Option.js';
import { type PooledStory, openSession, conditionOf, commitsOf } from './pooled-story.js';

Given('clients with sessions are running', async function given(this: PooledStory) {
  this.stopClients = this.pooled.startClients(30, 200).stop;
  await this.pooled.world.run(4_000);
});

Then(
  'nothing new began on it later than {int} s after a core acknowledged the draining',
  function then(this: PooledStory, seconds: number) {
    const since = this.pooled.world.logs.length > 0 ? (this.formerPrimary.running?.drainingSince() ?? Option.none) : Option.none;
    assert.ok(Option.isSome(since), 'no core acknowledged the draining');
    const begun = this.pooled.runs.filter((run) => run.member === this.formerPrimary.member && run.first && run.at > since.value);
    assert.ok(
      begun.every((run) => run.at <= since.value + seconds * 1_000),
      `${begun.length} statements or transactions began on it, the last one ${Math.round((begun.at(-1)?.at ?? 0) - since.value)} ms later`,
    );
    assert.ok(
      this.pooled.runs.some((run) => run.service === 'bookings' && run.at > since.value + seconds * 1_000),
      'no other member served the service',
    );
  },
);

Then('the checkers of the pooled mode find no violation', async function then(this: PooledStory) {
  this.stopClients();
  await this.pooled.world.run(4_000);
  const records = pooledChecks.read(this.pooled, []);
  const stale = pooledChecks.stale(records);
  assert.ok(stale.judged > 100);
  assert.deepEqual(
    [
      ...pooledChecks.stamps(records),
      ...pooledChecks.statements(records),
      ...pooledChecks.writes(records),
      ...stale.found,
      ...pooledChecks.duties(this.pooled.platformStore.calls),
    ],
    [],
  );
});

When(
  'a get of {string} in {string} waits at {word} while the database is moved to {string}',
  async function when(this: PooledStory, variable: string, database: string, name: string, service: string) {
    const session = await openSession(this, database, name);
    const pendingReply = session.query('moving', `get ${variable}`, 5_000);
    await this.pooled.world.run(100);
    assert.equal(
      this.pooled.runs.some((run) => run.identifier === 'moving'),
      false,
      'the get did not wait',
    );
    const sheet = this.pooled.firstSheet();
    assert.ok(
      await this.pooled.drive(
        this.pooled.configure(
          7,
          { ...sheet, databases: sheet.databases.map((entry) => (entry.database === database ? { ...entry, service } : entry)) },
          1,
        ),
      ),
    );
    this.reply = await this.pooled.drive(pendingReply);
  },
);

Then('it ran on a member of {string}', function then(this: PooledStory, service: string) {
  assert.equal(conditionOf(this.reply), 'served');
  assert.deepEqual(
    this.pooled.runs.filter((run) => run.identifier === 'moving').map((run) => run.service),
    [service],
  );
});

Given(
  'a session in {string} through {word} opened with the spare key',
  async function given(this: PooledStory, database: string, name: string) {
    this.session = await openSession(this, database, name, spareKey);
    assert.equal(conditionOf(await this.pooled.ask(this.session, 'get x1')), 'served');
    this.otherSession = await openSession(this, database, name, spareKey);
    assert.equal(conditionOf(await this.pooled.ask(this.otherSession, 'begin')), 'served');
    assert.equal(conditionOf(await this.pooled.ask(this.otherSession, 'put x1 before')), 'served');
  },
);

When('the spare key is withdrawn', async function when(this: PooledStory) {
  const sheet = this.pooled.firstSheet();
  const tenants = sheet.tenants.map((tenant) => ({ ...tenant, keys: tenant.keys.filter((key) => key !== spareKey) }));
  assert.ok(await this.pooled.drive(this.pooled.configure(5, { ...sheet, tenants }, 2)));
  await this.pooled.world.run(200);
  this.reply = await this.pooled.ask(this.otherSession, 'commit');
});

Then('a get in that session fails with {string}', async function then(this: PooledStory, condition: string) {
  assert.equal(conditionOf(await this.pooled.ask(this.session, 'get x1')), condition);
});

Then('the transaction that was open before was committed', function then(this: PooledStory) {
  assert.equal(conditionOf(this.reply), 'served');
  assert.equal(commitsOf(this, 'before'), 1);
});
