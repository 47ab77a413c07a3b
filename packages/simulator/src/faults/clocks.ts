/** Clocks of the time of day that are set ahead or back, on a share of the machines, and right again later. */
import type { PooledFleet } from '../pooled-model.js';
import type { Process } from '../world.js';
import { processesOf, runningCores, runningEdges, trouble, type PooledEvent, type PooledStorm } from './common.js';
import { between } from '../draws.js';

const steppedShare = 0.3;
const mostOfMachines = 0.9;
const leastStep = 1_000;
const mostStep = 8_000;

function machinesOf(fleet: PooledFleet): ReadonlyArray<readonly Process[]> {
  const cores = runningCores(fleet).map((slot) => (slot.process === undefined ? [] : [slot.process]));
  return [...cores, ...runningEdges(fleet).map(processesOf)];
}

function stepClocks(fleet: PooledFleet, storm: PooledStorm, share: number, sign: 1 | -1): false | void {
  const stepped = machinesOf(fleet).filter(() => fleet.world.fraction() < share);
  if (stepped.length === 0) return false;
  const step = sign * between(fleet, leastStep, mostStep);
  const milliseconds = between(fleet, 2_000, 7_000);
  // Windows of usage are told apart by the time of day: they are not judged while it is wrong.
  trouble(fleet, storm, 'platform', milliseconds);
  for (const process of stepped.flat()) fleet.world.stepWallClock(process, step);
  fleet.world.schedule(milliseconds, function right() {
    for (const process of stepped.flat()) fleet.world.stepWallClock(process, -step);
  });
}

export const clockFaults: readonly PooledEvent[] = [
  { name: 'clocks-stepped-ahead', run: (fleet, storm) => stepClocks(fleet, storm, steppedShare, 1) },
  { name: 'clocks-stepped-back', run: (fleet, storm) => stepClocks(fleet, storm, steppedShare, -1) },
  { name: 'most-clocks-stepped', run: (fleet, storm) => stepClocks(fleet, storm, mostOfMachines, fleet.world.fraction() < 0.5 ? 1 : -1) },
];
