/** What joins the machines of a simulation: latencies, cuts, machines that went dark, and who listens where. */
import type { HttpServer, Link } from '@stallstall/kernel';
import { copied } from './frames.js';
import type { SimulatedProcess } from './simulated-process.js';
import type { VirtualTime } from './virtual-time.js';

/** Who accepts links or streams at an address. */
export type SimulatedListener = Readonly<{ process: SimulatedProcess; greet: (link: Link) => void }>;
/** Who accepts HTTP requests at an address. */
export type SimulatedServer = Readonly<{ process: SimulatedProcess; server: HttpServer }>;
/** Frames and bytes that a process has sent over links. */
export type Traffic = Readonly<{ frames: number; bytes: number }>;

/** The network that every process of a simulation shares. @internal */
export type SimulatedNetwork = Readonly<{
  time: VirtualTime;
  listeners: Map<string, SimulatedListener>;
  servers: Map<string, SimulatedServer>;
  /** The machine of each HTTP connection, by the connection's identifier. */
  origins: Map<string, string>;
  /** Machines that went dark, and the processes lost with each. */
  dark: Map<string, SimulatedProcess[]>;
  sent: ReadonlyMap<string, Traffic>;
  nextToken: () => number;
  inside: (process: SimulatedProcess, action: () => void) => void;
  latency: () => number;
  carry: (from: SimulatedProcess, to: SimulatedProcess, milliseconds: number, action: () => void, takenBack?: () => boolean) => void;
  isCut: (from: SimulatedProcess, to: SimulatedProcess) => boolean;
  frame: (from: SimulatedProcess, message: unknown) => unknown;
  cut: (from: string, to: string) => void;
  heal: (from: string, to: string) => void;
  joined: (left: string, right: string) => boolean;
  healAll: () => void;
}>;

const leastLatency = 0.2;
const latencySpread = 0.8;

/**
 * Creates the network of one simulation.
 * @param time - the clock and the events
 * @param weighing - whether frames and bytes sent over links are counted
 */
function create(time: VirtualTime, weighing: boolean): SimulatedNetwork {
  const cuts = new Map<string, Array<() => void>>();
  const sent = new Map<string, Traffic>();
  let tokens = 0;

  function inside(process: SimulatedProcess, action: () => void): void {
    if (!process.alive) return;
    if (process.frozenUntil > time.now()) time.at(process.frozenUntil - time.now(), () => inside(process, action));
    else action();
  }

  function latency(): number {
    return leastLatency + time.random() * latencySpread;
  }

  /** Hands an action from one machine to another; while the way is cut it waits, in order, unless its sender has taken it back. */
  function carry(
    from: SimulatedProcess,
    to: SimulatedProcess,
    milliseconds: number,
    action: () => void,
    takenBack: () => boolean = () => false,
  ): void {
    const way = `${from.machine}>${to.machine}`;
    let held = false;
    function arrive(): void {
      const cut = cuts.get(way);
      if (cut !== undefined) {
        held = true;
        cut.push(arrive);
      } else if (!held || !takenBack()) inside(to, action);
    }
    time.at(milliseconds, arrive);
  }

  function isCut(from: SimulatedProcess, to: SimulatedProcess): boolean {
    return cuts.has(`${from.machine}>${to.machine}`) || cuts.has(`${to.machine}>${from.machine}`);
  }

  /** A frame as it goes over a link: counted, and copied so that nobody shares what was sent. */
  function frame(from: SimulatedProcess, message: unknown): unknown {
    if (weighing) {
      const before = sent.get(from.name) ?? { frames: 0, bytes: 0 };
      sent.set(from.name, { frames: before.frames + 1, bytes: before.bytes + JSON.stringify(message).length });
    }
    return copied(message);
  }
  function healWay(way: string): void {
    const held = cuts.get(way);
    cuts.delete(way);
    for (const arrive of held ?? []) arrive();
  }

  return {
    time,
    listeners: new Map(),
    servers: new Map(),
    origins: new Map(),
    dark: new Map(),
    sent,
    nextToken: function nextToken() {
      tokens += 1;
      return tokens;
    },
    inside,
    latency,
    carry,
    isCut,
    frame,
    cut: function cut(from, to) {
      const way = `${from}>${to}`;
      if (!cuts.has(way)) cuts.set(way, []);
    },
    heal: (from, to) => healWay(`${from}>${to}`),
    joined: (left, right) => !cuts.has(`${left}>${right}`) && !cuts.has(`${right}>${left}`),
    healAll: function healAll() {
      for (const way of [...cuts.keys()]) healWay(way);
    },
  };
}

export const simulatedNetwork = { create } as const;
