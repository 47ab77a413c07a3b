/** Virtual time, network, disks and randomness from one seed; the production code runs on them unchanged (design 10.4). */
import v8 from 'node:v8';
import vm from 'node:vm';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import {
  fault,
  http,
  identifiers,
  kernel as kernels,
  protocolsSpoken,
  type Fault,
  type OutgoingHttpRequest,
  type HttpConnection,
  type HttpReply,
  type HttpServer,
  type Instant,
  type Kernel,
  type Link,
  type Listening,
  type LogFields,
  type Protocols,
  wallClock,
  type Stream,
} from '@stallstall/kernel';
import { generator, queue } from './event-queue.js';
import { copied, streamOver } from './frames.js';
import { simulatedDisk, type SimulatedDisk } from './simulated-disk.js';

export type { DiskTrouble, SimulatedDisk } from './simulated-disk.js';

export type Process = Readonly<{
  name: string;
  machine: string;
  kernel: Kernel;
  alive: () => boolean;
  stoppedBy: () => Option.Option<Fault>;
}>;

type Body = {
  readonly name: string;
  readonly machine: string;
  alive: boolean;
  frozenUntil: number;
  /** Each product process has a clock of its own: where it began, and how fast it goes. */
  readonly clockOffset: number;
  /** How far its wall clock was stepped. */
  wallOffset: number;
  readonly clockRate: number;
  stoppedBy: Option.Option<Fault>;
  readonly closers: Set<() => void>;
  /** Puts under way: whether one stands when its process is killed, only the disk knows. */
  readonly puts: Set<() => void>;
  /** One for each connection that stands: breaks it at both ends. */
  readonly resets: Set<() => void>;
};

/** A process that ended by itself. */
export type EndedProcess = Readonly<{ process: string; at: number; reason: Fault }>;

export type LogLine = Readonly<{ at: number; process: string; event: string; fields: LogFields }>;

export type World = Readonly<{
  now: () => number;
  fraction: () => number;
  spawn: (name: string, machine: string, disk?: SimulatedDisk, protocols?: Protocols) => Process;
  kill: (process: Process) => void;
  /** A machine that goes dark: whoever was connected to its processes hears nothing, until it is lit and closes them. */
  darken: (machine: string) => void;
  light: (machine: string) => void;
  /** The machine from which an HTTP connection came. */
  machineOf: (connection: string) => string;
  freeze: (process: Process, milliseconds: number) => void;
  /** Breaks a share of the connections of a process at both ends; how many. */
  resetConnections: (process: Process, share: number) => number;
  /** Sets the wall clock of a process on, or back. */
  stepWall: (process: Process, milliseconds: number) => void;
  frozen: (process: Process) => boolean;
  /** Messages from one machine to another are held until the cut is healed. */
  cut: (from: string, to: string) => void;
  heal: (from: string, to: string) => void;
  /** Whether messages pass between two machines, both ways. */
  joined: (left: string, right: string) => boolean;
  healAll: () => void;
  disk: () => SimulatedDisk;
  run: (milliseconds: number) => Promise<void>;
  at: (milliseconds: number, action: () => void) => void;
  logs: LogLine[];
  /** Processes that ended by themselves. */
  ended: readonly EndedProcess[];
  events: () => number;
  /** Frames and bytes that each process has sent over links between nodes. */
  sent: ReadonlyMap<string, Readonly<{ frames: number; bytes: number }>>;
}>;

v8.setFlagsFromString('--allow-natives-syntax');
/** Lets every promise that can go on do so before the next event, at a third of the cost of a turn of the event loop. */
const settlePromises = vm.runInThisContext('(function settlePromises() { %PerformMicrotaskCheckpoint(); })') as () => void;

const hangLookMilliseconds = 5;
/** What the wall clocks show as a run begins. */
export const wallStart = 1_800_000_000_000;
const leastLatency = 0.2;
const latencySpread = 0.8;
const connectMilliseconds = 3_000;

function create(seed: number, weighing = false): World {
  const random = generator(seed);
  const events = queue();
  const cuts = new Map<string, Array<() => void>>();
  const listeners = new Map<string, Readonly<{ body: Body; greet: (link: Link) => void }>>();
  const servers = new Map<string, Readonly<{ body: Body; server: HttpServer }>>();
  const origins = new Map<string, string>();
  const dark = new Map<string, Body[]>();
  const logs: LogLine[] = [];
  const ended: EndedProcess[] = [];
  const sent = new Map<string, Readonly<{ frames: number; bytes: number }>>();
  let now = 0;
  let order = 0;
  let count = 0;
  let tokens = 0;

  function at(milliseconds: number, action: () => void, wanted?: () => boolean): void {
    order += 1;
    events.push({ at: now + Math.max(0, milliseconds), order, action, wanted });
  }

  function inside(body: Body, action: () => void): void {
    if (!body.alive) return;
    if (body.frozenUntil > now) at(body.frozenUntil - now, () => inside(body, action));
    else action();
  }

  function latency(): number {
    return leastLatency + random() * latencySpread;
  }

  /** Hands an action from one machine to another; while the way is cut it waits, in order, unless its sender has taken it back. */
  function carry(from: Body, to: Body, milliseconds: number, action: () => void, takenBack: () => boolean = () => false): void {
    const way = `${from.machine}>${to.machine}`;
    let held = false;
    function arrive(): void {
      const cut = cuts.get(way);
      if (cut !== undefined) {
        held = true;
        cut.push(arrive);
      } else if (!held || !takenBack()) inside(to, action);
    }
    at(milliseconds, arrive);
  }

  function isCut(from: Body, to: Body): boolean {
    return cuts.has(`${from.machine}>${to.machine}`) || cuts.has(`${to.machine}>${from.machine}`);
  }

  /** A frame as it goes over a link: counted, and copied so that nobody shares what was sent. */
  function frame(from: Body, message: unknown): unknown {
    if (weighing) {
      const before = sent.get(from.name) ?? { frames: 0, bytes: 0 };
      sent.set(from.name, { frames: before.frames + 1, bytes: before.bytes + JSON.stringify(message).length });
    }
    return copied(message);
  }

  // -- Links.

  type End = { readonly link: Link; readonly take: (message: unknown) => void; readonly broken: () => void };

  /** `drop`: what was sent and has not arrived never does. */
  function end(send: (message: unknown) => void, close: () => void, drop: () => void): End {
    const arrived: unknown[] = [];
    let waiting: ((message: Option.Option<unknown>) => void) | undefined;
    let open = true;

    function take(message: unknown): void {
      if (!open) return;
      if (waiting === undefined) arrived.push(message);
      else {
        const resolve = waiting;
        waiting = undefined;
        resolve(Option.some(message));
      }
    }

    function broken(): void {
      if (!open) return;
      open = false;
      waiting?.(Option.none);
      waiting = undefined;
    }

    return {
      take,
      broken,
      link: {
        send: function sendOn(message) {
          if (open) send(message);
        },
        receive: function receive() {
          if (arrived.length > 0) return Promise.resolve(Option.some(arrived.shift()));
          if (!open) return Promise.resolve(Option.none);
          return new Promise((resolve) => {
            waiting = resolve;
          });
        },
        close: function closeOn() {
          if (!open) return;
          broken();
          close();
        },
        reset: function resetOn() {
          if (!open) return;
          drop();
          broken();
          close();
        },
      },
    };
  }

  /** Keeps each direction in order whatever the latencies are. */
  function lane(from: Body, to: Body): (action: () => void) => void {
    let last = 0;
    return function put(action) {
      const due = Math.max(now + latency(), last + 0.001);
      last = due;
      carry(from, to, due - now, action);
    };
  }

  function openLink(body: Body, address: string): Promise<Either.Either<Fault, Link>> {
    return new Promise((resolve) => {
      let settled = false;
      function settle(result: Either.Either<Fault, Link>): void {
        if (settled) return;
        settled = true;
        resolve(result);
      }
      const listener = listeners.get(address);
      function unreachable(): void {
        settle(
          Either.left(
            fault.create({ kind: 'unreachable', message: `nothing listens on ${address}`, remedy: 'start it, or mend the address' }),
          ),
        );
      }
      at(
        connectMilliseconds,
        () => inside(body, unreachable),
        () => !settled,
      );
      if (listener !== undefined && dark.has(listener.body.machine)) return;
      if (listener === undefined || !listener.body.alive) {
        at(latency(), () => inside(body, unreachable));
        return;
      }
      const there = lane(body, listener.body);
      const back = lane(listener.body, body);
      let nearDropped = false;
      let farDropped = false;
      const near: End = end(
        (message) => {
          if (!body.alive) return;
          const copy = frame(body, message);
          there(() => (nearDropped ? undefined : far.take(copy)));
        },
        () => hangUp(there, far),
        () => {
          nearDropped = true;
        },
      );
      const far: End = end(
        (message) => {
          if (!listener.body.alive) return;
          const copy = frame(listener.body, message);
          back(() => (farDropped ? undefined : near.take(copy)));
        },
        () => hangUp(back, near),
        () => {
          farDropped = true;
        },
      );
      function forget(): void {
        body.closers.delete(nearGone);
        listener?.body.closers.delete(farGone);
        body.resets.delete(reset);
        listener?.body.resets.delete(reset);
      }
      function hangUp(put: (action: () => void) => void, other: End): void {
        forget();
        put(other.broken);
      }
      function reset(): void {
        forget();
        inside(body, near.broken);
        if (listener !== undefined) inside(listener.body, far.broken);
      }
      function nearGone(): void {
        there(far.broken);
      }
      function farGone(): void {
        back(near.broken);
      }
      there(() => {
        listener.body.closers.add(farGone);
        body.closers.add(nearGone);
        listener.body.resets.add(reset);
        body.resets.add(reset);
        listener.greet(far.link);
        // Whoever has given up meanwhile says so: nothing stays half open.
        back(() => (settled ? near.link.close() : settle(Either.right(near.link))));
      });
    });
  }

  // -- Streams: links that carry text, so that order, cuts and darkness hold for them as well.

  function streamKey(address: string): string {
    return `stream ${address}`;
  }

  async function openStream(body: Body, address: string, milliseconds: number): Promise<Either.Either<Fault, Stream>> {
    const listener = listeners.get(streamKey(address));
    const late = new Promise<Either.Either<Fault, Link>>((resolve) => {
      at(milliseconds, () =>
        inside(body, () =>
          resolve(
            Either.left(
              fault.create({
                kind: 'unreachable',
                message: `${address} could not be reached`,
                remedy: 'see whether it runs and can be reached',
              }),
            ),
          ),
        ),
      );
    });
    const opening = openLink(body, streamKey(address));
    const opened = await Promise.race([opening, late]);
    if (Either.isRight(opened)) return Either.right(streamOver(opened.right));
    void opening.then((link) => {
      if (Either.isRight(link)) link.right.close();
    });
    const notListening = listener === undefined || (!listener.body.alive && !dark.has(listener.body.machine));
    return notListening
      ? Either.left(
          fault.create({ kind: 'not-listening', message: `nothing listens on ${address}`, remedy: 'start it, or mend the address' }),
        )
      : opened;
  }

  // -- HTTP.

  function connect(body: Body, address: string): HttpConnection {
    tokens += 1;
    const id = `connection-${tokens}`;
    origins.set(id, body.machine);
    let peerBody: Body | undefined;
    let peerServer: HttpServer | undefined;
    let closed = false;
    let pending: ((result: Either.Either<Fault, HttpReply>) => void) | undefined;

    function lostFault(kind: 'unreachable' | 'reply-lost'): Fault {
      return fault.create({
        kind,
        message: kind === 'unreachable' ? `${address} could not be reached` : `the reply of ${address} was lost`,
        remedy: 'see whether it runs and can be reached',
      });
    }

    function farGone(): void {
      if (peerBody === undefined) return;
      carry(peerBody, body, latency(), () => {
        closed = true;
        pending?.(Either.left(lostFault('reply-lost')));
      });
    }

    function tellClosed(): void {
      const server = peerServer;
      if (peerBody === undefined || server === undefined) return;
      peerBody.closers.delete(farGone);
      forgetReset();
      carry(body, peerBody, latency(), () => server.connectionClosed?.(id));
    }

    function forgetReset(): void {
      body.resets.delete(reset);
      peerBody?.resets.delete(reset);
    }

    function reset(): void {
      if (closed || peerBody === undefined) return;
      closed = true;
      forgetReset();
      peerBody.closers.delete(farGone);
      body.closers.delete(tellClosed);
      const server = peerServer;
      inside(peerBody, () => server?.connectionClosed?.(id));
      inside(body, () => pending?.(Either.left(lostFault('reply-lost'))));
    }

    function close(): void {
      if (closed) return;
      closed = true;
      body.closers.delete(tellClosed);
      tellClosed();
      pending?.(Either.left(lostFault('reply-lost')));
    }

    function reach(): Promise<boolean> {
      if (peerBody !== undefined) return Promise.resolve(true);
      return new Promise((resolve) => {
        const found = servers.get(address);
        const silent = found !== undefined && (dark.has(found.body.machine) || isCut(body, found.body));
        if (!silent && (found === undefined || !found.body.alive)) {
          at(latency(), () => inside(body, () => resolve(false)));
          return;
        }
        at(
          connectMilliseconds,
          () => inside(body, () => resolve(false)),
          () => peerBody === undefined && !closed,
        );
        if (silent || found === undefined) return;
        carry(body, found.body, latency(), () => {
          if (closed) return;
          peerBody = found.body;
          peerServer = found.server;
          found.body.closers.add(farGone);
          body.closers.add(tellClosed);
          found.body.resets.add(reset);
          body.resets.add(reset);
          carry(found.body, body, latency(), () => resolve(true));
        });
      });
    }

    function exchange(ask: OutgoingHttpRequest, milliseconds: number): Promise<Either.Either<Fault, HttpReply>> {
      return new Promise((resolve) => {
        let settled = false;
        let left = false;
        function settle(result: Either.Either<Fault, HttpReply>): void {
          if (settled) return;
          settled = true;
          pending = undefined;
          resolve(result);
        }
        if (closed) {
          settle(Either.left(lostFault('unreachable')));
          return;
        }
        pending = settle;
        at(
          milliseconds,
          () =>
            inside(body, () => {
              if (settled) return;
              settle(Either.left(lostFault(left ? 'reply-lost' : 'unreachable')));
              close();
            }),
          () => !settled,
        );
        void reach().then((reached) => {
          if (settled || !body.alive) return;
          const far = peerBody;
          const server = peerServer;
          if (!reached || far === undefined || server === undefined || closed) {
            settle(Either.left(lostFault('unreachable')));
            return;
          }
          if (ask.leaveBefore !== undefined && body.clockOffset + now * body.clockRate >= ask.leaveBefore) {
            settle(Either.left(lostFault('unreachable')));
            close();
            return;
          }
          left = true;
          const [path, query] = ask.path.split('?');
          const copy = copied(ask.body);
          carry(
            body,
            far,
            latency(),
            () => {
              void http
                .dispatch(server.routes, {
                  method: ask.method,
                  path: path ?? '',
                  query: Object.fromEntries(new URLSearchParams(query ?? '')),
                  headers: ask.headers ?? {},
                  body: copy,
                  connection: id,
                })
                .then((reply) => {
                  if (!far.alive) return;
                  const told = { ...reply, body: copied(reply.body) };
                  carry(far, body, latency(), () => {
                    settle(Either.right(told));
                    if (reply.headers?.['connection'] === 'close') close();
                  });
                });
            },
            () => closed,
          );
        });
      });
    }

    return { exchange, close, closed: () => closed };
  }

  // -- Disks.

  /** When a disk that hangs goes on, and at once if it does not. */
  function whileHanging(body: Body, kept: SimulatedDisk, action: () => void): void {
    if (kept.trouble.hanging && body.alive) at(hangLookMilliseconds, () => whileHanging(body, kept, action));
    else action();
  }

  function putOn(body: Body, kept: SimulatedDisk, key: string, write: () => void): Promise<Either.Either<Fault, null>> {
    return new Promise((resolve) => {
      body.puts.add(write);
      function end(): void {
        if (!body.alive) return;
        body.puts.delete(write);
        if (kept.trouble.failing || kept.trouble.full) {
          const reason = kept.trouble.full ? 'no space left on device' : 'the disk is set to fail';
          inside(body, () => resolve(Either.left(fault.diskFailed(key, new Error(reason)))));
          return;
        }
        write();
        inside(body, () => resolve(Either.right(null)));
      }
      at(0.5 + random() * 2 + kept.trouble.slowMilliseconds, () => whileHanging(body, kept, end));
    });
  }

  function kernelOf(body: Body, disk: SimulatedDisk | undefined, protocols: Protocols): Kernel {
    function steady(): Instant {
      return (body.clockOffset + now * body.clockRate) as Instant;
    }
    const clock = {
      now: steady,
      wall: wallClock.create(steady, () => identifiers.wallTime(wallStart + now + body.wallOffset)),
      startTimer: function startTimer(milliseconds: number, action: () => void) {
        let live = true;
        at(
          milliseconds / body.clockRate,
          () =>
            inside(body, () => {
              if (live) action();
            }),
          () => live,
        );
        return {
          cancel: function cancel() {
            live = false;
          },
        };
      },
      sleep: (milliseconds: number) =>
        new Promise<void>((resolve) => {
          at(milliseconds / body.clockRate, () => inside(body, resolve));
        }),
    };

    function listening(table: Map<string, { readonly body: Body }>, address: string): Listening {
      function deafen(): void {
        if (table.get(address)?.body === body) table.delete(address);
      }
      return {
        stopAccepting: deafen,
        stop: function stop() {
          deafen();
          return Promise.resolve();
        },
      };
    }

    const stored = Option.map((kept: SimulatedDisk) => simulatedDisk.over(kept, clock, (key, write) => putOn(body, kept, key, write)))(
      Option.fromNullable(disk),
    );

    return {
      clock,
      protocols,
      disk: stored,
      randomness: {
        fraction: random,
        token: function token() {
          tokens += 1;
          return `${tokens.toString(36)}-${Math.floor(random() * 1e9).toString(36)}`;
        },
      },
      network: {
        listen: function listen(address, greet) {
          listeners.set(address, { body, greet });
          return Promise.resolve(listening(listeners, address));
        },
        open: (address) => openLink(body, address),
        listenStream: function listenStream(address, greet) {
          listeners.set(streamKey(address), { body, greet: (link) => greet(streamOver(link)) });
          return Promise.resolve(listening(listeners, streamKey(address)));
        },
        openStream: (address, milliseconds) => openStream(body, address, milliseconds),
        serve: function serve(address, server) {
          servers.set(address, { body, server });
          return Promise.resolve(listening(servers, address));
        },
        connect: (address) => connect(body, address),
      },
      log: function log(event, fields = {}) {
        if (body.alive) logs.push({ at: now, process: body.name, event, fields });
      },
      services: kernels.directory(),
      stop: function stop(reason) {
        body.stoppedBy = Option.some(reason);
        if (body.alive) ended.push({ process: body.name, at: now, reason });
        die(body);
      },
    };
  }

  const bodies = new Map<Process, Body>();

  function die(body: Body): void {
    if (!body.alive) return;
    body.alive = false;
    for (const close of body.closers) close();
    body.closers.clear();
    body.resets.clear();
    endPuts(body);
  }

  function endPuts(body: Body): void {
    for (const write of body.puts) if (random() < 0.5) write();
    body.puts.clear();
  }

  function darken(machine: string): void {
    const lost = [...bodies.values()].filter((body) => body.machine === machine && body.alive);
    for (const body of lost) {
      body.alive = false;
      endPuts(body);
    }
    dark.set(machine, lost);
  }

  /** The machine runs again: it knows nothing of the connections of before, and says so. */
  function light(machine: string): void {
    const lost = dark.get(machine) ?? [];
    dark.delete(machine);
    for (const body of lost) {
      for (const close of body.closers) close();
      body.closers.clear();
    }
  }

  /** Clocks of the product differ by any span, and run up to 3 % apart; those of the stand-ins are the ledger's. */
  function spawn(name: string, machine: string, disk?: SimulatedDisk, protocols: Protocols = protocolsSpoken): Process {
    const product = /^(core|edge)-/.test(name);
    const body: Body = {
      name,
      machine,
      alive: true,
      frozenUntil: 0,
      wallOffset: 0,
      clockOffset: product ? random() * 1e7 : 0,
      clockRate: product ? 0.985 + random() * 0.03 : 1,
      stoppedBy: Option.none,
      closers: new Set(),
      puts: new Set(),
      resets: new Set(),
    };
    const process: Process = {
      name,
      machine,
      kernel: kernelOf(body, disk, protocols),
      alive: () => body.alive,
      stoppedBy: () => body.stoppedBy,
    };
    bodies.set(process, body);
    return process;
  }

  function healWay(way: string): void {
    const held = cuts.get(way);
    cuts.delete(way);
    for (const arrive of held ?? []) arrive();
  }

  /** Within one turn of the event loop as many events as fit; a turn of its own begins outside any promise. */
  function turn(until: number): Promise<boolean> {
    return new Promise((resolve, reject) => {
      setImmediate(() => {
        try {
          settlePromises();
          for (let left = 2_000; left > 0; left -= 1) {
            const next = events.peek();
            if (next === undefined || next.at > until) {
              resolve(false);
              return;
            }
            events.pop();
            now = Math.max(now, next.at);
            if (next.wanted?.() === false) continue;
            next.action();
            count += 1;
            settlePromises();
          }
          resolve(true);
        } catch (error) {
          reject(error as Error);
        }
      });
    });
  }

  async function run(milliseconds: number): Promise<void> {
    const until = now + milliseconds;
    while (await turn(until));
    now = until;
  }

  return {
    now: () => now,
    fraction: random,
    spawn,
    kill: (process) => die(bodies.get(process) as Body),
    freeze: function freeze(process, milliseconds) {
      const body = bodies.get(process) as Body;
      body.frozenUntil = Math.max(body.frozenUntil, now + milliseconds);
    },
    resetConnections: function resetConnections(process, share) {
      const chosen = [...(bodies.get(process) as Body).resets].filter(() => random() < share);
      for (const reset of chosen) reset();
      return chosen.length;
    },
    stepWall: function stepWall(process, milliseconds) {
      (bodies.get(process) as Body).wallOffset += milliseconds;
    },
    darken,
    light,
    machineOf: (connection) => origins.get(connection) ?? '',
    frozen: (process) => (bodies.get(process) as Body).frozenUntil > now,
    cut: function cut(from, to) {
      const way = `${from}>${to}`;
      if (!cuts.has(way)) cuts.set(way, []);
    },
    heal: (from, to) => healWay(`${from}>${to}`),
    joined: (left, right) => !cuts.has(`${left}>${right}`) && !cuts.has(`${right}>${left}`),
    healAll: function healAll() {
      for (const way of [...cuts.keys()]) healWay(way);
    },
    disk: () => ({ entries: new Map(), trouble: { failing: false, full: false, hanging: false, slowMilliseconds: 0 } }),
    run,
    at,
    logs,
    ended,
    sent,
    events: () => count,
  };
}

export const world = { create } as const;
