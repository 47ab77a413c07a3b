/** Faults of one machine or process: a kill, a restart, a network partition, or a member that misbehaves. */
import type { MemberKnobs } from '@stallstall/fakes';
import { type Storm, recordPeakConnections, allMachines } from './fault-state.js';
import type { Fleet, MemberSlot, EdgeSlot } from '../fleet.js';

export function killMember(fleet: Fleet, storm: Storm, slot: MemberSlot, milliseconds: number): void {
  if (slot.process?.alive() !== true) return;
  recordPeakConnections(fleet, storm);
  storm.crossings += slot.running?.crossings() ?? 0;
  fleet.stopSlot(slot);
  fleet.world.schedule(milliseconds, () => {
    if (slot.isRemoved !== true) void fleet.startMember(slot);
  });
}

export function enableKnob(fleet: Fleet, slot: MemberSlot, knob: keyof MemberKnobs, milliseconds: number): void {
  const running = slot.running;
  if (running === undefined) return;
  running.knobs[knob] = true;
  fleet.world.schedule(milliseconds, () => {
    running.knobs[knob] = false;
  });
}

export function cutMachine(fleet: Fleet, machine: string, directions: 'both' | 'in' | 'out', milliseconds: number): void {
  const others = allMachines(fleet).filter((other) => other !== machine);
  for (const other of others) {
    if (directions !== 'in') fleet.world.cut(machine, other);
    if (directions !== 'out') fleet.world.cut(other, machine);
  }
  fleet.world.schedule(milliseconds, () => {
    for (const other of others) {
      fleet.world.heal(machine, other);
      fleet.world.heal(other, machine);
    }
  });
}

/** When the processes of each edge were killed. */
const edgeKills = new WeakMap<Fleet, Array<Readonly<{ edge: string; at: number }>>>();

function recordKill(fleet: Fleet, edge: string): void {
  const kills = edgeKills.get(fleet) ?? [];
  kills.push({ edge, at: fleet.world.now() });
  edgeKills.set(fleet, kills);
}

/** Whether a process of the same edge was killed at the moment of its planned end. A kill always drops requests, so such an end is not checked. */
export function coincidesWithKill(fleet: Fleet, name: string, at: number): boolean {
  return (edgeKills.get(fleet) ?? []).some((kill) => name.startsWith(`${kill.edge}/`) && Math.abs(kill.at - at) <= sameMomentMilliseconds);
}

export function killEdge(fleet: Fleet, slot: EdgeSlot, part: 'agent' | 'proxy', milliseconds: number): void {
  if (slot[part].process?.alive() !== true) return;
  recordKill(fleet, slot.name);
  fleet.stopSlot(slot[part]);
  fleet.world.schedule(milliseconds, () => void (part === 'agent' ? fleet.startAgent(slot) : fleet.startProxy(slot)));
}

export function restartCore(fleet: Fleet, index: number, milliseconds: number): void {
  const slot = fleet.cores[index];
  if (slot?.process?.alive() !== true) return;
  fleet.stopSlot(slot);
  fleet.world.schedule(milliseconds, () => void fleet.startCore(slot));
}

/** Events this close together count as simultaneous: the effect of a kill is seen at most this much later. */
export const sameMomentMilliseconds = 5;
