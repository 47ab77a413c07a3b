// A real machine's clocks (design 2.2).
import { identifiers, type Clock } from '@stallstall/kernel';

export const clock: Clock = {
  now: () => identifiers.instant(performance.now()),
  wall: () => identifiers.wallTime(Date.now()),
  alarm: function alarm(milliseconds, action) {
    const alarm = setTimeout(action, milliseconds);
    return { cancel: () => clearTimeout(alarm) };
  },
  sleep: (milliseconds) =>
    new Promise((resolve) => {
      setTimeout(resolve, milliseconds);
    }),
};
