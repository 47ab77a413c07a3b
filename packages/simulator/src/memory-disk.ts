/** A disk in memory that never fails, for explorations that bring no trouble of disks about. */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Disk } from '@stallstall/kernel';

/** `entries` is asked for at each read, so that a disk may be exchanged; `put` decides when a value stands. */
function create(entries: () => ReadonlyMap<string, unknown>, put: Disk['put']): Disk {
  return {
    load: () => Promise.resolve(Either.right(entries())),
    read: (key) => Promise.resolve(Either.right(Option.fromNullable(entries().get(key)))),
    page: (prefix, after) =>
      Promise.resolve(
        Either.right(
          [...entries()].filter(([key]) => key.startsWith(prefix) && key > after).sort(([left], [right]) => (left < right ? -1 : 1)),
        ),
      ),
    size: () => 0,
    puts: () => 0,
    put,
    syncFault: () => Option.none,
    onSyncFaultChange: () => undefined,
    discardedStoreReason: () => Option.none,
    discard: () => Promise.resolve(Either.right(null)),
  };
}

export const memoryDisk = { create } as const;
