/** Steps of the stories of clocks.feature. */
import assert from 'node:assert/strict';
import { Then, When, type DataTable } from '@cucumber/cucumber';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, wallClock } from '@stallstall/kernel';
import { firstKey, initialWallTime, type PooledFleet, type Process } from '@stallstall/simulator';

type ClockStory = {
  pooled: PooledFleet;
  /** The moments at which a get was served. */
  served: number[];
  from: number;
};

const lookMilliseconds = 200;

/** How far the told time is off, at a moment of a row's story. */
function offAt(row: string, second: number): number {
  const [, milliseconds = '0', way, from = '0', to = String(Number.POSITIVE_INFINITY)] =
    /^it is (\d+) ms (ahead|behind) from second (\d+)(?: to (\d+))?$/.exec(row) ?? [];
  const off = way === 'behind' ? -Number(milliseconds) : Number(milliseconds);
  return second >= Number(from) && second < Number(to) ? off : 0;
}

Then('a process goes by the time of day like this:', function then(table: DataTable) {
  for (const [row = '', second = '', expected = ''] of table.rows()) {
    let now = 0;
    const wall = wallClock.create(
      () => identifiers.instant(now),
      () => identifiers.wallTime(initialWallTime + now + offAt(row, now / 1_000)),
    );
    for (; now < Number(second) * 1_000; now += lookMilliseconds) wall();
    assert.equal(wall() - initialWallTime - now, Number(expected), `${row}, at second ${second}`);
  }
});

const stepMilliseconds = 8_000;
const getEveryMilliseconds = 50;
const windowMilliseconds = 5_000;
const usageShare = 0.05;

/** Every process that counts or fixes windows but those of one machine. */
function othersThan(fleet: PooledFleet, machine: string): readonly Process[] {
  return [...fleet.cores.map((core) => core.process), ...fleet.edges.flatMap((edge) => [edge.agentProcess, edge.proxyProcess])].flatMap(
    (process) => (process === undefined || process.machine === machine ? [] : [process]),
  );
}

/** Asks for something at each edge in turn, notes when it was served, and waits until all windows are told. */
async function askGets(story: ClockStory, seconds: number): Promise<void> {
  const fleet = story.pooled;
  const lines = await Promise.all(fleet.edges.map((edge) => fleet.session(edge, 'bookings-lead', firstKey)));
  story.served = [];
  story.from = fleet.world.now();
  for (let attempt = 0; fleet.world.now() - story.from < seconds * 1_000; attempt += 1) {
    const line = lines[attempt % lines.length];
    assert.ok(line !== undefined && typeof line !== 'string');
    const askedAt = fleet.world.now();
    const reply = await fleet.ask(line, 'get x1');
    if (Option.isSome(reply) && reply.value.completion.kind === 'done') story.served.push(askedAt);
    await fleet.world.run(Math.max(1, askedAt + getEveryMilliseconds - fleet.world.now()));
  }
  await fleet.world.run(15_000);
}

When(
  /^gets are asked for (\d+) s, and the clocks of all machines but that of (\S+) are (ahead|behind) by 8 s from second (\d+) to second (\d+)$/,
  async function when(this: ClockStory, seconds: string, spared: string, way: string, from: string, to: string) {
    const fleet = this.pooled;
    const machine = fleet.cores.find((core) => core.name === spared)?.machine ?? '';
    const step = way === 'ahead' ? stepMilliseconds : -stepMilliseconds;
    for (const [second, by] of [[Number(from), step] as const, [Number(to), -step] as const])
      fleet.world.schedule(second * 1_000, () => othersThan(fleet, machine).forEach((process) => fleet.world.stepWallClock(process, by)));
    await askGets(this, Number(seconds));
  },
);

When(
  /^gets are asked for (\d+) s, and (\S+) is cut off from the cores from second (\d+) to second (\d+)$/,
  async function when(this: ClockStory, seconds: string, name: string, from: string, to: string) {
    const { world, cores, edges } = this.pooled;
    const machine = edges.find((edge) => edge.name === name)?.machine ?? '';
    const ways = cores.flatMap((core) => [[machine, core.machine] as const, [core.machine, machine] as const]);
    world.schedule(Number(from) * 1_000, () => ways.forEach(([one, other]) => world.cut(one, other)));
    world.schedule(Number(to) * 1_000, () => ways.forEach(([one, other]) => world.heal(one, other)));
    await askGets(this, Number(seconds));
  },
);

function windowOf(moment: number): number {
  return Math.floor((initialWallTime + moment) / windowMilliseconds);
}

Then('each window in between was told as it was served', function then(this: ClockStory) {
  const reported = new Map<number, number>();
  for (const call of this.pooled.platformStore.calls) {
    if (call.duty !== 'usage' || !call.accepted) continue;
    const { window, counts } = call.body as Readonly<{ window: number; counts: Readonly<Record<string, number>> }>;
    reported.set(
      window,
      Object.values(counts).reduce((sum, count) => sum + count, 0),
    );
  }
  const first = windowOf(this.from) + 1;
  const last = windowOf(Math.max(...this.served)) - 1;
  for (let window = first; window <= last; window += 1) {
    const truth = this.served.filter((moment) => windowOf(moment) === window).length;
    assert.ok(truth > 0);
    const off = Math.abs((reported.get(window) ?? 0) - truth);
    assert.ok(off <= truth * usageShare, `window ${window} of ${first} to ${last}: ${reported.get(window)} told, ${truth} served`);
  }
});
