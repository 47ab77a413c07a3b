/** Steps of the stories of ballots.feature: what cores send one another, and the earlier versions that they keep. */
import assert from 'node:assert/strict';
import { randomBytes } from 'node:crypto';
import { Given, Then, When } from '@cucumber/cucumber';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { maxVersionBytes, versionStore, type VersionStore } from '@stallstall/core';
import { http, identifiers, type Disk } from '@stallstall/kernel';
import { ballotZero, type ValueDifference, type EarlierVersion } from '@stallstall/message';
import { compressedDifference } from '@stallstall/register';
import { pooledFleet, world as worlds, type PooledFleet, type PooledSheet, type World } from '@stallstall/simulator';

type BallotStory = {
  pooled: PooledFleet;
  newest: number;
  world: World;
  disk: Disk;
  store: VersionStore;
  asked: number;
  kept: number;
};

// -- Differences.

type Route = Readonly<{ host: string; service: string; deadline: number; name: string }>;

/** Numbers that look drawn, and are the same at each run. */
function drawn(seed: number): () => number {
  let state = seed;
  return function next() {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return state / 2_147_483_648;
  };
}

function routesOf(count: number, next: () => number): readonly Route[] {
  return Array.from({ length: count }, (_, index) => ({
    host: `host-${Math.floor(next() * 1e9).toString(36)}`,
    service: `service-${index % 7}`,
    deadline: 200 + Math.floor(next() * 2_000),
    name: `naïve ${index} "quoted" \\ route`,
  }));
}

/** One to three routes are changed, added or taken out. */
function successor(routes: readonly Route[], next: () => number): readonly Route[] {
  let changed = [...routes];
  for (let changes = 1 + Math.floor(next() * 3); changes > 0; changes -= 1) {
    const at = Math.floor(next() * changed.length);
    const kind = next();
    if (kind < 0.3) changed = [...changed.slice(0, at), ...routesOf(1, next), ...changed.slice(at)];
    else if (kind < 0.5) changed = changed.filter((_, index) => index !== at);
    else changed = changed.map((route, index) => (index === at ? { ...route, deadline: route.deadline + 1 } : route));
  }
  return changed;
}

function valueOf(routes: readonly Route[]): unknown {
  return { sheet: { routes }, external: { version: routes.length, source: JSON.stringify({ routes }) }, recent: [] };
}

Then(
  'from each of {int} drawn values to its successor a difference leads, and joined to any other value it is refused',
  function then(count: number) {
    const next = drawn(7);
    let routes = routesOf(60, next);
    let before: unknown = valueOf(routesOf(60, next));
    for (let index = 0; index < count; index += 1) {
      const base = valueOf(routes);
      routes = successor(routes, next);
      const wanted = valueOf(routes);
      const differs = compressedDifference.between(base, wanted);
      assert.ok(differs !== undefined);
      assert.deepEqual(compressedDifference.apply(base, differs), Either.right(wanted));
      assert.ok(Either.isLeft(compressedDifference.apply(before, differs)));
      before = base;
    }
  },
);

Then(
  'between values of {int} routes that differ in one the difference is a twentieth of the whole at the most',
  function then(count: number) {
    const next = drawn(11);
    const routes = routesOf(count, next);
    const base = valueOf(routes);
    for (const at of [0, Math.floor(count / 2), count - 1]) {
      const wanted = valueOf(routes.map((route, index) => (index === at ? { ...route, deadline: 1 } : route)));
      const differs = compressedDifference.between(base, wanted);
      assert.ok(differs !== undefined && JSON.stringify(differs).length < JSON.stringify(wanted).length / 20);
    }
  },
);

Then('a spoilt difference is refused at every spoilt place, and nothing throws', function then() {
  const next = drawn(13);
  const routes = routesOf(60, next);
  const base = valueOf(routes);
  const differs = compressedDifference.between(base, valueOf(successor(routes, next))) as ValueDifference;
  const spoilt: ValueDifference[] = differs.pieces.flatMap((piece, index) =>
    Array.from({ length: Math.min(40, piece.length) }, (_, at) => ({
      ...differs,
      pieces: differs.pieces.map((one, other) =>
        other === index ? `${one.slice(0, at)}${one[at] === 'A' ? 'B' : 'A'}${one.slice(at + 1)}` : one,
      ),
    })),
  );
  spoilt.push({ ...differs, digest: 'x' }, { ...differs, pieces: [] }, { ...differs, pieces: differs.pieces.slice(1) });
  for (const one of spoilt) {
    const joined = compressedDifference.apply(base, one);
    // A spoilt bit of the padding may change nothing.
    if (Either.isRight(joined)) assert.deepEqual(joined, compressedDifference.apply(base, differs));
  }
});

// -- Changes between cores.

function largeSheet(fleet: PooledFleet, mark: number): PooledSheet {
  const first = fleet.firstSheet();
  const [model] = first.databases;
  assert.ok(model !== undefined);
  const routes = Array.from({ length: 200 }, (_, index) => ({
    ...model,
    database: `route-${index}`,
    horizonMilliseconds: index === mark % 200 ? 1_000 + mark : 900,
  }));
  return { ...first, databases: [...first.databases, ...routes] };
}

async function sendNext(story: BallotStory, core: number): Promise<void> {
  story.newest += 1;
  assert.ok(await story.pooled.drive(story.pooled.configure(story.newest, largeSheet(story.pooled, story.newest), core)));
}

Given('a pooled fleet whose configuration has 200 routes', async function given(this: BallotStory) {
  this.pooled = pooledFleet.create(19, { edges: 0, weighing: true });
  await this.pooled.startAll();
  this.newest = 0;
  await sendNext(this, 0);
  await this.pooled.world.run(2_000);
});

function bytesOf(fleet: PooledFleet): number {
  return [...fleet.world.sent.values()].reduce((sum, one) => sum + one.bytes, 0);
}

When('{int} changes are sent, to each core in turn', async function when(this: BallotStory, count: number) {
  const { pooled } = this;
  // What is sent without any change, over as long a time, is taken off.
  const idleFrom = bytesOf(pooled);
  await pooled.world.run(6_000);
  const before = bytesOf(pooled);
  const from = pooled.world.now();
  for (let index = 0; index < count; index += 1) await sendNext(this, index % 3);
  const idle = ((before - idleFrom) * (pooled.world.now() - from)) / 6_000;
  assert.ok(before > idleFrom);
  this.asked = (bytesOf(pooled) - before - idle) / count;
});

Then('what cores sent one another for each change is below {int} bytes', function then(this: BallotStory, most: number) {
  assert.ok(this.asked < most, `${Math.round(this.asked)} bytes for each change`);
});

async function readVersion(fleet: PooledFleet, core: number, version: number): Promise<unknown> {
  const { runtime } = fleet.world.spawn('reader', 'operator-machine');
  const address = identifiers.address(`10.1.0.${core + 1}:7001`);
  const reply = await fleet.drive(http.once(runtime, address, { method: 'GET', path: `/v1/sheet?version=${version}` }, 2_000));
  assert.ok(Either.isRight(reply) && reply.right.status === 200, `version ${version} at core ${core + 1}`);
  return (reply.right.body as { sheet: PooledSheet }).sheet.databases.filter((one) => one.database.startsWith('route-'));
}

Then('every core reads the newest back, and every version by its number', { timeout: 60_000 }, async function then(this: BallotStory) {
  for (const core of this.pooled.cores.keys()) {
    const read = await this.pooled.drive(this.pooled.readBack(core));
    assert.ok(Option.isSome(read));
    assert.deepEqual(read.value, { version: this.newest, sheet: largeSheet(this.pooled, this.newest) });
    for (let version = 1; version <= this.newest; version += 1) {
      const routes = (await readVersion(this.pooled, core, version)) as ReadonlyArray<{ horizonMilliseconds: number }>;
      const wanted = largeSheet(this.pooled, version).databases.filter((one) => one.database.startsWith('route-'));
      assert.deepEqual(
        routes.map((one) => one.horizonMilliseconds),
        wanted.map((one) => one.horizonMilliseconds),
      );
    }
  }
});

When(
  'core {int} is cut off while {int} changes are sent to cores {int} and {int}',
  async function when(this: BallotStory, cut: number, count: number, first: number, second: number) {
    const { world, cores } = this.pooled;
    const machine = cores[cut - 1]?.machine ?? '';
    for (const other of [...this.pooled.machines(), 'operator-machine'].filter((one) => one !== machine)) {
      world.cut(machine, other);
      world.cut(other, machine);
    }
    for (let index = 0; index < count; index += 1) await sendNext(this, (index % 2 === 0 ? first : second) - 1);
  },
);

When('{int} s pass after it is joined again and one more change is sent', async function when(this: BallotStory, seconds: number) {
  this.pooled.world.healAll();
  await this.pooled.world.run(2_000);
  await sendNext(this, 0);
  await this.pooled.world.run(seconds * 1_000);
});

Then('core {int} keeps every version on its own disk', function then(this: BallotStory, core: number) {
  const entries = this.pooled.cores[core - 1]?.disk.entries;
  for (let version = 1; version < this.newest; version += 1)
    assert.ok(entries?.has(`register/archive/versions/${version}`), `version ${version}`);
});

// -- The store of versions by itself.

Given('a store of versions whose contents do not compress', async function given(this: BallotStory) {
  this.world = worlds.create(23);
  const spawned = this.world.spawn('keeper', 'keeper-machine', this.world.disk());
  assert.ok(Option.isSome(spawned.runtime.disk));
  this.disk = spawned.runtime.disk.value;
  this.kept = 0;
  this.store = await startStore(this);
});

async function startStore(story: BallotStory): Promise<VersionStore> {
  const { runtime } = story.world.spawn('keeper', 'keeper-machine');
  const store = versionStore.create(runtime, {
    disk: story.disk,
    currentVersion: () => story.kept + 1,
    node: {
      cores: function cores() {
        story.asked += 1;
        return [];
      },
      peerOf: () => Option.none,
    },
  });
  const started = store.start();
  await story.world.run(1_000);
  await started;
  return store;
}

When('{int} versions of 1 MB each have been kept', { timeout: 60_000 }, async function when(this: BallotStory, count: number) {
  for (let version = 1; version <= count; version += 1) {
    const value = { sheet: randomBytes(750_000).toString('base64'), sendId: 'x', sentBy: 'writer', sentAt: version };
    const keeping = this.store.archive({ ballot: ballotZero, version, value });
    await this.world.run(100);
    assert.ok(await keeping);
    this.kept = version;
  }
});

async function versionsOf(story: BallotStory, store: VersionStore): Promise<readonly EarlierVersion[]> {
  const found: EarlierVersion[] = [];
  for (let version = 1; version <= story.kept; version += 1) {
    const asked = store.readBatch({ versions: [version] });
    await story.world.run(20);
    found.push(...(await asked).found);
  }
  return found;
}

Then(
  'the store holds {int} MB at the most, the newest among them, and says from which on',
  { timeout: 60_000 },
  async function then(this: BallotStory, megabytes: number) {
    assert.equal(maxVersionBytes, megabytes * 1024 * 1024);
    const found = await versionsOf(this, this.store);
    assert.ok(found.reduce((sum, one) => sum + one.content.length, 0) <= maxVersionBytes);
    assert.ok(found.length >= 10 && found.at(-1)?.version === this.kept);
    assert.equal(this.store.oldestVersion(this.kept + 1), found[0]?.version);
  },
);

Then(
  'after a restart it holds the same, and asks for nothing that it had forgotten',
  { timeout: 60_000 },
  async function then(this: BallotStory) {
    const before = await versionsOf(this, this.store);
    this.store.stop();
    this.asked = 0;
    const again = await startStore(this);
    await this.world.run(2_000);
    assert.deepEqual(await versionsOf(this, again), before);
    assert.equal(again.oldestVersion(this.kept + 1), before[0]?.version);
    assert.equal(this.asked, 0);
    again.stop();
  },
);
