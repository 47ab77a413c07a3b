/** Steps of pooled.feature for sessions, transactions and lost replies. */
import assert from 'node:assert/strict';
import { Given, When, Then, type DataTable } from '@cucumber/cucumber';
import type { SessionLine } from '@stallstall/fakes';
import { type PooledMember, firstKey } from '@stallstall/simulator';
import * as Option from 'fp-ts/lib/Option.js';
import { type PooledStory, open, conditionOf, kept, primary, once, edge } from './pooled-story.js';

Given(
  'a session in {string} through {word} has put {string} as {string} within a transaction',
  async function given(this: PooledStory, database: string, name: string, thing: string, data: string) {
    this.line = await open(this, database, name);
    assert.equal(conditionOf(await this.pooled.ask(this.line, 'begin')), 'served');
    assert.equal(conditionOf(await this.pooled.ask(this.line, `put ${thing} ${data}`)), 'served');
  },
);

When(
  'a transaction that only reads is asked to put, in {string} through {word}',
  async function when(this: PooledStory, database: string, name: string) {
    this.line = await open(this, database, name);
    assert.equal(conditionOf(await this.pooled.ask(this.line, 'begin reading')), 'served');
    this.reply = await this.pooled.ask(this.line, 'put x1 never');
  },
);

Then('it is denied as {string}, and takes nothing but its end', async function then(this: PooledStory, condition: string) {
  assert.equal(conditionOf(this.reply), condition);
  assert.equal(Option.isSome(this.reply) ? this.reply.value.transactionStatus : '', 'failed');
  assert.equal(conditionOf(await this.pooled.ask(this.line, 'get x1')), 'malformed');
  const ended = await this.pooled.ask(this.line, 'rollback');
  assert.equal(conditionOf(ended), 'served');
  assert.equal(Option.isSome(ended) ? ended.value.transactionStatus : '', 'idle');
});

Then('its commit is denied as {string}, and nothing was kept of it', async function then(this: PooledStory, condition: string) {
  assert.equal(conditionOf(await this.pooled.ask(this.line, 'commit')), condition);
  assert.equal(kept(this, 'open'), 0);
  assert.equal(this.pooled.runs.filter((run) => run.kind === 'commit').length, 0);
});

Then('nothing was kept of it', function then(this: PooledStory) {
  assert.equal(kept(this, 'open'), 0);
});

Then('the primary of {string} holds no transaction', function then(this: PooledStory, service: string) {
  assert.equal(primary(this, service).running?.transactions(), 0);
});

When('its sender leaves', function when(this: PooledStory) {
  assert.equal(primary(this, 'bookings').running?.transactions(), 1);
  this.line.reset();
});

When('{int} s of the pooled fleet pass', async function when(this: PooledStory, seconds: number) {
  await this.pooled.world.run(seconds * 1_000);
});

When('the primary of {string} loses its next {int} replies to commits', function when(this: PooledStory, service: string, many: number) {
  (primary(this, service).running as NonNullable<PooledMember['running']>).knobs.loseCommits = many;
});

When(
  'a {word} puts {string} as {string} in {string} through {word}',
  async function when(this: PooledStory, kind: string, thing: string, data: string, database: string, name: string) {
    this.line = await open(this, database, name);
    if (kind === 'transaction') assert.equal(conditionOf(await this.pooled.ask(this.line, 'begin')), 'served');
    this.reply = await this.pooled.ask(this.line, `put ${thing} ${data}`);
    if (kind === 'transaction') this.reply = await this.pooled.ask(this.line, 'commit');
  },
);

Then('its sender is told {string}', function then(this: PooledStory, condition: string) {
  assert.equal(conditionOf(this.reply), condition);
});

Then('members kept it {int} time and ran it {int} time', function then(this: PooledStory, times: number, runs: number) {
  assert.equal(kept(this, 'once'), times);
  assert.equal(this.pooled.runs.filter((run) => run.kind === 'put' && run.rest.endsWith(' once')).length, runs);
});

When('every replica of {string} loses its next reply', async function when(this: PooledStory, service: string) {
  // What the leader told lately lets a read of bounded age go anywhere.
  await once(this, `${service}-lead`, 'edge-1', 'put x1 told');
  await this.pooled.world.run(100);
  for (const slot of this.pooled.members)
    if (slot.service === service && slot !== primary(this, service))
      (slot.running as NonNullable<PooledMember['running']>).knobs.loseReplies = 1;
});

When('every replica of {string} is killed', function when(this: PooledStory, service: string) {
  for (const slot of this.pooled.members) if (slot.service === service && slot !== primary(this, service)) this.pooled.stopMember(slot);
});

When('{word} is killed and comes back at once', async function when(this: PooledStory, name: string) {
  const slot = edge(this, name);
  this.pooled.killEdge(slot);
  await this.pooled.startEdge(slot);
});

When('every replica of {string} goes deaf', async function when(this: PooledStory, service: string) {
  for (const slot of this.pooled.members)
    if (slot.service === service && slot !== primary(this, service))
      (slot.running as NonNullable<PooledMember['running']>).knobs.deaf = true;
  // What was on its way to them when they went deaf.
  await this.pooled.world.run(350);
});

When(
  '{string} is read {int} times in {string} through {word}, every {int} ms',
  async function when(this: PooledStory, thing: string, times: number, database: string, name: string, spacing: number) {
    this.calledAt = this.pooled.world.now();
    this.read = [];
    const line = await open(this, database, name);
    for (let attempt = 0; attempt < times; attempt += 1) {
      const sentAt = this.pooled.world.now();
      const reply = await this.pooled.ask(line, `get ${thing}`);
      assert.equal(conditionOf(reply), 'served');
      this.read.push({ sentAt, row: Option.isSome(reply) ? String(reply.value.rows[0]) : '' });
      await this.pooled.world.run(spacing);
    }
  },
);

Then(
  'those read later than {int} ms after the put gave {string}, and some before gave the old',
  function then(this: PooledStory, bound: number, data: string) {
    const late = this.read.filter((one) => one.sentAt > this.calledAt + bound);
    assert.ok(late.length > 5);
    assert.deepEqual([...new Set(late.map((one) => one.row))], [`row ${data}`]);
    assert.ok(
      this.read.some((one) => one.row === 'row nothing'),
      'replicas serve reads of bounded age',
    );
  },
);

When(
  'three sessions through {word} with clashing values and names take turns {int} times',
  async function when(this: PooledStory, name: string, turns: number) {
    const texts = [
      ['set v1 of-first', 'set v2 of-first', 'prepare s1 get h1'],
      ['set v1 of-second', 'prepare s1 get h2', 'set v1 of-second-later'],
      ['prepare s1 put h3'],
    ];
    const lines: SessionLine[] = [];
    for (const some of texts) {
      const line = await open(this, 'bookings-lead', name);
      lines.push(line);
      for (const text of some) assert.equal(conditionOf(await this.pooled.ask(line, text)), 'served');
    }
    let asked = 0;
    for (let turn = 0; turn < turns; turn += 1) {
      for (const [index, line] of lines.entries()) {
        asked += 1;
        const text = turn % 3 === 2 ? 'get x1' : index === 2 ? `execute s1 x1 third` : 'execute s1 x1';
        assert.equal(conditionOf(await this.pooled.drive(line.query(`turn-${index}-${asked}`, text, 5_000))), 'served');
      }
    }
    lines.forEach((line) => line.close());
  },
);

Then('every statement ran under the values and shapes of its own session', function then(this: PooledStory) {
  const values = ['[["v1","of-first"],["v2","of-first"]]', '[["v1","of-second-later"]]', '[]'];
  const shapes = ['h1:x1', 'h2:x1', 'h3:x1 third'];
  const runs = this.pooled.runs.filter((run) => run.identifier.startsWith('turn-'));
  assert.equal(runs.length, 36);
  assert.equal(new Set(runs.map((run) => run.connection)).size, 1, 'they shared one connection');
  for (const run of runs) {
    const index = Number(run.identifier.split('-')[1]);
    assert.equal(run.values, values[index], run.identifier);
    if (run.prepared) assert.equal(run.rest, shapes[index], run.identifier);
  }
});

When(
  '{word} ends as planned with {int} statements and a transaction under way',
  async function when(this: PooledStory, name: string, many: number) {
    const slot = edge(this, name);
    const lines: SessionLine[] = [];
    for (let index = 0; index < many; index += 1) lines.push(await open(this, 'bookings-lead', name));
    this.line = await open(this, 'bookings-lead', name);
    assert.equal(conditionOf(await this.pooled.ask(this.line, 'begin')), 'served');
    assert.equal(conditionOf(await this.pooled.ask(this.line, 'put x1 last')), 'served');
    this.replies = [];
    this.ready = [];
    const idle = await open(this, 'bookings-lead', name);
    // Some are read before the end begins, some after it.
    for (const [index, line] of lines.entries()) {
      this.pooled.world.schedule(
        index * 500,
        () =>
          void line
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
    this.ready.push(slot.proxy?.ready() === true, idle.closed());
    await this.pooled.world.run(1_300);
    this.reply = await this.pooled.ask(this.line, 'commit', 5_000);
    assert.ok(await this.pooled.until(() => ended, 7_000), 'the edge did not end in its time');
  },
);

Then('each of them is replied, and the transaction is kept', function then(this: PooledStory) {
  // Whoever asks later than the lame time finds its session closed at rest, which is no failure.
  const replied = this.replies.filter(Option.isSome);
  assert.ok(replied.length >= 4, `${replied.length} were replied`);
  assert.deepEqual([...new Set(replied.map(conditionOf))], ['served']);
  const ran = this.pooled.runs.filter((run) => run.identifier.startsWith('ending-'));
  assert.equal(ran.length, replied.length, 'what ran was replied');
  assert.equal(conditionOf(this.reply), 'served');
  assert.equal(kept(this, 'last'), 1);
});

Then('readiness failed before any session was let go', function then(this: PooledStory) {
  assert.deepEqual(this.ready, [false, false]);
});

Then('no session is let in afterwards', async function then(this: PooledStory) {
  assert.equal(await this.pooled.session(edge(this, 'edge-1'), 'bookings-lead', firstKey), 'cut');
});

Then('these bytes to {word} get these faults', async function then(this: PooledStory, name: string, table: DataTable) {
  for (const { bytes = '', fault = '' } of table.hashes()) {
    const pieces = bytes.split(' / ').map((piece) => (piece.startsWith('<') ? `ask 1 get ${'x'.repeat(2 * 1024 * 1024)}\n` : `${piece}\n`));
    const heard = await this.pooled.raw(edge(this, name), pieces, 400);
    assert.match(heard, new RegExp(`^no ${fault} `, 'm'), `${bytes} got ${JSON.stringify(heard.slice(0, 200))}`);
  }
});

Then('every process of the pooled fleet still runs', function then(this: PooledStory) {
  for (const slot of this.pooled.edges) assert.ok(slot.agentProcess?.alive() === true && slot.proxyProcess?.alive() === true, slot.name);
  for (const slot of this.pooled.cores) assert.equal(slot.process?.alive(), true, slot.name);
});
