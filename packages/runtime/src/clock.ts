/** The clocks of a real host (design 2.2). */
import { identifiers, wallClock, type Clock, type WallTime } from '@stallstall/kernel';

/** Created on first use: a program started from a snapshot must not use the time at which the snapshot was built. */
let anchoredWallClock: (() => WallTime) | undefined;

function monotonic(): ReturnType<Clock['now']> {
  return identifiers.instant(performance.now());
}

function wall(): WallTime {
  anchoredWallClock ??= wallClock.create(monotonic, () => identifiers.wallTime(Date.now()));
  return anchoredWallClock();
}

export const clock: Clock = {
  now: monotonic,
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
