/** Losses of members and of what they say: crashes, darkness, cuts, planned replacements, lag, lost replies. */
import * as Option from 'fp-ts/lib/Option.js';
import type { PooledFleet, PooledMember } from '../pooled-model.js';
import {
  coreMachines,
  cutOff,
  everyMachine,
  noteDrains,
  runningEdges,
  runningPrimary,
  startMemberLater,
  trouble,
  type PooledEvent,
  type PooledStorm,
} from './common.js';
import { between, pick } from '../draws.js';

const freshMemberMilliseconds = 1_000;
/** A draining stand-in leaves so long after it began to drain. */
const leaveMilliseconds = 8_000;
/** The primary crashes so long before the replica leaves, and the other replicas receive nothing for a while before that. */
const crashLeadMilliseconds = 400;
const deafMilliseconds = 600;

/** From all cores, or from all members as well. */
function cutPrimary(fleet: PooledFleet, storm: PooledStorm): void {
  const slot = runningPrimary(fleet);
  if (slot === undefined) return;
  const milliseconds = between(fleet, 4_000, 12_000);
  trouble(fleet, storm, 'member', milliseconds);
  const members = fleet.world.fraction() < 0.5 ? fleet.members.map((one) => one.machine) : [];
  cutOff(fleet, slot.machine, [...coreMachines(fleet), ...members], milliseconds);
}

/** A primary and an edge on the wrong side, now and then with a core: the edge still reaches a primary that is soon deposed, and senders reach the edge. */
function cutHalf(fleet: PooledFleet, storm: PooledStorm): void {
  if (fleet.world.fraction() < 0.5) {
    cutInside(fleet, storm, []);
    return;
  }
  storm.losses.take([
    function allowed(back) {
      fleet.world.schedule(cutInside(fleet, storm, [pick(fleet, fleet.cores).machine]), () => back());
    },
  ]);
}

/** For how long. */
function cutInside(fleet: PooledFleet, storm: PooledStorm, cores: readonly string[]): number {
  const slot = runningPrimary(fleet);
  if (slot === undefined) return 0;
  const edge = pick(fleet, fleet.edges);
  const milliseconds = between(fleet, 7_000, 14_000);
  trouble(fleet, storm, 'member', milliseconds);
  trouble(fleet, storm, edge.name, milliseconds);
  if (cores.length > 0) trouble(fleet, storm, 'core', milliseconds);
  const inside = [slot.machine, edge.machine, ...cores];
  const others = everyMachine(fleet).filter((machine) => !inside.includes(machine));
  for (const machine of inside) cutOff(fleet, machine, others, milliseconds);
  return milliseconds;
}

/** The hand-over begins while an edge that has just gone silent may still hold its lease; whoever led receives nothing for a while. */
async function drainPastEdge(fleet: PooledFleet, storm: PooledStorm): Promise<void> {
  const edge = pick(fleet, fleet.edges);
  const milliseconds = between(fleet, 3_000, 6_000);
  const slot = runningPrimary(fleet);
  const knobs = slot?.running?.knobs;
  await drainMember(fleet, storm, slot);
  if (knobs !== undefined) {
    knobs.deaf = true;
    fleet.world.schedule(milliseconds, function over() {
      knobs.deaf = false;
    });
  }
  trouble(fleet, storm, edge.name, milliseconds);
  cutOff(fleet, edge.machine, coreMachines(fleet), milliseconds);
}

function crashPrimary(fleet: PooledFleet, storm: PooledStorm): void {
  noteDrains(fleet, storm);
  const slot = runningPrimary(fleet);
  if (slot === undefined) return;
  const milliseconds = between(fleet, 300, 12_000);
  trouble(fleet, storm, 'member', milliseconds);
  fleet.stopMember(slot);
  startMemberLater(fleet, storm, slot, milliseconds);
}

function darkenPrimary(fleet: PooledFleet, storm: PooledStorm): void {
  noteDrains(fleet, storm);
  const slot = runningPrimary(fleet);
  if (slot === undefined) return;
  const milliseconds = between(fleet, 2_000, 14_000);
  trouble(fleet, storm, 'member', milliseconds);
  fleet.world.makeUnresponsive(slot.machine);
  slot.running = undefined;
  startMemberLater(fleet, storm, slot, milliseconds);
}

function crashReplica(fleet: PooledFleet, storm: PooledStorm): void {
  noteDrains(fleet, storm);
  const slot = pick(
    fleet,
    fleet.members.filter((one) => one.running !== undefined && one.store.role === 'replica'),
  );
  if (slot === undefined) return;
  const milliseconds = between(fleet, 300, 9_000);
  trouble(fleet, storm, 'member', milliseconds);
  fleet.stopMember(slot);
  startMemberLater(fleet, storm, slot, milliseconds);
}

/** A member is to be replaced: another comes first, and takes its time to catch up. */
export async function drainMember(fleet: PooledFleet, storm: PooledStorm, slot: PooledMember | undefined): Promise<void> {
  const running = slot?.running;
  if (
    slot === undefined ||
    running === undefined ||
    Option.isSome(running.drainingSince()) ||
    fleet.members.some((one) => !one.gone && one.running === undefined)
  )
    return;
  const fresh = fleet.addMember(slot.service, slot.area);
  await fleet.startMember(fresh);
  trouble(fleet, storm, 'member', 12_000);
  void running.drain().then(function ended() {
    slot.gone = true;
    fleet.stopMember(slot);
  });
}

function deafReplica(fleet: PooledFleet, storm: PooledStorm): void {
  const slot = pick(
    fleet,
    fleet.members.filter((one) => one.running !== undefined && one.store.role === 'replica'),
  );
  if (slot?.running === undefined) return;
  const { knobs } = slot.running;
  const milliseconds = between(fleet, 1_000, 8_000);
  trouble(fleet, storm, 'member', milliseconds);
  if (fleet.world.fraction() < 0.5) knobs.deaf = true;
  else knobs.behindMilliseconds = between(fleet, 200, 4_000);
  fleet.world.schedule(milliseconds, function over() {
    knobs.deaf = false;
    knobs.behindMilliseconds = 0;
  });
}

function loseReplies(fleet: PooledFleet, storm: PooledStorm): void {
  const slot = pick(
    fleet,
    fleet.members.filter((one) => one.running !== undefined),
  );
  if (slot?.running === undefined) return;
  trouble(fleet, storm, 'member', 3_000);
  if (fleet.world.fraction() < 0.5) slot.running.knobs.loseReplies += 4;
  else slot.running.knobs.loseCommits += 4;
}

/**
 * A replica that confirms the last commits leaves as planned while the primary is down, and the others received none of them: only the primary
 * has them until it returns.
 */
async function leaveWhilePrimaryIsDown(fleet: PooledFleet, storm: PooledStorm): Promise<false | void> {
  const leaving = runningReplica(fleet);
  const primary = leaving === undefined ? undefined : fleet.primaryOf(leaving.service);
  if (leaving?.running === undefined || primary?.process?.alive() !== true || Option.isSome(leaving.running.drainingSince())) return false;
  await drainMember(fleet, storm, leaving);
  fleet.world.schedule(leaveMilliseconds - deafMilliseconds - crashLeadMilliseconds, function makeDeaf() {
    for (const slot of fleet.members) {
      if (slot.service !== leaving.service || slot === leaving || slot.running === undefined || slot.store.role !== 'replica') continue;
      const { knobs } = slot.running;
      knobs.deaf = true;
      fleet.world.schedule(deafMilliseconds + crashLeadMilliseconds, function hear() {
        knobs.deaf = false;
      });
    }
  });
  fleet.world.schedule(leaveMilliseconds - crashLeadMilliseconds, function crash() {
    if (primary.process?.alive() !== true) return;
    const milliseconds = between(fleet, 7_000, 10_000);
    trouble(fleet, storm, 'member', milliseconds);
    fleet.stopMember(primary);
    startMemberLater(fleet, storm, primary, milliseconds);
  });
  return undefined;
}

/** A replica that lacks the last commits, and then the primary is gone. */
function crashBehindDeaf(fleet: PooledFleet, storm: PooledStorm): void {
  deafReplica(fleet, storm);
  fleet.world.schedule(between(fleet, 200, 2_000), () => crashPrimary(fleet, storm));
}

export function runningReplica(fleet: PooledFleet): PooledMember | undefined {
  return pick(
    fleet,
    fleet.members.filter((one) => one.running !== undefined && one.store.role === 'replica'),
  );
}

/** All members of a service, and none is spared. */
function crashService(fleet: PooledFleet, storm: PooledStorm): void {
  noteDrains(fleet, storm);
  const service = pick(fleet, fleet.services);
  const milliseconds = between(fleet, 300, 4_000);
  trouble(fleet, storm, 'member', milliseconds);
  for (const slot of fleet.members.filter((one) => one.service === service && one.process?.alive() === true)) {
    fleet.stopMember(slot);
    startMemberLater(fleet, storm, slot, milliseconds * between(fleet, 0.8, 1));
  }
}

/** A member that never comes back and never said so; another takes its place. */
async function loseForGood(fleet: PooledFleet, storm: PooledStorm): Promise<false | void> {
  const slot = runningReplica(fleet);
  if (slot === undefined || fleet.members.some((one) => !one.gone && one.running === undefined)) return false;
  trouble(fleet, storm, 'member', 12_000);
  slot.gone = true;
  fleet.stopMember(slot);
  const fresh = fleet.addMember(slot.service, slot.area);
  await new Promise<void>((resolve) => fleet.world.schedule(freshMemberMilliseconds, resolve));
  await fleet.startMember(fresh);
  return undefined;
}

/** The primary is cut off from some of the edges alone. */
function cutFromEdges(fleet: PooledFleet, storm: PooledStorm): false | void {
  const slot = runningPrimary(fleet);
  if (slot === undefined) return false;
  const milliseconds = between(fleet, 1_000, 9_000);
  const edges = runningEdges(fleet).filter(() => fleet.world.fraction() < 0.4);
  trouble(fleet, storm, 'member', milliseconds);
  for (const edge of edges) trouble(fleet, storm, edge.name, milliseconds);
  cutOff(
    fleet,
    slot.machine,
    edges.map((edge) => edge.machine),
    milliseconds,
  );
  return undefined;
}

/** Replicas of all services take many times as long to apply what they receive. */
function lagReplicas(fleet: PooledFleet, storm: PooledStorm): void {
  const milliseconds = between(fleet, 2_000, 8_000);
  trouble(fleet, storm, 'member', milliseconds);
  for (const slot of fleet.members) {
    if (slot.running === undefined || slot.store.role !== 'replica' || fleet.world.fraction() < 0.5) continue;
    const { knobs } = slot.running;
    knobs.behindMilliseconds = between(fleet, 200, 4_000);
    fleet.world.schedule(milliseconds, function over() {
      knobs.behindMilliseconds = 0;
    });
  }
}

export const memberFaults: readonly PooledEvent[] = [
  { name: 'primary-crashed', run: crashPrimary },
  { name: 'primary-dark', run: darkenPrimary },
  { name: 'primary-cut', run: cutPrimary },
  { name: 'primary-cut-from-edges', run: cutFromEdges },
  { name: 'primary-and-edge-cut', run: cutHalf },
  { name: 'primary-draining-edge-cut', run: drainPastEdge },
  { name: 'primary-draining', run: (fleet, storm) => drainMember(fleet, storm, runningPrimary(fleet)) },
  { name: 'replica-draining', run: (fleet, storm) => drainMember(fleet, storm, runningReplica(fleet)) },
  { name: 'replica-crashed', run: crashReplica },
  { name: 'replica-deaf', run: deafReplica },
  { name: 'replicas-lagging', run: lagReplicas },
  { name: 'primary-crashed-replica-deaf', run: crashBehindDeaf },
  { name: 'service-crashed', run: crashService },
  { name: 'replica-left-primary-crashed', run: leaveWhilePrimaryIsDown },
  { name: 'replica-lost-for-good', run: loseForGood },
  { name: 'replies-lost', run: loseReplies },
];
