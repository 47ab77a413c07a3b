/** Numbers the changes of the placement, so that held requests are answered on a change and only with new data (design 8.10). */
import * as Option from 'fp-ts/lib/Option.js';
import { waiters, type Clock } from '@stallstall/kernel';
import type { LeaseHolder } from '@stallstall/lease';
import type { Placement } from '@stallstall/message';

/** @internal */
export type PlacementUpdates = Readonly<{
  /** The number of the newest update. */
  current: () => number;
  /** Whether no member has changed since the update with this number. */
  areMembersUnchangedSince: (seen: number) => boolean;
  /** Compares the current state with the last one; after a change, publishes an update, which wakes all waiters. */
  observe: () => void;
  /** Resolves at the next update or after the timeout. */
  wait: (timeoutMilliseconds: number) => Promise<void>;
}>;

/** Changes within this time are published as one update. */
const batchMilliseconds = 1;

/** A text that differs after each change. A renewed lease is no change, since every reply contains the lease times. */
function describeState(holder: LeaseHolder, placements: readonly Placement[]): string {
  const configuration = holder.configuration();
  return [
    Option.isSome(configuration) ? configuration.value.version : 0,
    holder.membersVersion(),
    JSON.stringify(holder.edgeCountByArea()),
    ...placements.map(({ epoch, release, left }) => `${epoch}/${release}/${left > 0 ? 1 : 0}`),
  ].join(' ');
}

/** @param placements - the current placement of each service */
function create(clock: Clock, holder: () => LeaseHolder, placements: () => readonly Placement[]): PlacementUpdates {
  const waiting = waiters.create(clock);
  let number = 1;
  let isBatching = false;
  let lastState = '';
  let membersVersion = -1;
  /** The number of the update with the latest change of a member. */
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
    wait: waiting.wait,
  };
}

/** @internal */
export const placementUpdates = { create } as const;
