/** Numbers what changes at a core, so that a lease reply carries only what an edge has not seen (design 7.12). */
import { waiters, type Clock } from '@stallstall/kernel';

/** @internal */
export type UpdateNumbers = Readonly<{
  /** The number of the newest update. */
  current: () => number;
  /** Something has changed: whoever waits is woken, changes within a short span together. */
  notify: () => void;
  /** Resolves at the next update, or after so many milliseconds. */
  wait: (milliseconds: number) => Promise<void>;
  /** The member registry's version when an update was numbered; 0 when that is not known any more. */
  registryVersionAt: (number: number) => number;
  /** The epochs that have changed since an update; all where the edge has seen none. */
  changedEpochs: (epochs: Readonly<Record<string, number>>, since: number) => Record<string, number>;
  /** From here on every epoch counts as changed. */
  forgetEpochs: () => void;
  stop: () => void;
}>;

/** Changes within this span go out together. */
const gatherMilliseconds = 2;
/** An edge that is further behind is sent everything. */
const numbersKept = 1_000;

/** @param registryVersion - the member registry's version now */
function create(clock: Clock, registryVersion: () => number): UpdateNumbers {
  const waiting = waiters.create(clock);
  const registryVersions = new Map<number, number>();
  /** At which number each epoch took its value; looked at whenever epochs are reported. */
  const epochChanges = new Map<string, Readonly<{ epoch: number; number: number }>>();
  let number = 1;
  let isGathering = false;
  let isStopped = false;

  function publish(): void {
    isGathering = false;
    number += 1;
    registryVersions.set(number, registryVersion());
    registryVersions.delete(number - numbersKept);
    waiting.wake();
  }

  function notify(): void {
    if (isGathering || isStopped) return;
    isGathering = true;
    clock.startTimer(gatherMilliseconds, publish);
  }

  function changedEpochs(epochs: Readonly<Record<string, number>>, since: number): Record<string, number> {
    const changed: Record<string, number> = {};
    for (const [service, epoch] of Object.entries(epochs)) {
      const known = epochChanges.get(service);
      const changedAt = known?.epoch === epoch ? known.number : number;
      if (known?.epoch !== epoch) epochChanges.set(service, { epoch, number });
      // What changed at the number that was seen may have changed after it was reported.
      if (changedAt >= since) changed[service] = epoch;
    }
    return changed;
  }

  return {
    current: () => number,
    notify,
    wait: waiting.hold,
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
