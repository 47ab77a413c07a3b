/** Long polling: requests wait until there is something new or until their time is up (design 7.12). */
import type { Clock } from './runtime.js';

export type Waiters = Readonly<{
  /** Resolves at the next wake, or after the given time. */
  wait: (milliseconds: number) => Promise<void>;
  wake: () => void;
}>;

function create(clock: Clock): Waiters {
  const waiting = new Set<() => void>();

  function wait(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = clock.startTimer(milliseconds, finish);
      function finish(): void {
        timer.cancel();
        waiting.delete(finish);
        resolve();
      }
      waiting.add(finish);
    });
  }

  function wake(): void {
    for (const resolve of [...waiting]) resolve();
  }

  return { wait, wake };
}

export const waiters = { create } as const;
