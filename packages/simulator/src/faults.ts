/** The faults that can occur in a simulated fleet, by name (design 10.4). */
import type { Fleet } from './fleet.js';
import { freeze, callCount } from './fleet-faults/targeted-strike.js';
import { loseArea, stopCoresAndEdges, stopEverything, restartInTurn } from './fleet-faults/outages.js';
import { plannedRestart, retirePrimary, replaceMember, drainEdge, addSpareEdge } from './fleet-faults/planned-changes.js';
import { redrawSettings, send, sendInvalidConfigurations, sendUntilAccepted } from './fleet-faults/configuration-changes.js';
import { killMember, enableKnob, cutMachine, restartCore, killEdge } from './fleet-faults/machine-faults.js';
import { create, type Storm } from './fleet-faults/fault-state.js';
import { between, pick } from './draws.js';

/** A fault that occurs at a drawn moment. */
type Fault = Readonly<{ name: string; run: (fleet: Fleet, storm: Storm) => void }>;

const allFaults: readonly Fault[] = [
  {
    name: 'kill-primary',
    run: (fleet, storm) => {
      const slot = fleet.primaryOf(pick(fleet, fleet.deployment.services));
      if (slot !== undefined) killMember(fleet, storm, slot, between(fleet, 3_000, 15_000));
    },
  },
  {
    name: 'primary-blinks',
    run: (fleet, storm) => {
      // Broken connections lose replies, and the member is back at once, so that a request sent again would run twice.
      for (const service of fleet.deployment.services) {
        const slot = fleet.primaryOf(service);
        if (slot !== undefined) killMember(fleet, storm, slot, between(fleet, 5, 60));
      }
    },
  },
  {
    name: 'kill-member',
    run: (fleet, storm) =>
      killMember(
        fleet,
        storm,
        pick(
          fleet,
          fleet.members.filter((member) => member.isRemoved !== true),
        ),
        between(fleet, 500, 8_000),
      ),
  },
  {
    name: 'member-dark',
    run: (fleet) =>
      enableKnob(
        fleet,
        pick(
          fleet,
          fleet.members.filter((member) => member.isRemoved !== true),
        ),
        'dark',
        between(fleet, 1_000, 9_000),
      ),
  },
  {
    name: 'member-deaf',
    run: (fleet) =>
      enableKnob(
        fleet,
        pick(
          fleet,
          fleet.members.filter((member) => member.isRemoved !== true),
        ),
        'deaf',
        between(fleet, 500, 6_000),
      ),
  },
  {
    name: 'replies-lost',
    run: (fleet) => {
      const slot = fleet.primaryOf(pick(fleet, fleet.deployment.services));
      if (slot !== undefined) enableKnob(fleet, slot, 'loseReplies', between(fleet, 100, 1_500));
    },
  },
  {
    name: 'cut-member',
    run: (fleet) =>
      cutMachine(
        fleet,
        pick(
          fleet,
          fleet.members.filter((member) => member.isRemoved !== true),
        ).machine,
        pick(fleet, ['both', 'in', 'out'] as const),
        between(fleet, 500, 9_000),
      ),
  },
  {
    name: 'freeze-member',
    run: (fleet) => {
      const slot = pick(
        fleet,
        fleet.members.filter((member) => member.isRemoved !== true),
      );
      if (slot.process !== undefined) fleet.world.freeze(slot.process, between(fleet, 500, 8_000));
    },
  },
  { name: 'kill-core', run: (fleet) => restartCore(fleet, Math.floor(between(fleet, 0, 3)), between(fleet, 200, 6_000)) },
  {
    name: 'blank-core',
    run: (fleet, storm) => {
      // One disk at a time: the fleet survives the loss of one core machine, and of another once the first has copied its data again.
      if (storm.isDiskLost || fleet.cores.some((core) => core.process?.alive() !== true)) return;
      const slot = pick(fleet, fleet.cores);
      storm.isDiskLost = true;
      fleet.stopSlot(slot);
      slot.disk = fleet.world.disk();
      fleet.world.schedule(between(fleet, 200, 3_000), () => void fleet.startCore(slot));
    },
  },
  {
    name: 'slow-disk',
    run: (fleet) => {
      const slot = pick(fleet, fleet.cores);
      slot.disk.faults.slowMilliseconds = between(fleet, 20, 700);
      fleet.world.schedule(between(fleet, 1_000, 5_000), () => {
        slot.disk.faults.slowMilliseconds = 0;
      });
    },
  },
  {
    name: 'failing-disk',
    run: (fleet) => {
      const slot = pick(fleet, fleet.cores);
      slot.disk.faults.failing = true;
      fleet.world.schedule(between(fleet, 1_000, 5_000), () => {
        slot.disk.faults.failing = false;
      });
    },
  },
  { name: 'kill-agent', run: (fleet) => killEdge(fleet, pick(fleet, fleet.edges), 'agent', between(fleet, 100, 4_000)) },
  { name: 'kill-proxy', run: (fleet) => killEdge(fleet, pick(fleet, fleet.edges), 'proxy', between(fleet, 100, 4_000)) },
  {
    name: 'cut-edge',
    run: (fleet) =>
      cutMachine(fleet, pick(fleet, fleet.edges).machine, pick(fleet, ['both', 'in', 'out'] as const), between(fleet, 500, 9_000)),
  },
  {
    name: 'cut-core',
    run: (fleet) =>
      cutMachine(fleet, pick(fleet, fleet.cores).machine, pick(fleet, ['both', 'in', 'out'] as const), between(fleet, 500, 9_000)),
  },
  {
    name: 'freeze-node',
    run: (fleet, storm) => {
      const process = pick(fleet, [
        ...fleet.cores.map((slot) => slot.process),
        ...fleet.edges.flatMap((slot) => [slot.agent.process, slot.proxy.process]),
      ]);
      if (process?.alive() === true) freeze(fleet, storm, process, between(fleet, 300, 6_000));
    },
  },
  {
    name: 'operators-race',
    run: (fleet, storm) => {
      redrawSettings(fleet, storm);
      void send(fleet, storm, 0);
      redrawSettings(fleet, storm);
      void send(fleet, storm, 1);
    },
  },
  { name: 'spoilt-sheets', run: (fleet) => sendInvalidConfigurations(fleet) },
  {
    name: 'platform-slow',
    run: (fleet) => {
      fleet.platform().knobs.slowMilliseconds = between(fleet, 100, 2_000);
      fleet.world.schedule(between(fleet, 1_000, 5_000), () => {
        fleet.platform().knobs.slowMilliseconds = 0;
      });
    },
  },
  {
    name: 'platform-trouble',
    run: (fleet) => {
      const knob = pick(fleet, ['down', 'losesReplies', 'denies', 'garbles'] as const);
      fleet.platform().knobs[knob] = true;
      fleet.world.schedule(between(fleet, 500, 4_000), () => {
        fleet.platform().knobs[knob] = false;
      });
    },
  },
  {
    name: 'zone-lost',
    run: (fleet, storm) => {
      const area = pick(fleet, ['north', 'middle', 'south']);
      const milliseconds = between(fleet, 2_000, 9_000);
      for (const slot of fleet.members)
        if (slot.place.area === area && slot.isRemoved !== true) killMember(fleet, storm, slot, milliseconds);
      for (const slot of fleet.edges) {
        if (slot.area !== area) continue;
        killEdge(fleet, slot, 'agent', milliseconds);
        killEdge(fleet, slot, 'proxy', milliseconds);
      }
    },
  },
  {
    name: 'primary-dies-half-seen',
    run: (fleet, storm) => {
      // One edge cannot reach the likely proposer and three other edges, but still reaches two cores and, counting itself, a majority.
      const edge = pick(fleet, fleet.edges);
      const slot = fleet.primaryOf(pick(fleet, fleet.deployment.services));
      const unreachable = [...fleet.cores.slice(0, 1), ...fleet.edges.filter((other) => other !== edge).slice(0, 3)];
      for (const node of unreachable) {
        fleet.world.cut(edge.machine, node.machine);
        fleet.world.cut(node.machine, edge.machine);
      }
      if (slot !== undefined)
        fleet.world.schedule(between(fleet, 0, 2_000), () => killMember(fleet, storm, slot, between(fleet, 9_000, 12_000)));
      fleet.world.schedule(between(fleet, 9_000, 13_000), () => {
        for (const node of unreachable) {
          fleet.world.heal(edge.machine, node.machine);
          fleet.world.heal(node.machine, edge.machine);
        }
      });
    },
  },
  {
    name: 'key-withdrawn',
    run: (fleet, storm) => {
      if (storm.secondKeyGrant === undefined) redrawSettings(fleet, storm);
      else storm.secondKeyGrant = undefined;
      void send(fleet, storm, 0);
    },
  },
  {
    name: 'senders-key-withdrawn',
    run: (fleet, storm) => {
      // All client sessions and their open transactions use this key.
      storm.isClientKeyRemoved = true;
      void send(fleet, storm, 0);
      fleet.world.schedule(between(fleet, 500, 3_500), () => {
        storm.isClientKeyRemoved = false;
        void sendUntilAccepted(fleet, storm);
      });
    },
  },
  {
    name: 'replies-garbled',
    run: (fleet) => {
      const slot = fleet.primaryOf(pick(fleet, fleet.deployment.services));
      if (slot !== undefined) enableKnob(fleet, slot, 'garbles', between(fleet, 100, 1_500));
    },
  },
  {
    name: 'actor-struck',
    run: (fleet, storm) => {
      const role = pick(fleet, ['promotion', 'usage'] as const);
      storm.pendingStrike = { role, how: pick(fleet, ['kill', 'freeze', 'cut'] as const), calls: callCount(fleet, role) };
      const slot = fleet.primaryOf(pick(fleet, fleet.deployment.services));
      if (role === 'promotion' && slot !== undefined) killMember(fleet, storm, slot, between(fleet, 9_000, 15_000));
    },
  },
  { name: 'planned-restart', run: plannedRestart },
  { name: 'retire-primary', run: retirePrimary },
  { name: 'replace-member', run: replaceMember },
  { name: 'drain-edge', run: drainEdge },
  { name: 'area-dark', run: loseArea },
  { name: 'everything-stops', run: stopEverything },
  { name: 'spare-edge', run: addSpareEdge },
  { name: 'all-stop', run: (fleet, storm) => stopCoresAndEdges(fleet, storm, between(fleet, 300, 4_000)) },
  { name: 'in-turn', run: (fleet) => restartInTurn(fleet) },
];

export const faults = { all: allFaults, create } as const;
