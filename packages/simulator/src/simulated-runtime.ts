/** The runtime of a simulated process: its own clock and disk, and the shared simulated network. */
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
import { streamFromLink } from './frames.js';
import { simulatedDisk, type SimulatedDisk } from './simulated-disk.js';
import { connect } from './simulated-http.js';
import { openLink } from './simulated-links.js';
import type { SimulatedNetwork } from './simulated-network.js';
import type { SimulatedProcess } from './simulated-process.js';
import { openStream, streamKey } from './simulated-streams.js';

/** A log line of a process. `at`: virtual milliseconds since the run began. */
export type LogLine = Readonly<{ at: number; process: string; event: string; fields: LogFields }>;

/** Receives the log lines of a process, and the reason when it ends by itself. @internal */
export type ProcessCallbacks = Readonly<{ log: (line: LogLine) => void; stop: (reason: Fault) => void }>;

/** Wall-clock time at the start of a run, in milliseconds since the epoch. */
export const initialWallTime = 1_800_000_000_000;
/** How often a write checks whether its disk still hangs. */
const hangingDiskPollMilliseconds = 5;

/** Runs an action as soon as the disk no longer hangs, at once if it does not. */
function runOnceDiskResponds(network: SimulatedNetwork, process: SimulatedProcess, disk: SimulatedDisk, action: () => void): void {
  if (disk.faults.hanging && process.alive)
    network.time.schedule(hangingDiskPollMilliseconds, () => runOnceDiskResponds(network, process, disk, action));
  else action();
}

/** The key of the configuration's cell in the data folder. */
const configurationKey = 'register/configuration';

/** How much longer a write that starts now takes because of the faults of the disk. */
function delayOfWrite({ time }: SimulatedNetwork, disk: SimulatedDisk, key: string): number {
  const { slowMilliseconds, configurationMilliseconds } = disk.faults;
  if (key !== configurationKey) return slowMilliseconds;
  disk.configurationFreeAt = Math.max(time.now(), disk.configurationFreeAt) + configurationMilliseconds;
  return slowMilliseconds + disk.configurationFreeAt - time.now();
}

function scheduleWrite(
  network: SimulatedNetwork,
  process: SimulatedProcess,
  disk: SimulatedDisk,
  key: string,
  write: () => void,
): Promise<Either.Either<Fault, null>> {
  return new Promise((resolve) => {
    process.pendingWrites.add(write);
    function complete(): void {
      if (!process.alive) return;
      process.pendingWrites.delete(write);
      if (disk.faults.failing || disk.faults.full) {
        const reason = disk.faults.full ? 'no space left on device' : 'the simulated disk is set to fail';
        network.runInProcess(process, () => resolve(Either.left(fault.diskFailed(key, new Error(reason)))));
        return;
      }
      write();
      network.runInProcess(process, () => resolve(Either.right(null)));
    }
    network.time.schedule(0.5 + network.time.random() * 2 + delayOfWrite(network, disk, key), () =>
      runOnceDiskResponds(network, process, disk, complete),
    );
  });
}

/** Creates the runtime of a simulated process. */
function create(
  network: SimulatedNetwork,
  process: SimulatedProcess,
  disk: SimulatedDisk | undefined,
  protocols: Protocols,
  callbacks: ProcessCallbacks,
): Runtime {
  function monotonicNow(): Instant {
    return (process.clockOffset + network.time.now() * process.clockRate) as Instant;
  }
  const clock = {
    now: monotonicNow,
    wall: wallClock.create(monotonicNow, () => identifiers.wallTime(initialWallTime + network.time.now() + process.wallOffset)),
    startTimer: function startTimer(milliseconds: number, action: () => void) {
      let active = true;
      network.time.schedule(
        milliseconds / process.clockRate,
        () =>
          network.runInProcess(process, () => {
            if (active) action();
          }),
        () => active,
      );
      return {
        cancel: function cancel() {
          active = false;
        },
      };
    },
    sleep: (milliseconds: number) =>
      new Promise<void>((resolve) => {
        network.time.schedule(milliseconds / process.clockRate, () => network.runInProcess(process, resolve));
      }),
  };

  function listeningAt(listeners: Map<string, { readonly process: SimulatedProcess }>, address: string): Listener {
    function stopAccepting(): void {
      if (listeners.get(address)?.process === process) listeners.delete(address);
    }
    return {
      stopAccepting: stopAccepting,
      stop: function stop() {
        stopAccepting();
        return Promise.resolve();
      },
    };
  }

  const processDisk = Option.map((simulated: SimulatedDisk) =>
    simulatedDisk.create(simulated, clock, (key, write) => scheduleWrite(network, process, simulated, key, write)),
  )(Option.fromNullable(disk));

  return {
    clock,
    protocols,
    disk: processDisk,
    randomness: {
      fraction: network.time.random,
      token: function token() {
        return `${network.nextToken().toString(36)}-${Math.floor(network.time.random() * 1e9).toString(36)}`;
      },
    },
    network: {
      listen: function listen(address, onLink) {
        network.listeners.set(address, { process, onLink: onLink });
        return Promise.resolve(listeningAt(network.listeners, address));
      },
      open: (address) => openLink(network, process, address),
      listenStream: function listenStream(address, onStream) {
        network.listeners.set(streamKey(address), { process, onLink: (link) => onStream(streamFromLink(link)) });
        return Promise.resolve(listeningAt(network.listeners, streamKey(address)));
      },
      openStream: (address, milliseconds) => openStream(network, process, address, milliseconds),
      serve: function serve(address, server) {
        network.servers.set(address, { process, server });
        return Promise.resolve(listeningAt(network.servers, address));
      },
      connect: (address) => connect(network, process, address),
    },
    log: function log(event, fields = {}) {
      if (process.alive) callbacks.log({ at: network.time.now(), process: process.name, event, fields });
    },
    services: runtimeUtilities.directory(),
    stop: callbacks.stop,
  };
}

export const simulatedRuntime = { create } as const;
