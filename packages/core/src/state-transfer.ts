// Copies what another core holds into this core's own disk: cells, votes and notes (design 4.3).
import * as Option from 'fp-ts/lib/Option.js';
import type { Kernel } from '@stallstall/kernel';
import type { Seat } from '@stallstall/message';
import { acceptor, catchUp, type Acceptor, type ReportStore } from '@stallstall/register';
import type { CoreCall } from './core-calls.js';
import { abstained, type CoreVoteStore } from './vote-store.js';

export type StateTransferParts = Readonly<{
  call: CoreCall;
  cells: Acceptor;
  notes: Pick<ReportStore, 'store' | 'isSynced'>;
  votes: Pick<CoreVoteStore, 'epochs' | 'record'>;
  stopped: () => boolean;
}>;

/** Which cores may be copied: those that stand at no set, or at this one or a later one (design 4.8). */
export type CopiedSet = Option.Option<number>;

export type StateTransfer = Readonly<{
  /** All that another core holds, adding the highest epochs it voted for to `epochs`; false once `given` says that it is not needed any more. */
  copyFrom: (other: Seat, set: CopiedSet, epochs: Record<string, number>, given?: () => boolean) => Promise<boolean>;
  /** Votes for nobody in these epochs: what this core voted is lost, and an epoch it may have helped to win has other voters. */
  abstain: (epochs: Readonly<Record<string, number>>) => Promise<void>;
}>;

const pageMilliseconds = 2_000;
/** So long after a page that did not come, or did not sync, it is asked for again. */
const againMilliseconds = 50;

function create(kernel: Kernel, parts: StateTransferParts): StateTransfer {
  const { cells, notes, votes } = parts;

  function mayBeCopied(wanted: CopiedSet, told: number | undefined): boolean {
    return Option.isNone(wanted) ? told === undefined : catchUp.isEligibleSource(wanted.value, told);
  }

  async function pages(other: Seat, set: CopiedSet, epochs: Record<string, number>, given: () => boolean = () => false): Promise<boolean> {
    let whole = false;
    for (let after = ''; !whole && !parts.stopped() && !given();) {
      const reply = await parts.call(other.address, 'copy', { after }, pageMilliseconds);
      if (Option.isNone(reply) || !reply.value.ready || !mayBeCopied(set, reply.value.set)) {
        await kernel.clock.sleep(againMilliseconds);
        continue;
      }
      const { entries, votes: voted, notes: noted, next } = reply.value;
      const merged = await Promise.all(
        entries.map((entry) => (acceptor.isCellState(entry.state) ? cells.merge(entry.key, entry.state) : false)),
      );
      await notes.store(noted);
      if (!merged.every(Boolean) || !notes.isSynced()) {
        await kernel.clock.sleep(againMilliseconds);
        continue;
      }
      for (const [service, epoch] of Object.entries(voted)) epochs[service] = Math.max(epoch, epochs[service] ?? 0);
      after = next;
      whole = next === '';
    }
    return whole;
  }

  async function abstainIn(service: string, epoch: number): Promise<void> {
    while (!parts.stopped() && ((await votes.epochs())[service] ?? 0) < epoch) {
      if (!(await votes.record(service, { epoch, ...abstained }))) await kernel.clock.sleep(againMilliseconds);
    }
  }

  return {
    copyFrom: pages,
    abstain: async function abstain(epochs) {
      await Promise.all(Object.entries(epochs).map(([service, epoch]) => abstainIn(service, epoch)));
    },
  };
}

export const stateTransfer = { create } as const;
