/** Steps over the pooled proxy's freshness and connections alone, over a world of their own. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Stream } from '@stallstall/kernel';
import { wire } from '@stallstall/platform';
import { connections, type PooledConnection } from '@stallstall/pooler/connections';
import { freshness } from '@stallstall/pooler/freshness';
import { world as worlds } from '@stallstall/simulator';
import { positions, type MemberAddress, type Position } from '@stallstall/session-protocol';

import type { UnitStory } from './unit-story.js';

// -- Freshness.

Then('in {int} seeded histories no read bound is covered by a position below an earlier acknowledged one', function then(count: number) {
  const random = worlds.create(47).fraction;
  for (let round = 0; round < count; round += 1) {
    const table = freshness.create(() => identifiers.instant(0));
    /** How far the log had been acknowledged by each moment. */
    const log: number[] = [0];
    for (let at = 1; at < 400; at += 1) log.push((log[at - 1] as number) + (random() < 0.3 ? 1 : 0));
    const asked = Array.from({ length: 60 }, () => Math.floor(random() * 380)).map((at) => ({
      at,
      repliedAt: Math.min(399, at + Math.floor(random() * 20)),
    }));
    asked.sort((left, right) => left.repliedAt - right.repliedAt);
    for (const one of asked) {
      table.recordLeaderPosition('ferries', identifiers.instant(one.at), {
        term: 3,
        number: log[Math.min(one.repliedAt, one.at + Math.floor(random() * 5))] as number,
      });
      for (let moment = 0; moment <= one.repliedAt; moment += 7) {
        const covering = table.positionCovering('ferries', identifiers.instant(moment));
        if (Option.isSome(covering)) assert.ok(covering.value.number >= (log[moment] as number), `round ${round}, moment ${moment}`);
      }
    }
    const newest = Math.max(...asked.map((one) => one.at));
    assert.ok(Option.isSome(table.positionCovering('ferries', identifiers.instant(newest))));
  }
});

Then('no position covers a time after the newest request', function then() {
  const table = freshness.create(() => identifiers.instant(0));
  table.recordLeaderPosition('ferries', identifiers.instant(100), { term: 3, number: 9 });
  table.recordLeaderPosition('ferries', identifiers.instant(60), { term: 3, number: 12 });
  assert.deepEqual(table.positionCovering('ferries', identifiers.instant(100)), Option.some({ term: 3, number: 9 }));
  assert.ok(Option.isNone(table.positionCovering('ferries', identifiers.instant(101))));
  assert.ok(Option.isNone(table.positionCovering('trams', identifiers.instant(50))));
  table.recordLeaderPosition('ferries', identifiers.instant(200), { term: 3, number: 4 });
  assert.deepEqual(
    table.positionCovering('ferries', identifiers.instant(150)),
    Option.some({ term: 3, number: 9 }),
    'what was covered once stays covered',
  );
});

Then('of two commits the later is kept', function then() {
  const table = freshness.create(() => identifiers.instant(0));
  const reported: readonly Position[] = [
    { term: 3, number: 9 },
    { term: 2, number: 40 },
    { term: 3, number: 11 },
    { term: 3, number: 10 },
  ];
  for (const position of reported) table.recordCommit('ferries', position);
  assert.deepEqual(table.commitPositions(), { ferries: { term: 3, number: 11 } });
  assert.ok(positions.compare({ term: 2, number: 40 }, { term: 3, number: 1 }) < 0);
});

// -- Connections.

const place: MemberAddress = { service: 'ferries', member: 'member-1', address: '10.3.0.1:5000' };

async function listenAsMember(story: UnitStory): Promise<void> {
  async function task(stream: Stream): Promise<void> {
    const framer = wire.framer(100_000);
    for (;;) {
      const piece = await stream.read();
      if (Option.isNone(piece)) return;
      for (const message of framer.push(piece.value).messages) {
        story.receivedMessages.push(message);
        stream.write(message.startsWith('OPEN') ? story.openReply : 'DONE -\r\nIDLE I 3.1\r\n');
      }
    }
  }
  story.memberListening = await story.member.runtime.network.listenStream(
    identifiers.address(place.address),
    (stream) => void task(stream),
  );
}

Given('connections to a member, with a share of {int}', async function given(this: UnitStory, share: number) {
  this.world = worlds.create(49);
  this.receivedMessages = [];
  this.openReply = 'IDLE I 3.1\r\n';
  this.member = this.world.spawn('member-1', 'member-machine');
  await listenAsMember(this);
  this.runtime = this.world.spawn('proxy', 'edge-machine').runtime;
  this.connections = connections.create(
    this.runtime,
    wire,
    () => ({ maximum: share, retained: share }),
    () => undefined,
  );
});

When('tenant {string} requests {int} connection(s)', async function when(this: UnitStory, tenant: string, count: number) {
  this.requestResults = Array.from({ length: count }, () => this.connections.requestConnection(place, tenant));
  await this.world.run(50);
});

function take(story: UnitStory, tenant: string, session: string): PooledConnection {
  const taken = story.connections.acquire(place, tenant, session);
  assert.ok(Option.isSome(taken), `none can be taken for ${tenant}`);
  return taken.value;
}

Then('{int} are opened, and the third request was refused for lack of room', function then(this: UnitStory, count: number) {
  assert.deepEqual(this.requestResults, [true, true, false]);
  assert.deepEqual(
    this.receivedMessages,
    Array.from({ length: count }, () => 'OPEN ferries a member-1'),
  );
});

Then('{int} can be acquired, and no third', function then(this: UnitStory, count: number) {
  for (let index = 0; index < count; index += 1) take(this, 'a', `s${index}`);
  assert.equal(this.connections.busyCount('member-1'), count);
  assert.ok(Option.isNone(this.connections.acquire(place, 'a', 's9')));
  assert.equal(this.connections.requestConnection(place, 'a'), false);
});

When('it is acquired for session {string}', function when(this: UnitStory, session: string) {
  this.pooledConnection = take(this, 'a', session);
});

When('it is released', function when(this: UnitStory) {
  this.connections.release(this.pooledConnection, true);
});

Then('a request of tenant {string} is refused', function then(this: UnitStory, tenant: string) {
  assert.equal(this.connections.requestConnection(place, tenant), false);
});

Then(
  'the connection of "a" was closed, and {string} can acquire one while {string} cannot',
  function then(this: UnitStory, taker: string, other: string) {
    assert.deepEqual(this.requestResults, [true]);
    assert.deepEqual([...this.receivedMessages].sort(), ['CLOSE', 'OPEN ferries a member-1', 'OPEN ferries b member-1']);
    assert.ok(Option.isNone(this.connections.acquire(place, other, 's1')));
    assert.equal(take(this, taker, 's2').tenant, taker);
  },
);

Then('a session that released a connection acquires the same one again', function then(this: UnitStory) {
  const [first, second, third] = ['s1', 's2', 's3'].map((session) => take(this, 'a', session)) as [
    PooledConnection,
    PooledConnection,
    PooledConnection,
  ];
  second.serverState.values.set('mood', 'calm');
  third.serverState.values.set('mood', 'calm');
  for (const pooled of [second, first, third]) this.connections.release(pooled, true);
  for (const [session, pooled] of [
    ['s1', first],
    ['s2', second],
    ['s3', third],
  ] as const) {
    assert.equal(take(this, 'a', session), pooled);
    this.connections.release(pooled, true);
  }
  this.pooledConnection = first;
});

Then('another session acquires one without session values', function then(this: UnitStory) {
  assert.equal(take(this, 'a', 's9'), this.pooledConnection);
});

Then('a connection that is released as broken is not reused', async function then(this: UnitStory) {
  this.connections.release(this.pooledConnection, false);
  assert.ok(this.pooledConnection.connection.isClosed());
  for (const session of ['s1', 's9']) assert.notEqual(take(this, 'a', session), this.pooledConnection);
  assert.ok(Option.isNone(this.connections.acquire(place, 'a', 's1')));
  await this.world.run(20);
});

When('nothing listens there', async function when(this: UnitStory) {
  await this.memberListening.stop();
});

/** For how long nobody may wait for the member, after the failure of just now. */
async function alone(story: UnitStory): Promise<number> {
  const began = story.world.now();
  const opened = story.connections.describe().opened;
  while (!story.connections.requestConnection(place, 'a') && story.world.now() - began < 5_000) await story.world.run(1);
  assert.equal(story.connections.describe().opened, opened + 1);
  return story.world.now() - began;
}

/** Until the opening under way has failed. */
async function failed(story: UnitStory): Promise<void> {
  while (story.connections.describe().opening > 0) await story.world.run(1);
}

Then(
  'it is failing, reported as not listening, and retried after {int} to {int} ms',
  async function then(this: UnitStory, least: number, most: number) {
    assert.deepEqual([this.connections.isFailing('member-1'), this.connections.notListening()], [true, ['member-1']]);
    // The opening failed within the 50 ms that have passed since it was wanted.
    const spent = await alone(this);
    assert.ok(spent >= least - 50 && spent <= most, `${spent} ms`);
    await failed(this);
  },
);

Then(
  'after {int} failures it is retried after {int} to {int} ms',
  async function then(this: UnitStory, count: number, least: number, most: number) {
    let spent = 0;
    let before = 0;
    for (let failures = 2; failures < count; failures += 1) {
      before = spent;
      spent = await alone(this);
      await failed(this);
      if (failures < 5) assert.ok(spent > before, `${spent} ms after ${failures} failures, ${before} ms before`);
    }
    assert.equal(this.connections.describe().failed, count);
    spent = await alone(this);
    assert.ok(spent >= least - 5 && spent <= most + 5, `${spent} ms`);
    await failed(this);
  },
);

When('it listens again and tenant {string} requests 1 connection', async function when(this: UnitStory, tenant: string) {
  await listenAsMember(this);
  await this.world.run(2_000);
  assert.equal(this.connections.requestConnection(place, tenant), true);
  await this.world.run(50);
});

Then('it is neither failing nor reported as not listening', function then(this: UnitStory) {
  assert.deepEqual([this.connections.isFailing('member-1'), this.connections.notListening()], [false, []]);
  // Its failures are forgotten, also once this connection is lost.
  this.connections.release(take(this, 'a', 's1'), false);
  assert.equal(this.connections.isFailing('member-1'), false);
});

Then('it is failing, and not reported as not listening', function then(this: UnitStory) {
  assert.deepEqual([this.connections.isFailing('member-1'), this.connections.notListening()], [true, []]);
});

When('its machine fails, and tenant {string} requests 1 connection', async function when(this: UnitStory, tenant: string) {
  this.world.makeUnresponsive('member-machine');
  assert.equal(this.connections.requestConnection(place, tenant), true);
  await this.world.run(1_100);
});

When(
  'its machine recovers and it replies {string} to every OPEN, and tenant {string} requests 1 connection',
  async function when(this: UnitStory, opening: string, tenant: string) {
    this.world.restoreMachine('member-machine');
    this.openReply = `${opening}\r\n`;
    await this.world.run(1_000);
    assert.equal(this.connections.requestConnection(place, tenant), true);
    await this.world.run(1_100);
  },
);

When('{float} s pass at the proxy', async function when(this: UnitStory, seconds: number) {
  assert.deepEqual(this.connections.notListening(), ['member-1']);
  await this.world.run(seconds * 1_000);
});

async function rested(
  story: UnitStory,
  milliseconds: number,
  members: ReadonlyMap<string, Readonly<{ address: string }>>,
): Promise<boolean> {
  await story.world.run(milliseconds);
  story.connections.closeStale(members);
  const taken = story.connections.acquire(place, 'a', 's1');
  if (Option.isSome(taken)) story.connections.release(taken.value, true);
  return Option.isSome(taken);
}

const atItsPlace = new Map([[place.member, { address: place.address }]]);

Then('after being idle for 19 s it can still be acquired, and after 21 s not', async function then(this: UnitStory) {
  assert.equal(await rested(this, 19_000, atItsPlace), true);
  assert.equal(await rested(this, 21_000, atItsPlace), false);
  await this.world.run(20);
  assert.ok(this.receivedMessages.includes('CLOSE'));
});

Then('once its member moved or left it cannot be acquired', async function then(this: UnitStory) {
  for (const members of [new Map([[place.member, { address: '10.3.0.2:5000' }]]), new Map<string, Readonly<{ address: string }>>()]) {
    assert.equal(this.connections.requestConnection(place, 'a'), true);
    await this.world.run(50);
    assert.equal(await rested(this, 0, atItsPlace), true);
    assert.equal(await rested(this, 0, members), false);
  }
});
