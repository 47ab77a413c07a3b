/** Faults of one machine or process: killed, restarted, cut off, or with a member that behaves otherwise. */
import type { MemberKnobs } from '@stallstall/fakes';
import { type Storm, notePeaks, everyMachine } from './fault-state.js';
import type { Fleet, MemberSlot, EdgeSlot } from '../fleet.js';

export function killMember(fleet: Fleet, storm: Storm, slot: MemberSlot, milliseconds: number): void {
  if (slot.process?.alive() !== true) return;
  notePeaks(fleet, storm);
  storm.crossings += slot.running?.crossings() ?? 0;
  fleet.stopSlot(slot);
  fleet.world.schedule(milliseconds, () => {
    if (slot.isRemoved !== true) void fleet.startMember(slot);
  });
}

export function turnKnob(fleet: Fleet, slot: MemberSlot, knob: keyof MemberKnobs, milliseconds: number): void {
  const running = slot.running;
  if (running === undefined) return;
  running.knobs[knob] = true;
  fleet.world.schedule(milliseconds, () => {
    running.knobs[knob] = false;
  });
}

export function cutMachine(fleet: Fleet, machine: string, ways: 'both' | 'in' | 'out', milliseconds: number): void {
  const others = everyMachine(fleet).filter((one) => one !== machine);
  for (const other of others) {
    if (ways !== 'in') fleet.world.cut(machine, other);
    if (ways !== 'out') fleet.world.cut(other, machine);
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

function noteKill(fleet: Fleet, edge: string): void {
  const kills = edgeKills.get(fleet) ?? [];
  kills.push({ edge, at: fleet.world.now() });
  edgeKills.set(fleet, kills);
}

/** A kill drops requests whatever else ends: a planned end of the same edge at the very moment of one is not judged. */
export function voidedByKill(fleet: Fleet, name: string, at: number): boolean {
  return (edgeKills.get(fleet) ?? []).some((kill) => name.startsWith(`${kill.edge}/`) && Math.abs(kill.at - at) <= sameMomentMilliseconds);
}

export function killEdge(fleet: Fleet, slot: EdgeSlot, part: 'agent' | 'proxy', milliseconds: number): void {
  if (slot[part].process?.alive() !== true) return;
  noteKill(fleet, slot.name);
  fleet.stopSlot(slot[part]);
  fleet.world.schedule(milliseconds, () => void (part === 'agent' ? fleet.startAgent(slot) : fleet.startProxy(slot)));
}

export function restartCore(fleet: Fleet, index: number, milliseconds: number): void {
  const slot = fleet.cores[index];
  if (slot?.process?.alive() !== true) return;
  fleet.stopSlot(slot);
  fleet.world.schedule(milliseconds, () => void fleet.startCore(slot));
}

/** What a strike drops is heard this much later at the most. */
export const sameMomentMilliseconds = 5;
