/** Tracks which cores are up to date with the configurations that others push; only those are asked to push full contents (design 5.6). */
import { ballotZero, message, type Ballot } from '@stallstall/message';
import type { Clock, Instant } from '@stallstall/kernel';

/** @internal */
export type ContentSource = Readonly<{
  /** Records the ballot of a configuration that a core pushed. */
  observe: (core: string, ballot: Ballot) => void;
  /** False for a core that has lagged behind another for longer than the grace period, for example because it is partitioned from its peers. */
  isCurrent: (core: string) => boolean;
}>;

type PushedBallot = Readonly<{ ballot: Ballot; behindSince: Instant | undefined }>;

/** Cores accept a change at slightly different times, so a short lag is normal. */
const lagGraceMilliseconds = 400;

function compare(left: Ballot, right: Ballot): number {
  return message.compareBallots(left, right);
}

/** @param coreNames - the cores of the current core set */
function create(clock: Clock, coreNames: () => readonly string[]): ContentSource {
  const pushedByCore = new Map<string, PushedBallot>();

  function newestBallot(): Ballot {
    const ballots = coreNames().map((core) => pushedByCore.get(core)?.ballot ?? ballotZero);
    return ballots.reduce((newest, ballot) => (compare(ballot, newest) > 0 ? ballot : newest), ballotZero);
  }

  function observe(core: string, ballot: Ballot): void {
    pushedByCore.set(core, { ballot, behindSince: pushedByCore.get(core)?.behindSince });
    const newest = newestBallot();
    const now = clock.now();
    for (const name of coreNames()) {
      const last = pushedByCore.get(name) ?? { ballot: ballotZero, behindSince: undefined };
      const isBehind = compare(last.ballot, newest) < 0;
      pushedByCore.set(name, { ballot: last.ballot, behindSince: isBehind ? (last.behindSince ?? now) : undefined });
    }
  }

  return {
    observe,
    isCurrent: function isCurrent(core) {
      const behindSince = pushedByCore.get(core)?.behindSince;
      return behindSince === undefined || clock.now() - behindSince < lagGraceMilliseconds;
    },
  };
}

/** @internal */
export const contentSource = { create } as const;
