/** Steps of the stories of contents.feature. */
import assert from 'node:assert/strict';
import { Then, When, type DataTable } from '@cucumber/cucumber';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Clock, type Runtime } from '@stallstall/kernel';
import { ballotZero, differences, type Ballot, type Change } from '@stallstall/message';
import { peer } from '@stallstall/peer';
import { contentFetcher, type ContentLink } from '@stallstall/register';
import { fuzz, world as worlds, type PooledFleet } from '@stallstall/simulator';

type ReportedOutcome = Readonly<{ changes: Change[]; close: () => void }>;
type ContentStory = { pooled: PooledFleet; reported: Map<string, ReportedOutcome> };

function plain(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value) ?? 'null');
}

function sample(size: number): unknown {
  return {
    name: 'sheet',
    rows: Array.from({ length: size }, (_, index) => ({ database: `d${index}`, weights: [index, 2, 3], open: index % 2 === 0 })),
    limits: { rest: 10, most: null },
  };
}

Then(
  'of {int} pairs of values from seed {int} the differences make the second of the first, and the first stays as it was',
  function then(count: number, seed: number) {
    const random = worlds.create(seed).fraction;
    let first = plain(sample(4));
    for (let pair = 0; pair < count; pair += 1) {
      const second = plain(pair % 50 === 0 ? sample(Math.floor(random() * 8)) : fuzz.spoil(first, random));
      const before = JSON.stringify(first);
      const all = plain(differences.between(first, second)) as ReturnType<typeof differences.between>;
      assert.deepEqual(differences.applied(first, all), second);
      assert.equal(JSON.stringify(first), before);
      first = typeof second === 'object' && second !== null ? second : plain(sample(4));
    }
  },
);

Then('differences that do not fit a value make nothing of it', function then() {
  assert.equal(differences.applied({ a: 1 }, [{ path: ['b', 'c'], set: 1 }]), undefined);
  assert.equal(differences.applied({ a: [1] }, [{ path: ['a'], splice: { at: 1, gone: 1, come: [] } }]), undefined);
  assert.equal(differences.applied({ a: 1 }, [{ path: ['a'], splice: { at: 0, gone: 0, come: [1] } }]), undefined);
  assert.equal(differences.applied({}, [{ path: ['__proto__', 'x'], set: 1 }]), undefined);
});

// -- What a core tells.

const coreAddress = '10.1.0.1:7000';

const saying: Readonly<Record<string, (held: Ballot) => object>> = {
  'what it holds': (held) => ({ holds: held }),
  'that it holds none': () => ({ holds: ballotZero }),
  nothing: () => ({}),
  'that it has the content': () => ({ content: false }),
};

function configurations(reported: ReportedOutcome | undefined): readonly Change[] {
  return (reported?.changes ?? []).filter((change) => change.key === 'configuration');
}

async function watches(fleet: PooledFleet, who: string, says: object): Promise<ReportedOutcome> {
  const changes: Change[] = [];
  const link = peer.dial(fleet.world.spawn(who, 'watcher-machine').runtime, identifiers.address(coreAddress), {
    changed: (change: Change) => void changes.push(change),
  });
  assert.ok(await fleet.until(link.connected, 5_000));
  void link.call('watch', { node: who, incarnation: 0, acknowledged: 0, obeyed: 0, ...says }, 1_000);
  await fleet.world.run(200);
  return { changes, close: link.close };
}

When(
  'these watch core-1, and a configuration that changes one database is taken:',
  async function when(this: ContentStory, table: DataTable) {
    const first = await watches(this.pooled, 'first', {});
    const held = configurations(first).at(-1)?.entry.ballot ?? ballotZero;
    first.close();
    this.reported = new Map();
    for (const [who = '', says = ''] of table.rows()) this.reported.set(who, await watches(this.pooled, who, saying[says]?.(held) ?? {}));
    const sheet = this.pooled.firstSheet();
    const changed = {
      ...sheet,
      databases: sheet.databases.map((one, index) => (index === 0 ? { ...one, aimMilliseconds: one.aimMilliseconds + 1 } : one)),
    };
    assert.ok(await this.pooled.drive(this.pooled.configure(4, changed, 0)));
    await this.pooled.world.run(500);
  },
);

function kindOf(change: Change | undefined, base: unknown, whole: unknown): string {
  if (change === undefined) return 'nothing';
  if (change.differs !== undefined) {
    assert.equal(change.entry.value, null);
    assert.deepEqual(differences.applied(base, change.differs.all), whole);
    return 'differences that make the whole';
  }
  return change.entry.value === null ? 'no content' : 'the whole';
}

Then('they are told of that change:', function then(this: ContentStory, table: DataTable) {
  const [base, whole] = configurations(this.reported.get('an edge of before')).map((change) => change.entry.value);
  assert.ok(whole !== undefined);
  for (const [who = '', what = ''] of table.rows()) {
    assert.equal(kindOf(configurations(this.reported.get(who)).at(-1), base, whole), what, who);
    this.reported.get(who)?.close();
  }
});

// -- What becomes of a change at whoever is told.

const waitMilliseconds = 500;

function ballot(counter: number): Ballot {
  return { counter, node: 'core' };
}

function changeOf(counter: number, value: unknown, differs?: Change['differs']): Change {
  const change = { number: counter, key: 'configuration', entry: { ballot: ballot(counter), version: counter, value } };
  return differs === undefined ? change : { ...change, differs };
}

const before = { a: [1, 2, 3], b: 1 };
const after = { a: [1, 2, 3], b: 2 };
const all = [{ path: ['b'], set: 2 }];

/** What is told after the first content: by whom, and which. */
const comings: Readonly<Record<string, ReadonlyArray<readonly [string, Change]>>> = {
  whole: [['core-1', changeOf(2, after)]],
  'with no content, which another core has told': [
    ['core-2', changeOf(2, after)],
    ['core-1', changeOf(2, null)],
  ],
  'with no content, which another core tells later': [
    ['core-1', changeOf(2, null)],
    ['core-2', changeOf(2, after)],
  ],
  'as differences from what came last': [['core-1', changeOf(2, null, { from: ballot(1), all })]],
  'as differences from what was never here': [['core-1', changeOf(2, null, { from: ballot(9), all })]],
  'as differences that do not fit': [['core-1', changeOf(2, null, { from: ballot(1), all: [{ path: ['c', 'd'], set: 1 }] })]],
  'with no content': [['core-1', changeOf(2, null)]],
  'with no content, and an epoch behind it': [
    ['core-1', changeOf(2, null)],
    ['core-1', { number: 3, key: 'epoch/ferries', entry: { ballot: ballot(3), version: 1, value: { epoch: 2 } } }],
  ],
};

/** How a change from core-1 is taken, and when. */
async function takenLike(coming: string): Promise<string> {
  const simulated = worlds.create(5);
  const { clock }: Readonly<{ clock: Clock }> = simulated.spawn('watcher', 'machine').runtime;
  const taken: Array<Readonly<{ core: string; value: unknown; at: number }>> = [];
  let asked = 0;
  const link: ContentLink = {
    call: function call() {
      asked += 1;
      return Promise.resolve(
        Option.some({ ready: true, agreed: true, promised: ballot(2), accepted: { ballot: ballot(2), version: 2, value: after } }),
      );
    },
  };
  const held = contentFetcher.create({ clock } as Runtime, {
    coreSetNumber: () => 0,
    deliver: (core, change) => void taken.push({ core, value: change.entry.value, at: simulated.now() }),
    stopped: () => false,
  });
  held.receive('core-1', Option.some(link), changeOf(1, before));
  const steps = comings[coming] ?? [];
  for (const [core, change] of steps) {
    await simulated.run(100);
    held.receive(core, Option.some(link), change);
  }
  const toldAt = 100 * (1 + steps.findIndex(([core]) => core === 'core-1'));
  await simulated.run(2 * waitMilliseconds);
  const last = taken.filter((one) => one.core === 'core-1').at(-1);
  assert.deepEqual(last?.value, after, coming);
  const late = Math.round(last.at) - toldAt;
  if (late === 0) return 'at once';
  return asked === 0 ? 'as the other tells' : `after ${Math.round(late / 100) * 100} ms, having asked`;
}

Then('a change that comes like this is taken like this:', async function then(table: DataTable) {
  for (const [coming = '', expected = ''] of table.rows()) assert.equal(await takenLike(coming), expected, coming);
});

// -- A stream of changes without contents.

type FetchedStream = { longestMilliseconds: number; asked: number; versions: readonly number[] };

/** What becomes of changes that come so far apart, while their contents can only be fetched. */
async function fetchedStream(milliseconds: number, interval: number): Promise<FetchedStream> {
  const simulated = worlds.create(6);
  const { clock }: Readonly<{ clock: Clock }> = simulated.spawn('watcher', 'machine').runtime;
  let [newest, asked, deliveredAt, longest] = [1, 0, simulated.now(), 0];
  const versions: number[] = [];
  const link: ContentLink = {
    call: function call() {
      asked += 1;
      const entry = { ballot: ballot(newest), version: newest, value: after };
      return Promise.resolve(Option.some({ ready: true, agreed: true, promised: entry.ballot, accepted: entry }));
    },
  };
  const fetcher = contentFetcher.create({ clock } as Runtime, {
    coreSetNumber: () => 0,
    deliver: function deliver(_core, change) {
      versions.push(change.entry.version);
      longest = Math.max(longest, simulated.now() - deliveredAt);
      deliveredAt = simulated.now();
    },
    stopped: () => false,
  });
  for (; newest * interval < milliseconds; newest += 1) {
    fetcher.receive('core-1', Option.some(link), changeOf(newest, null));
    await simulated.run(interval);
  }
  return { longestMilliseconds: Math.max(longest, simulated.now() - deliveredAt), asked, versions };
}

Then(
  'of changes without content, one every {int} ms for {int} s, a newer one is taken every {int} ms, with {int} fetches at the most',
  async function then(interval: number, seconds: number, milliseconds: number, fetches: number) {
    const { longestMilliseconds, asked, versions } = await fetchedStream(seconds * 1_000, interval);
    assert.ok(longestMilliseconds <= milliseconds, `none was taken for ${Math.round(longestMilliseconds)} ms`);
    assert.ok(asked <= fetches, `${asked} fetches`);
    assert.deepEqual(
      versions,
      [...versions].sort((left, right) => left - right),
    );
  },
);

Then('differences that came behind a missing content are applied as soon as it has been fetched', async function then() {
  const simulated = worlds.create(7);
  const { clock }: Readonly<{ clock: Clock }> = simulated.spawn('watcher', 'machine').runtime;
  const taken: unknown[] = [];
  const second = { ballot: ballot(2), version: 2, value: { a: [1, 2, 3], b: 2 } };
  const link: ContentLink = {
    call: () => Promise.resolve(Option.some({ ready: true, agreed: true, promised: ballot(2), accepted: second })),
  };
  const fetcher = contentFetcher.create({ clock } as Runtime, {
    coreSetNumber: () => 0,
    deliver: (_core, change) => void taken.push([change.entry.version, change.entry.value]),
    stopped: () => false,
  });
  for (const counter of [2, 3, 4]) {
    const differs = { from: ballot(counter === 2 ? 9 : counter - 1), all: [{ path: ['b'], set: counter }] };
    fetcher.receive('core-1', Option.some(link), changeOf(counter, null, differs));
  }
  await simulated.run(waitMilliseconds + 50);
  assert.deepEqual(taken.at(-1), [4, { a: [1, 2, 3], b: 4 }]);
});
