/** Tracks whether the disk syncs writes, so that a process promises nothing while it does not (design 5.1). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Fault } from './fault.js';
import type { Clock } from './runtime.js';

export type SyncFaultListener = (syncFault: Option.Option<Fault>) => void;

export type DiskHealth = Readonly<{
  /** Why the disk currently does not sync; none while it does. */
  syncFault: () => Option.Option<Fault>;
  /** Calls the listener when the disk stops or resumes syncing, not at each put. */
  onSyncFaultChange: (listener: SyncFaultListener) => void;
  /** Runs a commit. One that takes too long counts as a sync fault until it ends, one that fails until a probe succeeds. */
  monitor: (commit: () => Promise<Either.Either<Fault, null>>) => Promise<Either.Either<Fault, null>>;
}>;

/** A commit that takes longer than this means that the disk hangs. */
export const commitStallMilliseconds = 1_000;
/** The interval at which a disk that failed is probed. */
export const probeIntervalMilliseconds = 250;

/**
 * Creates the health tracker of a disk.
 * @param probe - tests whether the disk accepts writes again; what it writes is never read
 */
function create(clock: Clock, probe: () => Promise<Either.Either<Fault, null>>): DiskHealth {
  const listeners: SyncFaultListener[] = [];
  let current: Option.Option<Fault> = Option.none;
  let probing = false;

  function update(next: Option.Option<Fault>): void {
    const hasChanged = Option.isSome(current) !== Option.isSome(next);
    current = next;
    if (hasChanged) for (const listener of listeners) listener(next);
  }

  async function runTimed(commit: () => Promise<Either.Either<Fault, null>>): Promise<Either.Either<Fault, null>> {
    const timer = clock.startTimer(commitStallMilliseconds, () => update(Option.some(fault.diskStalled(commitStallMilliseconds))));
    const outcome = await commit();
    timer.cancel();
    update(Either.isLeft(outcome) ? Option.some(outcome.left) : Option.none);
    return outcome;
  }

  async function probeUntilWorking(): Promise<void> {
    if (probing) return;
    probing = true;
    do await clock.sleep(probeIntervalMilliseconds);
    while (Either.isLeft(await runTimed(probe)));
    probing = false;
  }

  return {
    syncFault: () => current,
    onSyncFaultChange: (listener) => void listeners.push(listener),
    monitor: async function monitor(commit) {
      const outcome = await runTimed(commit);
      if (Either.isLeft(outcome)) void probeUntilWorking();
      return outcome;
    },
  };
}

export const diskHealth = { create } as const;
