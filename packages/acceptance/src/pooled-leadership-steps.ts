/** Steps of pooled.feature for leadership: each failure is injected, and the fleet runs on virtual time. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import * as Option from 'fp-ts/lib/Option.js';
import { type PooledStory, startPooledFleet, conditionOf, queryOnce, primary, edge, cutOff, openSession } from './pooled-story.js';

Given('a running pooled fleet', async function given(this: PooledStory) {
  this.pooled = await startPooledFleet();
});

Given('a pooled fleet whose edges may open {int} connection to each member', async function given(this: PooledStory, limit: number) {
  this.pooled = await startPooledFleet({ connectionLimit: 6 + 3 * limit });
});

Given('a pooled fleet whose transactions may be idle for {int} ms', async function given(this: PooledStory, restMilliseconds: number) {
  this.pooled = await startPooledFleet({ restMilliseconds });
});

Given('a pooled fleet whose members take {int} ms for each statement', async function given(this: PooledStory, workMilliseconds: number) {
  // Enough connections for all statements in flight, given that only part of the limit is used.
  this.pooled = await startPooledFleet({ workMilliseconds, connectionLimit: 120 });
});

Given(
  '{string} was set to {string} in {string} through {word}',
  async function given(this: PooledStory, variable: string, data: string, database: string, name: string) {
    assert.equal(conditionOf(await queryOnce(this, database, name, `put ${variable} ${data}`)), 'served');
  },
);

When(
  '{word} and the primary of {string} are cut off from everything except each other and clients',
  function when(this: PooledStory, name: string, service: string) {
    this.formerPrimary = primary(this, service);
    const machines = [edge(this, name).machine, this.formerPrimary.machine];
    for (const machine of machines)
      cutOff(
        this,
        machine,
        this.pooled.machines().filter((other) => !machines.includes(other)),
      );
  },
);

When('the primary of {string} is cut off from the cores', function when(this: PooledStory, service: string) {
  this.formerPrimary = primary(this, service);
  cutOff(
    this,
    this.formerPrimary.machine,
    this.pooled.cores.map((slot) => slot.machine),
  );
});

When('another member of {string} becomes the leader', async function when(this: PooledStory, service: string) {
  assert.ok(await this.pooled.until(() => primary(this, service) !== this.formerPrimary, 20_000), 'no other member was promoted');
  assert.ok(
    await this.pooled.until(
      () => this.pooled.edges.some((slot) => slot.proxy?.view().leaders.get(service)?.primary === primary(this, service).member),
      5_000,
    ),
    'no edge learned of the new leader',
  );
  await this.pooled.world.run(300);
});

Then(
  'a get of {string} in {string} through {word} returns {string}',
  async function then(this: PooledStory, variable: string, database: string, name: string, data: string) {
    const reply = await queryOnce(this, database, name, `get ${variable}`);
    assert.deepEqual(Option.isSome(reply) ? reply.value.rows : conditionOf(reply), [`row ${data}`]);
  },
);

Then(
  'a get of {string} in {string} through {word} fails with {string}',
  async function then(this: PooledStory, variable: string, database: string, name: string, condition: string) {
    assert.equal(conditionOf(await queryOnce(this, database, name, `get ${variable}`)), condition);
  },
);

Then(
  'a get of {string} in {string} through {word} is served',
  async function then(this: PooledStory, variable: string, database: string, name: string) {
    assert.equal(conditionOf(await queryOnce(this, database, name, `get ${variable}`)), 'served');
  },
);

/** Makes sure that the story can fail: the deposed primary is still running and would return the old value. */
Then('the deposed primary still returns {string} when it is queried directly', async function then(this: PooledStory, data: string) {
  assert.notEqual(primary(this, 'bookings'), this.formerPrimary);
  const received = await this.pooled.rawTo(
    this.formerPrimary.address,
    [`hello ${this.formerPrimary.service} tenant-one ${this.formerPrimary.member}\n`, 'ask z get x1\n'],
    300,
  );
  assert.match(received, new RegExp(`row ${data}`));
});

When('{word} is frozen for {int} s', function when(this: PooledStory, name: string, seconds: number) {
  this.frozenAt = this.pooled.world.now();
  this.pooled.freezeEdge(edge(this, name), seconds * 1_000);
});

When(
  '{word} is frozen for {int} s while a get and a put are sent to it',
  async function when(this: PooledStory, name: string, seconds: number) {
    this.session = await openSession(this, 'bookings-lead', name);
    this.otherSession = await openSession(this, 'bookings-lead', name);
    this.frozenAt = this.pooled.world.now();
    this.pooled.freezeEdge(edge(this, name), seconds * 1_000);
    this.replies = [];
    for (const [session, text] of [
      [this.session, 'get x1'],
      [this.otherSession, 'put x1 late'],
    ] as const)
      void session.query(`frozen-${text.slice(0, 3)}`, text, 60_000).then((reply) => this.replies.push(reply));
  },
);

Then('the deposed primary has run no statement since edge-1 was frozen', function then(this: PooledStory) {
  assert.notEqual(primary(this, 'bookings'), this.formerPrimary);
  assert.ok(this.pooled.world.now() > this.frozenAt + 9_000, 'the edge is still frozen');
  assert.deepEqual(
    this.pooled.runs.filter((run) => run.member === this.formerPrimary.member && run.at > this.frozenAt).map((run) => run.identifier),
    [],
  );
  assert.equal(this.replies.length, 2, 'the edge did not answer both after it resumed');
});

When('the primary of {string} reports that it is draining', function when(this: PooledStory, service: string) {
  this.formerPrimary = primary(this, service);
  this.startedAt = this.pooled.world.now();
  void this.formerPrimary.running?.drain();
});

Given(
  'a platform whose promotions take effect {int} ms after its replies',
  function given(this: PooledStory, effectAfterReplyMilliseconds: number) {
    this.pooled.platform().knobs.effectAfterReplyMilliseconds = effectAfterReplyMilliseconds;
  },
);

When(
  'gets of {string} in {string} through {word} are sent until another member of {string} serves them',
  async function when(this: PooledStory, variable: string, database: string, name: string, service: string) {
    const deadline = this.pooled.world.now() + 20_000;
    function isServedByAnother(story: PooledStory): boolean {
      const leader = primary(story, service);
      return leader !== story.formerPrimary && story.pooled.runs.some((run) => run.member === leader.member && run.rest === variable);
    }
    while (this.pooled.world.now() < deadline && !isServedByAnother(this)) {
      await queryOnce(this, database, name, `get ${variable}`);
      await this.pooled.world.run(20);
    }
    assert.ok(isServedByAnother(this), 'no other member served a get');
  },
);

Then('the new primary ran none of them before its promotion took effect', function then(this: PooledStory) {
  const leader = primary(this, 'bookings');
  const leadership = this.pooled.platformStore.leaders.get('bookings');
  assert.equal(leadership?.member, leader.member);
  const early = this.pooled.runs.filter((run) => run.member === leader.member && run.kind === 'get' && run.at < leadership.at);
  assert.equal(
    early.length,
    0,
    `it became the leader at ${leadership.at} and ran ${early.length} gets before, the first at ${early[0]?.at}`,
  );
});

function handoverTimes(story: PooledStory): Readonly<{ proposedAt: number; promotedAt: number }> {
  const proposed = story.pooled.world.logs.filter(
    (entry) => entry.event === 'election.propose' && entry.fields['service'] === 'bookings' && entry.at >= story.startedAt,
  );
  const promoted = story.pooled.platformStore.calls.filter(
    (call) => call.duty === 'promotion' && call.subject === 'bookings' && call.at >= story.startedAt,
  );
  assert.ok(proposed.length > 0 && promoted.length > 0);
  return { proposedAt: proposed[0]?.at ?? 0, promotedAt: promoted[0]?.at ?? 0 };
}

Then('the new leader was promoted less than {int} ms after it was proposed', function then(this: PooledStory, maximum: number) {
  const { proposedAt, promotedAt } = handoverTimes(this);
  assert.ok(promotedAt - proposedAt < maximum, `${Math.round(promotedAt - proposedAt)} ms`);
});

Then(
  'the new leader was promoted more than {int} ms after {word} was frozen, and {word} is still running',
  function then(this: PooledStory, minimum: number, name: string, _name: string) {
    const { promotedAt } = handoverTimes(this);
    assert.ok(promotedAt - this.frozenAt > minimum, `${Math.round(promotedAt - this.frozenAt)} ms`);
    assert.equal(edge(this, name).proxyProcess?.alive(), true);
  },
);
