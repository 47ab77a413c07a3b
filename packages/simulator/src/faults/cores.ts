/** Losses of core machines: power, kills, freezes, cuts, restarts, and losses right after an acknowledgement. */
import type { PooledCore, PooledFleet } from '../pooled-model.js';
import {
  anyCore,
  coreMachines,
  cutOff,
  everyMachine,
  lastSheet,
  moments,
  nextVersion,
  runningCores,
  runningEdges,
  startCoreLater,
  startEdgeLater,
  trouble,
  type CoreLoss,
  type LoseCores,
  type PooledStorm,
} from './common.js';
import { loseDisk } from './disks.js';
import { between, pick } from '../draws.js';

const leastDownMilliseconds = 500;
const mostDownMilliseconds = 9_000;
const slowRoundMilliseconds = 50;
const slowHeldMilliseconds = 40;
const restartMilliseconds = 500;
/** The order is under way for so long before the disk is lost. */
const wipedAfterMilliseconds = 2_000;
const acknowledgedWithinMilliseconds = 4;
const orderLookMilliseconds = 1;
const orderDeadlineMilliseconds = 5_000;
const coreGraceMilliseconds = 7_000;

/** Nothing is told to whoever was connected. */
export function cutPower(fleet: PooledFleet, slot: PooledCore): void {
  fleet.world.makeUnresponsive(slot.machine);
  slot.running = undefined;
}

export function losePower(fleet: PooledFleet, storm: PooledStorm, back: () => void, slot = pick(fleet, fleet.cores)): void {
  const milliseconds = between(fleet, leastDownMilliseconds, mostDownMilliseconds);
  moments(fleet, storm, 'core', milliseconds);
  cutPower(fleet, slot);
  startCoreLater(fleet, slot, milliseconds, back);
}

export function kill(fleet: PooledFleet, storm: PooledStorm, back: () => void, slot = pick(fleet, fleet.cores)): void {
  const milliseconds = between(fleet, leastDownMilliseconds, 5_000);
  moments(fleet, storm, 'core', milliseconds);
  fleet.stopCore(slot);
  startCoreLater(fleet, slot, milliseconds, back);
}

function freeze(fleet: PooledFleet, storm: PooledStorm, back: () => void): void {
  const { process } = pick(fleet, fleet.cores);
  const milliseconds = between(fleet, leastDownMilliseconds, mostDownMilliseconds);
  moments(fleet, storm, 'core', milliseconds);
  if (process !== undefined) fleet.world.freeze(process, milliseconds);
  fleet.world.schedule(milliseconds, back);
}

/** It stands still for most of the time, in short turns. */
function slowDown(fleet: PooledFleet, storm: PooledStorm, back: () => void): void {
  const slot = pick(fleet, fleet.cores);
  const until = fleet.world.now() + between(fleet, 2_000, mostDownMilliseconds);
  trouble(fleet, storm, 'core', until - fleet.world.now());
  function round(): void {
    if (fleet.world.now() >= until) return back();
    if (slot.process?.alive() === true) fleet.world.freeze(slot.process, slowHeldMilliseconds);
    fleet.world.schedule(slowRoundMilliseconds, round);
  }
  round();
}

export function cut(ways: 'both' | 'leaving' | 'coming', from: (fleet: PooledFleet) => readonly string[]): LoseCores {
  return function cutCore(fleet, storm, back) {
    const milliseconds = between(fleet, leastDownMilliseconds, mostDownMilliseconds);
    moments(fleet, storm, 'core', milliseconds);
    cutOff(fleet, pick(fleet, fleet.cores).machine, from(fleet), milliseconds, ways);
    fleet.world.schedule(milliseconds, back);
  };
}

/** An order is sent to the core while it is cut off from the others, and another as it returns. */
function cutAndOrdered(fleet: PooledFleet, storm: PooledStorm, back: () => void): void {
  const slot = pick(fleet, fleet.cores);
  const milliseconds = between(fleet, 3_000, mostDownMilliseconds);
  moments(fleet, storm, 'core', milliseconds);
  cutOff(fleet, slot.machine, coreMachines(fleet), milliseconds);
  function order(): void {
    const index = fleet.cores.indexOf(slot);
    if (index >= 0) void fleet.configure(nextVersion(fleet), lastSheet(fleet), index);
  }
  fleet.world.schedule(between(fleet, 200, 1_500), order);
  fleet.world.schedule(milliseconds + between(fleet, 0, 50), order);
  fleet.world.schedule(milliseconds, back);
}

/** An order is sent to the core while it is cut off from the others, and soon its disk is lost: nobody else has what it alone confirmed. */
function cutOrderedAndWiped(fleet: PooledFleet, storm: PooledStorm, back: () => void): void {
  const slot = pick(fleet, fleet.cores);
  trouble(fleet, storm, 'core', wipedAfterMilliseconds);
  cutOff(fleet, slot.machine, coreMachines(fleet), wipedAfterMilliseconds);
  void fleet.configure(nextVersion(fleet), lastSheet(fleet), fleet.cores.indexOf(slot));
  fleet.world.schedule(wipedAfterMilliseconds, () => loseDisk(fleet, storm, back, slot));
}

/** The settings name the core that is cut off first, and some edges are restarted with these seeds. */
function cutWithSeeds(fleet: PooledFleet, storm: PooledStorm, back: () => void): void {
  const slot = pick(fleet, fleet.cores);
  const milliseconds = between(fleet, 2_000, mostDownMilliseconds);
  trouble(fleet, storm, 'core', milliseconds);
  cutOff(fleet, slot.machine, coreMachines(fleet), milliseconds);
  const others = fleet.cores.filter((one) => one !== slot);
  fleet.nameSeeds([slot, ...others].map(fleet.coreAddress));
  const edge = pick(fleet, runningEdges(fleet));
  if (edge !== undefined) {
    trouble(fleet, storm, edge.name, restartMilliseconds);
    fleet.killEdge(edge);
    startEdgeLater(fleet, storm, edge, restartMilliseconds);
  }
  fleet.world.schedule(milliseconds, back);
}

/** The core that is cut off is restarted, and the others after it, while it cannot be reached. */
function cutAndRestarted(fleet: PooledFleet, storm: PooledStorm, back: () => void): void {
  const slot = pick(fleet, fleet.cores);
  const milliseconds = between(fleet, 5_000, mostDownMilliseconds);
  trouble(fleet, storm, 'core', milliseconds);
  cutOff(fleet, slot.machine, coreMachines(fleet), milliseconds);
  [slot, ...fleet.cores.filter((one) => one !== slot)].forEach((one, index) =>
    fleet.world.schedule((index + 1) * 1_000, function restart() {
      if (storm.losses.closed()) return;
      fleet.stopCore(one);
      startCoreLater(fleet, one, restartMilliseconds);
    }),
  );
  fleet.world.schedule(milliseconds, back);
}

/** Ends as planned and starts again. */
async function restartAsPlanned(fleet: PooledFleet, storm: PooledStorm, back: () => void, slot = pick(fleet, fleet.cores)): Promise<void> {
  trouble(fleet, storm, 'core', 2_000);
  await endAsPlanned(fleet, slot);
  trouble(fleet, storm, 'core', restartMilliseconds);
  startCoreLater(fleet, slot, restartMilliseconds, back);
}

/** SIGTERM; killed where it has not ended within its grace period. */
export async function endAsPlanned(fleet: PooledFleet, slot: PooledCore): Promise<void> {
  const { process } = slot;
  await Promise.race([
    slot.running?.drain(),
    new Promise<void>((resolve) => fleet.world.schedule(slot.running === undefined ? 0 : coreGraceMilliseconds, resolve)),
  ]);
  if (slot.process === process) fleet.stopCore(slot);
}

function everyCore(strike: (fleet: PooledFleet, slot: PooledCore) => void): LoseCores {
  return function strikeAll(fleet, storm, back) {
    trouble(fleet, storm, 'all', 2_500);
    const slots = [...fleet.cores];
    let down = slots.length;
    for (const slot of slots) {
      strike(fleet, slot);
      startCoreLater(fleet, slot, between(fleet, 300, 2_000), function started() {
        down -= 1;
        if (down === 0) back();
      });
    }
  };
}

// -- Right after an order was acknowledged, or while it is under way.

type Struck = (fleet: PooledFleet, storm: PooledStorm, back: () => void, slot: PooledCore) => void;

/** Strikes the core that acknowledged an order, within so little time that others may not have heard of it. */
function afterAcknowledgement(strike: Struck): LoseCores {
  return function send(fleet, storm, back) {
    const until = fleet.world.now() + orderDeadlineMilliseconds;
    const index = fleet.cores.indexOf(pick(fleet, runningCores(fleet)) ?? pick(fleet, fleet.cores));
    const version = nextVersion(fleet);
    void fleet.configure(version, lastSheet(fleet), index);
    function look(): void {
      if (storm.losses.closed()) return back();
      const sent = fleet.versions.find((one) => one.version === version);
      const slot = fleet.cores[index] as PooledCore;
      if (sent !== undefined && Number.isFinite(sent.acknowledgedAt))
        fleet.world.schedule(between(fleet, 0, acknowledgedWithinMilliseconds), () => strike(fleet, storm, back, slot));
      else if (fleet.world.now() < until) fleet.world.schedule(orderLookMilliseconds, look);
      else back();
    }
    look();
  };
}

/** Strikes the core that was sent an order, whether it has acknowledged it by then or not. */
function afterOrder(strike: Struck): LoseCores {
  return function send(fleet, storm, back) {
    const index = anyCore(fleet);
    void fleet.configure(nextVersion(fleet), lastSheet(fleet), index);
    fleet.world.schedule(between(fleet, 5, 400), function now() {
      if (storm.losses.closed()) back();
      else strike(fleet, storm, back, fleet.cores[index] as PooledCore);
    });
  };
}

export const coreFaults: readonly CoreLoss[] = [
  { name: 'core-killed', losses: [kill] },
  { name: 'core-killed-twice', losses: [kill, kill] },
  { name: 'core-power-lost', losses: [losePower] },
  { name: 'core-frozen', losses: [freeze] },
  { name: 'core-slow', losses: [slowDown] },
  { name: 'core-cut', losses: [cut('both', everyMachine)] },
  { name: 'core-cut-from-cores', losses: [cut('both', coreMachines)] },
  { name: 'core-unheard', losses: [cut('leaving', everyMachine)] },
  { name: 'core-deaf', losses: [cut('coming', everyMachine)] },
  { name: 'core-cut-and-ordered', losses: [cutAndOrdered] },
  { name: 'core-cut-ordered-then-disk-lost', losses: [cutOrderedAndWiped] },
  { name: 'core-cut-with-seeds', losses: [cutWithSeeds] },
  { name: 'core-cut-and-restarted', losses: [cutAndRestarted] },
  { name: 'core-restarted', losses: [restartAsPlanned] },
  {
    name: 'cores-restarted-in-turn',
    losses: [0, 1, 2].map(
      (index): LoseCores =>
        (fleet, storm, back) =>
          void restartAsPlanned(fleet, storm, back, fleet.cores[index % fleet.cores.length]),
    ),
  },
  { name: 'cores-killed-together', losses: [everyCore((fleet, slot) => fleet.stopCore(slot))] },
  { name: 'cores-power-lost-together', losses: [everyCore(cutPower)] },
  { name: 'core-killed-after-acknowledgement', losses: [afterAcknowledgement(kill)] },
  { name: 'core-power-lost-after-acknowledgement', losses: [afterAcknowledgement(losePower)] },
  { name: 'core-disk-lost-after-acknowledgement', losses: [afterAcknowledgement(loseDisk)] },
  { name: 'core-power-lost-after-order', losses: [afterOrder(losePower)] },
  { name: 'core-disk-lost-after-order', losses: [afterOrder(loseDisk)] },
];
