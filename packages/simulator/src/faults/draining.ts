/** Replicas that drain while their heartbeats arrive late, the cores do not reach them, or another process of theirs follows. */
import * as Option from 'fp-ts/lib/Option.js';
import type { PooledFleet, PooledMember } from '../pooled-model.js';
import { between } from '../draws.js';
import { coreMachines, cutOff, endDrain, noteDrains, trouble, type PooledEvent, type PooledStorm } from './common.js';
import { drainMember, runningReplica } from './members.js';

const longestSpareMilliseconds = 10_000;
const acknowledgementPollMilliseconds = 20;
const acknowledgementPolls = 400;

function delay(fleet: PooledFleet, milliseconds: number): Promise<void> {
  return new Promise((resolve) => fleet.world.schedule(milliseconds, resolve));
}

function isDraining({ running }: PooledMember): boolean {
  return running !== undefined && Option.isSome(running.drainingSince());
}

/** For a while a share of the heartbeats of all members arrives up to 10 s late, which nothing may depend on. */
function delayHeartbeats(fleet: PooledFleet): void {
  const share = between(fleet, 0.1, 0.5);
  const running = fleet.members.flatMap((slot) => slot.running ?? []);
  for (const { knobs } of running) knobs.delayedHeartbeatShare = share;
  fleet.world.schedule(between(fleet, 4_000, 16_000), function over() {
    for (const { knobs } of running) knobs.delayedHeartbeatShare = 0;
  });
}

/** A replica that is about to drain: some of its heartbeats are on their way for long, and it serves on for many seconds. */
async function prepareReplica(fleet: PooledFleet): Promise<PooledMember | undefined> {
  const slot = runningReplica(fleet);
  if (slot?.running === undefined || isDraining(slot)) return undefined;
  slot.running.knobs.delayedHeartbeatShare = between(fleet, 0.2, 0.6);
  slot.running.knobs.drainSpareMilliseconds = between(fleet, 500, longestSpareMilliseconds);
  await delay(fleet, between(fleet, 1_000, 3_000));
  return slot.running === undefined ? undefined : slot;
}

/** The cut begins before, while or after the replica says that it drains; some edges restart meanwhile, and so may a core. */
async function drainCutReplica(fleet: PooledFleet, storm: PooledStorm): Promise<false | void> {
  const slot = await prepareReplica(fleet);
  if (slot === undefined) return false;
  const milliseconds = between(fleet, 2_000, 12_000);
  trouble(fleet, storm, 'member', milliseconds);
  fleet.world.schedule(between(fleet, 0, 1_500), () => cutOff(fleet, slot.machine, coreMachines(fleet), milliseconds));
  await delay(fleet, between(fleet, 0, 800));
  await drainMember(fleet, storm, slot);
  return undefined;
}

/** The draining replica crashes, and a new process with its identifier starts in service, with numbers from the beginning. */
async function restartDrainingReplica(fleet: PooledFleet, storm: PooledStorm): Promise<false | void> {
  const slot = await prepareReplica(fleet);
  if (slot === undefined) return false;
  await drainMember(fleet, storm, slot);
  for (let poll = 0; poll < acknowledgementPolls && !isDraining(slot); poll += 1) await delay(fleet, acknowledgementPollMilliseconds);
  await delay(fleet, between(fleet, 200, 6_000));
  if (!isDraining(slot) || slot.gone) return false;
  const milliseconds = between(fleet, 100, 4_000);
  trouble(fleet, storm, 'member', milliseconds);
  noteDrains(fleet, storm);
  endDrain(storm, slot.member, fleet.world.now());
  fleet.stopMember(slot);
  fleet.world.schedule(milliseconds, function startAnew() {
    if (slot.process?.alive() !== true) void fleet.startMember(slot);
  });
  return undefined;
}

export const drainingFaults: readonly PooledEvent[] = [
  { name: 'heartbeats-delayed', run: delayHeartbeats },
  { name: 'draining-replica-cut', run: drainCutReplica },
  { name: 'draining-replica-restarted', run: restartDrainingReplica },
];
