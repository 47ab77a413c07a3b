/** The last fault of a day of the pooled mode, right after an order was acknowledged; all is back when it ends (design 10.4.1). */
import type { Violation } from './fleet-checks/check-records.js';
import { lastSheet, nextVersion, type PooledStorm } from './faults/common.js';
import { cutPower } from './faults/cores.js';
import { settleMilliseconds } from './loss-budget.js';
import { pooledOrders } from './pooled-orders.js';
import type { PooledCore, PooledFleet } from './pooled-model.js';
import { between, pick } from './draws.js';

/** What strikes once the order is acknowledged; the machines that it takes away. */
type Closing = Readonly<{
  name: string;
  strike: (fleet: PooledFleet, acknowledger: PooledCore) => readonly PooledCore[];
  withEdges: boolean;
}>;

const acknowledgedWithinMilliseconds = 4;
const leastDownMilliseconds = 500;
const mostDownMilliseconds = 3_000;
/** An order is confirmed within this time where all is calm. */
const orderMilliseconds = 5_000;
/** Whoever was lost last has been back for long enough by then. */
const idleDeadlineMilliseconds = 30_000;

function wipe(fleet: PooledFleet, slot: PooledCore): void {
  cutPower(fleet, slot);
  slot.disk = fleet.world.disk();
}

export const closings: readonly Closing[] = [
  {
    name: 'closing-all-power-lost',
    strike: function strike(fleet) {
      for (const slot of fleet.cores) cutPower(fleet, slot);
      return fleet.cores;
    },
    withEdges: true,
  },
  {
    name: 'closing-disk-lost',
    strike: function strike(fleet, acknowledger) {
      wipe(fleet, acknowledger);
      return [acknowledger];
    },
    withEdges: false,
  },
  {
    name: 'closing-all-killed',
    strike: function strike(fleet) {
      for (const slot of fleet.cores) fleet.stopCore(slot);
      return fleet.cores;
    },
    withEdges: true,
  },
  {
    name: 'closing-disk-lost-others-power-lost',
    strike: function strike(fleet, acknowledger) {
      for (const slot of fleet.cores) cutPower(fleet, slot);
      wipe(fleet, acknowledger);
      return fleet.cores;
    },
    withEdges: false,
  },
];

function stopEdges(fleet: PooledFleet, closing: Closing): void {
  if (!closing.withEdges) return;
  for (const slot of fleet.edges) {
    if (closing.name === 'closing-all-power-lost') fleet.world.makeUnresponsive(slot.machine);
    fleet.killEdge(slot);
  }
}

async function startEdges(fleet: PooledFleet, storm: PooledStorm): Promise<void> {
  for (const slot of fleet.edges.filter((one) => one.agent === undefined)) {
    fleet.world.restoreMachine(slot.machine);
    storm.lives.push({ edge: slot.name, life: slot.life + 1, from: fleet.world.now() });
    await fleet.startEdge(slot);
  }
}

/** Strikes in turn from seed to seed; what was wrong before it. */
async function run(fleet: PooledFleet, storm: PooledStorm, seed: number): Promise<readonly Violation[]> {
  const closing = closings[seed % closings.length] as Closing;
  await fleet.until(storm.losses.idle, idleDeadlineMilliseconds);
  await fleet.world.run(settleMilliseconds);
  // Chosen only now: a core may be replaced for good while the losses of the day are waited for.
  const acknowledger = pick(fleet, fleet.cores);
  // The order to come overtakes those of the day: they are read back before it.
  const violations = [...(await pooledOrders.readBack(fleet))];
  const from = fleet.world.now();
  let taken = false;
  void fleet.configure(nextVersion(fleet), lastSheet(fleet), fleet.cores.indexOf(acknowledger)).then((confirmed) => {
    taken = confirmed;
  });
  for (let spent = 0; !taken && spent < orderMilliseconds; spent += 1) await fleet.world.run(1);
  await fleet.world.run(between(fleet, 0, acknowledgedWithinMilliseconds));
  storm.reported.push(`${Math.round(fleet.world.now())} ${closing.name}`);
  storm.struck.set(closing.name, 1);
  const struck = closing.strike(fleet, acknowledger);
  stopEdges(fleet, closing);
  await fleet.world.run(between(fleet, leastDownMilliseconds, mostDownMilliseconds));
  for (const slot of struck) {
    fleet.world.restoreMachine(slot.machine);
    if (slot.process?.alive() !== true) await fleet.startCore(slot);
  }
  await startEdges(fleet, storm);
  storm.troubles.push({ who: 'all', from, to: fleet.world.now() });
  if (!taken) violations.push({ check: 'order-lost', detail: 'the order before the closing fault was not confirmed in time' });
  return violations;
}

export const pooledClosing = { run } as const;
