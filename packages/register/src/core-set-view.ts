/** Where a disk stands in the order of the sets of cores (design 4.8). */
import * as Option from 'fp-ts/lib/Option.js';
import { ballotZero, type CoreSet, type Reply } from '@stallstall/message';

export type CoreSetView = Readonly<{
  /** The number of the set that this disk is in; below zero while it is between two. */
  number: () => number;
  /** The set for a proposer that is at an earlier one; undefined where it is not behind. */
  newerThan: (setNumber: number) => CoreSet | undefined;
}>;

/** A set that never changes. */
export const fixedCoreSetView: CoreSetView = { number: () => 0, newerThan: () => undefined };

/** The reply of a disk that takes part in no ballot now. @internal */
export const notReady: Reply<'prepare'> = { ready: false, agreed: false, promised: ballotZero, accepted: null };

/**
 * The reply to a proposer that counts majorities of another set: none of its own, and the newer set where it is behind. None where both are
 * at the same set. @internal
 */
export function rejectOtherSet(view: CoreSetView, setNumber: number | undefined): Option.Option<Reply<'prepare'>> {
  const proposerNumber = setNumber ?? 0;
  if (proposerNumber === view.number()) return Option.none;
  const newer = view.newerThan(proposerNumber);
  return Option.some(newer === undefined ? notReady : { ...notReady, newer });
}
