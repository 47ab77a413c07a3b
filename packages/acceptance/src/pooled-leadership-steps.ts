/** Steps of the stories of pooled.feature: each failure is brought about on purpose, on virtual time. */
import assert from 'node:assert/strict';
import { Given, Then, When, type DataTable } from '@cucumber/cucumber';
import * as Option from 'fp-ts/lib/Option.js';
import {
  firstKey,
  pooledChecks,
  pooledFleet,
  spareKey,
  type PooledEdge,
  type PooledFleet,
  type PooledMember,
  type PooledOptions,
} from '@stallstall/simulator';
import type { SessionLine } from '@stallstall/fakes';
import type { StatementReply } from '@stallstall/session-protocol';

type PooledStory = {
  pooled: PooledFleet;
  old: PooledMember;
  line: SessionLine;
  other: SessionLine;
  frozenAt: number;
  calledAt: number;
  identifier: string;
  reply: Option.Option<StatementReply>;
  replies: Array<Option.Option<StatementReply>>;
  ready: boolean[];
  stop: () => void;
  read: Array<Readonly<{ sentAt: number; row: string }>>;
};

async function bringUp(options: PooledOptions = {}): Promise<PooledFleet> {
  const pooled = pooledFleet.create(11, options);
  await pooled.startAll();
  assert.ok(await pooled.drive(pooled.configure(3, pooled.firstSheet(), 0)), 'the configuration was not taken');
  assert.ok(
    await pooled.until(
      () =>
        pooled.edges.every((slot) => slot.proxy?.ready() === true) &&
        pooled.services.every((service) => pooled.primaryOf(service) !== undefined),
      20_000,
    ),
    'the edges were never ready',
  );
  await pooled.world.run(2_000);
  return pooled;
}

function edge(story: PooledStory, name: string): PooledEdge {
  return story.pooled.edges.find((slot) => slot.name === name) as PooledEdge;
}

function primary(story: PooledStory, service: string): PooledMember {
  return story.pooled.primaryOf(service) as PooledMember;
}

async function open(story: PooledStory, database: string, name: string, who: string = firstKey): Promise<SessionLine> {
  const line = await story.pooled.session(edge(story, name), database, who);
  assert.ok(typeof line !== 'string', `the session was not let in: ${String(line)}`);
  return line;
}

function conditionOf(reply: Option.Option<StatementReply>): string {
  if (Option.isNone(reply)) return 'silence';
  return reply.value.completion.kind === 'done' ? 'served' : reply.value.completion.condition;
}

async function once(story: PooledStory, database: string, name: string, text: string): Promise<Option.Option<StatementReply>> {
  const line = await open(story, database, name);
  const reply = await story.pooled.ask(line, text);
  line.close();
  return reply;
}

function cutOff(story: PooledStory, machine: string, others: readonly string[]): void {
  for (const other of others) {
    story.pooled.world.cut(machine, other);
    story.pooled.world.cut(other, machine);
  }
}

function kept(story: PooledStory, data: string): number {
  return primary(story, 'bookings').store.log.filter((commit) => commit.writes.some((write) => write.data === data)).length;
}

Given('a pooled fleet at work', async function given(this: PooledStory) {
  this.pooled = await bringUp();
});

Given('a pooled fleet whose edges hold {int} connection to each member', async function given(this: PooledStory, many: number) {
  this.pooled = await bringUp({ connectionLimit: 6 + 3 * many });
});

Given('a pooled fleet whose transactions may rest for {int} ms', async function given(this: PooledStory, restMilliseconds: number) {
  this.pooled = await bringUp({ restMilliseconds });
});

Given('a pooled fleet whose members work for {int} ms', async function given(this: PooledStory, workMilliseconds: number) {
  // Room for what is under way together, beside the part of the limit that is left free.
  this.pooled = await bringUp({ workMilliseconds, connectionLimit: 120 });
});

Given(
  '{string} was put as {string} in {string} through {word}',
  async function given(this: PooledStory, thing: string, data: string, database: string, name: string) {
    assert.equal(conditionOf(await once(this, database, name, `put ${thing} ${data}`)), 'served');
  },
);

When(
  '{word} and the primary of {string} are cut off from everything but each other and senders',
  function when(this: PooledStory, name: string, service: string) {
    this.old = primary(this, service);
    const machines = [edge(this, name).machine, this.old.machine];
    for (const machine of machines)
      cutOff(
        this,
        machine,
        this.pooled.machines().filter((other) => !machines.includes(other)),
      );
  },
);

When('the primary of {string} is cut off from the cores', function when(this: PooledStory, service: string) {
  this.old = primary(this, service);
  cutOff(
    this,
    this.old.machine,
    this.pooled.cores.map((slot) => slot.machine),
  );
});

When('another member of {string} leads', async function when(this: PooledStory, service: string) {
  assert.ok(await this.pooled.until(() => primary(this, service) !== this.old, 20_000), 'no other member was promoted');
  assert.ok(
    await this.pooled.until(
      () => this.pooled.edges.some((slot) => slot.proxy?.view().leaders.get(service)?.primary === primary(this, service).member),
      5_000,
    ),
    'no edge learnt of it',
  );
  await this.pooled.world.run(300);
});

Then(
  'a get of {string} in {string} through {word} gives {string}',
  async function then(this: PooledStory, thing: string, database: string, name: string, data: string) {
    const reply = await once(this, database, name, `get ${thing}`);
    assert.deepEqual(Option.isSome(reply) ? reply.value.rows : conditionOf(reply), [`row ${data}`]);
  },
);

Then(
  'a get of {string} in {string} through {word} is denied as {string}',
  async function then(this: PooledStory, thing: string, database: string, name: string, condition: string) {
    assert.equal(conditionOf(await once(this, database, name, `get ${thing}`)), condition);
  },
);

Then(
  'a get of {string} in {string} through {word} is served',
  async function then(this: PooledStory, thing: string, database: string, name: string) {
    assert.equal(conditionOf(await once(this, database, name, `get ${thing}`)), 'served');
  },
);

/** Shows that the story is no empty one: it is there, and would say so. */
Then('the deposed primary itself still replies {string} to who asks it directly', async function then(this: PooledStory, data: string) {
  assert.notEqual(primary(this, 'bookings'), this.old);
  const heard = await this.pooled.rawTo(
    this.old.address,
    [`hello ${this.old.service} tenant-one ${this.old.member}\n`, 'ask z get x1\n'],
    300,
  );
  assert.match(heard, new RegExp(`row ${data}`));
});

When('{word} is frozen for {int} s', function when(this: PooledStory, name: string, seconds: number) {
  this.frozenAt = this.pooled.world.now();
  this.pooled.freezeEdge(edge(this, name), seconds * 1_000);
});

When(
  '{word} is frozen for {int} s and is sent a get and a put meanwhile',
  async function when(this: PooledStory, name: string, seconds: number) {
    this.line = await open(this, 'bookings-lead', name);
    this.other = await open(this, 'bookings-lead', name);
    this.frozenAt = this.pooled.world.now();
    this.pooled.freezeEdge(edge(this, name), seconds * 1_000);
    this.replies = [];
    for (const [line, text] of [
      [this.line, 'get x1'],
      [this.other, 'put x1 late'],
    ] as const)
      void line.query(`frozen-${text.slice(0, 3)}`, text, 60_000).then((reply) => this.replies.push(reply));
  },
);

Then('the deposed primary has run nothing since edge-1 was frozen', function then(this: PooledStory) {
  assert.notEqual(primary(this, 'bookings'), this.old);
  assert.ok(this.pooled.world.now() > this.frozenAt + 9_000, 'the edge is frozen still');
  assert.deepEqual(
    this.pooled.runs.filter((run) => run.member === this.old.member && run.at > this.frozenAt).map((run) => run.identifier),
    [],
  );
  assert.equal(this.replies.length, 2, 'the edge replied to both once it woke');
});

When('the primary of {string} says that it drains', function when(this: PooledStory, service: string) {
  this.old = primary(this, service);
  this.calledAt = this.pooled.world.now();
  void this.old.running?.drain();
});

Given(
  'a platform whose promotions take effect {int} ms after its replies',
  function given(this: PooledStory, effectAfterReplyMilliseconds: number) {
    this.pooled.platform().knobs.effectAfterReplyMilliseconds = effectAfterReplyMilliseconds;
  },
);

When(
  'gets of {string} in {string} through {word} are sent until another member of {string} serves them',
  async function when(this: PooledStory, thing: string, database: string, name: string, service: string) {
    const horizon = this.pooled.world.now() + 20_000;
    function isServedByAnother(story: PooledStory): boolean {
      const leader = primary(story, service);
      return leader !== story.old && story.pooled.runs.some((run) => run.member === leader.member && run.rest === thing);
    }
    while (this.pooled.world.now() < horizon && !isServedByAnother(this)) {
      await once(this, database, name, `get ${thing}`);
      await this.pooled.world.run(20);
    }
    assert.ok(isServedByAnother(this), 'no other member served a get');
  },
);

Then('the new primary ran none of them before it led', function then(this: PooledStory) {
  const leader = primary(this, 'bookings');
  const led = this.pooled.platformStore.leaders.get('bookings');
  assert.equal(led?.member, leader.member);
  const early = this.pooled.runs.filter((run) => run.member === leader.member && run.kind === 'get' && run.at < led.at);
  assert.equal(early.length, 0, `it led at ${led.at} and ran ${early.length} before, the first at ${early[0]?.at}`);
});

function handOver(story: PooledStory): Readonly<{ proposedAt: number; promotedAt: number }> {
  const proposed = story.pooled.world.logs.filter(
    (line) => line.event === 'election.propose' && line.fields['service'] === 'bookings' && line.at >= story.calledAt,
  );
  const promoted = story.pooled.platformStore.calls.filter(
    (call) => call.duty === 'promotion' && call.subject === 'bookings' && call.at >= story.calledAt,
  );
  assert.ok(proposed.length > 0 && promoted.length > 0);
  return { proposedAt: proposed[0]?.at ?? 0, promotedAt: promoted[0]?.at ?? 0 };
}

Then('it was promoted less than {int} ms after it was proposed', function then(this: PooledStory, most: number) {
  const { proposedAt, promotedAt } = handOver(this);
  assert.ok(promotedAt - proposedAt < most, `${Math.round(promotedAt - proposedAt)} ms`);
});

Then(
  'it was promoted more than {int} ms after {word} was frozen and nothing of {word} ran on the old one since',
  function then(this: PooledStory, least: number, name: string, _again: string) {
    const { promotedAt } = handOver(this);
    assert.ok(promotedAt - this.frozenAt > least, `${Math.round(promotedAt - this.frozenAt)} ms`);
    assert.equal(edge(this, name).proxyProcess?.alive(), true);
  },
);

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
    for (let shot = 0; shot < times; shot += 1) {
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
      this.pooled.world.at(
        index * 500,
        () =>
          void line
            .query(`ending-${index}`, index % 2 === 0 ? 'get x1' : `put x2 of-${index}`, 10_000)
            .then((reply) => this.replies.push(reply)),
      );
    }
    let ended = false;
    this.pooled.world.at(
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

const someBeat = { service: 'bookings', address: '10.3.0.1:5000', area: 'north', draining: false, role: 'replica', slots: 4, sequence: 1 };

Given('a core that has met no other', async function given(this: PooledStory) {
  this.pooled = pooledFleet.create(11);
  await this.pooled.startCore(this.pooled.cores[0] as PooledFleet['cores'][number]);
  await this.pooled.world.run(2_000);
});

Then('a beat to it is turned away, and so is a leave', async function then(this: PooledStory) {
  assert.equal((await this.pooled.drive(this.pooled.call(0, '/members/bookings-1/beat', someBeat))).status, 503);
  assert.equal((await this.pooled.drive(this.pooled.call(0, '/members/bookings-1/leave', {}))).status, 503);
});

When('the other cores start and the fleet is formed', async function when(this: PooledStory) {
  for (const slot of this.pooled.cores.slice(1)) await this.pooled.startCore(slot);
  assert.ok(await this.pooled.until(() => this.pooled.cores.every((slot) => slot.running?.open() === true), 8_000), 'no fleet was formed');
});

Then('a beat to it is taken', async function then(this: PooledStory) {
  assert.equal((await this.pooled.drive(this.pooled.call(0, '/members/bookings-1/beat', someBeat))).status, 200);
});

When(
  '{string} beats as {word} with number {int} to core {int}',
  async function when(this: PooledStory, member: string, phase: string, sequence: number, core: number) {
    const beat = { ...someBeat, service: 'maps', address: '10.3.1.9:5000', draining: phase === 'draining', sequence };
    await this.pooled.drive(this.pooled.call(core - 1, `/members/${member}/beat`, beat));
    await this.pooled.world.run(300);
  },
);

When('{string} leaves through core {int}', async function when(this: PooledStory, member: string, core: number) {
  assert.equal((await this.pooled.drive(this.pooled.call(core - 1, `/members/${member}/leave`, {}))).status, 200);
  await this.pooled.world.run(300);
});

Then('every edge knows {string} as draining', function then(this: PooledStory, member: string) {
  for (const slot of this.pooled.edges) assert.equal(slot.proxy?.view().members.get(member)?.draining, true, slot.name);
});

Then('no edge knows {string}', function then(this: PooledStory, member: string) {
  for (const slot of this.pooled.edges) assert.equal(slot.proxy?.view().members.has(member), false, slot.name);
});

Given('senders with sessions are at work', async function given(this: PooledStory) {
  this.stop = this.pooled.startSenders(30, 200).stop;
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
