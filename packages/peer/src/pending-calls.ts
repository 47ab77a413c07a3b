/** Calls of a link that await replies, and those that timed out (design 3.2). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Clock, Timer } from '@stallstall/kernel';
import type { MessageKind } from '@stallstall/message';

/** @internal */
export type PendingCalls = Readonly<{
  /** Registers a call and returns its number; `complete` is called with the reply, or with none after the timeout. */
  add: (call: PendingCall, timeoutMilliseconds: number) => number;
  /** The kind of a pending call; undefined if the call is not pending. */
  kindOf: (number: number) => MessageKind | undefined;
  complete: (number: number, reply: Option.Option<unknown>) => void;
  failAll: () => void;
  /** Whether this number is of a call that timed out; true at most once for each call, since it has only one reply. */
  acceptLateReply: (number: number) => boolean;
  /** Called for a new link, on which no reply to a call of the previous link can arrive. */
  forgetTimedOut: () => void;
  count: () => number;
}>;

/** `onTimeout` is called after `complete` if the call times out. @internal */
export type PendingCall = Readonly<{ kind: MessageKind; complete: (reply: Option.Option<unknown>) => void; onTimeout: () => void }>;

type Entry = PendingCall & Readonly<{ timer: Timer }>;

/** How many timed-out calls are remembered on a link: their replies may still arrive; a reply to any other call is a protocol violation. */
const maxTimedOutCalls = 1_000;

function create(clock: Clock): PendingCalls {
  const entries = new Map<number, Entry>();
  const timedOut = new Set<number>();
  let lastNumber = 0;

  function complete(number: number, reply: Option.Option<unknown>): void {
    const entry = entries.get(number);
    if (entry === undefined) return;
    entries.delete(number);
    entry.timer.cancel();
    entry.complete(reply);
  }

  function rememberTimedOut(number: number): void {
    timedOut.add(number);
    const [oldest] = timedOut;
    if (timedOut.size > maxTimedOutCalls && oldest !== undefined) timedOut.delete(oldest);
  }

  function add(call: PendingCall, timeoutMilliseconds: number): number {
    lastNumber += 1;
    const number = lastNumber;
    const timer = clock.startTimer(timeoutMilliseconds, function onTimeout() {
      complete(number, Option.none);
      rememberTimedOut(number);
      call.onTimeout();
    });
    entries.set(number, { ...call, timer });
    return number;
  }

  return {
    add,
    kindOf: (number) => entries.get(number)?.kind,
    complete,
    failAll: function failAll() {
      for (const number of [...entries.keys()]) complete(number, Option.none);
    },
    acceptLateReply: function acceptLateReply(call) {
      return timedOut.delete(call);
    },
    forgetTimedOut: () => timedOut.clear(),
    count: () => entries.size,
  };
}

/** @internal */
export const pendingCalls = { create } as const;
