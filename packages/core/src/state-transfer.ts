/** Copies another core's cells, votes and edge reports to this core's own disk (design 4.3). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Runtime } from '@stallstall/kernel';
import type { Reply, NodeRecord } from '@stallstall/message';
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

/** Which cores may be copied. Some number: those in that core set or a later one; none: those in no numbered set (design 4.8). */
export type CopiedSet = Option.Option<number>;

export type StateTransfer = Readonly<{
  /**
   * Copies the state of another core and raises `epochs` to the highest epochs that it voted for; resolves to false once the copy is no
   * longer needed or this process stops.
   */
  copyFrom: (other: NodeRecord, set: CopiedSet, epochs: Record<string, number>, isUnneeded?: () => boolean) => Promise<boolean>;
  /**
   * Records an abstention in these epochs, since this core has lost its votes and must not vote twice in an epoch. That loses no outcome:
   * an election that its lost vote may have helped to win has other voters.
   */
  abstain: (epochs: Readonly<Record<string, number>>) => Promise<void>;
}>;

const pageMilliseconds = 2_000;
/** Delay before a page that was not received or not synced, or a vote that was not synced, is tried again. */
const retryMilliseconds = 50;

function isEligibleSource(wanted: CopiedSet, reported: number | undefined): boolean {
  return Option.isNone(wanted) ? reported === undefined : catchUp.isEligibleSource(wanted.value, reported);
}

/** Fetches a page of another core's state; none if it did not reply or may not be copied now. */
async function fetchPage(
  { callCore }: StateTransferParts,
  other: NodeRecord,
  set: CopiedSet,
  after: string,
): Promise<Option.Option<Reply<'copy'>>> {
  const reply = await callCore(other.address, 'copy', { after }, pageMilliseconds);
  if (Option.isNone(reply) || !reply.value.ready || !isEligibleSource(set, reply.value.set)) return Option.none;
  return reply;
}

/** Resolves to true if the whole page was synced to this core's disk. */
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
  {
    other,
    set,
    epochs,
    isUnneeded,
  }: Readonly<{ other: NodeRecord; set: CopiedSet; epochs: Record<string, number>; isUnneeded: () => boolean }>,
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
