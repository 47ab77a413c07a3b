/** What the faults of the pooled mode share: their types, who can be struck, and how a machine comes back. */
import * as Option from 'fp-ts/lib/Option.js';
import type { DrainNote, EdgeEnd, EdgeLife, Trouble } from '../pooled-checks.js';
import type { Back, LossBudget } from '../loss-budget.js';
import type { PooledCore, PooledEdge, PooledFleet, PooledMember, PooledSheet } from '../pooled-model.js';
import type { Process } from '../world.js';
import { pick } from '../draws.js';

/** An order that must change nothing, and how it was answered. */
export type InvalidOrder = Readonly<{ variant: string; at: number; status: number }>;

export type PooledStorm = Readonly<{
  reported: string[];
  /** How often each fault took place. */
  struck: Map<string, number>;
  troubles: Trouble[];
  lives: EdgeLife[];
  ends: EdgeEnd[];
  drains: DrainNote[];
  losses: LossBudget;
  invalidOrders: InvalidOrder[];
  /** Edges that are away for the rest of the day. */
  retired: Set<PooledEdge>;
}>;

/** Takes place at once; false when there was nothing that it could strike. */
export type PooledEvent = Readonly<{ name: string; run: (fleet: PooledFleet, storm: PooledStorm) => void | false | Promise<void | false> }>;
/** Takes cores away, one loss after the other, each as soon as the tolerance allows it. */
export type LoseCores = (fleet: PooledFleet, storm: PooledStorm, back: Back) => void;
export type CoreLoss = Readonly<{ name: string; losses: readonly LoseCores[] }>;
export type PooledFault = PooledEvent | CoreLoss;

export const returnMilliseconds = 1_000;
const newVersionSteps = 5;

/** Some of the items, at least one of them. */
export function some<Item>(fleet: PooledFleet, items: readonly Item[], share: number): readonly Item[] {
  const first = pick(fleet, items);
  return items.filter((item) => item === first || fleet.world.fraction() < share);
}

export function trouble(fleet: PooledFleet, storm: PooledStorm, who: string, milliseconds: number): void {
  storm.troubles.push({ who, from: fleet.world.now(), to: fleet.world.now() + milliseconds });
}

/**
 * Trouble at two moments alone, as the rules count a loss of cores that leaves a majority: once it has been calm after the first, the
 * bounds hold until the second.
 */
export function moments(fleet: PooledFleet, storm: PooledStorm, who: string, milliseconds: number): void {
  const now = fleet.world.now();
  for (const at of [now, now + milliseconds]) storm.troubles.push({ who, from: at, to: at });
}

/** Starts again whatever has ended meanwhile; one that another fault has started already stays. */
export function startEdgeLater(fleet: PooledFleet, storm: PooledStorm, slot: PooledEdge, milliseconds: number): void {
  fleet.world.schedule(milliseconds, function again() {
    if (storm.retired.has(slot)) return;
    fleet.world.restoreMachine(slot.machine);
    if (slot.agent !== undefined || slot.proxy !== undefined) return;
    storm.lives.push({ edge: slot.name, life: slot.life + 1, from: fleet.world.now() });
    void fleet.startEdge(slot);
  });
}

export function startCoreLater(fleet: PooledFleet, slot: PooledCore, milliseconds: number, started: () => void = () => undefined): void {
  fleet.world.schedule(milliseconds, function again() {
    fleet.world.restoreMachine(slot.machine);
    if (slot.process?.alive() !== true && fleet.cores.includes(slot)) void fleet.startCore(slot);
    started();
  });
}

/** One that had said that it drains does not come back. */
export function startMemberLater(fleet: PooledFleet, storm: PooledStorm, slot: PooledMember, milliseconds: number): void {
  slot.gone ||= storm.drains.some((note) => note.member === slot.member && note.endedAt === Number.POSITIVE_INFINITY);
  fleet.world.schedule(milliseconds, function again() {
    fleet.world.restoreMachine(slot.machine);
    if (!slot.gone && slot.process?.alive() !== true) void fleet.startMember(slot);
  });
}

export function runningEdges(fleet: PooledFleet): readonly PooledEdge[] {
  return fleet.edges.filter((slot) => slot.agent !== undefined && slot.proxy !== undefined);
}

export function runningCores(fleet: PooledFleet): readonly PooledCore[] {
  return fleet.cores.filter((slot) => slot.process?.alive() === true);
}

export function runningPrimary(fleet: PooledFleet): PooledMember | undefined {
  return pick(
    fleet,
    fleet.services.flatMap((service) => {
      const slot = fleet.primaryOf(service);
      return slot?.running !== undefined && slot.process?.alive() === true ? [slot] : [];
    }),
  );
}

export function processesOf(slot: PooledEdge): readonly Process[] {
  return [slot.agentProcess, slot.proxyProcess].filter((process): process is Process => process !== undefined);
}

export function coreMachines(fleet: PooledFleet): readonly string[] {
  return fleet.cores.map((slot) => slot.machine);
}

export function everyMachine(fleet: PooledFleet): readonly string[] {
  return [...fleet.machines(), 'platform-machine', 'operator-machine'];
}

/** Messages are held in both directions, or only those that leave the machine, or only those that come to it. */
export function cutOff(
  fleet: PooledFleet,
  machine: string,
  others: readonly string[],
  milliseconds: number,
  ways: 'both' | 'leaving' | 'coming' = 'both',
): void {
  for (const other of others.filter((one) => one !== machine)) {
    if (ways !== 'coming') fleet.world.cut(machine, other);
    if (ways !== 'leaving') fleet.world.cut(other, machine);
    fleet.world.schedule(milliseconds, function heal() {
      fleet.world.heal(machine, other);
      fleet.world.heal(other, machine);
    });
  }
}

/** The version of an order that is to stand above all sent so far. */
export function nextVersion(fleet: PooledFleet): number {
  return Math.max(...fleet.versions.map((sent) => sent.version)) + 1 + Math.floor(fleet.world.fraction() * newVersionSteps);
}

export function lastSheet(fleet: PooledFleet): PooledSheet {
  const standing = fleet.versions.filter((sent) => !sent.refused);
  return standing.sort((left, right) => right.version - left.version)[0]?.sheet ?? fleet.firstSheet();
}

export function anyCore(fleet: PooledFleet): number {
  return Math.floor(fleet.world.fraction() * fleet.cores.length);
}

/** Members that have said that they drain, for the checkers. */
export function noteDrains(fleet: PooledFleet, storm: PooledStorm): void {
  for (const slot of fleet.members) {
    const since = slot.running === undefined ? Option.none : slot.running.drainingSince();
    if (Option.isSome(since) && !storm.drains.some((note) => note.member === slot.member && note.endedAt === Number.POSITIVE_INFINITY))
      storm.drains.push({ member: slot.member, acknowledgedAt: since.value, endedAt: Number.POSITIVE_INFINITY });
  }
}

/** The process of a draining member has ended, and another one comes in its place: what it said no longer holds. */
export function endDrain(storm: PooledStorm, member: string, endedAt: number): void {
  for (const [index, note] of storm.drains.entries())
    if (note.member === member && note.endedAt === Number.POSITIVE_INFINITY) storm.drains[index] = { ...note, endedAt };
}
