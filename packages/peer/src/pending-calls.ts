/** Calls of a link that wait for their replies, and those that were given up (design 3.2). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Clock, Timer } from '@stallstall/kernel';
import type { MessageKind } from '@stallstall/message';

/** @internal */
export type PendingCalls = Readonly<{
  /** Registers a call; `settle` is called with none after so long, unless a reply settles it before. */
  add: (call: PendingCall, timeoutMilliseconds: number) => number;
  /** The kind of a call that waits; undefined for one that does not. */
  kindOf: (number: number) => MessageKind | undefined;
  complete: (number: number, reply: Option.Option<unknown>) => void;
  failAll: () => void;
  /** Whether a reply is one to a call that was given up; such a reply may come once. */
  acceptLateReply: (number: number) => boolean;
  /** A new link: replies to calls of the one before cannot come any more. */
  forgetTimedOut: () => void;
  count: () => number;
}>;

/** `onTimeOut` is called once the call is given up. @internal */
export type PendingCall = Readonly<{ kind: MessageKind; complete: (reply: Option.Option<unknown>) => void; onTimeout: () => void }>;

type Entry = PendingCall & Readonly<{ timer: Timer }>;

/** So many calls that were given up are remembered on a link: their replies may still come, those of others are an error. */
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
