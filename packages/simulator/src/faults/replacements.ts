/** Core machines that are replaced for good by empty ones at other addresses, and losses right after a replacement. */
import type { Back } from '../loss-budget.js';
import type { PooledCore, PooledFleet } from '../pooled-model.js';
import { startCoreLater, trouble, type CoreLoss, type LoseCores, type PooledStorm } from './common.js';
import { cutPower, endAsPlanned } from './cores.js';
import { loseDisk } from './disks.js';
import { between, pick } from '../draws.js';

const successorMilliseconds = 1_000;
/** Long enough for what must work without the core to be judged. */
const longLossMilliseconds = 10_500;

/** The successor runs first, and then the old core is ended as planned. */
async function replaceAsPlanned(fleet: PooledFleet, storm: PooledStorm, back: Back, slot = pick(fleet, fleet.cores)): Promise<void> {
  trouble(fleet, storm, 'core', 4_000);
  const startedAt = fleet.world.now();
  const successor = fleet.addCore(slot.area);
  await fleet.startCore(successor);
  await new Promise<void>((resolve) => fleet.world.schedule(successorMilliseconds, resolve));
  await endAsPlanned(fleet, slot);
  fleet.removeCore(slot, successor);
  back(startedAt);
}

/** The old core is gone without a word, and the successor comes after it. */
function replaceLost(fleet: PooledFleet, storm: PooledStorm, back: Back): void {
  const slot = pick(fleet, fleet.cores);
  trouble(fleet, storm, 'core', 5_000);
  cutPower(fleet, slot);
  fleet.world.schedule(between(fleet, 500, 3_000), function come() {
    const successor = fleet.addCore(slot.area);
    fleet.removeCore(slot, successor);
    void fleet.startCore(successor);
    back();
  });
}

function longLoss(strike: (fleet: PooledFleet, slot: PooledCore) => void): LoseCores {
  return function lose(fleet, storm, back) {
    const slot = pick(fleet, fleet.cores);
    trouble(fleet, storm, 'core', longLossMilliseconds);
    strike(fleet, slot);
    startCoreLater(fleet, slot, longLossMilliseconds, back);
  };
}

export const replacementFaults: readonly CoreLoss[] = [
  { name: 'core-replaced-as-planned', losses: [replaceAsPlanned] },
  { name: 'core-replaced-when-lost', losses: [replaceLost] },
  { name: 'core-replaced-then-power-lost', losses: [replaceAsPlanned, longLoss(cutPower)] },
  { name: 'core-replaced-then-disk-lost', losses: [replaceAsPlanned, loseDisk] },
  { name: 'core-replaced-when-lost-then-disk-lost', losses: [replaceLost, loseDisk] },
  { name: 'cores-replaced-in-turn', losses: [replaceAsPlanned, replaceLost] },
];
