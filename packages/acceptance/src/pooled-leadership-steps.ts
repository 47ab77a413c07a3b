/** Steps of the stories of pooled.feature: each failure is brought about on purpose, on virtual time. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import * as Option from 'fp-ts/lib/Option.js';
import { type PooledStory, bringUp, conditionOf, once, primary, edge, cutOff, open } from './pooled-story.js';

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
    const deadline = this.pooled.world.now() + 20_000;
    function isServedByAnother(story: PooledStory): boolean {
      const leader = primary(story, service);
      return leader !== story.old && story.pooled.runs.some((run) => run.member === leader.member && run.rest === thing);
    }
    while (this.pooled.world.now() < deadline && !isServedByAnother(this)) {
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
