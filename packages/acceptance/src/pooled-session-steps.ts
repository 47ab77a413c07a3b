/** Steps of pooled.feature for sessions, transactions, lost replies and shutdown. */
import assert from 'node:assert/strict';
import { Given, When, Then, type DataTable } from '@cucumber/cucumber';
import type { SessionLine } from '@stallstall/fakes';
import { type PooledMember, firstKey } from '@stallstall/simulator';
import * as Option from 'fp-ts/lib/Option.js';
import { type PooledStory, openSession, conditionOf, commitsOf, primary, queryOnce, edge } from './pooled-story.js';

Given(
  'a session in {string} through {word} has set {string} to {string} in a transaction',
  async function given(this: PooledStory, database: string, name: string, variable: string, data: string) {
    this.session = await openSession(this, database, name);
    assert.equal(conditionOf(await this.pooled.ask(this.session, 'begin')), 'served');
    assert.equal(conditionOf(await this.pooled.ask(this.session, `put ${variable} ${data}`)), 'served');
  },
);

When(
  'a read-only transaction in {string} through {word} tries to put',
  async function when(this: PooledStory, database: string, name: string) {
    this.session = await openSession(this, database, name);
    assert.equal(conditionOf(await this.pooled.ask(this.session, 'begin reading')), 'served');
    this.reply = await this.pooled.ask(this.session, 'put x1 never');
  },
);

Then(
  'it fails with {string}, and the transaction then accepts only its rollback',
  async function then(this: PooledStory, condition: string) {
    assert.equal(conditionOf(this.reply), condition);
    assert.equal(Option.isSome(this.reply) ? this.reply.value.transactionStatus : '', 'failed');
    assert.equal(conditionOf(await this.pooled.ask(this.session, 'get x1')), 'malformed');
    const rollback = await this.pooled.ask(this.session, 'rollback');
    assert.equal(conditionOf(rollback), 'served');
    assert.equal(Option.isSome(rollback) ? rollback.value.transactionStatus : '', 'idle');
  },
);

Then('its commit fails with {string}, and none of its writes are committed', async function then(this: PooledStory, condition: string) {
  assert.equal(conditionOf(await this.pooled.ask(this.session, 'commit')), condition);
  assert.equal(commitsOf(this, 'open'), 0);
  assert.equal(this.pooled.runs.filter((run) => run.kind === 'commit').length, 0);
});

Then('none of its writes are committed', function then(this: PooledStory) {
  assert.equal(commitsOf(this, 'open'), 0);
});

Then('the primary of {string} has no open transaction', function then(this: PooledStory, service: string) {
  assert.equal(primary(this, service).running?.transactions(), 0);
});

When('its client disconnects', function when(this: PooledStory) {
  assert.equal(primary(this, 'bookings').running?.transactions(), 1);
  this.session.reset();
});

When('{int} s pass in the pooled fleet', async function when(this: PooledStory, seconds: number) {
  await this.pooled.world.run(seconds * 1_000);
});

When('the primary of {string} drops its next {int} replies to commits', function when(this: PooledStory, service: string, count: number) {
  (primary(this, service).running as NonNullable<PooledMember['running']>).knobs.loseCommits = count;
});

When(
  'a {word} sets {string} to {string} in {string} through {word}',
  async function when(this: PooledStory, kind: string, variable: string, data: string, database: string, name: string) {
    this.session = await openSession(this, database, name);
    if (kind === 'transaction') assert.equal(conditionOf(await this.pooled.ask(this.session, 'begin')), 'served');
    this.reply = await this.pooled.ask(this.session, `put ${variable} ${data}`);
    if (kind === 'transaction') this.reply = await this.pooled.ask(this.session, 'commit');
  },
);

Then('its client receives {string}', function then(this: PooledStory, condition: string) {
  assert.equal(conditionOf(this.reply), condition);
});

Then('members committed it {int} time and ran it {int} time', function then(this: PooledStory, times: number, runs: number) {
  assert.equal(commitsOf(this, 'once'), times);
  assert.equal(this.pooled.runs.filter((run) => run.kind === 'put' && run.rest.endsWith(' once')).length, runs);
});

When('every replica of {string} drops its next reply', async function when(this: PooledStory, service: string) {
  // A recent position of the leader allows a bounded read to be routed to any member.
  await queryOnce(this, `${service}-lead`, 'edge-1', 'put x1 recent');
  await this.pooled.world.run(100);
  for (const slot of this.pooled.members)
    if (slot.service === service && slot !== primary(this, service))
      (slot.running as NonNullable<PooledMember['running']>).knobs.loseReplies = 1;
});

When('every replica of {string} is killed', function when(this: PooledStory, service: string) {
  for (const slot of this.pooled.members) if (slot.service === service && slot !== primary(this, service)) this.pooled.stopMember(slot);
});

When('{word} is killed and restarted immediately', async function when(this: PooledStory, name: string) {
  const slot = edge(this, name);
  this.pooled.killEdge(slot);
  await this.pooled.startEdge(slot);
});

When('every replica of {string} stops replicating', async function when(this: PooledStory, service: string) {
  for (const slot of this.pooled.members)
    if (slot.service === service && slot !== primary(this, service))
      (slot.running as NonNullable<PooledMember['running']>).knobs.deaf = true;
  // Lets the replication messages that are already in flight arrive.
  await this.pooled.world.run(350);
});

When(
  '{string} is read {int} times in {string} through {word}, every {int} ms',
  async function when(this: PooledStory, variable: string, times: number, database: string, name: string, spacing: number) {
    this.startedAt = this.pooled.world.now();
    this.reads = [];
    const session = await openSession(this, database, name);
    for (let attempt = 0; attempt < times; attempt += 1) {
      const sentAt = this.pooled.world.now();
      const reply = await this.pooled.ask(session, `get ${variable}`);
      assert.equal(conditionOf(reply), 'served');
      this.reads.push({ sentAt, row: Option.isSome(reply) ? String(reply.value.rows[0]) : '' });
      await this.pooled.world.run(spacing);
    }
  },
);

Then(
  'reads sent later than {int} ms after the put returned {string}, and some earlier ones returned the old value',
  function then(this: PooledStory, bound: number, data: string) {
    const late = this.reads.filter((read) => read.sentAt > this.startedAt + bound);
    assert.ok(late.length > 5);
    assert.deepEqual([...new Set(late.map((read) => read.row))], [`row ${data}`]);
    assert.ok(
      this.reads.some((read) => read.row === 'row nothing'),
      'no replica served a bounded read',
    );
  },
);

When(
  'three sessions through {word} with conflicting session values and prepared statements take {int} turns each',
  async function when(this: PooledStory, name: string, turns: number) {
    const setups = [
      ['set v1 of-first', 'set v2 of-first', 'prepare s1 get h1'],
      ['set v1 of-second', 'prepare s1 get h2', 'set v1 of-second-later'],
      ['prepare s1 put h3'],
    ];
    const sessions: SessionLine[] = [];
    for (const statements of setups) {
      const session = await openSession(this, 'bookings-lead', name);
      sessions.push(session);
      for (const text of statements) assert.equal(conditionOf(await this.pooled.ask(session, text)), 'served');
    }
    let queryNumber = 0;
    for (let turn = 0; turn < turns; turn += 1) {
      for (const [index, session] of sessions.entries()) {
        queryNumber += 1;
        const text = turn % 3 === 2 ? 'get x1' : index === 2 ? `execute s1 x1 third` : 'execute s1 x1';
        assert.equal(conditionOf(await this.pooled.drive(session.query(`turn-${index}-${queryNumber}`, text, 5_000))), 'served');
      }
    }
    sessions.forEach((session) => session.close());
  },
);

Then('every statement ran with the session values and prepared statements of its own session', function then(this: PooledStory) {
  const values = ['[["v1","of-first"],["v2","of-first"]]', '[["v1","of-second-later"]]', '[]'];
  const shapes = ['h1:x1', 'h2:x1', 'h3:x1 third'];
  const runs = this.pooled.runs.filter((run) => run.identifier.startsWith('turn-'));
  assert.equal(runs.length, 36);
  assert.equal(new Set(runs.map((run) => run.connection)).size, 1, 'the sessions did not share one connection');
  for (const run of runs) {
    const index = Number(run.identifier.split('-')[1]);
    assert.equal(run.values, values[index], run.identifier);
    if (run.prepared) assert.equal(run.rest, shapes[index], run.identifier);
  }
});

When(
  '{word} is shut down gracefully with {int} statements and a transaction in progress',
  async function when(this: PooledStory, name: string, count: number) {
    const slot = edge(this, name);
    const sessions: SessionLine[] = [];
    for (let index = 0; index < count; index += 1) sessions.push(await openSession(this, 'bookings-lead', name));
    this.session = await openSession(this, 'bookings-lead', name);
    assert.equal(conditionOf(await this.pooled.ask(this.session, 'begin')), 'served');
    assert.equal(conditionOf(await this.pooled.ask(this.session, 'put x1 last')), 'served');
    this.replies = [];
    this.statusDuringShutdown = [];
    const idle = await openSession(this, 'bookings-lead', name);
    // Some statements are sent before the shutdown begins, some after it.
    for (const [index, session] of sessions.entries()) {
      this.pooled.world.schedule(
        index * 500,
        () =>
          void session
            .query(`ending-${index}`, index % 2 === 0 ? 'get x1' : `put x2 of-${index}`, 10_000)
            .then((reply) => this.replies.push(reply)),
      );
    }
    let ended = false;
    this.pooled.world.schedule(
      100,
      () =>
        void this.pooled.drainEdge(slot).then(() => {
          ended = true;
        }),
    );
    await this.pooled.world.run(150);
    this.statusDuringShutdown.push(slot.proxy?.ready() === true, idle.closed());
    await this.pooled.world.run(1_300);
    this.reply = await this.pooled.ask(this.session, 'commit', 5_000);
    assert.ok(await this.pooled.until(() => ended, 7_000), 'the edge did not stop in time');
  },
);

Then('every statement that ran is answered, and the transaction is committed', function then(this: PooledStory) {
  // A statement sent after new sessions are no longer accepted may find its idle session closed, which is not a failure.
  const replied = this.replies.filter(Option.isSome);
  assert.ok(replied.length >= 4, `only ${replied.length} were answered`);
  assert.deepEqual([...new Set(replied.map(conditionOf))], ['served']);
  const ran = this.pooled.runs.filter((run) => run.identifier.startsWith('ending-'));
  assert.equal(ran.length, replied.length, 'a statement that ran was not answered');
  assert.equal(conditionOf(this.reply), 'served');
  assert.equal(commitsOf(this, 'last'), 1);
});

Then('readiness failed before any session was closed', function then(this: PooledStory) {
  assert.deepEqual(this.statusDuringShutdown, [false, false]);
});

Then('no new session is accepted afterwards', async function then(this: PooledStory) {
  assert.equal(await this.pooled.session(edge(this, 'edge-1'), 'bookings-lead', firstKey), 'cut');
});

Then('these bytes sent to {word} are answered with these faults', async function then(this: PooledStory, name: string, table: DataTable) {
  for (const { bytes = '', fault = '' } of table.hashes()) {
    const messages = bytes.split(' / ').map((part) => (part.startsWith('<') ? `ask 1 get ${'x'.repeat(2 * 1024 * 1024)}\n` : `${part}\n`));
    const received = await this.pooled.raw(edge(this, name), messages, 400);
    assert.match(received, new RegExp(`^no ${fault} `, 'm'), `${bytes} got ${JSON.stringify(received.slice(0, 200))}`);
  }
});

Then('every process of the pooled fleet is still running', function then(this: PooledStory) {
  for (const slot of this.pooled.edges) assert.ok(slot.agentProcess?.alive() === true && slot.proxyProcess?.alive() === true, slot.name);
  for (const slot of this.pooled.cores) assert.equal(slot.process?.alive(), true, slot.name);
});
