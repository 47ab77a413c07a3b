/** Copies what another core holds to this core's own disk: cells, votes and reports (design 4.3). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Runtime } from '@stallstall/kernel';
import type { Reply, Seat } from '@stallstall/message';
import { acceptor, catchUp, type Acceptor, type ReportStore } from '@stallstall/register';
import type { CoreCall } from './core-calls.js';
import { abstention, type CoreVoteStore } from './vote-store.js';

export type StateTransferParts = Readonly<{
  callCore: CoreCall;
  cells: Acceptor;
  reports: Pick<ReportStore, 'store' | 'isSynced'>;
  votes: Pick<CoreVoteStore, 'epochs' | 'record'>;
  stopped: () => boolean;
}>;

/** Which cores may be copied: those that are in no numbered set, or in this one or a later one (design 4.8). */
export type CopiedSet = Option.Option<number>;

export type StateTransfer = Readonly<{
  /**
   * Copies all that another core holds, adding the highest epochs it voted for to `epochs`; resolves to false once `isUnneeded` says that
   * the copy is not wanted any more.
   */
  copyFrom: (other: Seat, set: CopiedSet, epochs: Record<string, number>, isUnneeded?: () => boolean) => Promise<boolean>;
  /** Votes for nobody in these epochs: what this core voted is lost, and an epoch it may have helped to win has other voters. */
  abstain: (epochs: Readonly<Record<string, number>>) => Promise<void>;
}>;

const pageMilliseconds = 2_000;
/** So long after a page that did not come, or did not sync, it is asked for again. */
const retryMilliseconds = 50;

function isEligibleSource(wanted: CopiedSet, reported: number | undefined): boolean {
  return Option.isNone(wanted) ? reported === undefined : catchUp.isEligibleSource(wanted.value, reported);
}

/** A page of another core's state; none while it may not be copied. */
async function fetchPage(
  { callCore }: StateTransferParts,
  other: Seat,
  set: CopiedSet,
  after: string,
): Promise<Option.Option<Reply<'copy'>>> {
  const reply = await callCore(other.address, 'copy', { after }, pageMilliseconds);
  if (Option.isNone(reply) || !reply.value.ready || !isEligibleSource(set, reply.value.set)) return Option.none;
  return reply;
}

/** Resolves to true once all of a page is on this core's disk. */
async function storePage({ cells, reports }: StateTransferParts, page: Reply<'copy'>): Promise<boolean> {
  const merged = await Promise.all(
    page.entries.map((entry) => (acceptor.isCellState(entry.state) ? cells.merge(entry.key, entry.state) : Promise.resolve(false))),
  );
  await reports.store(page.notes);
  return merged.every(Boolean) && reports.isSynced();
}

async function copyFrom(
  runtime: Runtime,
  parts: StateTransferParts,
  { other, set, epochs, isUnneeded }: Readonly<{ other: Seat; set: CopiedSet; epochs: Record<string, number>; isUnneeded: () => boolean }>,
): Promise<boolean> {
  let after = '';
  while (!parts.stopped() && !isUnneeded()) {
    const page = await fetchPage(parts, other, set, after);
    if (Option.isNone(page) || !(await storePage(parts, page.value))) {
      await runtime.clock.sleep(retryMilliseconds);
      continue;
    }
    const { votes, next } = page.value;
    for (const [service, epoch] of Object.entries(votes)) epochs[service] = Math.max(epoch, epochs[service] ?? 0);
    if (next === '') return true;
    after = next;
  }
  return false;
}

async function abstainIn(runtime: Runtime, { votes, stopped }: StateTransferParts, service: string, epoch: number): Promise<void> {
  while (!stopped() && ((await votes.epochs())[service] ?? 0) < epoch) {
    const isRecorded = await votes.record(service, { epoch, ...abstention });
    if (!isRecorded) await runtime.clock.sleep(retryMilliseconds);
  }
}

function create(runtime: Runtime, parts: StateTransferParts): StateTransfer {
  return {
    copyFrom: (other, set, epochs, isUnneeded = () => false) => copyFrom(runtime, parts, { other, set, epochs, isUnneeded }),
    abstain: async function abstain(epochs) {
      await Promise.all(Object.entries(epochs).map(([service, epoch]) => abstainIn(runtime, parts, service, epoch)));
    },
  };
}

export const stateTransfer = { create } as const;
