/** The runtime that a simulated process runs on: its own clock, its disk, and the network of the simulation. */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import {
  fault,
  identifiers,
  runtimeUtilities,
  wallClock,
  type Fault,
  type Instant,
  type Runtime,
  type Listener,
  type LogFields,
  type Protocols,
} from '@stallstall/kernel';
import { streamOver } from './frames.js';
import { simulatedDisk, type SimulatedDisk } from './simulated-disk.js';
import { connect } from './simulated-http.js';
import { openLink } from './simulated-links.js';
import type { SimulatedNetwork } from './simulated-network.js';
import type { SimulatedProcess } from './simulated-process.js';
import { openStream, streamKey } from './simulated-streams.js';

/** What a process wrote to its log. `at`: virtual milliseconds. */
export type LogLine = Readonly<{ at: number; process: string; event: string; fields: LogFields }>;

/** Where the log and the end of a process go. @internal */
export type ProcessRecord = Readonly<{ log: (line: LogLine) => void; stop: (reason: Fault) => void }>;

/** What the wall clocks show as a run begins. */
export const wallStart = 1_800_000_000_000;
/** How often a hanging disk is looked at. */
const hangLookMilliseconds = 5;

/** When a disk that hangs goes on, and at once if it does not. */
function whileHanging(network: SimulatedNetwork, process: SimulatedProcess, kept: SimulatedDisk, action: () => void): void {
  if (kept.trouble.hanging && process.alive) network.time.at(hangLookMilliseconds, () => whileHanging(network, process, kept, action));
  else action();
}

function putOn(
  network: SimulatedNetwork,
  process: SimulatedProcess,
  kept: SimulatedDisk,
  key: string,
  write: () => void,
): Promise<Either.Either<Fault, null>> {
  return new Promise((resolve) => {
    process.puts.add(write);
    function end(): void {
      if (!process.alive) return;
      process.puts.delete(write);
      if (kept.trouble.failing || kept.trouble.full) {
        const reason = kept.trouble.full ? 'no space left on device' : 'the disk is set to fail';
        network.inside(process, () => resolve(Either.left(fault.diskFailed(key, new Error(reason)))));
        return;
      }
      write();
      network.inside(process, () => resolve(Either.right(null)));
    }
    network.time.at(0.5 + network.time.random() * 2 + kept.trouble.slowMilliseconds, () => whileHanging(network, process, kept, end));
  });
}

/** The runtime that a simulated process runs on. */
function create(
  network: SimulatedNetwork,
  process: SimulatedProcess,
  disk: SimulatedDisk | undefined,
  protocols: Protocols,
  record: ProcessRecord,
): Runtime {
  function steady(): Instant {
    return (process.clockOffset + network.time.now() * process.clockRate) as Instant;
  }
  const clock = {
    now: steady,
    wall: wallClock.create(steady, () => identifiers.wallTime(wallStart + network.time.now() + process.wallOffset)),
    startTimer: function startTimer(milliseconds: number, action: () => void) {
      let live = true;
      network.time.at(
        milliseconds / process.clockRate,
        () =>
          network.inside(process, () => {
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
        network.time.at(milliseconds / process.clockRate, () => network.inside(process, resolve));
      }),
  };

  function listening(table: Map<string, { readonly process: SimulatedProcess }>, address: string): Listener {
    function deafen(): void {
      if (table.get(address)?.process === process) table.delete(address);
    }
    return {
      stopAccepting: deafen,
      stop: function stop() {
        deafen();
        return Promise.resolve();
      },
    };
  }

  const stored = Option.map((kept: SimulatedDisk) =>
    simulatedDisk.over(kept, clock, (key, write) => putOn(network, process, kept, key, write)),
  )(Option.fromNullable(disk));

  return {
    clock,
    protocols,
    disk: stored,
    randomness: {
      fraction: network.time.random,
      token: function token() {
        return `${network.nextToken().toString(36)}-${Math.floor(network.time.random() * 1e9).toString(36)}`;
      },
    },
    network: {
      listen: function listen(address, greet) {
        network.listeners.set(address, { process, greet });
        return Promise.resolve(listening(network.listeners, address));
      },
      open: (address) => openLink(network, process, address),
      listenStream: function listenStream(address, greet) {
        network.listeners.set(streamKey(address), { process, greet: (link) => greet(streamOver(link)) });
        return Promise.resolve(listening(network.listeners, streamKey(address)));
      },
      openStream: (address, milliseconds) => openStream(network, process, address, milliseconds),
      serve: function serve(address, server) {
        network.servers.set(address, { process, server });
        return Promise.resolve(listening(network.servers, address));
      },
      connect: (address) => connect(network, process, address),
    },
    log: function log(event, fields = {}) {
      if (process.alive) record.log({ at: network.time.now(), process: process.name, event, fields });
    },
    services: runtimeUtilities.directory(),
    stop: record.stop,
  };
}

export const simulatedRuntime = { create } as const;
