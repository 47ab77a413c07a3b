/** Whether a disk syncs what is put on it: told to whoever must not promise anything meanwhile (design 5.1). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Fault } from './fault.js';
import type { Clock } from './runtime.js';

export type SyncFaultListener = (trouble: Option.Option<Fault>) => void;

export type DiskHealth = Readonly<{
  /** Why the disk does not sync now; none while it does. */
  syncFault: () => Option.Option<Fault>;
  /** Calls back at each change of state, not at each put. */
  onSyncFaultChange: (listener: SyncFaultListener) => void;
  /** Runs a commit; one that lasts too long is trouble until it ends, one that fails is trouble until a probe succeeds. */
  monitor: (commit: () => Promise<Either.Either<Fault, null>>) => Promise<Either.Either<Fault, null>>;
}>;

/** A commit that has not ended by then is taken for a disk that hangs. */
export const commitStallMilliseconds = 1_000;
/** How often a disk that failed is tried again. */
export const probeIntervalMilliseconds = 250;

/** `probe` tries whether the disk takes bytes again; it writes nothing that anybody reads. */
function create(clock: Clock, probe: () => Promise<Either.Either<Fault, null>>): DiskHealth {
  const listeners: SyncFaultListener[] = [];
  let current: Option.Option<Fault> = Option.none;
  let probing = false;

  function change(next: Option.Option<Fault>): void {
    const changes = Option.isSome(current) !== Option.isSome(next);
    current = next;
    if (changes) for (const listener of listeners) listener(next);
  }

  async function watched(commit: () => Promise<Either.Either<Fault, null>>): Promise<Either.Either<Fault, null>> {
    const timer = clock.startTimer(commitStallMilliseconds, () => change(Option.some(fault.diskStalled(commitStallMilliseconds))));
    const outcome = await commit();
    timer.cancel();
    change(Either.isLeft(outcome) ? Option.some(outcome.left) : Option.none);
    return outcome;
  }

  async function probeUntilWorking(): Promise<void> {
    if (probing) return;
    probing = true;
    do await clock.sleep(probeIntervalMilliseconds);
    while (Either.isLeft(await watched(probe)));
    probing = false;
  }

  return {
    syncFault: () => current,
    onSyncFaultChange: (listener) => void listeners.push(listener),
    monitor: async function monitor(commit) {
      const outcome = await watched(commit);
      if (Either.isLeft(outcome)) void probeUntilWorking();
      return outcome;
    },
  };
}

export const diskHealth = { create } as const;
