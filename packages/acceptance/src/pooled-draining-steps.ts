/** Steps of pooled.feature for draining members, moved databases and withdrawn keys. */
import assert from 'node:assert/strict';
import { Given, Then, When, type DataTable } from '@cucumber/cucumber';
import { firstKey, pooledChecks, spareKey } from '@stallstall/simulator';
import * as Option from 'fp-ts/lib/Option.js';
import type { SessionLine } from '@stallstall/fakes';
import { type PooledStory, edge, openSession, conditionOf, commitsOf, startPooledFleet } from './pooled-story.js';

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

const graceMilliseconds = 6_000;

/** What clients see of a graceful shutdown: the reply to each statement, and when each session was found closed after it began. */
type ShutdownStory = PooledStory & { conditions: string[]; closedAfter: number[]; received: string };

Given(
  'a pooled fleet whose members take {int} ms for each statement and admit {int} connections',
  async function given(this: ShutdownStory, workMilliseconds: number, connectionLimit: number) {
    this.pooled = await startPooledFleet({ workMilliseconds, connectionLimit });
  },
);

Given(
  'a pooled fleet whose members take {int} ms for each statement, with time limits of {int} s',
  async function given(this: ShutdownStory, workMilliseconds: number, seconds: number) {
    this.pooled = await startPooledFleet({ workMilliseconds });
    const sheet = this.pooled.firstSheet();
    const databases = sheet.databases.map((database) => ({ ...database, horizonMilliseconds: seconds * 1_000, aimMilliseconds: 9_000 }));
    assert.ok(await this.pooled.drive(this.pooled.configure(6, { ...sheet, databases }, 1)));
    await this.pooled.world.run(500);
  },
);

/** Sends one statement after the other until the session is closed between two of them. */
async function useSteadily(story: ShutdownStory, session: SessionLine, index: number, startedAt: number): Promise<void> {
  const { world } = story.pooled;
  for (let count = 0; !session.closed() && world.now() - startedAt < 2 * graceMilliseconds; count += 1) {
    const text = index % 2 === 0 ? 'get x1' : `put x2 of-${index}-${count}`;
    story.conditions.push(conditionOf(await session.query(`steady-${index}-${count}`, text, graceMilliseconds)));
    await new Promise<void>((resolve) => world.schedule(25 + 25 * world.fraction(), resolve));
  }
  story.closedAfter.push(world.now() - startedAt);
}

When(
  '{word} is shut down gracefully while {int} sessions send their next statement 25 to 50 ms after the last reply',
  async function when(this: ShutdownStory, name: string, count: number) {
    const { world } = this.pooled;
    const sessions: SessionLine[] = [];
    for (let index = 0; index < count; index += 1) sessions.push(await openSession(this, 'bookings-own', name));
    this.conditions = [];
    this.closedAfter = [];
    const startedAt = world.now();
    for (const [index, session] of sessions.entries()) void useSteadily(this, session, index, startedAt);
    await world.run(300);
    let hasEnded = false;
    void this.pooled.drainEdge(edge(this, name)).then(() => {
      hasEnded = true;
    });
    assert.ok(
      await this.pooled.until(() => hasEnded && this.closedAfter.length === count, graceMilliseconds + 500),
      'sessions were left open',
    );
  },
);

Then('each of their statements was answered', function then(this: ShutdownStory) {
  assert.ok(this.conditions.length > 200, `only ${this.conditions.length} statements were sent`);
  assert.deepEqual(
    this.conditions.filter((condition) => condition === 'no reply'),
    [],
  );
});

Then(
  'their sessions were closed over at least {int} ms, at most {int} of them within {int} ms',
  function then(this: ShutdownStory, least: number, most: number, span: number) {
    const closed = [...this.closedAfter].sort((left, right) => left - right);
    assert.ok((closed.at(-1) ?? 0) - (closed[0] ?? 0) >= least, closed.join(' '));
    for (const at of closed) assert.ok(closed.filter((other) => other >= at && other < at + span).length <= most, closed.join(' '));
  },
);

When(
  '{word} is shut down gracefully, and these statements are sent meanwhile',
  async function when(this: ShutdownStory, name: string, table: DataTable) {
    const { world } = this.pooled;
    const startedAt = world.now();
    this.conditions = [];
    this.closedAfter = [];
    for (const [index, row] of table.hashes().entries()) {
      const session = await openSession(this, 'bookings-lead', name);
      if (row['before'] !== '') assert.equal(conditionOf(await this.pooled.ask(session, row['before'] as string)), 'served');
      world.schedule(Number(row['sent after']), async () => {
        this.conditions[index] = conditionOf(await session.query(`late-${index}`, row['statement'] as string, 2 * graceMilliseconds));
        this.closedAfter.push(world.now() - startedAt);
      });
    }
    void this.pooled.drainEdge(edge(this, name));
    await world.run(graceMilliseconds + 500);
  },
);

Then(
  'they are answered with {string} within {int} ms of the start',
  function then(this: ShutdownStory, conditions: string, milliseconds: number) {
    assert.equal(this.conditions.join(', '), conditions);
    assert.ok(
      this.closedAfter.every((after) => after <= milliseconds),
      this.closedAfter.join(' '),
    );
  },
);

When(
  '{word} is shut down gracefully after a client sent {int} statements at once',
  async function when(this: ShutdownStory, name: string, count: number) {
    const asked = Array.from({ length: count }, (_, index) => `ask piped-${index} put x1 ${index}\n`).join('');
    this.pooled.world.schedule(100, () => void this.pooled.drainEdge(edge(this, name)));
    this.received = await this.pooled.raw(edge(this, name), [`hello bookings-lead ${firstKey}\n`, asked], graceMilliseconds + 500);
  },
);

Then('all {int} statements are answered', function then(this: ShutdownStory, count: number) {
  const answers = this.received.split('\n').filter((line) => line.startsWith('at '));
  assert.equal(answers.length, count + 1, this.received);
});
