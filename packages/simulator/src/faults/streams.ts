/** Streams of orders that do not pause while the cores are in trouble. */
import type { Back } from '../loss-budget.js';
import type { PooledCore, PooledFleet, PooledSheet } from '../pooled-model.js';
import { between, pick } from '../draws.js';
import { coreMachines, cutOff, lastSheet, moments, nextVersion, type CoreLoss, type PooledStorm } from './common.js';
import { kill } from './cores.js';
import { distinct, withdrawKey } from './operators.js';

/** Beyond the calm and the settling that the rule on configurations allows after a cut. */
const leastCutMilliseconds = 12_000;
const mostCutMilliseconds = 16_000;
const orderGapMilliseconds = 150;
const keyGapMilliseconds = 4_000;
const tailMilliseconds = 2_000;

/** A database that stays: whoever is behind does not know it. */
function addDatabase(fleet: PooledFleet, cores: readonly PooledCore[]): void {
  const before = lastSheet(fleet);
  const [model] = before.databases;
  if (model === undefined) return;
  const added = { ...model, database: `streamed-${fleet.versions.length}` };
  sendTo(fleet, { ...before, databases: [...before.databases, added] }, cores);
}

function sendTo(fleet: PooledFleet, sheet: PooledSheet, cores: readonly PooledCore[]): void {
  void fleet.configure(nextVersion(fleet), sheet, Math.max(0, fleet.cores.indexOf(pick(fleet, cores))));
}

/** An order every so often at one of these cores, each with a database that no other has; a key is taken away and given back meanwhile. */
function streamOfOrders(fleet: PooledFleet, milliseconds: number, cores: readonly PooledCore[]): void {
  addDatabase(fleet, cores);
  for (let at = orderGapMilliseconds; at < milliseconds; at += orderGapMilliseconds)
    fleet.world.schedule(at, function order() {
      sendTo(fleet, distinct(fleet, `stream-${fleet.versions.length}`), cores);
    });
  for (let at = keyGapMilliseconds / 2; at < milliseconds; at += keyGapMilliseconds) fleet.world.schedule(at, () => withdrawKey(fleet));
}

/** One core is cut off from its peers alone: operators, members and edges reach it, and it has nothing new for them. */
function cutUnderStream(fleet: PooledFleet, storm: PooledStorm, back: Back): void {
  const milliseconds = between(fleet, leastCutMilliseconds, mostCutMilliseconds);
  const slot = pick(fleet, fleet.cores);
  moments(fleet, storm, 'core', milliseconds);
  cutOff(fleet, slot.machine, coreMachines(fleet), milliseconds);
  streamOfOrders(
    fleet,
    milliseconds + tailMilliseconds,
    fleet.cores.filter((one) => one !== slot),
  );
  fleet.world.schedule(milliseconds, back);
}

function killUnderStream(fleet: PooledFleet, storm: PooledStorm, back: Back): void {
  streamOfOrders(fleet, leastCutMilliseconds, fleet.cores);
  kill(fleet, storm, back);
}

export const streamFaults: readonly CoreLoss[] = [
  { name: 'core-cut-under-a-stream-of-orders', losses: [cutUnderStream] },
  { name: 'core-killed-under-a-stream-of-orders', losses: [killUnderStream] },
];
