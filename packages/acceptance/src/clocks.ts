/** Steps of clocks.feature. */
import assert from 'node:assert/strict';
import { Then, When, type DataTable } from '@cucumber/cucumber';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, wallClock } from '@stallstall/kernel';
import { firstKey, initialWallTime, type PooledFleet, type Process } from '@stallstall/simulator';

type ClockStory = {
  pooled: PooledFleet;
  /** When each served get was sent. */
  servedAt: number[];
  startedAt: number;
};

const readIntervalMilliseconds = 200;

/** The offset of the wall clock that a table row describes, at a given second. */
function offsetAt(row: string, second: number): number {
  const [, milliseconds = '0', way, from = '0', to = String(Number.POSITIVE_INFINITY)] =
    /^(\d+) ms (ahead|behind) from second (\d+)(?: to (\d+))?$/.exec(row) ?? [];
  const offset = way === 'behind' ? -Number(milliseconds) : Number(milliseconds);
  return second >= Number(from) && second < Number(to) ? offset : 0;
}

Then('the offset that a process applies is:', function then(table: DataTable) {
  for (const [row = '', second = '', expected = ''] of table.rows()) {
    let now = 0;
    const wall = wallClock.create(
      () => identifiers.instant(now),
      () => identifiers.wallTime(initialWallTime + now + offsetAt(row, now / 1_000)),
    );
    for (; now < Number(second) * 1_000; now += readIntervalMilliseconds) wall();
    assert.equal(wall() - initialWallTime - now, Number(expected), `${row}, at second ${second}`);
  }
});

const stepMilliseconds = 8_000;
const getIntervalMilliseconds = 50;
const windowMilliseconds = 5_000;
const usageTolerance = 0.05;

/** All core, agent and proxy processes except those on one machine. */
function processesNotOn(fleet: PooledFleet, machine: string): readonly Process[] {
  return [...fleet.cores.map((core) => core.process), ...fleet.edges.flatMap((edge) => [edge.agentProcess, edge.proxyProcess])].flatMap(
    (process) => (process === undefined || process.machine === machine ? [] : [process]),
  );
}

/** Sends gets to each edge in turn, records when each served one was sent, and waits until all usage windows are reported. */
async function sendGets(story: ClockStory, seconds: number): Promise<void> {
  const fleet = story.pooled;
  const sessions = await Promise.all(fleet.edges.map((edge) => fleet.session(edge, 'bookings-lead', firstKey)));
  story.servedAt = [];
  story.startedAt = fleet.world.now();
  for (let attempt = 0; fleet.world.now() - story.startedAt < seconds * 1_000; attempt += 1) {
    const session = sessions[attempt % sessions.length];
    assert.ok(session !== undefined && typeof session !== 'string');
    const sentAt = fleet.world.now();
    const reply = await fleet.ask(session, 'get x1');
    if (Option.isSome(reply) && reply.value.completion.kind === 'done') story.servedAt.push(sentAt);
    await fleet.world.run(Math.max(1, sentAt + getIntervalMilliseconds - fleet.world.now()));
  }
  await fleet.world.run(15_000);
}

When(
  /^gets are sent for (\d+) s, and the clocks of all machines but that of (\S+) are (ahead|behind) by 8 s from second (\d+) to second (\d+)$/,
  async function when(this: ClockStory, seconds: string, spared: string, way: string, from: string, to: string) {
    const fleet = this.pooled;
    const machine = fleet.cores.find((core) => core.name === spared)?.machine ?? '';
    const step = way === 'ahead' ? stepMilliseconds : -stepMilliseconds;
    for (const [second, by] of [[Number(from), step] as const, [Number(to), -step] as const])
      fleet.world.schedule(second * 1_000, () =>
        processesNotOn(fleet, machine).forEach((process) => fleet.world.stepWallClock(process, by)),
      );
    await sendGets(this, Number(seconds));
  },
);

When(
  /^gets are sent for (\d+) s, and (\S+) is cut off from the cores from second (\d+) to second (\d+)$/,
  async function when(this: ClockStory, seconds: string, name: string, from: string, to: string) {
    const { world, cores, edges } = this.pooled;
    const machine = edges.find((edge) => edge.name === name)?.machine ?? '';
    const ways = cores.flatMap((core) => [[machine, core.machine] as const, [core.machine, machine] as const]);
    world.schedule(Number(from) * 1_000, () => ways.forEach(([one, other]) => world.cut(one, other)));
    world.schedule(Number(to) * 1_000, () => ways.forEach(([one, other]) => world.heal(one, other)));
    await sendGets(this, Number(seconds));
  },
);

function windowOf(moment: number): number {
  return Math.floor((initialWallTime + moment) / windowMilliseconds);
}

Then('the usage of each window in between was reported within 5 % of the gets served', function then(this: ClockStory) {
  const reported = new Map<number, number>();
  for (const call of this.pooled.platformStore.calls) {
    if (call.duty !== 'usage' || !call.accepted) continue;
    const { window, counts } = call.body as Readonly<{ window: number; counts: Readonly<Record<string, number>> }>;
    reported.set(
      window,
      Object.values(counts).reduce((sum, count) => sum + count, 0),
    );
  }
  const first = windowOf(this.startedAt) + 1;
  const last = windowOf(Math.max(...this.servedAt)) - 1;
  for (let window = first; window <= last; window += 1) {
    const servedCount = this.servedAt.filter((moment) => windowOf(moment) === window).length;
    assert.ok(servedCount > 0);
    const difference = Math.abs((reported.get(window) ?? 0) - servedCount);
    assert.ok(
      difference <= servedCount * usageTolerance,
      `window ${window} of ${first} to ${last}: ${reported.get(window)} reported, ${servedCount} served`,
    );
  }
});
