/** The disk of a simulated machine: its contents, its faults, and the `Disk` interface that a process uses (design 10.4). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { diskHealth, fault, type Clock, type Disk, type Fault } from '@stallstall/kernel';

/**
 * `failing`: every write fails. `full`: every write fails for lack of space. `hanging`: writes complete only once it no longer hangs.
 * `slowMilliseconds`: every write takes so much longer. `configurationMilliseconds`: writes of the configuration's cell, which may be large,
 * are done one after the other, and each takes so much longer.
 */
export type DiskFaults = {
  failing: boolean;
  full: boolean;
  hanging: boolean;
  slowMilliseconds: number;
  configurationMilliseconds: number;
};

/** `configurationFreeAt`: when the writes of the configuration's cell that were started so far are done. */
export type SimulatedDisk = { readonly entries: Map<string, string>; readonly faults: DiskFaults; configurationFreeAt: number };

/** Schedules a write: it completes, fails or is delayed as the faults of the disk require. */
export type ScheduleWrite = (key: string, write: () => void) => Promise<Either.Either<Fault, null>>;

const putCountKey = '#puts';
const discardReasonKey = '#lost';

function create(disk: SimulatedDisk, clock: Clock, scheduleWrite: ScheduleWrite): Disk {
  const health = diskHealth.create(clock, () => scheduleWrite('a probe write', () => undefined));

  function read<Value>(value: () => Value): Promise<Either.Either<Fault, Value>> {
    try {
      return Promise.resolve(Either.right(value()));
    } catch (error) {
      return Promise.resolve(Either.left(fault.diskDamaged('the simulated disk', error as Error)));
    }
  }

  function parseValue(text: string): unknown {
    return JSON.parse(text);
  }

  function page(prefix: string, after: string, bytes: number): ReadonlyArray<readonly [string, unknown]> {
    const found: Array<readonly [string, unknown]> = [];
    let remainingBytes = bytes;
    for (const key of [...disk.entries.keys()].filter((candidate) => candidate.startsWith(prefix) && candidate > after).sort()) {
      if (remainingBytes <= 0) break;
      const text = disk.entries.get(key) as string;
      found.push([key, parseValue(text)]);
      remainingBytes -= text.length;
    }
    return found;
  }

  return {
    puts: () => Number(disk.entries.get(putCountKey) ?? 0),
    load: (without) =>
      read(
        () =>
          new Map(
            [...disk.entries]
              .filter(([key]) => !key.startsWith('#') && !key.startsWith(without))
              .map(([key, value]) => [key, parseValue(value)] as const),
          ),
      ),
    read: (key) => read(() => Option.map(parseValue)(Option.fromNullable(disk.entries.get(key)))),
    page: (prefix, after, bytes) => read(() => page(prefix, after, bytes)),
    size: () => [...disk.entries].reduce((sum, [key, value]) => sum + key.length + value.length, 0),
    put: function put(key, value) {
      const syncFault = health.syncFault();
      if (Option.isSome(syncFault)) return Promise.resolve(Either.left(syncFault.value));
      const text = JSON.stringify(value);
      function write(): void {
        disk.entries.set(key, text);
        disk.entries.set(putCountKey, String(Number(disk.entries.get(putCountKey) ?? 0) + 1));
      }
      return health.monitor(() => scheduleWrite(key, write));
    },
    syncFault: health.syncFault,
    onSyncFaultChange: health.onSyncFaultChange,
    discardedStoreReason: () => Option.fromNullable(disk.entries.get(discardReasonKey)),
    discard: function discard(reason) {
      disk.entries.clear();
      disk.entries.set(discardReasonKey, reason);
      return Promise.resolve(Either.right(null));
    },
  };
}

export const simulatedDisk = { create } as const;
