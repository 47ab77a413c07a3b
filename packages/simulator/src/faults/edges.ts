/** Losses of edges, alone and many at once: kills, power, freezes, slowness, cuts, planned ends, resets of connections, settings read again. */
import * as Option from 'fp-ts/lib/Option.js';
import type { PooledEdge, PooledFleet } from '../pooled-model.js';
import {
  coreMachines,
  cutOff,
  processesOf,
  returnMilliseconds,
  runningCores,
  runningEdges,
  some,
  startCoreLater,
  startEdgeLater,
  trouble,
  type CoreLoss,
  type PooledEvent,
  type PooledStorm,
} from './common.js';
import { cutPower } from './cores.js';
import { between, pick } from '../draws.js';

const manyShare = 0.6;
const resetShare = 0.5;
const resetMachinesShare = 0.3;
const slowRoundMilliseconds = 50;
const slowHeldMilliseconds = 40;
const rollGapMilliseconds = 2_500;
/** The address of a core that is no more. */
const staleSeed = '10.1.9.9:7000';
const staleSeedShare = 0.3;
const replyLookMilliseconds = 1;
const replyDeadlineMilliseconds = 2_000;

function kill(fleet: PooledFleet, storm: PooledStorm, slot: PooledEdge, milliseconds = returnMilliseconds): void {
  trouble(fleet, storm, slot.name, milliseconds);
  fleet.killEdge(slot);
  startEdgeLater(fleet, storm, slot, milliseconds);
}

function losePower(fleet: PooledFleet, storm: PooledStorm, slot: PooledEdge): void {
  const milliseconds = between(fleet, 1_000, 8_000);
  trouble(fleet, storm, slot.name, milliseconds);
  fleet.world.makeUnresponsive(slot.machine);
  fleet.killEdge(slot);
  startEdgeLater(fleet, storm, slot, milliseconds);
}

function strikeOne(strike: (fleet: PooledFleet, storm: PooledStorm, slot: PooledEdge) => void): PooledEvent['run'] {
  return function one(fleet, storm) {
    const slot = pick(fleet, runningEdges(fleet));
    if (slot === undefined) return false;
    strike(fleet, storm, slot);
    return undefined;
  };
}

function strikeMany(strike: (fleet: PooledFleet, storm: PooledStorm, slot: PooledEdge) => void): PooledEvent['run'] {
  return function many(fleet, storm) {
    const slots = runningEdges(fleet);
    if (slots.length === 0) return false;
    for (const slot of some(fleet, slots, manyShare)) strike(fleet, storm, slot);
    return undefined;
  };
}

function freeze(fleet: PooledFleet, storm: PooledStorm, slot: PooledEdge): void {
  const milliseconds = between(fleet, 300, 9_000);
  trouble(fleet, storm, slot.name, milliseconds);
  fleet.freezeEdge(slot, milliseconds);
}

/** It stands still for most of the time, in short turns. */
function slowDown(fleet: PooledFleet, storm: PooledStorm, slot: PooledEdge): void {
  const until = fleet.world.now() + between(fleet, 1_000, 8_000);
  trouble(fleet, storm, slot.name, until - fleet.world.now());
  function round(): void {
    if (fleet.world.now() >= until) return;
    fleet.freezeEdge(slot, slowHeldMilliseconds);
    fleet.world.schedule(slowRoundMilliseconds, round);
  }
  round();
}

function cut(fleet: PooledFleet, storm: PooledStorm, slot: PooledEdge, ways: 'both' | 'leaving' | 'coming' = 'both'): void {
  const milliseconds = between(fleet, 500, 9_000);
  trouble(fleet, storm, slot.name, milliseconds);
  cutOff(fleet, slot.machine, coreMachines(fleet), milliseconds, ways);
}

function cutFromMembers(fleet: PooledFleet, storm: PooledStorm, slot: PooledEdge): void {
  const milliseconds = between(fleet, 500, 9_000);
  trouble(fleet, storm, slot.name, milliseconds);
  trouble(fleet, storm, 'member', milliseconds);
  const members = fleet.members.filter(() => fleet.world.fraction() < manyShare).map((one) => one.machine);
  cutOff(fleet, slot.machine, members, milliseconds);
}

/** What it counted is told before it ends; only what follows is out of touch. */
async function endAsPlanned(fleet: PooledFleet, storm: PooledStorm, slot: PooledEdge): Promise<boolean> {
  const from = fleet.world.now();
  const { life } = slot;
  await fleet.drainEdge(slot);
  if (slot.life !== life) return false;
  const to = fleet.world.now();
  storm.ends.push({ edge: slot.name, from, to });
  storm.troubles.push({ who: `${slot.name} ends`, from, to: to + returnMilliseconds });
  return true;
}

async function drain(fleet: PooledFleet, storm: PooledStorm, slot: PooledEdge): Promise<void> {
  if (await endAsPlanned(fleet, storm, slot)) startEdgeLater(fleet, storm, slot, returnMilliseconds);
}

/** All edges end as planned and start again, one after the other. */
function rollEdges(fleet: PooledFleet, storm: PooledStorm): void {
  fleet.edges.forEach((slot, index) =>
    fleet.world.schedule(index * rollGapMilliseconds, function end() {
      if (!storm.losses.closed() && runningEdges(fleet).includes(slot)) void drain(fleet, storm, slot);
    }),
  );
}

/** An edge ends as planned and is away for the rest of the day. */
async function retire(fleet: PooledFleet, storm: PooledStorm): Promise<false | void> {
  const slots = runningEdges(fleet);
  const slot = pick(fleet, slots);
  if (slot === undefined || slots.length < 2 || storm.retired.size > 0) return false;
  storm.retired.add(slot);
  await endAsPlanned(fleet, storm, slot);
  return undefined;
}

/** The edge that has just told a sender of a commit is killed. */
function killAfterReply(fleet: PooledFleet, storm: PooledStorm): void {
  const from = fleet.world.now();
  function look(): void {
    const committed = fleet.ledger.tries
      .slice(-100)
      .find((of) => of.asks.some((ask) => ask.kind !== 'get' && ask.endedAt >= from && Option.isSome(ask.ending)));
    const slot = runningEdges(fleet).find((one) => one.name === committed?.edge);
    if (slot !== undefined) kill(fleet, storm, slot);
    else if (fleet.world.now() < from + replyDeadlineMilliseconds) fleet.world.schedule(replyLookMilliseconds, look);
  }
  look();
}

// -- Connections and settings.

/** A share of the machines have a share of their connections reset. */
function resetConnections(fleet: PooledFleet, storm: PooledStorm): false | void {
  const edges = runningEdges(fleet).filter(() => fleet.world.fraction() < resetMachinesShare);
  const cores = runningCores(fleet).filter(() => fleet.world.fraction() < resetMachinesShare);
  for (const slot of edges) trouble(fleet, storm, slot.name, returnMilliseconds);
  if (cores.length > 0) trouble(fleet, storm, 'core', returnMilliseconds);
  const processes = [...edges.flatMap(processesOf), ...cores.flatMap((slot) => (slot.process === undefined ? [] : [slot.process]))];
  const reset = processes.map((process) => fleet.world.resetConnections(process, resetShare));
  return reset.some((count) => count > 0) ? undefined : false;
}

/** The settings name the cores in another order, and now and then one that is no more in the place of one of them. */
function exchangeSeeds(fleet: PooledFleet): void {
  const named = fleet.cores.map(fleet.coreAddress).sort(() => fleet.world.fraction() - 0.5);
  if (fleet.world.fraction() < staleSeedShare) named[0] = staleSeed;
  fleet.nameSeeds(named);
  for (const slot of [...fleet.cores, ...fleet.edges]) fleet.world.schedule(between(fleet, 0, 1_000), () => fleet.readSettings(slot));
}

/** A share of the processes are told by a signal to read their settings, in which nothing or the seeds may have changed. */
function readSettingsAgain(fleet: PooledFleet): void {
  if (fleet.world.fraction() < 0.5) fleet.nameSeeds([...fleet.cores].reverse().map(fleet.coreAddress));
  for (const slot of some(fleet, [...fleet.cores, ...fleet.edges], 0.3)) fleet.readSettings(slot);
}

export const edgeFaults: readonly PooledEvent[] = [
  { name: 'edge-killed', run: strikeOne(kill) },
  { name: 'edge-drained', run: strikeOne((fleet, storm, slot) => void drain(fleet, storm, slot)) },
  { name: 'edge-frozen', run: strikeOne(freeze) },
  { name: 'edge-cut', run: strikeOne(cut) },
  { name: 'edge-power-lost', run: strikeOne(losePower) },
  { name: 'edge-slow', run: strikeOne(slowDown) },
  { name: 'edge-unheard', run: strikeOne((fleet, storm, slot) => cut(fleet, storm, slot, 'leaving')) },
  { name: 'edge-deaf', run: strikeOne((fleet, storm, slot) => cut(fleet, storm, slot, 'coming')) },
  { name: 'edge-cut-from-members', run: strikeOne(cutFromMembers) },
  { name: 'edges-killed-together', run: strikeMany(kill) },
  { name: 'edges-power-lost-together', run: strikeMany(losePower) },
  { name: 'edges-frozen-together', run: strikeMany(freeze) },
  { name: 'edges-restarted-in-turn', run: rollEdges },
  { name: 'edge-retired', run: retire },
  { name: 'edge-killed-after-reply', run: killAfterReply },
  { name: 'connections-reset', run: resetConnections },
  { name: 'seeds-exchanged', run: exchangeSeeds },
  { name: 'settings-read-again', run: readSettingsAgain },
];

/** All cores and edges at once. */
function everything(how: 'killed' | 'power-lost'): CoreLoss['losses'][number] {
  return function strikeAll(fleet, storm, back) {
    trouble(fleet, storm, 'all', 2_500);
    const cores = [...fleet.cores];
    let down = cores.length;
    for (const slot of cores) {
      if (how === 'killed') fleet.stopCore(slot);
      else cutPower(fleet, slot);
      startCoreLater(fleet, slot, between(fleet, 300, 2_000), function started() {
        down -= 1;
        if (down === 0) back();
      });
    }
    for (const slot of fleet.edges) {
      if (how === 'power-lost') fleet.world.makeUnresponsive(slot.machine);
      fleet.killEdge(slot);
      startEdgeLater(fleet, storm, slot, between(fleet, 300, 2_000));
    }
  };
}

export const fleetFaults: readonly CoreLoss[] = [
  { name: 'all-stopped', losses: [everything('killed')] },
  { name: 'all-power-lost', losses: [everything('power-lost')] },
];
