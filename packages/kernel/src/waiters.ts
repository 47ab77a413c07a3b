/** Whoever asks for news and is held until there is some, or for so long at the most (design 7.12). */
import type { Clock } from './runtime.js';

export type Waiters = Readonly<{
  /** Resolves at the next wake, or after so many milliseconds. */
  wait: (milliseconds: number) => Promise<void>;
  wake: () => void;
}>;

function create(clock: Clock): Waiters {
  const waiting = new Set<() => void>();

  function wait(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = clock.startTimer(milliseconds, over);
      function over(): void {
        timer.cancel();
        waiting.delete(over);
        resolve();
      }
      waiting.add(over);
    });
  }

  function wake(): void {
    for (const resolve of [...waiting]) resolve();
  }

  return { wait, wake };
}

export const waiters = { create } as const;
