/** Steps of contents.feature: differences between configurations, and how pushed changes get their content (design 5.6). */
import assert from 'node:assert/strict';
import { Then, When, type DataTable } from '@cucumber/cucumber';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Clock, type Runtime } from '@stallstall/kernel';
import { ballotZero, differences, type Ballot, type Change } from '@stallstall/message';
import { peer } from '@stallstall/peer';
import { contentFetcher, type ContentLink } from '@stallstall/register';
import { fuzz, world as worlds, type PooledFleet } from '@stallstall/simulator';

type WatchingReceiver = Readonly<{ changes: Change[]; close: () => void }>;
type ContentStory = { pooled: PooledFleet; receivers: Map<string, WatchingReceiver> };

/** The value after it has been sent as JSON. */
function asJson(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value) ?? 'null');
}

function sampleValue(size: number): unknown {
  return {
    name: 'sheet',
    rows: Array.from({ length: size }, (_, index) => ({ database: `d${index}`, weights: [index, 2, 3], open: index % 2 === 0 })),
    limits: { rest: 10, most: null },
  };
}

Then(
  'for {int} pairs of values from seed {int}, the differences turn the first into the second and leave the first unchanged',
  function then(count: number, seed: number) {
    const random = worlds.create(seed).fraction;
    let first = asJson(sampleValue(4));
    for (let pair = 0; pair < count; pair += 1) {
      const second = asJson(pair % 50 === 0 ? sampleValue(Math.floor(random() * 8)) : fuzz.corrupt(first, random));
      const before = JSON.stringify(first);
      const all = asJson(differences.compute(first, second)) as ReturnType<typeof differences.compute>;
      assert.deepEqual(differences.apply(first, all), second);
      assert.equal(JSON.stringify(first), before);
      first = typeof second === 'object' && second !== null ? second : asJson(sampleValue(4));
    }
  },
);

Then('differences that do not apply to a value yield no value', function then() {
  assert.equal(differences.apply({ a: 1 }, [{ path: ['b', 'c'], set: 1 }]), undefined);
  assert.equal(differences.apply({ a: [1] }, [{ path: ['a'], splice: { at: 1, gone: 1, come: [] } }]), undefined);
  assert.equal(differences.apply({ a: 1 }, [{ path: ['a'], splice: { at: 0, gone: 0, come: [1] } }]), undefined);
  assert.equal(differences.apply({}, [{ path: ['__proto__', 'x'], set: 1 }]), undefined);
});

// -- What a core sends to its receivers.

const coreAddress = '10.1.0.1:7000';

/** The fields of a watch request, by what the receiver reports in it. */
const reportedFields: Readonly<Record<string, (newest: Ballot) => object>> = {
  'the ballot of its newest content': (newest) => ({ holds: newest }),
  'that it has no content': () => ({ holds: ballotZero }),
  nothing: () => ({}),
  'that it stores the content': () => ({ content: false }),
};

function configurationChanges(receiver: WatchingReceiver | undefined): readonly Change[] {
  return (receiver?.changes ?? []).filter((change) => change.key === 'configuration');
}

async function watchCore(fleet: PooledFleet, name: string, fields: object): Promise<WatchingReceiver> {
  const changes: Change[] = [];
  const link = peer.dial(fleet.world.spawn(name, 'watcher-machine').runtime, identifiers.address(coreAddress), {
    onChange: (change: Change) => void changes.push(change),
  });
  assert.ok(await fleet.until(link.isConnected, 5_000));
  void link.call('watch', { node: name, incarnation: 0, acknowledged: 0, obeyed: 0, ...fields }, 1_000);
  await fleet.world.run(200);
  return { changes, close: link.close };
}

When(
  'these receivers watch core-1, and a configuration that changes one database is accepted:',
  async function when(this: ContentStory, table: DataTable) {
    const first = await watchCore(this.pooled, 'first', {});
    const newest = configurationChanges(first).at(-1)?.entry.ballot ?? ballotZero;
    first.close();
    this.receivers = new Map();
    for (const [receiver = '', reports = ''] of table.rows())
      this.receivers.set(receiver, await watchCore(this.pooled, receiver, reportedFields[reports]?.(newest) ?? {}));
    const sheet = this.pooled.firstSheet();
    const changed = {
      ...sheet,
      databases: sheet.databases.map((entry, index) => (index === 0 ? { ...entry, aimMilliseconds: entry.aimMilliseconds + 1 } : entry)),
    };
    assert.ok(await this.pooled.drive(this.pooled.configure(4, changed, 0)));
    await this.pooled.world.run(500);
  },
);

function formOf(change: Change | undefined, base: unknown, complete: unknown): string {
  if (change === undefined) return 'nothing';
  if (change.differs !== undefined) {
    assert.equal(change.entry.value, null);
    assert.deepEqual(differences.apply(base, change.differs.all), complete);
    return 'differences that yield the complete content';
  }
  return change.entry.value === null ? 'no content' : 'the complete content';
}

Then('each of them receives the change in this form:', function then(this: ContentStory, table: DataTable) {
  const [base, complete] = configurationChanges(this.receivers.get('an edge of an older protocol')).map((change) => change.entry.value);
  assert.ok(complete !== undefined);
  for (const [receiver = '', form = ''] of table.rows()) {
    assert.equal(formOf(configurationChanges(this.receivers.get(receiver)).at(-1), base, complete), form, receiver);
    this.receivers.get(receiver)?.close();
  }
});

// -- How a receiver delivers a change.

const fetchDelayMilliseconds = 500;

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

/** The changes that are pushed after the first content, each with the core that pushes it, by the form of the change under test. */
const pushesByForm: Readonly<Record<string, ReadonlyArray<readonly [string, Change]>>> = {
  complete: [['core-1', changeOf(2, after)]],
  'without content, after another core pushed it': [
    ['core-2', changeOf(2, after)],
    ['core-1', changeOf(2, null)],
  ],
  'without content, before another core pushes it': [
    ['core-1', changeOf(2, null)],
    ['core-2', changeOf(2, after)],
  ],
  'as differences from the latest content': [['core-1', changeOf(2, null, { from: ballot(1), all })]],
  'as differences from a content that was never here': [['core-1', changeOf(2, null, { from: ballot(9), all })]],
  'as differences that do not apply': [['core-1', changeOf(2, null, { from: ballot(1), all: [{ path: ['c', 'd'], set: 1 }] })]],
  'without content': [['core-1', changeOf(2, null)]],
  'without content, followed by an epoch': [
    ['core-1', changeOf(2, null)],
    ['core-1', { number: 3, key: 'epoch/ferries', entry: { ballot: ballot(3), version: 1, value: { epoch: 2 } } }],
  ],
};

/** When the last change from core-1 is delivered, and whether its content was fetched. */
async function deliveryOf(form: string): Promise<string> {
  const simulated = worlds.create(5);
  const { clock }: Readonly<{ clock: Clock }> = simulated.spawn('watcher', 'machine').runtime;
  const delivered: Array<Readonly<{ core: string; value: unknown; at: number }>> = [];
  let fetches = 0;
  const link: ContentLink = {
    call: function call() {
      fetches += 1;
      return Promise.resolve(
        Option.some({ ready: true, agreed: true, promised: ballot(2), accepted: { ballot: ballot(2), version: 2, value: after } }),
      );
    },
  };
  const fetcher = contentFetcher.create({ clock } as Runtime, {
    coreSetNumber: () => 0,
    deliver: (core, change) => void delivered.push({ core, value: change.entry.value, at: simulated.now() }),
    stopped: () => false,
  });
  fetcher.receive('core-1', Option.some(link), changeOf(1, before));
  const pushes = pushesByForm[form] ?? [];
  for (const [core, change] of pushes) {
    await simulated.run(100);
    fetcher.receive(core, Option.some(link), change);
  }
  const pushedAt = 100 * (1 + pushes.findIndex(([core]) => core === 'core-1'));
  await simulated.run(2 * fetchDelayMilliseconds);
  const last = delivered.filter((delivery) => delivery.core === 'core-1').at(-1);
  assert.deepEqual(last?.value, after, form);
  const delay = Math.round(last.at) - pushedAt;
  if (delay === 0) return 'at once';
  return fetches === 0 ? 'when the other core pushes it' : `after ${Math.round(delay / 100) * 100} ms, by a fetch`;
}

Then('a change that is pushed in this form is delivered at this time:', async function then(table: DataTable) {
  for (const [form = '', expected = ''] of table.rows()) assert.equal(await deliveryOf(form), expected, form);
});

// -- A stream of changes without contents.

type FetchedStream = { longestMilliseconds: number; fetches: number; versions: readonly number[] };

/** Pushes changes at this interval without their contents, so that contents have to be fetched, and records what is delivered. */
async function runFetchedStream(milliseconds: number, interval: number): Promise<FetchedStream> {
  const simulated = worlds.create(6);
  const { clock }: Readonly<{ clock: Clock }> = simulated.spawn('watcher', 'machine').runtime;
  let [newest, fetches, deliveredAt, longest] = [1, 0, simulated.now(), 0];
  const versions: number[] = [];
  const link: ContentLink = {
    call: function call() {
      fetches += 1;
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
  return { longestMilliseconds: Math.max(longest, simulated.now() - deliveredAt), fetches, versions };
}

Then(
  'of changes without content, one every {int} ms for {int} s, a newer one is delivered every {int} ms, with at most {int} fetches',
  async function then(interval: number, seconds: number, milliseconds: number, maxFetches: number) {
    const { longestMilliseconds, fetches, versions } = await runFetchedStream(seconds * 1_000, interval);
    assert.ok(longestMilliseconds <= milliseconds, `no change was delivered for ${Math.round(longestMilliseconds)} ms`);
    assert.ok(fetches <= maxFetches, `${fetches} fetches`);
    assert.deepEqual(
      versions,
      [...versions].sort((left, right) => left - right),
    );
  },
);

Then('differences that follow a missing content are applied as soon as it has been fetched', async function then() {
  const simulated = worlds.create(7);
  const { clock }: Readonly<{ clock: Clock }> = simulated.spawn('watcher', 'machine').runtime;
  const delivered: unknown[] = [];
  const second = { ballot: ballot(2), version: 2, value: { a: [1, 2, 3], b: 2 } };
  const link: ContentLink = {
    call: () => Promise.resolve(Option.some({ ready: true, agreed: true, promised: ballot(2), accepted: second })),
  };
  const fetcher = contentFetcher.create({ clock } as Runtime, {
    coreSetNumber: () => 0,
    deliver: (_core, change) => void delivered.push([change.entry.version, change.entry.value]),
    stopped: () => false,
  });
  for (const counter of [2, 3, 4]) {
    const differs = { from: ballot(counter === 2 ? 9 : counter - 1), all: [{ path: ['b'], set: counter }] };
    fetcher.receive('core-1', Option.some(link), changeOf(counter, null, differs));
  }
  await simulated.run(fetchDelayMilliseconds + 50);
  assert.deepEqual(delivered.at(-1), [4, { a: [1, 2, 3], b: 4 }]);
});
