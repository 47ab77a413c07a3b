/** A real machine's clocks (design 2.2). */
import { identifiers, wallClock, type Clock, type WallTime } from '@stallstall/kernel';

/** Made when first asked: a program that starts from a snapshot must not go by the time at which that was built. */
let anchored: (() => WallTime) | undefined;

function steady(): ReturnType<Clock['now']> {
  return identifiers.instant(performance.now());
}

function wall(): WallTime {
  anchored ??= wallClock.create(steady, () => identifiers.wallTime(Date.now()));
  return anchored();
}

export const clock: Clock = {
  now: steady,
  wall,
  startTimer: function startTimer(milliseconds, action) {
    const timer = setTimeout(action, milliseconds);
    return { cancel: () => clearTimeout(timer) };
  },
  sleep: (milliseconds) =>
    new Promise((resolve) => {
      setTimeout(resolve, milliseconds);
    }),
};
