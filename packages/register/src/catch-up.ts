// How the occupant of a seat that holds nothing yet becomes level with the others, so that it may answer (design 4.3, 4.8).
// A core that takes over a seat and one that lost its disk are the same case.
import * as Either from 'fp-ts/lib/Either.js';
import { message, type Seat } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import type { Acceptor, CellState } from './acceptor.js';
import type { Register } from './proposer.js';

/** Copies all that another core holds; false once `given` says that the copy is no longer wanted. */
export type CopySource = (source: Seat, given: () => boolean) => Promise<boolean>;

/** Rounds that settle doubtful cells run so many at a time. */
const roundsAtOnce = 32;

/**
 * How many other cores must be copied: whatever a majority of the seats held or promised, this seat among them, one of any
 * so many others holds as well, also when some of them are blank themselves.
 */
function sourcesNeeded(seats: number): number {
  return seats - quorum.majority(seats) + 1;
}

/** A source must have left every set before the one that gave this core its seat: then it agrees to nothing there any more. */
function isEligibleSource(since: number, told: number | undefined): boolean {
  return told !== undefined && told >= since;
}

/** Copies from all sources at once and settles with the first that are enough: none that is out of reach is waited for. */
function copyEnough(sources: readonly Seat[], needed: number, copy: CopySource, abandoned: () => boolean): Promise<boolean> {
  return new Promise(function collect(resolve) {
    let copied = 0;
    let left = sources.length;
    function given(): boolean {
      return copied >= needed || abandoned();
    }
    async function one(source: Seat): Promise<void> {
      if (await copy(source, given)) copied += 1;
      left -= 1;
      if (copied >= needed) resolve(true);
      else if (left === 0) resolve(false);
    }
    if (left === 0) resolve(false);
    for (const source of sources) void one(source);
  });
}

/**
 * A copied value may have been accepted by fewer than a majority, while a higher ballot that never saw it was promised by the former
 * occupant of this seat. Counted as accepted here, it would look chosen and could still be overtaken by that ballot.
 */
function isDoubtful(state: CellState): boolean {
  return state.accepted !== null && message.compareBallots(state.promised, state.accepted.ballot) > 0;
}

/** Has the other cores choose, beyond all promises copied, what each doubtful cell holds; false when no majority of them answered. */
async function completeUnresolved(cells: Acceptor, register: Register): Promise<boolean> {
  const keys = cells
    .cells()
    .filter((cell) => isDoubtful(cell.state))
    .map((cell) => cell.key);
  for (let first = 0; first < keys.length; first += roundsAtOnce) {
    const rounds = keys.slice(first, first + roundsAtOnce).map((key) => register.read(key));
    if ((await Promise.all(rounds)).some(Either.isLeft)) return false;
  }
  return true;
}

export const catchUp = { sourcesNeeded, isEligibleSource, copyEnough, completeUnresolved } as const;
