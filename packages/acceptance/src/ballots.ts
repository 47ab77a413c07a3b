/** Steps of ballots.feature: what cores send one another for a change, and the earlier versions that they store. */
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
  newestVersion: number;
  world: World;
  disk: Disk;
  store: VersionStore;
  /** What the scenario measures: bytes sent per change, or the number of requests for versions. */
  measured: number;
  storedVersion: number;
};

// -- Differences.

type Route = Readonly<{ host: string; service: string; deadline: number; name: string }>;

/** A pseudo-random number generator that yields the same numbers at each run. */
function seededRandom(seed: number): () => number {
  let state = seed;
  return function next() {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return state / 2_147_483_648;
  };
}

function randomRoutes(count: number, random: () => number): readonly Route[] {
  return Array.from({ length: count }, (_, index) => ({
    host: `host-${Math.floor(random() * 1e9).toString(36)}`,
    service: `service-${index % 7}`,
    deadline: 200 + Math.floor(random() * 2_000),
    name: `naïve ${index} "quoted" \\ route`,
  }));
}

/** Changes, adds or removes one to three routes. */
function successor(routes: readonly Route[], random: () => number): readonly Route[] {
  let changed = [...routes];
  for (let changes = 1 + Math.floor(random() * 3); changes > 0; changes -= 1) {
    const position = Math.floor(random() * changed.length);
    const operation = random();
    if (operation < 0.3) changed = [...changed.slice(0, position), ...randomRoutes(1, random), ...changed.slice(position)];
    else if (operation < 0.5) changed = changed.filter((_, index) => index !== position);
    else changed = changed.map((route, index) => (index === position ? { ...route, deadline: route.deadline + 1 } : route));
  }
  return changed;
}

function valueOf(routes: readonly Route[]): unknown {
  return { sheet: { routes }, external: { version: routes.length, source: JSON.stringify({ routes }) }, recent: [] };
}

Then(
  'for each of {int} random values, the difference to its successor yields the successor and does not apply to another value',
  function then(count: number) {
    const random = seededRandom(7);
    let routes = randomRoutes(60, random);
    let otherValue: unknown = valueOf(randomRoutes(60, random));
    for (let index = 0; index < count; index += 1) {
      const base = valueOf(routes);
      routes = successor(routes, random);
      const expected = valueOf(routes);
      const difference = compressedDifference.between(base, expected);
      assert.ok(difference !== undefined);
      assert.deepEqual(compressedDifference.apply(base, difference), Either.right(expected));
      assert.ok(Either.isLeft(compressedDifference.apply(otherValue, difference)));
      otherValue = base;
    }
  },
);

Then(
  'for values of {int} routes that differ in one route, the difference is at most a twentieth of the size of the value',
  function then(count: number) {
    const random = seededRandom(11);
    const routes = randomRoutes(count, random);
    const base = valueOf(routes);
    for (const position of [0, Math.floor(count / 2), count - 1]) {
      const next = valueOf(routes.map((route, index) => (index === position ? { ...route, deadline: 1 } : route)));
      const difference = compressedDifference.between(base, next);
      assert.ok(difference !== undefined && JSON.stringify(difference).length < JSON.stringify(next).length / 20);
    }
  },
);

Then('a difference that is corrupted at any position is rejected without an exception', function then() {
  const random = seededRandom(13);
  const routes = randomRoutes(60, random);
  const base = valueOf(routes);
  const difference = compressedDifference.between(base, valueOf(successor(routes, random))) as ValueDifference;
  const corrupted: ValueDifference[] = difference.pieces.flatMap((piece, index) =>
    Array.from({ length: Math.min(40, piece.length) }, (_, position) => ({
      ...difference,
      pieces: difference.pieces.map((original, other) =>
        other === index
          ? `${original.slice(0, position)}${original[position] === 'A' ? 'B' : 'A'}${original.slice(position + 1)}`
          : original,
      ),
    })),
  );
  corrupted.push({ ...difference, digest: 'x' }, { ...difference, pieces: [] }, { ...difference, pieces: difference.pieces.slice(1) });
  for (const candidate of corrupted) {
    const applied = compressedDifference.apply(base, candidate);
    // A changed padding bit may leave the result unchanged.
    if (Either.isRight(applied)) assert.deepEqual(applied, compressedDifference.apply(base, difference));
  }
});

// -- Changes between cores.

function configurationWithRoutes(fleet: PooledFleet, version: number): PooledSheet {
  const first = fleet.firstSheet();
  const [template] = first.databases;
  assert.ok(template !== undefined);
  const routes = Array.from({ length: 200 }, (_, index) => ({
    ...template,
    database: `route-${index}`,
    horizonMilliseconds: index === version % 200 ? 1_000 + version : 900,
  }));
  return { ...first, databases: [...first.databases, ...routes] };
}

async function sendNextVersion(story: BallotStory, core: number): Promise<void> {
  story.newestVersion += 1;
  assert.ok(
    await story.pooled.drive(story.pooled.configure(story.newestVersion, configurationWithRoutes(story.pooled, story.newestVersion), core)),
  );
}

Given('a pooled fleet whose configuration has 200 routes', async function given(this: BallotStory) {
  this.pooled = pooledFleet.create(19, { edges: 0, weighing: true });
  await this.pooled.startAll();
  this.newestVersion = 0;
  await sendNextVersion(this, 0);
  await this.pooled.world.run(2_000);
});

function sentBytes(fleet: PooledFleet): number {
  return [...fleet.world.sent.values()].reduce((sum, sent) => sum + sent.bytes, 0);
}

When('{int} changes are sent to the cores in turn', async function when(this: BallotStory, count: number) {
  const { pooled } = this;
  // Traffic that is unrelated to changes is measured first, and subtracted for the duration of the changes.
  const idleStart = sentBytes(pooled);
  await pooled.world.run(6_000);
  const before = sentBytes(pooled);
  const startedAt = pooled.world.now();
  for (let index = 0; index < count; index += 1) await sendNextVersion(this, index % 3);
  const idle = ((before - idleStart) * (pooled.world.now() - startedAt)) / 6_000;
  assert.ok(before > idleStart);
  this.measured = (sentBytes(pooled) - before - idle) / count;
});

Then('the cores exchange less than {int} bytes per change', function then(this: BallotStory, limit: number) {
  assert.ok(this.measured < limit, `${Math.round(this.measured)} bytes per change`);
});

async function readVersion(fleet: PooledFleet, core: number, version: number): Promise<unknown> {
  const { runtime } = fleet.world.spawn('reader', 'operator-machine');
  const address = identifiers.address(`10.1.0.${core + 1}:7001`);
  const reply = await fleet.drive(http.exchangeOnce(runtime, address, { method: 'GET', path: `/v1/sheet?version=${version}` }, 2_000));
  assert.ok(Either.isRight(reply) && reply.right.status === 200, `version ${version} at core ${core + 1}`);
  return (reply.right.body as { sheet: PooledSheet }).sheet.databases.filter((database) => database.database.startsWith('route-'));
}

Then('every core returns the newest version, and every version by its number', { timeout: 60_000 }, async function then(this: BallotStory) {
  for (const core of this.pooled.cores.keys()) {
    const read = await this.pooled.drive(this.pooled.readBack(core));
    assert.ok(Option.isSome(read));
    assert.deepEqual(read.value, { version: this.newestVersion, sheet: configurationWithRoutes(this.pooled, this.newestVersion) });
    for (let version = 1; version <= this.newestVersion; version += 1) {
      const routes = (await readVersion(this.pooled, core, version)) as ReadonlyArray<{ horizonMilliseconds: number }>;
      const expected = configurationWithRoutes(this.pooled, version).databases.filter((database) => database.database.startsWith('route-'));
      assert.deepEqual(
        routes.map((route) => route.horizonMilliseconds),
        expected.map((route) => route.horizonMilliseconds),
      );
    }
  }
});

When(
  'core {int} is disconnected while {int} changes are sent to cores {int} and {int}',
  async function when(this: BallotStory, disconnected: number, count: number, first: number, second: number) {
    const { world, cores } = this.pooled;
    const machine = cores[disconnected - 1]?.machine ?? '';
    for (const other of [...this.pooled.machines(), 'operator-machine'].filter((name) => name !== machine)) {
      world.cut(machine, other);
      world.cut(other, machine);
    }
    for (let index = 0; index < count; index += 1) await sendNextVersion(this, (index % 2 === 0 ? first : second) - 1);
  },
);

When('the core is reconnected, one more change is sent and {int} s pass', async function when(this: BallotStory, seconds: number) {
  this.pooled.world.healAll();
  await this.pooled.world.run(2_000);
  await sendNextVersion(this, 0);
  await this.pooled.world.run(seconds * 1_000);
});

Then('core {int} has stored every earlier version on its own disk', function then(this: BallotStory, core: number) {
  const entries = this.pooled.cores[core - 1]?.disk.entries;
  for (let version = 1; version < this.newestVersion; version += 1)
    assert.ok(entries?.has(`register/archive/versions/${version}`), `version ${version}`);
});

// -- The version store on its own.

Given('a version store whose contents do not compress', async function given(this: BallotStory) {
  this.world = worlds.create(23);
  const spawned = this.world.spawn('store', 'store-machine', this.world.disk());
  assert.ok(Option.isSome(spawned.runtime.disk));
  this.disk = spawned.runtime.disk.value;
  this.storedVersion = 0;
  this.store = await startStore(this);
});

async function startStore(story: BallotStory): Promise<VersionStore> {
  const { runtime } = story.world.spawn('store', 'store-machine');
  const store = versionStore.create(runtime, {
    disk: story.disk,
    currentVersion: () => story.storedVersion + 1,
    node: {
      cores: function cores() {
        story.measured += 1;
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

When('{int} versions of 1 MB each have been stored', { timeout: 60_000 }, async function when(this: BallotStory, count: number) {
  for (let version = 1; version <= count; version += 1) {
    const value = { sheet: randomBytes(750_000).toString('base64'), sendId: 'x', sentBy: 'writer', sentAt: version };
    const archived = this.store.archive({ ballot: ballotZero, version, value });
    await this.world.run(100);
    assert.ok(await archived);
    this.storedVersion = version;
  }
});

async function readVersions(story: BallotStory, store: VersionStore): Promise<readonly EarlierVersion[]> {
  const versions: EarlierVersion[] = [];
  for (let version = 1; version <= story.storedVersion; version += 1) {
    const reading = store.readBatch({ versions: [version] });
    await story.world.run(20);
    versions.push(...(await reading).found);
  }
  return versions;
}

Then(
  'the store has at most {int} MB of versions, including the newest, and reports the oldest one',
  { timeout: 60_000 },
  async function then(this: BallotStory, megabytes: number) {
    assert.equal(maxVersionBytes, megabytes * 1024 * 1024);
    const versions = await readVersions(this, this.store);
    assert.ok(versions.reduce((sum, version) => sum + version.content.length, 0) <= maxVersionBytes);
    assert.ok(versions.length >= 10 && versions.at(-1)?.version === this.storedVersion);
    assert.equal(this.store.oldestVersion(this.storedVersion + 1), versions[0]?.version);
  },
);

Then(
  'after a restart it has the same versions and requests none of those it dropped',
  { timeout: 60_000 },
  async function then(this: BallotStory) {
    const before = await readVersions(this, this.store);
    this.store.stop();
    this.measured = 0;
    const restarted = await startStore(this);
    await this.world.run(2_000);
    assert.deepEqual(await readVersions(this, restarted), before);
    assert.equal(restarted.oldestVersion(this.storedVersion + 1), before[0]?.version);
    assert.equal(this.measured, 0);
    restarted.stop();
  },
);
