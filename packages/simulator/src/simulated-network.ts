/** The network between the machines of a simulation: latencies, cuts, unresponsive machines, and the listeners at each address. */
import type { HttpServer, Link } from '@stallstall/kernel';
import { jsonCopy } from './frames.js';
import type { SimulatedProcess } from './simulated-process.js';
import type { VirtualTime } from './virtual-time.js';

/** The process that accepts links or streams at an address. */
export type SimulatedListener = Readonly<{ process: SimulatedProcess; onLink: (link: Link) => void }>;
/** The process that accepts HTTP requests at an address. */
export type SimulatedServer = Readonly<{ process: SimulatedProcess; server: HttpServer }>;
/** Frames and bytes that a process has sent over links. */
export type Traffic = Readonly<{ frames: number; bytes: number }>;

/** The network shared by all processes of a simulation. @internal */
export type SimulatedNetwork = Readonly<{
  time: VirtualTime;
  /** Timeout of a connection attempt. */
  connectMilliseconds: number;
  listeners: Map<string, SimulatedListener>;
  servers: Map<string, SimulatedServer>;
  /** The machine that opened each HTTP connection, by connection identifier. */
  connectionMachines: Map<string, string>;
  /** Machines that lost power and so answer nothing, not even with a reset; with the processes that each was running. */
  unresponsiveMachines: Map<string, SimulatedProcess[]>;
  sent: ReadonlyMap<string, Traffic>;
  nextToken: () => number;
  /** Runs an action in a process: later if it is frozen, never if it has ended. */
  runInProcess: (process: SimulatedProcess, action: () => void) => void;
  latency: () => number;
  deliver: (from: SimulatedProcess, to: SimulatedProcess, milliseconds: number, action: () => void, isWithdrawn?: () => boolean) => void;
  isCut: (from: SimulatedProcess, to: SimulatedProcess) => boolean;
  encodeFrame: (from: SimulatedProcess, message: unknown) => unknown;
  cut: (from: string, to: string) => void;
  heal: (from: string, to: string) => void;
  isConnected: (left: string, right: string) => boolean;
  healAll: () => void;
}>;

/** How much a simulated network counts, and how long a connection attempt may take. */
export type NetworkOptions = Readonly<{
  /** Whether frames and bytes sent over links are counted. @default false */
  countsTraffic?: boolean;
  /** @default 3000 */
  connectMilliseconds?: number;
}>;

const defaultConnectMilliseconds = 3_000;
const minLatencyMilliseconds = 0.2;
const latencySpreadMilliseconds = 0.8;

/**
 * Creates the network of one simulation.
 * @param time - virtual clock and event queue
 */
function create(
  time: VirtualTime,
  { countsTraffic = false, connectMilliseconds = defaultConnectMilliseconds }: NetworkOptions,
): SimulatedNetwork {
  const heldByCut = new Map<string, Array<() => void>>();
  const sent = new Map<string, Traffic>();
  let lastToken = 0;

  function runInProcess(process: SimulatedProcess, action: () => void): void {
    if (!process.alive) return;
    if (process.frozenUntil > time.now()) time.schedule(process.frozenUntil - time.now(), () => runInProcess(process, action));
    else action();
  }

  function latency(): number {
    return minLatencyMilliseconds + time.random() * latencySpreadMilliseconds;
  }

  /**
   * Runs an action in a process on another machine. While that direction is cut the action is held, in order; a held action is dropped
   * if its sender has withdrawn it by the time the cut is healed.
   */
  function deliver(
    from: SimulatedProcess,
    to: SimulatedProcess,
    milliseconds: number,
    action: () => void,
    isWithdrawn: () => boolean = () => false,
  ): void {
    const direction = `${from.machine}>${to.machine}`;
    let wasHeld = false;
    function arrive(): void {
      const cut = heldByCut.get(direction);
      if (cut !== undefined) {
        wasHeld = true;
        cut.push(arrive);
      } else if (!wasHeld || !isWithdrawn()) runInProcess(to, action);
    }
    time.schedule(milliseconds, arrive);
  }

  function isCut(from: SimulatedProcess, to: SimulatedProcess): boolean {
    return heldByCut.has(`${from.machine}>${to.machine}`) || heldByCut.has(`${to.machine}>${from.machine}`);
  }

  /** Prepares a message for a link: counts it, and copies it so that sender and receiver share no object. */
  function encodeFrame(from: SimulatedProcess, message: unknown): unknown {
    if (countsTraffic) {
      const before = sent.get(from.name) ?? { frames: 0, bytes: 0 };
      sent.set(from.name, { frames: before.frames + 1, bytes: before.bytes + JSON.stringify(message).length });
    }
    return jsonCopy(message);
  }
  function healDirection(direction: string): void {
    const heldDeliveries = heldByCut.get(direction);
    heldByCut.delete(direction);
    for (const arrive of heldDeliveries ?? []) arrive();
  }

  return {
    time,
    connectMilliseconds,
    listeners: new Map(),
    servers: new Map(),
    connectionMachines: new Map(),
    unresponsiveMachines: new Map(),
    sent,
    nextToken: function nextToken() {
      lastToken += 1;
      return lastToken;
    },
    runInProcess: runInProcess,
    latency,
    deliver: deliver,
    isCut,
    encodeFrame: encodeFrame,
    cut: function cut(from, to) {
      const direction = `${from}>${to}`;
      if (!heldByCut.has(direction)) heldByCut.set(direction, []);
    },
    heal: (from, to) => healDirection(`${from}>${to}`),
    isConnected: (left, right) => !heldByCut.has(`${left}>${right}`) && !heldByCut.has(`${right}>${left}`),
    healAll: function healAll() {
      for (const direction of [...heldByCut.keys()]) healDirection(direction);
    },
  };
}

export const simulatedNetwork = { create } as const;
