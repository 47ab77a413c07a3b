/** Which core set a disk belongs to, and how it answers proposers of another core set (design 4.8). */
import * as Option from 'fp-ts/lib/Option.js';
import { ballotZero, type CoreSet, type Reply } from '@stallstall/message';

export type CoreSetView = Readonly<{
  /** The number of this disk's core set; negative during a change from one set to the next. */
  number: () => number;
  /** The core set to report to a proposer that is at set `setNumber`; undefined if that set is not older than this disk's. */
  newerThan: (setNumber: number) => CoreSet | undefined;
}>;

/** A core set that never changes. */
export const fixedCoreSetView: CoreSetView = { number: () => 0, newerThan: () => undefined };

/** The reply of a disk that currently takes part in no ballot. @internal */
export const notReady: Reply<'prepare'> = { ready: false, agreed: false, promised: ballotZero, accepted: null };

/**
 * The rejection of a proposer that counts majorities of another core set, with the newer set if the proposer is behind. None if both are at
 * the same set. @internal
 */
export function rejectOtherSet(view: CoreSetView, setNumber: number | undefined): Option.Option<Reply<'prepare'>> {
  const proposerNumber = setNumber ?? 0;
  if (proposerNumber === view.number()) return Option.none;
  const newer = view.newerThan(proposerNumber);
  return Option.some(newer === undefined ? notReady : { ...notReady, newer });
}
