/**
 * How a core without data catches up with the others before it answers requests (design 4.3, 4.8). A core that replaces another one and a
 * core that lost its disk are the same case.
 */
import * as Either from 'fp-ts/lib/Either.js';
import { message, type NodeRecord } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import type { Acceptor } from './acceptor.js';
import type { CellState } from './cell-state.js';
import type { Register } from './register.js';

/** Copies all data of another core; resolves to false once `isUnneeded` reports that the copy is no longer needed. */
export type CopyFromCore = (source: NodeRecord, isUnneeded: () => boolean) => Promise<boolean>;

/** How many rounds that complete unresolved cells run concurrently. */
const concurrentRounds = 32;

/**
 * How many other cores must be copied. Anything that a majority of the cores accepted or promised, counting this core, is also present on
 * at least one of any group of other cores of this size, even when some of these are blank themselves.
 */
function requiredSources(coreCount: number): number {
  return coreCount - quorum.majority(coreCount) + 1;
}

/**
 * Whether a core may be copied: it must have left every core set before the one that added this core, because it then no longer accepts or
 * promises anything in those.
 *
 * @param joinedSet - the number of the core set that added this core
 * @param reportedSet - the number of the core set that the other core is in; undefined while it is in none
 */
function isEligibleSource(joinedSet: number, reportedSet: number | undefined): boolean {
  return reportedSet !== undefined && reportedSet >= joinedSet;
}

/** Copies from all sources at once and resolves as soon as enough copies are complete, without waiting for unreachable sources. */
function copyFromEnough(sources: readonly NodeRecord[], needed: number, copy: CopyFromCore, isAbandoned: () => boolean): Promise<boolean> {
  return new Promise(function collect(resolve) {
    let copied = 0;
    let outstanding = sources.length;
    function isUnneeded(): boolean {
      return copied >= needed || isAbandoned();
    }
    async function copyOne(source: NodeRecord): Promise<void> {
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
 * A copied value may have been accepted by less than a majority, while the core that this one replaces promised a higher ballot whose
 * proposer never saw the value. If it counted as accepted here, it would look chosen and could still be overwritten under that ballot.
 */
function isUnresolved({ promised, accepted }: CellState): boolean {
  return accepted !== null && message.compareBallots(promised, accepted.ballot) > 0;
}

/**
 * Lets the other cores choose the value of each unresolved cell under a ballot higher than all copied promises. Resolves to false when no
 * majority of them replied.
 */
async function completeUnresolved(acceptor: Acceptor, register: Register): Promise<boolean> {
  const keys = acceptor
    .cells()
    .filter((cell) => isUnresolved(cell.state))
    .map((cell) => cell.key);
  for (let first = 0; first < keys.length; first += concurrentRounds) {
    const rounds = keys.slice(first, first + concurrentRounds).map((key) => register.read(key));
    const replies = await Promise.all(rounds);
    if (replies.some(Either.isLeft)) return false;
  }
  return true;
}

export const catchUp = { requiredSources, isEligibleSource, copyFromEnough, completeUnresolved } as const;
