/** Steps of the stories of outages.feature, on virtual time (design 8.13). */
import assert from 'node:assert/strict';
import { Given, Then, When, type DataTable } from '@cucumber/cucumber';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault } from '@stallstall/kernel';
import { placements } from '@stallstall/placement';
import { firstKey, pooledFleet, initialWallTime, type PooledMember, type PooledSheet } from '@stallstall/simulator';
import type { SessionLine } from '@stallstall/fakes';
import type { StatementReply } from '@stallstall/session-protocol';
import { edge, openSession, type WithPooledFleet } from './pooled-story.js';

type OutageStory = WithPooledFleet & {
  line: SessionLine;
  sheet: PooledSheet;
  /** By the world's own time. */
  from: number;
  to: number;
};

const aheadMilliseconds = 25_000;
const holdMilliseconds = 10_000;
const windowMilliseconds = 90_000;
const graceMilliseconds = 30_000;

function copied(story: OutageStory, name: string): Readonly<{ recorded: number; cached: number; bytes: number }> {
  const proxy = edge(story, name).proxy;
  assert.ok(proxy !== undefined);
  return proxy.cachedReplies();
}

function outcome(reply: Option.Option<StatementReply>): string {
  if (Option.isNone(reply)) return 'silence';
  return reply.value.completion.kind === 'fault'
    ? reply.value.completion.condition
    : `${reply.value.rows.join(' ')}${isCopy(reply.value) ? ' copied' : ''}`;
}

function isCopy(reply: StatementReply): boolean {
  return reply.completion.kind === 'done' && / copied \d+$/.test(reply.completion.stamp);
}

async function once(story: OutageStory, database: string, name: string, texts: readonly string[], who: string = firstKey): Promise<string> {
  const line = await openSession(story, database, name, who);
  let last = '';
  for (const text of texts) last = outcome(await story.pooled.ask(line, text));
  line.close();
  return last;
}

async function bringUp(
  story: OutageStory,
  name: string,
  more: Readonly<{ mostBytes?: number; holdMilliseconds?: number; things?: readonly unknown[] }> = {},
  others: (from: number, to: number) => readonly object[] = () => [],
): Promise<void> {
  story.pooled = pooledFleet.create(11);
  const { pooled } = story;
  await pooled.startAll();
  story.from = pooled.world.now() + aheadMilliseconds;
  story.to = story.from + windowMilliseconds;
  const outage = {
    site: 'yard',
    nodes: [name],
    databases: ['bookings-late', 'bookings-lead'],
    from: new Date(initialWallTime + story.from).toISOString(),
    to: new Date(initialWallTime + story.to).toISOString(),
    holdMilliseconds,
    ...more,
  };
  story.sheet = { ...pooled.firstSheet(), outages: [outage, ...others(story.from, story.to).map((other) => ({ ...outage, ...other }))] };
  assert.ok(await pooled.drive(pooled.configure(3, story.sheet, 0)), 'the configuration was not taken');
  assert.ok(
    await pooled.until(
      () =>
        pooled.edges.every((slot) => slot.proxy?.ready() === true) &&
        pooled.services.every((service) => pooled.primaryOf(service) !== undefined),
      12_000,
    ),
    'the edges were never ready',
  );
  await pooled.world.run(1_500);
  assert.ok(pooled.world.now() < story.from - (more.holdMilliseconds ?? holdMilliseconds), 'the hold begins later');
}

function loseUplink(story: OutageStory, name: string): void {
  const { pooled } = story;
  const { machine } = edge(story, name);
  for (const other of pooled.machines()) {
    if (other === machine) continue;
    pooled.world.cut(machine, other);
    pooled.world.cut(other, machine);
  }
}

async function runTo(story: OutageStory, moment: number): Promise<void> {
  assert.ok(story.pooled.world.now() <= moment, 'it is later already');
  await story.pooled.world.run(moment - story.pooled.world.now());
}

/** Long enough for leases to end. */
function beginWindow(story: OutageStory): Promise<void> {
  return runTo(story, story.from + 4_000);
}

Given('a pooled fleet with an outage of {word} ahead', async function given(this: OutageStory, name: string) {
  await bringUp(this, name);
});

Given(
  'a pooled fleet with an outage of {word} ahead that holds {int} bytes',
  async function given(this: OutageStory, name: string, mostBytes: number) {
    await bringUp(this, name, { mostBytes });
  },
);

/** Its copy is to be made while the first window is open. */
Given(
  'a pooled fleet with an outage of {word} ahead, and one of another site soon after',
  async function given(this: OutageStory, name: string) {
    await bringUp(this, name, {}, (from, to) => [
      {
        site: 'dock',
        from: new Date(initialWallTime + from + 40_000).toISOString(),
        to: new Date(initialWallTime + to + 120_000).toISOString(),
        holdMilliseconds: 20_000,
      },
    ]);
  },
);

Given(
  'a pooled fleet with an outage of {word} ahead whose copy is made {int} ms before',
  async function given(this: OutageStory, name: string, before: number) {
    await bringUp(this, name, { holdMilliseconds: before });
  },
);

Given(
  'a pooled fleet with an outage of {word} ahead that names a get of {string} in {string}',
  async function given(this: OutageStory, name: string, thing: string, database: string) {
    await bringUp(this, name, { things: [{ database, tenant: 'tenant-one', text: `get ${thing}` }] });
  },
);

Given(
  '{word} has served a get of {string} in {string}',
  async function given(this: OutageStory, name: string, thing: string, database: string) {
    assert.match(await once(this, database, name, [`get ${thing}`]), /^row /);
  },
);

function preparedGet(name: string, thing: string, value: string, data: string): readonly string[] {
  return [`set ${value} ${data}`, `prepare ${name} get h1`, `execute ${name} ${thing}`];
}

Given(
  '{word} has served a prepared get {string} of {string} under the value {string} of {string} in {string}',
  async function given(this: OutageStory, edgeName: string, name: string, thing: string, value: string, data: string, database: string) {
    assert.match(await once(this, database, edgeName, preparedGet(name, thing, value, data)), /^row /);
  },
);

Then(
  'a prepared get {string} of {string} under the value {string} of {string} in {string} through {word} is replied from the copy',
  async function then(this: OutageStory, name: string, thing: string, value: string, data: string, database: string, edgeName: string) {
    assert.match(await once(this, database, edgeName, preparedGet(name, thing, value, data)), /^row .* copied$/);
  },
);

Then(
  'a prepared get {string} of {string} under the value {string} of {string} in {string} through {word} is denied as {string}',
  async function then(
    this: OutageStory,
    name: string,
    thing: string,
    value: string,
    data: string,
    database: string,
    edgeName: string,
    condition: string,
  ) {
    assert.equal(await once(this, database, edgeName, preparedGet(name, thing, value, data)), condition);
  },
);

Given(
  '{word} has served {int} different gets in {string}',
  async function given(this: OutageStory, name: string, many: number, database: string) {
    assert.match(
      await once(
        this,
        database,
        name,
        Array.from({ length: many }, (_, index) => `get thing-${index + 1}`),
      ),
      /^row nothing/,
    );
    assert.ok(copied(this, name).recorded > 1, 'nothing was remembered');
  },
);

Given('the copy of {word} was made', async function given(this: OutageStory, name: string) {
  const reported = (): boolean => this.pooled.world.logs.some((line) => line.process === `${name}/proxy` && line.event === 'copy.complete');
  assert.equal(reported(), false, 'not before the hold begins');
  assert.ok(await this.pooled.until(reported, this.from - this.pooled.world.now()), 'no copy was completed before the window');
});

Given(
  'a session in {string} through {word} has put {string} as {string}',
  async function given(this: OutageStory, database: string, name: string, thing: string, data: string) {
    this.line = await openSession(this, database, name);
    assert.match(outcome(await this.pooled.ask(this.line, `put ${thing} ${data}`)), /^(row .*)?$/);
  },
);

Given(
  'a session in {string} through {word} has put {string} as {string} and the reply was lost',
  async function given(this: OutageStory, database: string, name: string, thing: string, data: string) {
    (this.pooled.primaryOf('bookings') as PooledMember & { running: NonNullable<PooledMember['running']> }).running.knobs.loseCommits = 1;
    this.line = await openSession(this, database, name);
    assert.equal(outcome(await this.pooled.ask(this.line, `put ${thing} ${data}`)), 'outcome-unknown');
  },
);

When('{word} loses its uplink', async function when(this: OutageStory, name: string) {
  const begun = this.from === undefined || this.pooled.world.now() >= this.from;
  loseUplink(this, name);
  if (!begun || this.from === undefined) await this.pooled.world.run(3_000);
});

When('{word} loses its uplink and the window begins', async function when(this: OutageStory, name: string) {
  loseUplink(this, name);
  await beginWindow(this);
});

When('{string} moves to {string}', async function when(this: OutageStory, database: string, service: string) {
  assert.ok(
    await this.pooled.drive(
      this.pooled.configure(
        7,
        { ...this.sheet, databases: this.sheet.databases.map((one) => (one.database === database ? { ...one, service } : one)) },
        1,
      ),
    ),
  );
  await this.pooled.world.run(500);
});

When('the window begins', async function when(this: OutageStory) {
  await beginWindow(this);
});

When('{word} loses its uplink while the copy is being made', async function when(this: OutageStory, name: string) {
  assert.ok(await this.pooled.until(() => copied(this, name).cached > 10, aheadMilliseconds), 'the copy was never begun');
  loseUplink(this, name);
});

When('{word} restarts and loses its uplink within the window', async function when(this: OutageStory, name: string) {
  await beginWindow(this);
  const slot = edge(this, name);
  this.pooled.killEdge(slot);
  await this.pooled.startEdge(slot);
  assert.ok(await this.pooled.until(() => slot.proxy?.ready() === true, 8_000), 'it was never ready again');
  assert.match(await once(this, 'bookings-late', name, ['get x1']), /^row /);
  loseUplink(this, name);
  await this.pooled.world.run(4_000);
});

When('the window and its grace are over', async function when(this: OutageStory) {
  await runTo(this, this.to + graceMilliseconds + 1_000);
});

When(/^the clock of (\S+) is set (on|back) by (\d+) s$/, function when(this: OutageStory, name: string, way: string, seconds: string) {
  const { proxyProcess } = edge(this, name);
  assert.ok(proxyProcess !== undefined);
  this.pooled.world.stepWallClock(proxyProcess, (way === 'on' ? 1_000 : -1_000) * Number(seconds));
});

Then(
  'a get of {string} in {string} through {word} gives {string} from the copy',
  async function then(this: OutageStory, thing: string, database: string, name: string, data: string) {
    assert.equal(await once(this, database, name, [`get ${thing}`]), `row ${data} copied`);
  },
);

Then(
  '{int} gets of {string} in {string} through {word}, one after the other from now on, all give {string}',
  async function then(this: OutageStory, many: number, thing: string, database: string, name: string, data: string) {
    const outcomes: string[] = [];
    for (let index = 0; index < many; index += 1) outcomes.push(await once(this, database, name, [`get ${thing}`]));
    assert.deepEqual([...new Set(outcomes)], [`row ${data} copied`]);
  },
);

Then(
  'a get of {string} in {string} through {word} by the other tenant is denied as {string}',
  async function then(this: OutageStory, thing: string, database: string, name: string, condition: string) {
    assert.equal(await once(this, database, name, [`get ${thing}`]), 'row nothing copied', 'the first tenant has it');
    assert.equal(await once(this, database, name, [`get ${thing}`], 'key-two'), condition);
  },
);

Then(
  'a get of {string} in {string} through {word} under the value {string} of {string} is denied as {string}',
  async function then(this: OutageStory, thing: string, database: string, name: string, value: string, data: string, condition: string) {
    assert.equal(await once(this, database, name, [`set ${value} ${data}`, `get ${thing}`]), condition);
  },
);

Then(
  'a put of {string} in {string} through {word} is denied as {string}',
  async function then(this: OutageStory, thing: string, database: string, name: string, condition: string) {
    const before = this.pooled.runs.filter((run) => run.kind === 'put').length;
    assert.equal(await once(this, database, name, [`put ${thing} again`]), condition);
    assert.equal(this.pooled.runs.filter((run) => run.kind === 'put').length, before);
  },
);

Then('a commit in {string} through {word} is denied', async function then(this: OutageStory, database: string, name: string) {
  assert.equal(await once(this, database, name, ['begin', 'commit']), 'read-only');
  assert.equal(await once(this, database, name, ['begin', 'put x1 unsettled', 'commit']), 'aborted');
});

Then(
  'a get of {string} within a transaction in {string} through {word} is denied as {string}',
  async function then(this: OutageStory, thing: string, database: string, name: string, condition: string) {
    assert.equal(await once(this, database, name, ['begin', `get ${thing}`]), condition);
    assert.equal(await once(this, database, name, ['begin reading', `get ${thing}`]), condition);
  },
);

Then('{word} counted {int} copies served and {int} missed', function then(this: OutageStory, name: string, served: number, missed: number) {
  const totals = edge(this, name).proxy?.totals() ?? {};
  assert.deepEqual([totals['copy.served'] ?? 0, totals['copy.missed'] ?? 0], [served, missed]);
});

Then(
  'every one of the {int} gets in {string} through {word} is denied, though some were copied',
  async function then(this: OutageStory, many: number, database: string, name: string) {
    const { cached } = copied(this, name);
    assert.ok(cached > 10 && cached < many, `${cached} were copied`);
    const line = await openSession(this, database, name);
    for (let index = 1; index <= many; index += 1) assert.equal(outcome(await this.pooled.ask(line, `get thing-${index}`)), 'read-only');
    line.close();
  },
);

Then('{word} holds no copy', function then(this: OutageStory, name: string) {
  assert.deepEqual(copied(this, name), { recorded: 0, cached: 0, bytes: 0 });
});

Then('a get of {string} in that session is denied as {string}', async function then(this: OutageStory, thing: string, condition: string) {
  assert.equal(outcome(await this.pooled.ask(this.line, `get ${thing}`)), condition);
});

Then(
  '{word} holds at most {int} bytes in fewer than {int} copies',
  function then(this: OutageStory, name: string, bytes: number, many: number) {
    const holds = copied(this, name);
    assert.ok(holds.bytes > 0 && holds.bytes <= bytes && holds.cached > 0 && holds.cached < many, JSON.stringify(holds));
    assert.ok(holds.recorded < many, 'what is remembered keeps within it too');
  },
);

Then(
  'the last of the {int} gets in {string} through {word} is replied from the copy, and the first is not',
  async function then(this: OutageStory, many: number, database: string, name: string) {
    assert.equal(await once(this, database, name, [`get thing-${many}`]), 'row nothing copied');
    assert.equal(await once(this, database, name, ['get thing-1']), 'read-only');
  },
);

Then('the usage of all tenants comes to {int}', function then(this: OutageStory, sum: number) {
  const counts = this.pooled.platformStore.calls
    .filter((call) => call.duty === 'usage' && call.accepted)
    .flatMap((call) => Object.values(call.body['counts'] as Readonly<Record<string, number>>));
  assert.equal(
    counts.reduce((total, one) => total + one, 0),
    sum,
  );
});

Then('these outages of a sheet are judged', function then(this: OutageStory, table: DataTable) {
  const sheet = pooledFleet.create(11).firstSheet();
  for (const { outages = '', fault: wanted = '' } of table.hashes()) {
    const given = outages
      .replaceAll('} {"', '}\n{"')
      .split('\n')
      .map((text) => ({ site: 'yard', nodes: ['edge-1'], databases: ['bookings-late'], ...(JSON.parse(text) as object) }));
    const checked = placements.validate({ ...sheet, outages: given });
    const faults = Either.isLeft(checked)
      ? (fault.details(checked.left).details as ReadonlyArray<Readonly<{ message: string; remedy: string }>>)
      : [];
    assert.match(faults.map((one) => one.message).join('; ') || 'none', new RegExp(wanted), outages);
    assert.ok(faults.every((one) => one.remedy !== ''));
  }
});
