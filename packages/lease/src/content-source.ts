/** Which cores keep up with the configurations that the others push: only such a one is asked to push contents (design 5.6). */
import { ballotZero, message, type Ballot } from '@stallstall/message';
import type { Clock, Instant } from '@stallstall/kernel';

/** @internal */
export type ContentSource = Readonly<{
  /** Takes the ballot of a configuration that a core has pushed. */
  observe: (core: string, ballot: Ballot) => void;
  /** False for a core that has been behind some other core for a while, as one is that is cut off from its peers. */
  isCurrent: (core: string) => boolean;
}>;

type PushedBallot = Readonly<{ ballot: Ballot; behindSince: Instant | undefined }>;

/** Cores accept a change at slightly different moments. */
const graceMilliseconds = 400;

function compare(left: Ballot, right: Ballot): number {
  return message.compareBallots(left, right);
}

/** @param coreNames - the cores that count */
function create(clock: Clock, coreNames: () => readonly string[]): ContentSource {
  const pushed = new Map<string, PushedBallot>();

  function newestBallot(): Ballot {
    const ballots = coreNames().map((core) => pushed.get(core)?.ballot ?? ballotZero);
    return ballots.reduce((newest, ballot) => (compare(ballot, newest) > 0 ? ballot : newest), ballotZero);
  }

  function observe(core: string, ballot: Ballot): void {
    pushed.set(core, { ballot, behindSince: pushed.get(core)?.behindSince });
    const newest = newestBallot();
    const now = clock.now();
    for (const name of coreNames()) {
      const known = pushed.get(name) ?? { ballot: ballotZero, behindSince: undefined };
      const isBehind = compare(known.ballot, newest) < 0;
      pushed.set(name, { ballot: known.ballot, behindSince: isBehind ? (known.behindSince ?? now) : undefined });
    }
  }

  return {
    observe,
    isCurrent: function isCurrent(core) {
      const behindSince = pushed.get(core)?.behindSince;
      return behindSince === undefined || clock.now() - behindSince < graceMilliseconds;
    },
  };
}

/** @internal */
export const contentSource = { create } as const;
