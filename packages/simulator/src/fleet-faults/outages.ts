/** Outages of many machines: all cores and edges at once or in turn, a whole area, or all machines. */
import { type Storm, recordPeakConnections } from './fault-state.js';
import { killEdge, killMember, restartCore } from './machine-faults.js';
import type { Fleet, CoreSlot } from '../fleet.js';
import { between, pick } from '../draws.js';

export function stopCoresAndEdges(fleet: Fleet, storm: Storm, milliseconds: number): void {
  fleet.cores.forEach((_, index) => restartCore(fleet, index, milliseconds * between(fleet, 0.8, 1.2)));
  for (const slot of fleet.edges) {
    killEdge(fleet, slot, 'agent', milliseconds * between(fleet, 0.8, 1.2));
    killEdge(fleet, slot, 'proxy', milliseconds * between(fleet, 0.8, 1.2));
  }
  recordPeakConnections(fleet, storm);
}

export function restartInTurn(fleet: Fleet): void {
  fleet.cores.forEach((_, index) => fleet.world.schedule(index * 2_500, () => restartCore(fleet, index, 1_000)));
  fleet.edges.forEach((slot, index) =>
    fleet.world.schedule(7_500 + index * 1_000, () => {
      killEdge(fleet, slot, 'agent', 700);
      killEdge(fleet, slot, 'proxy', 700);
    }),
  );
}

/** Loses a whole area without closing its connections: its peers are not notified, they only stop receiving. */
export function loseArea(fleet: Fleet, storm: Storm): void {
  const area = pick(fleet, ['north', 'middle', 'south']);
  const milliseconds = between(fleet, 2_000, 9_000);
  const cores = fleet.cores.filter((_, index) => ['north', 'middle', 'south'][index] === area && !storm.isDiskLost);
  const edges = fleet.edges.filter((slot) => slot.area === area);
  const members = fleet.members.filter((slot) => slot.place.area === area && slot.isRemoved !== true && slot.process?.alive() === true);
  recordPeakConnections(fleet, storm);
  const slots: ReadonlyArray<Readonly<{ machine: string; restart: () => void }>> = [
    ...cores
      .filter((slot) => slot.process?.alive() === true)
      .map((slot: CoreSlot) => ({ machine: slot.machine, restart: () => void fleet.startCore(slot) })),
    ...edges
      .filter((slot) => slot.agent.process?.alive() === true && slot.proxy.process?.alive() === true)
      .map((slot) => ({
        machine: slot.machine,
        restart: function restart(): void {
          void fleet.startAgent(slot);
          void fleet.startProxy(slot);
        },
      })),
    ...members.map((slot) => ({ machine: slot.machine, restart: () => void fleet.startMember(slot) })),
  ];
  for (const slot of members) storm.crossings += slot.running?.crossings() ?? 0;
  for (const slot of slots) {
    fleet.world.makeUnresponsive(slot.machine);
    fleet.world.schedule(milliseconds * between(fleet, 0.9, 1.1), () => {
      fleet.world.restoreMachine(slot.machine);
      slot.restart();
    });
  }
}

/** Stops the members too, so that only disks and the members' stores survive. */
export function stopEverything(fleet: Fleet, storm: Storm): void {
  const milliseconds = between(fleet, 300, 3_000);
  stopCoresAndEdges(fleet, storm, milliseconds);
  for (const slot of fleet.members) if (slot.isRemoved !== true) killMember(fleet, storm, slot, milliseconds * between(fleet, 0.8, 1.2));
}
