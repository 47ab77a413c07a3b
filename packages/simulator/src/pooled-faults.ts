/** The failures of the pooled mode, gathered by theme; how each is struck, and how everything runs again (design 10.4.1). */
import { clockFaults } from './faults/clocks.js';
import { noteDrains, type PooledFault, type PooledStorm } from './faults/common.js';
import { coreFaults } from './faults/cores.js';
import { diskFaults } from './faults/disks.js';
import { drainingFaults } from './faults/draining.js';
import { edgeFaults, fleetFaults } from './faults/edges.js';
import { memberFaults } from './faults/members.js';
import { operatorFaults } from './faults/operators.js';
import { calmPlatform, platformFaults } from './faults/platform.js';
import { replacementFaults } from './faults/replacements.js';
import { streamFaults } from './faults/streams.js';
import { sessionMember } from '@stallstall/fakes';
import { lossBudget, type Loss } from './loss-budget.js';
import type { PooledFleet } from './pooled-model.js';
import { between, pick } from './draws.js';

export type { PooledFault, PooledStorm } from './faults/common.js';

const every: readonly PooledFault[] = [
  ...edgeFaults,
  ...coreFaults,
  ...fleetFaults,
  ...replacementFaults,
  ...diskFaults,
  ...clockFaults,
  ...memberFaults,
  ...drainingFaults,
  ...operatorFaults,
  ...platformFaults,
  ...streamFaults,
];

function create(fleet: PooledFleet): PooledStorm {
  return {
    reported: [],
    struck: new Map(),
    troubles: [],
    lives: fleet.edges.map((slot) => ({ edge: slot.name, life: 1, from: 0 })),
    ends: [],
    drains: [],
    losses: lossBudget.create(fleet.world),
    invalidOrders: [],
    retired: new Set(),
  };
}

function note(fleet: PooledFleet, storm: PooledStorm, name: string): void {
  storm.reported.push(`${Math.round(fleet.world.now())} ${name}`);
  storm.struck.set(name, (storm.struck.get(name) ?? 0) + 1);
}

/** Strikes now, or as soon as the tolerance allows it; `first`: before other losses that wait. */
async function strike(fleet: PooledFleet, storm: PooledStorm, fault: PooledFault, first = false): Promise<void> {
  if ('run' in fault) {
    if ((await fault.run(fleet, storm)) !== false) note(fleet, storm, fault.name);
    return;
  }
  const losses = fault.losses.map(
    (lose, index): Loss =>
      function allowed(back) {
        if (index === 0) note(fleet, storm, fault.name);
        lose(fleet, storm, back);
      },
  );
  storm.losses.take(losses, first);
}

/** Everything runs again; what another fault was about to start comes now. */
async function restore(fleet: PooledFleet, storm: PooledStorm): Promise<void> {
  storm.losses.close();
  storm.retired.clear();
  fleet.world.healAll();
  fleet.operatorTrouble.lostShare = 0;
  Object.assign(fleet.platform().knobs, calmPlatform);
  for (const slot of fleet.cores) {
    Object.assign(slot.disk.faults, { failing: false, full: false, hanging: false, slowMilliseconds: 0 });
    fleet.world.restoreMachine(slot.machine);
    if (slot.process?.alive() !== true) await fleet.startCore(slot);
  }
  for (const slot of fleet.edges) {
    fleet.world.restoreMachine(slot.machine);
    if (slot.agent !== undefined && slot.proxy !== undefined) continue;
    fleet.killEdge(slot);
    storm.lives.push({ edge: slot.name, life: slot.life + 1, from: fleet.world.now() });
    await fleet.startEdge(slot);
  }
  for (const slot of fleet.members) {
    if (slot.running !== undefined) Object.assign(slot.running.knobs, sessionMember.calmKnobs);
    if (slot.gone || slot.process?.alive() === true) continue;
    fleet.world.restoreMachine(slot.machine);
    await fleet.startMember(slot);
  }
}

export const pooledFaults = { every, create, strike, restore, noteDrains, pick, between } as const;
