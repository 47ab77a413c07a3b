/** An in-memory disk that never fails, for explorations without disk faults. */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Disk } from '@stallstall/kernel';

/** `entries` is called at each read, so that the contents can be replaced; `put` decides when a value is stored. */
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
