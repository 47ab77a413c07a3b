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
  areMembersKnown: (seen: number) => boolean;
  /** Anything may have changed: whoever waits is woken if it has. */
  observe: () => void;
  /** Resolves at the next update, or after so many milliseconds. */
  wait: (milliseconds: number) => Promise<void>;
}>;

/** Changes within this span go out together. */
const gatherMilliseconds = 1;

/** A renewed lease is no change: whoever asks is told it anyway. */
function describe(holder: LeaseHolder, placements: readonly Placement[]): string {
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
  let isGathering = false;
  let before = '';
  let membersVersion = -1;
  /** The update in which the members changed last. */
  let membersChangedAt = 0;

  function publish(): void {
    isGathering = false;
    number += 1;
    waiting.wake();
  }

  function observe(): void {
    const current = holder();
    const now = describe(current, placements());
    if (now === before) return;
    before = now;
    if (membersVersion !== current.membersVersion()) {
      membersVersion = current.membersVersion();
      membersChangedAt = number + 1;
    }
    if (isGathering) return;
    isGathering = true;
    clock.startTimer(gatherMilliseconds, publish);
  }

  return {
    current: () => number,
    areMembersKnown: (seen) => seen >= membersChangedAt,
    observe,
    wait: waiting.wait,
  };
}

/** @internal */
export const placementUpdates = { create } as const;
