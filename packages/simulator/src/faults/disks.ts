/** Disks of cores that are slow, full, failing, hanging or lost. */
import type { PooledFleet } from '../pooled-model.js';
import type { DiskFaults } from '../world.js';
import { startCoreLater, trouble, type CoreLoss, type LoseCores, type PooledStorm } from './common.js';
import { between, pick } from '../draws.js';

const leastMilliseconds = 2_000;
const mostMilliseconds = 9_000;
const slowDiskMilliseconds = 75;

function diskTrouble(change: Partial<DiskFaults>, over: Partial<DiskFaults>): LoseCores {
  return function spoil(fleet, storm, back) {
    const { disk } = pick(fleet, fleet.cores);
    const milliseconds = between(fleet, leastMilliseconds, mostMilliseconds);
    trouble(fleet, storm, 'core', milliseconds);
    Object.assign(disk.faults, change);
    fleet.world.schedule(milliseconds, function mended() {
      Object.assign(disk.faults, over);
      back();
    });
  };
}

/** A core without power comes back with an empty disk. */
export function loseDisk(fleet: PooledFleet, storm: PooledStorm, back: () => void, slot = pick(fleet, fleet.cores)): void {
  const milliseconds = between(fleet, 500, 5_000);
  trouble(fleet, storm, 'core', milliseconds);
  fleet.world.makeUnresponsive(slot.machine);
  slot.running = undefined;
  slot.disk = fleet.world.disk();
  startCoreLater(fleet, slot, milliseconds, back);
}

export const diskFaults: readonly CoreLoss[] = [
  { name: 'core-disk-slow', losses: [diskTrouble({ slowMilliseconds: slowDiskMilliseconds }, { slowMilliseconds: 0 })] },
  { name: 'core-disk-full', losses: [diskTrouble({ full: true }, { full: false })] },
  { name: 'core-disk-failing', losses: [diskTrouble({ failing: true }, { failing: false })] },
  { name: 'core-disk-hanging', losses: [diskTrouble({ hanging: true }, { hanging: false })] },
  { name: 'core-disk-lost', losses: [loseDisk] },
  { name: 'core-disks-lost-in-turn', losses: [loseDisk, loseDisk] },
];
