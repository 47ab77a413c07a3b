/** One end of a simulated link: a queue of arrived messages and at most one receiver that waits. */
import * as Option from 'fp-ts/lib/Option.js';
import type { Link } from '@stallstall/kernel';

/** One end of a link: its public side, and what the other end does to it. */
export type LinkEnd = { readonly link: Link; readonly take: (message: unknown) => void; readonly broken: () => void };

/**
 * Creates one end of a link.
 * @param send - hands a message to the other end
 * @param close - called once, when this end closes
 * @param drop - called on a reset: what was sent and has not arrived never does
 */
export function linkEnd(send: (message: unknown) => void, close: () => void, drop: () => void): LinkEnd {
  const arrived: unknown[] = [];
  let waiting: ((message: Option.Option<unknown>) => void) | undefined;
  let open = true;

  function take(message: unknown): void {
    if (!open) return;
    if (waiting === undefined) arrived.push(message);
    else {
      const resolve = waiting;
      waiting = undefined;
      resolve(Option.some(message));
    }
  }

  function broken(): void {
    if (!open) return;
    open = false;
    waiting?.(Option.none);
    waiting = undefined;
  }

  return {
    take,
    broken,
    link: {
      send: function sendOn(message) {
        if (open) send(message);
      },
      receive: function receive() {
        if (arrived.length > 0) return Promise.resolve(Option.some(arrived.shift()));
        if (!open) return Promise.resolve(Option.none);
        return new Promise((resolve) => {
          waiting = resolve;
        });
      },
      close: function closeOn() {
        if (!open) return;
        broken();
        close();
      },
      reset: function resetOn() {
        if (!open) return;
        drop();
        broken();
        close();
      },
    },
  };
}
