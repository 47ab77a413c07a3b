/** Calls of a link that wait for their replies, and those that were given up (design 3.2). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Clock, Timer } from '@stallstall/kernel';
import type { MessageKind } from '@stallstall/message';

/** @internal */
export type PendingCalls = Readonly<{
  /** Registers a call; `settle` is called with none after so long, unless a reply settles it before. */
  add: (call: PendingCall, milliseconds: number) => number;
  /** The kind of a call that waits; undefined for one that does not. */
  kindOf: (number: number) => MessageKind | undefined;
  settle: (number: number, reply: Option.Option<unknown>) => void;
  settleAll: () => void;
  /** Whether a reply is one to a call that was given up; such a reply may come once. */
  isLate: (number: number) => boolean;
  /** A new link: replies to calls of the one before cannot come any more. */
  forgetGivenUp: () => void;
  count: () => number;
}>;

/** `onTimeOut` is called once the call is given up. @internal */
export type PendingCall = Readonly<{ kind: MessageKind; settle: (reply: Option.Option<unknown>) => void; onTimeOut: () => void }>;

type Entry = PendingCall & Readonly<{ timer: Timer }>;

/** So many calls that were given up are remembered on a link: their replies may still come, those of others are an error. */
const givenUpKept = 1_000;

function create(clock: Clock): PendingCalls {
  const entries = new Map<number, Entry>();
  const givenUp = new Set<number>();
  let lastNumber = 0;

  function settle(number: number, reply: Option.Option<unknown>): void {
    const entry = entries.get(number);
    if (entry === undefined) return;
    entries.delete(number);
    entry.timer.cancel();
    entry.settle(reply);
  }

  function rememberGivenUp(number: number): void {
    givenUp.add(number);
    const [oldest] = givenUp;
    if (givenUp.size > givenUpKept && oldest !== undefined) givenUp.delete(oldest);
  }

  function add(call: PendingCall, milliseconds: number): number {
    lastNumber += 1;
    const number = lastNumber;
    const timer = clock.startTimer(milliseconds, function timeOut() {
      settle(number, Option.none);
      rememberGivenUp(number);
      call.onTimeOut();
    });
    entries.set(number, { ...call, timer });
    return number;
  }

  return {
    add,
    kindOf: (number) => entries.get(number)?.kind,
    settle,
    settleAll: function settleAll() {
      for (const number of [...entries.keys()]) settle(number, Option.none);
    },
    isLate: function isLate(call) {
      return givenUp.delete(call);
    },
    forgetGivenUp: () => givenUp.clear(),
    count: () => entries.size,
  };
}

/** @internal */
export const pendingCalls = { create } as const;
