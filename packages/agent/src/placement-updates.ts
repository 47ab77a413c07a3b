/** Numbers what changes in a proxy's view, so that it is woken by changes and sent only what it has not seen (design 8.10). */
import * as Option from 'fp-ts/lib/Option.js';
import { waiters, type Clock } from '@stallstall/kernel';
import type { LeaseHolder } from '@stallstall/lease';
import type { Placement } from '@stallstall/message';

/** @internal */
export type PlacementUpdates = Readonly<{
  /** The number of the newest update. */
  current: () => number;
  /** Whether the members have not changed since an update. */
  areMembersUnchangedSince: (seen: number) => boolean;
  /** Anything may have changed: whoever waits is woken if it has. */
  observe: () => void;
  /** Resolves at the next update, or after so many milliseconds. */
  wait: (milliseconds: number) => Promise<void>;
}>;

/** Changes within this span go out together. */
const batchMilliseconds = 1;

/** A renewed lease is no change: whoever asks is told it anyway. */
function describeState(holder: LeaseHolder, placements: readonly Placement[]): string {
  const configuration = holder.configuration();
  return [
    Option.isSome(configuration) ? configuration.value.version : 0,
    holder.membersVersion(),
    JSON.stringify(holder.edgeCountByArea()),
    ...placements.map(({ epoch, release, left }) => `${epoch}/${release}/${left > 0 ? 1 : 0}`),
  ].join(' ');
}

/** @param placements - where each service is placed now */
function create(clock: Clock, holder: () => LeaseHolder, placements: () => readonly Placement[]): PlacementUpdates {
  const waiting = waiters.create(clock);
  let number = 1;
  let isBatching = false;
  let lastState = '';
  let membersVersion = -1;
  /** The update in which the members changed last. */
  let membersChangedAt = 0;

  function publish(): void {
    isBatching = false;
    number += 1;
    waiting.wake();
  }

  function observe(): void {
    const current = holder();
    const state = describeState(current, placements());
    if (state === lastState) return;
    lastState = state;
    if (membersVersion !== current.membersVersion()) {
      membersVersion = current.membersVersion();
      membersChangedAt = number + 1;
    }
    if (isBatching) return;
    isBatching = true;
    clock.startTimer(batchMilliseconds, publish);
  }

  return {
    current: () => number,
    areMembersUnchangedSince: (seen) => seen >= membersChangedAt,
    observe,
    wait: waiting.hold,
  };
}

/** @internal */
export const placementUpdates = { create } as const;
