/** Simulated time, network, disks and randomness, all determined by one seed. The production code runs on them unchanged (design 10.4). */
import * as Option from 'fp-ts/lib/Option.js';
import { supportedProtocols, type Fault, type Protocols } from '@stallstall/kernel';
import type { SimulatedDisk } from './simulated-disk.js';
import { simulatedRuntime, type LogLine } from './simulated-runtime.js';
import { simulatedNetwork, type NetworkOptions, type Traffic } from './simulated-network.js';
import type { Process, SimulatedProcess } from './simulated-process.js';
import { virtualTime } from './virtual-time.js';

export type { DiskFaults, SimulatedDisk } from './simulated-disk.js';
export { initialWallTime, type LogLine } from './simulated-runtime.js';
export type { Process } from './simulated-process.js';

/** A process that stopped itself. */
export type EndedProcess = Readonly<{ process: string; at: number; reason: Fault }>;

/** One simulation: its processes, its network and its clock. */
export type World = Readonly<{
  now: () => number;
  fraction: () => number;
  spawn: (name: string, machine: string, disk?: SimulatedDisk, protocols?: Protocols) => Process;
  kill: (process: Process) => void;
  /** Stops a machine without closing its connections: peers receive nothing more until `restoreMachine` closes them. */
  makeUnresponsive: (machine: string) => void;
  restoreMachine: (machine: string) => void;
  /** The machine that opened an HTTP connection. */
  machineOf: (connection: string) => string;
  freeze: (process: Process, milliseconds: number) => void;
  /** Breaks a share of the connections of a process at both ends. Returns how many. */
  resetConnections: (process: Process, share: number) => number;
  /** Moves the wall clock of a process forward, or back if `milliseconds` is negative. */
  stepWallClock: (process: Process, milliseconds: number) => void;
  isFrozen: (process: Process) => boolean;
  /** Delays all messages from one machine to another until `heal`. */
  cut: (from: string, to: string) => void;
  heal: (from: string, to: string) => void;
  /** Whether messages pass between two machines, both ways. */
  isConnected: (left: string, right: string) => boolean;
  healAll: () => void;
  disk: () => SimulatedDisk;
  run: (milliseconds: number) => Promise<void>;
  schedule: (milliseconds: number, action: () => void) => void;
  logs: LogLine[];
  /** Processes that stopped themselves. */
  endedProcesses: readonly EndedProcess[];
  events: () => number;
  /** Frames and bytes that each process has sent over links between nodes. */
  sent: ReadonlyMap<string, Traffic>;
}>;
/**
 * Creates a simulation.
 * @param seed - determines all random draws
 */
function create(seed: number, options: NetworkOptions = {}): World {
  const time = virtualTime.create(seed);
  const network = simulatedNetwork.create(time, options);
  const logs: LogLine[] = [];
  const ended: EndedProcess[] = [];
  const processes = new Map<Process, SimulatedProcess>();

  /** The simulation's own state of a process. */
  function stateOf(process: Process): SimulatedProcess {
    return processes.get(process) as SimulatedProcess;
  }

  function end(simulated: SimulatedProcess): void {
    if (!simulated.alive) return;
    simulated.alive = false;
    for (const close of simulated.closeHandlers) close();
    simulated.closeHandlers.clear();
    simulated.resetHandlers.clear();
    resolvePendingWrites(simulated);
  }

  /** Ends a process that stops itself, and records why. */
  function stop(simulated: SimulatedProcess, reason: Fault): void {
    simulated.stopReason = Option.some(reason);
    if (simulated.alive) ended.push({ process: simulated.name, at: time.now(), reason });
    end(simulated);
  }

  /** Each disk write that was pending when its process ended has an even chance of being done. */
  function resolvePendingWrites(simulated: SimulatedProcess): void {
    for (const write of simulated.pendingWrites) if (time.random() < 0.5) write();
    simulated.pendingWrites.clear();
  }

  function darken(machine: string): void {
    const stopped = [...processes.values()].filter((simulated) => simulated.machine === machine && simulated.alive);
    for (const simulated of stopped) {
      simulated.alive = false;
      resolvePendingWrites(simulated);
    }
    network.unresponsiveMachines.set(machine, stopped);
  }

  /** The machine runs again and closes its former connections, which it no longer knows. */
  function light(machine: string): void {
    const stopped = network.unresponsiveMachines.get(machine) ?? [];
    network.unresponsiveMachines.delete(machine);
    for (const simulated of stopped) {
      for (const close of simulated.closeHandlers) close();
      simulated.closeHandlers.clear();
    }
  }

  /**
   * Starts a process. Clocks of product processes differ by an arbitrary offset and run at rates up to 3 % apart. Fake processes use the
   * simulation's time, which the ledger also uses.
   */
  function spawn(name: string, machine: string, disk?: SimulatedDisk, protocols: Protocols = supportedProtocols): Process {
    const isProduct = /^(core|edge)-/.test(name);
    const simulated: SimulatedProcess = {
      name,
      machine,
      alive: true,
      frozenUntil: 0,
      wallOffset: 0,
      clockOffset: isProduct ? time.random() * 1e7 : 0,
      clockRate: isProduct ? 0.985 + time.random() * 0.03 : 1,
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
    kill: (process) => end(stateOf(process)),
    freeze: function freeze(process, milliseconds) {
      const simulated = stateOf(process);
      simulated.frozenUntil = Math.max(simulated.frozenUntil, time.now() + milliseconds);
    },
    resetConnections: function resetConnections(process, share) {
      const chosen = [...stateOf(process).resetHandlers].filter(() => time.random() < share);
      for (const reset of chosen) reset();
      return chosen.length;
    },
    stepWallClock: function stepWall(process, milliseconds) {
      stateOf(process).wallOffset += milliseconds;
    },
    makeUnresponsive: darken,
    restoreMachine: light,
    machineOf: (connection) => network.connectionMachines.get(connection) ?? '',
    isFrozen: (process) => stateOf(process).frozenUntil > time.now(),
    cut: network.cut,
    heal: network.heal,
    isConnected: network.isConnected,
    healAll: network.healAll,
    disk: () => ({
      entries: new Map(),
      faults: { failing: false, full: false, hanging: false, slowMilliseconds: 0, configurationMilliseconds: 0 },
      configurationFreeAt: 0,
    }),
    run: time.run,
    schedule: time.schedule,
    logs,
    endedProcesses: ended,
    sent: network.sent,
    events: time.eventCount,
  };
}

export const world = { create } as const;
