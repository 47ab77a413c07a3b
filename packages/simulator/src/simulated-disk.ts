/** The disk of a simulated machine: what lies on it, what troubles it, and how a process sees it (design 10.4). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { diskHealth, fault, type Clock, type Disk, type Fault } from '@stallstall/kernel';

/** `failing`: takes no bytes. `full`: has no room for them. `hanging`: answers nothing until it no longer hangs. */
export type DiskTrouble = { failing: boolean; full: boolean; hanging: boolean; slowMilliseconds: number };
export type SimulatedDisk = { readonly entries: Map<string, string>; readonly trouble: DiskTrouble };

/** Has a write reach the disk when its trouble allows. */
export type PutOn = (key: string, write: () => void) => Promise<Either.Either<Fault, null>>;

const putsKey = '#puts';
const lostKey = '#lost';

function over(kept: SimulatedDisk, clock: Clock, putOn: PutOn): Disk {
  const health = diskHealth.create(clock, () => putOn('a probe', () => undefined));

  function read<Value>(value: () => Value): Promise<Either.Either<Fault, Value>> {
    try {
      return Promise.resolve(Either.right(value()));
    } catch (error) {
      return Promise.resolve(Either.left(fault.diskDamaged('the disk', error as Error)));
    }
  }

  function parsed(text: string): unknown {
    return JSON.parse(text);
  }

  function page(prefix: string, after: string, bytes: number): ReadonlyArray<readonly [string, unknown]> {
    const found: Array<readonly [string, unknown]> = [];
    let left = bytes;
    for (const key of [...kept.entries.keys()].filter((one) => one.startsWith(prefix) && one > after).sort()) {
      if (left <= 0) break;
      const text = kept.entries.get(key) as string;
      found.push([key, parsed(text)]);
      left -= text.length;
    }
    return found;
  }

  return {
    puts: () => Number(kept.entries.get(putsKey) ?? 0),
    load: (without) =>
      read(
        () =>
          new Map(
            [...kept.entries]
              .filter(([key]) => !key.startsWith('#') && !key.startsWith(without))
              .map(([key, value]) => [key, parsed(value)] as const),
          ),
      ),
    read: (key) => read(() => Option.map(parsed)(Option.fromNullable(kept.entries.get(key)))),
    page: (prefix, after, bytes) => read(() => page(prefix, after, bytes)),
    size: () => [...kept.entries].reduce((sum, [key, value]) => sum + key.length + value.length, 0),
    put: function put(key, value) {
      const trouble = health.syncFault();
      if (Option.isSome(trouble)) return Promise.resolve(Either.left(trouble.value));
      const text = JSON.stringify(value);
      function write(): void {
        kept.entries.set(key, text);
        kept.entries.set(putsKey, String(Number(kept.entries.get(putsKey) ?? 0) + 1));
      }
      return health.monitor(() => putOn(key, write));
    },
    syncFault: health.syncFault,
    onSyncFaultChange: health.onSyncFaultChange,
    discardedStoreReason: () => Option.fromNullable(kept.entries.get(lostKey)),
    discard: function discard(reason) {
      kept.entries.clear();
      kept.entries.set(lostKey, reason);
      return Promise.resolve(Either.right(null));
    },
  };
}

export const simulatedDisk = { over } as const;
