/** Numbers the changes at a core, so that a lease reply carries only those that an edge has not received (design 7.12). */
import { waiters, type Clock } from '@stallstall/kernel';

/** @internal */
export type UpdateNumbers = Readonly<{
  /** The number of the newest update. */
  current: () => number;
  /** Called on a change. Wakes the waiting requests; changes within a short interval form one update. */
  notify: () => void;
  /** Resolves at the next update, at the latest after this many milliseconds. */
  wait: (milliseconds: number) => Promise<void>;
  /** The member registry's version at an update; 0 if that update is no longer retained. */
  registryVersionAt: (number: number) => number;
  /** The epochs that changed since an update; all of them when `since` is 0. */
  changedEpochs: (epochs: Readonly<Record<string, number>>, since: number) => Record<string, number>;
  /** Marks every epoch as changed. */
  forgetEpochs: () => void;
  stop: () => void;
}>;

/** Changes within this interval are sent together. */
const batchMilliseconds = 2;
/** An edge that is further behind is sent all members. */
const updatesRetained = 1_000;

/** @param registryVersion - returns the member registry's current version */
function create(clock: Clock, registryVersion: () => number): UpdateNumbers {
  const pendingRequests = waiters.create(clock);
  const registryVersions = new Map<number, number>();
  /** The number of the update in which each epoch changed last; maintained whenever epochs are reported. */
  const epochChanges = new Map<string, Readonly<{ epoch: number; number: number }>>();
  let number = 1;
  let isBatching = false;
  let isStopped = false;

  function publish(): void {
    isBatching = false;
    number += 1;
    registryVersions.set(number, registryVersion());
    registryVersions.delete(number - updatesRetained);
    pendingRequests.wake();
  }

  function notify(): void {
    if (isBatching || isStopped) return;
    isBatching = true;
    clock.startTimer(batchMilliseconds, publish);
  }

  function changedEpochs(epochs: Readonly<Record<string, number>>, since: number): Record<string, number> {
    const changed: Record<string, number> = {};
    for (const [service, epoch] of Object.entries(epochs)) {
      const lastChange = epochChanges.get(service);
      const changedAt = lastChange?.epoch === epoch ? lastChange.number : number;
      if (lastChange?.epoch !== epoch) epochChanges.set(service, { epoch, number });
      // A change recorded at the number that the edge has seen may have happened after that update was sent.
      if (changedAt >= since) changed[service] = epoch;
    }
    return changed;
  }

  return {
    current: () => number,
    notify,
    wait: pendingRequests.wait,
    registryVersionAt: (seen) => registryVersions.get(seen) ?? 0,
    changedEpochs,
    forgetEpochs: () => epochChanges.clear(),
    stop: function stop() {
      isStopped = true;
      publish();
    },
  };
}

/** @internal */
export const updateNumbers = { create } as const;
