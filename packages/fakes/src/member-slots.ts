/** The slots of a stand-in member: who finds none free waits a little, and beyond that is rejected. */
import * as Option from 'fp-ts/lib/Option.js';
import type { Clock } from '@stallstall/kernel';

export type MemberSlots = Readonly<{
  /** Holds a slot for so long and then runs the action; none when too many wait already. */
  run: <Result>(milliseconds: number, action: () => Result | Promise<Result>) => Promise<Option.Option<Result>>;
  /** Takes one slot more than there are, for so long: the member is busy with itself. */
  occupy: (milliseconds: number) => void;
  full: () => boolean;
}>;

/** So many times its slots may wait for one. */
const mostWaiting = 4;

function create(clock: Clock, slots: number): MemberSlots {
  const waiting: Array<() => void> = [];
  let busy = 0;

  function release(): void {
    const next = waiting.shift();
    if (next === undefined) busy -= 1;
    else next();
  }

  async function run<Result>(milliseconds: number, action: () => Result | Promise<Result>): Promise<Option.Option<Result>> {
    if (busy >= slots) {
      if (waiting.length >= slots * mostWaiting) return Option.none;
      await new Promise<void>((resolve) => void waiting.push(resolve));
    } else busy += 1;
    await clock.sleep(milliseconds);
    const result = await action();
    release();
    return Option.some(result);
  }

  return {
    run,
    occupy: function occupy(milliseconds) {
      busy += 1;
      clock.startTimer(milliseconds, release);
    },
    full: () => busy >= slots,
  };
}

export const memberSlots = { create } as const;
