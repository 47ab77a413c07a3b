/** One end of a simulated link: a queue of received messages, and at most one pending `receive`. */
import * as Option from 'fp-ts/lib/Option.js';
import type { Link } from '@stallstall/kernel';

/** One end of a link: the public `Link`, and the operations by which the other end delivers messages and disconnects it. */
export type LinkEnd = { readonly link: Link; readonly deliver: (message: unknown) => void; readonly disconnect: () => void };

/**
 * Creates one end of a link.
 * @param send - sends a message to the other end
 * @param onClose - called once, when this end is closed or reset
 * @param onReset - called on a reset, before `onClose`: messages that are still in transit must be dropped
 */
export function linkEnd(send: (message: unknown) => void, onClose: () => void, onReset: () => void): LinkEnd {
  const receivedMessages: unknown[] = [];
  let pendingReceive: ((message: Option.Option<unknown>) => void) | undefined;
  let open = true;

  function deliver(message: unknown): void {
    if (!open) return;
    if (pendingReceive === undefined) receivedMessages.push(message);
    else {
      const resolve = pendingReceive;
      pendingReceive = undefined;
      resolve(Option.some(message));
    }
  }

  function disconnect(): void {
    if (!open) return;
    open = false;
    pendingReceive?.(Option.none);
    pendingReceive = undefined;
  }

  return {
    deliver,
    disconnect,
    link: {
      send: function sendOn(message) {
        if (open) send(message);
      },
      receive: function receive() {
        if (receivedMessages.length > 0) return Promise.resolve(Option.some(receivedMessages.shift()));
        if (!open) return Promise.resolve(Option.none);
        return new Promise((resolve) => {
          pendingReceive = resolve;
        });
      },
      close: function closeOn() {
        if (!open) return;
        disconnect();
        onClose();
      },
      reset: function resetOn() {
        if (!open) return;
        onReset();
        disconnect();
        onClose();
      },
    },
  };
}
