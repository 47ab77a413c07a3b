/** Steps of soak.feature: schedules, lags and growth, without processes. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { orderLag, resourceGrowth, soakSchedule, type EdgeLag, type SoakAction, type SoakEvent, type UseSample } from '@stallstall/bench';
import type { PooledSheet, PooledVersion } from '@stallstall/simulator';

type SoakStory = { appliedAt: number; lag: EdgeLag; samples: readonly UseSample[]; restAt: number };

const sizes = { milliseconds: 60_000, edges: 6, cores: 3, members: 6, services: 2 };
const kinds: readonly SoakAction['kind'][] = [
  'edge-terminated',
  'edge-killed',
  'edge-frozen',
  'all-edges-killed',
  'hang-up',
  'core-killed',
  'core-frozen',
  'core-terminated',
  'core-replaced',
  'core-disk',
  'all-cores-killed',
  'member-drained',
  'member-killed',
  'primary-killed',
  'order',
  'invalid-order',
  'replies-lost',
];

function schedules(first: number, last: number): ReadonlyArray<readonly SoakEvent[]> {
  return Array.from({ length: last - first + 1 }, (_, index) => soakSchedule.draw(first + index, sizes));
}

Then(
  'seeds {int} to {int} draw the same schedule each time they are drawn, and different ones from each other',
  function then(first: number, last: number) {
    const drawn = schedules(first, last);
    assert.deepEqual(drawn, schedules(first, last));
    assert.equal(new Set(drawn.map((events) => JSON.stringify(events))).size, drawn.length);
  },
);

Then('over these seeds every kind of action is drawn, and orders go on in each of them', function then() {
  const drawn = schedules(1, 40);
  const found = new Set(drawn.flat().map((event) => event.action.kind));
  assert.deepEqual(
    kinds.filter((kind) => !found.has(kind)),
    [],
  );
  for (const events of drawn) {
    const orders = events.filter((event) => event.action.kind === 'order');
    assert.ok(orders.length > 100, `${orders.length} orders`);
    assert.ok((orders.at(-1)?.at ?? 0) > 0.9 * (sizes.milliseconds - 4_000));
  }
});

function isCoreLoss({ action }: SoakEvent): boolean {
  return action.kind.startsWith('core-') || action.kind === 'all-cores-killed';
}

Then(
  'in seeds {int} to {int} each loss of a core begins {int} s after the one before it is back, or later',
  function then(first: number, last: number, seconds: number) {
    for (const events of schedules(first, last)) {
      const losses = events.filter(isCoreLoss);
      for (const [index, loss] of losses.slice(1).entries()) {
        const before = losses[index] as SoakEvent;
        const lasted = 'milliseconds' in before.action ? before.action.milliseconds : 0;
        assert.ok(loss.at >= before.at + lasted + seconds * 1_000, `${soakSchedule.describe(before)}; ${soakSchedule.describe(loss)}`);
      }
    }
  },
);

Given(
  'an order that was acknowledged at {int} s, and is in force at edge-1 at {float} s',
  function given(this: SoakStory, _acknowledged: number, applied: number) {
    this.appliedAt = applied * 1_000;
  },
);

When('its lag is judged with trouble of {word} at {int} s', function when(this: SoakStory, who: string, seconds: number) {
  const version: PooledVersion = { version: 7, sheet: {} as PooledSheet, sentAt: 9_900, acknowledgedAt: 10_000, refused: false };
  const troubles = [{ who, from: seconds * 1_000, to: seconds * 1_000 }];
  this.lag = orderLag.lagOf('edge-1', [{ edge: 'edge-1', order: 7, at: this.appliedAt }], [version], troubles, 60_000);
});

Then('{int} orders are judged, and {int} are late', function then(this: SoakStory, judged: number, late: number) {
  assert.equal(this.lag.judged, judged);
  assert.equal(this.lag.late.length, late);
});

const samplesOfPhase = 20;

Given(
  'a process whose timers go from 10 to {int} while orders are under way, and are {int} at rest',
  function given(this: SoakStory, busy: number, rest: number) {
    const use = { residentBytes: 1, descriptors: 1, heapBytes: 1, sockets: 1 };
    const timers = [10, busy, rest].flatMap((count) => Array.from({ length: samplesOfPhase }, () => count));
    this.samples = timers.map((count, index) => ({ process: 'core-1#1', at: index * 1_000, use: { ...use, timers: count } }));
    this.restAt = 2 * samplesOfPhase * 1_000;
  },
);

Then(/^its timers (stand|grow)$/, function then(this: SoakStory, verdict: string) {
  const growth = resourceGrowth.judge(this.samples, this.restAt).find((one) => one.measure === 'timers');
  assert.equal(growth?.isGrowing, verdict === 'grow');
});
