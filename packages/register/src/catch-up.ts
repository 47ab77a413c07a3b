/**
 * How the occupant of a seat that holds nothing yet catches up with the others, so that it may answer (design 4.3, 4.8). A core that takes
 * over a seat and one that lost its disk are the same case.
 */
import * as Either from 'fp-ts/lib/Either.js';
import { message, type Seat } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import type { Acceptor } from './acceptor.js';
import type { CellState } from './cell-state.js';
import type { Register } from './register.js';

/** Copies all that another core holds; resolves to false once `isUnneeded` says that the copy is no longer wanted. */
export type CopyFromCore = (source: Seat, isUnneeded: () => boolean) => Promise<boolean>;

/** Rounds that complete unresolved cells run so many at a time. */
const roundsAtOnce = 32;

/**
 * How many other cores must be copied: whatever a majority of the seats held or promised, this seat among them, one of any
 * so many others holds as well, also when some of them are blank themselves.
 */
function requiredSources(seats: number): number {
  return seats - quorum.majority(seats) + 1;
}

/**
 * Whether a core may be copied: it must have left every set before the one that gave this core its seat, for then it agrees to nothing
 * there any more.
 *
 * @param since - the number of the set that gave this core its seat
 * @param reported - the number of the set that the other core is in; undefined while it is in none
 */
function isEligibleSource(since: number, reported: number | undefined): boolean {
  return reported !== undefined && reported >= since;
}

/** Copies from all sources at once and settles with the first that are enough: none that is out of reach is waited for. */
function copyFromEnough(sources: readonly Seat[], needed: number, copy: CopyFromCore, isAbandoned: () => boolean): Promise<boolean> {
  return new Promise(function collect(resolve) {
    let copied = 0;
    let outstanding = sources.length;
    function isUnneeded(): boolean {
      return copied >= needed || isAbandoned();
    }
    async function copyOne(source: Seat): Promise<void> {
      if (await copy(source, isUnneeded)) copied += 1;
      outstanding -= 1;
      if (copied >= needed) resolve(true);
      else if (outstanding === 0) resolve(false);
    }
    if (outstanding === 0) resolve(false);
    for (const source of sources) void copyOne(source);
  });
}

/**
 * A copied value may have been accepted by fewer than a majority, while a higher ballot that never saw it was promised by the former
 * occupant of this seat. Counted as accepted here, it would look chosen and could still be overtaken by that ballot.
 */
function isUnresolved({ promised, accepted }: CellState): boolean {
  return accepted !== null && message.compareBallots(promised, accepted.ballot) > 0;
}

/** Has the other cores choose, beyond all promises copied, what each unresolved cell holds; false when no majority of them replied. */
async function completeUnresolved(cells: Acceptor, register: Register): Promise<boolean> {
  const keys = cells
    .cells()
    .filter((cell) => isUnresolved(cell.state))
    .map((cell) => cell.key);
  for (let first = 0; first < keys.length; first += roundsAtOnce) {
    const rounds = keys.slice(first, first + roundsAtOnce).map((key) => register.read(key));
    const replies = await Promise.all(rounds);
    if (replies.some(Either.isLeft)) return false;
  }
  return true;
}

export const catchUp = { requiredSources, isEligibleSource, copyFromEnough, completeUnresolved } as const;
