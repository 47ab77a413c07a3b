/** Virtual time, network, disks and randomness from one seed; the production code runs on them unchanged (design 10.4). */
import * as Option from 'fp-ts/lib/Option.js';
import { supportedProtocols, type Fault, type Protocols } from '@stallstall/kernel';
import type { SimulatedDisk } from './simulated-disk.js';
import { simulatedRuntime, type LogLine } from './simulated-runtime.js';
import { simulatedNetwork, type Traffic } from './simulated-network.js';
import type { Process, SimulatedProcess } from './simulated-process.js';
import { virtualTime } from './virtual-time.js';

export type { DiskFaults, SimulatedDisk } from './simulated-disk.js';
export { initialWallTime, type LogLine } from './simulated-runtime.js';
export type { Process } from './simulated-process.js';

/** A process that ended by itself. */
export type EndedProcess = Readonly<{ process: string; at: number; reason: Fault }>;

/** One simulation: its processes, its network and its clock. */
export type World = Readonly<{
  now: () => number;
  fraction: () => number;
  spawn: (name: string, machine: string, disk?: SimulatedDisk, protocols?: Protocols) => Process;
  kill: (process: Process) => void;
  /** A machine that goes dark: whoever was connected to its processes hears nothing, until it is lit and closes them. */
  makeUnresponsive: (machine: string) => void;
  restoreMachine: (machine: string) => void;
  /** The machine from which an HTTP connection came. */
  machineOf: (connection: string) => string;
  freeze: (process: Process, milliseconds: number) => void;
  /** Breaks a share of the connections of a process at both ends; how many. */
  resetConnections: (process: Process, share: number) => number;
  /** Sets the wall clock of a process on, or back. */
  stepWallClock: (process: Process, milliseconds: number) => void;
  isFrozen: (process: Process) => boolean;
  /** Messages from one machine to another are held until the cut is healed. */
  cut: (from: string, to: string) => void;
  heal: (from: string, to: string) => void;
  /** Whether messages pass between two machines, both ways. */
  isConnected: (left: string, right: string) => boolean;
  healAll: () => void;
  disk: () => SimulatedDisk;
  run: (milliseconds: number) => Promise<void>;
  schedule: (milliseconds: number, action: () => void) => void;
  logs: LogLine[];
  /** Processes that ended by themselves. */
  endedProcesses: readonly EndedProcess[];
  events: () => number;
  /** Frames and bytes that each process has sent over links between nodes. */
  sent: ReadonlyMap<string, Traffic>;
}>;
/**
 * Creates a simulation.
 * @param seed - draws everything that is random in it
 * @param weighing - whether frames and bytes sent over links are counted
 */
function create(seed: number, weighing = false): World {
  const time = virtualTime.create(seed);
  const network = simulatedNetwork.create(time, weighing);
  const logs: LogLine[] = [];
  const ended: EndedProcess[] = [];
  const processes = new Map<Process, SimulatedProcess>();

  /** What the simulation keeps of one of its processes. */
  function kept(process: Process): SimulatedProcess {
    return processes.get(process) as SimulatedProcess;
  }

  function die(simulated: SimulatedProcess): void {
    if (!simulated.alive) return;
    simulated.alive = false;
    for (const close of simulated.closeHandlers) close();
    simulated.closeHandlers.clear();
    simulated.resetHandlers.clear();
    endPuts(simulated);
  }

  /** A process that ends by itself. */
  function stop(simulated: SimulatedProcess, reason: Fault): void {
    simulated.stopReason = Option.some(reason);
    if (simulated.alive) ended.push({ process: simulated.name, at: time.now(), reason });
    die(simulated);
  }

  function endPuts(simulated: SimulatedProcess): void {
    for (const write of simulated.pendingWrites) if (time.random() < 0.5) write();
    simulated.pendingWrites.clear();
  }

  function darken(machine: string): void {
    const lost = [...processes.values()].filter((simulated) => simulated.machine === machine && simulated.alive);
    for (const simulated of lost) {
      simulated.alive = false;
      endPuts(simulated);
    }
    network.unresponsiveMachines.set(machine, lost);
  }

  /** The machine runs again: it knows nothing of the connections of before, and says so. */
  function light(machine: string): void {
    const lost = network.unresponsiveMachines.get(machine) ?? [];
    network.unresponsiveMachines.delete(machine);
    for (const simulated of lost) {
      for (const close of simulated.closeHandlers) close();
      simulated.closeHandlers.clear();
    }
  }

  /** Clocks of the product differ by any span, and run up to 3 % apart; those of the stand-ins are the ledger's. */
  function spawn(name: string, machine: string, disk?: SimulatedDisk, protocols: Protocols = supportedProtocols): Process {
    const product = /^(core|edge)-/.test(name);
    const simulated: SimulatedProcess = {
      name,
      machine,
      alive: true,
      frozenUntil: 0,
      wallOffset: 0,
      clockOffset: product ? time.random() * 1e7 : 0,
      clockRate: product ? 0.985 + time.random() * 0.03 : 1,
      stopReason: Option.none,
      closeHandlers: new Set(),
      pendingWrites: new Set(),
      resetHandlers: new Set(),
    };
    const process: Process = {
      name,
      machine,
      runtime: simulatedRuntime.create(network, simulated, disk, protocols, {
        log: (line) => logs.push(line),
        stop: (reason) => stop(simulated, reason),
      }),
      alive: () => simulated.alive,
      stopReason: () => simulated.stopReason,
    };
    processes.set(process, simulated);
    return process;
  }
  return {
    now: time.now,
    fraction: time.random,
    spawn,
    kill: (process) => die(kept(process)),
    freeze: function freeze(process, milliseconds) {
      const simulated = kept(process);
      simulated.frozenUntil = Math.max(simulated.frozenUntil, time.now() + milliseconds);
    },
    resetConnections: function resetConnections(process, share) {
      const chosen = [...kept(process).resetHandlers].filter(() => time.random() < share);
      for (const reset of chosen) reset();
      return chosen.length;
    },
    stepWallClock: function stepWall(process, milliseconds) {
      kept(process).wallOffset += milliseconds;
    },
    makeUnresponsive: darken,
    restoreMachine: light,
    machineOf: (connection) => network.connectionMachines.get(connection) ?? '',
    isFrozen: (process) => kept(process).frozenUntil > time.now(),
    cut: network.cut,
    heal: network.heal,
    isConnected: network.isConnected,
    healAll: network.healAll,
    disk: () => ({ entries: new Map(), faults: { failing: false, full: false, hanging: false, slowMilliseconds: 0 } }),
    run: time.run,
    schedule: time.schedule,
    logs,
    endedProcesses: ended,
    sent: network.sent,
    events: time.eventCount,
  };
}

export const world = { create } as const;
