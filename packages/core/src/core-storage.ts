/** Restores a core's stored state from its disk and creates the stores that write to it (design 4.3, 5.1, 5.5). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Disk, Runtime } from '@stallstall/kernel';
import type { Entry } from '@stallstall/message';
import { acceptor, reportStore } from '@stallstall/register';
import { coreCalls } from './core-calls.js';
import type { CoreContext, CoreStorage } from './core-context.js';
import { createCoreSetView, fleetRecordStore } from './fleet-record.js';
import { stateTransfer } from './state-transfer.js';
import { coreVoteStore } from './vote-store.js';

/** @internal */
export type StorageEvents = Readonly<{
  /** Called once an entry is synced to the disk. */
  onAccepted: (key: string, entry: Entry) => void;
  /** Archives an entry that is about to be replaced; resolves to false when the disk did not sync. */
  archiveEntry: (entry: Entry) => Promise<boolean>;
}>;

function logDiskFaults(runtime: Runtime, disk: Disk): void {
  disk.onSyncFaultChange(function onTrouble(trouble) {
    if (Option.isSome(trouble)) runtime.log('disk.failed', { reason: trouble.value.message });
    else runtime.log('disk.works', {});
  });
}

/** @param stored - what the disk held when the process started */
function create(context: CoreContext, stored: ReadonlyMap<string, unknown>, { onAccepted, archiveEntry }: StorageEvents): CoreStorage {
  const { runtime, disk } = context;
  logDiskFaults(runtime, disk);
  const record = fleetRecordStore.create(disk, stored);
  const coreSetView = Option.isNone(context.platform) ? undefined : createCoreSetView(record.current, () => context.isInSetTransition);
  const cells = acceptor.create({
    disk,
    stored,
    onAccepted,
    onDamaged: (error) => runtime.log('disk.damaged', { reason: error.message }),
    ...(coreSetView === undefined ? {} : { coreSet: coreSetView }),
    archiveEntry,
  });
  const reports = reportStore.create(runtime, disk, stored);
  const votes = coreVoteStore(disk, stored);
  const calls = coreCalls.create(runtime);
  const transfer = stateTransfer.create(runtime, {
    callCore: calls.call,
    cells,
    reports,
    votes,
    stopped: () => context.isStopped,
  });
  return { recordStore: record, coreSetView, cells, reports, votes, calls, transfer };
}

/** The accepted version of a key on this disk, whether or not it was chosen; 0 if there is none. */
function versionOf({ cells }: CoreStorage, key: string): number {
  const entry = cells.accepted(key);
  return Option.isSome(entry) ? entry.value.version : 0;
}

/** Where edges are not listed in the membership table, the core set takes its place, and the set's number is the version (design 4.8). */
function membershipVersion(storage: CoreStorage): number {
  const { coreSetView } = storage;
  return coreSetView === undefined ? versionOf(storage, 'membership') : Math.max(0, coreSetView.number());
}

/** @internal */
export const coreStorage = { create, versionOf, membershipVersion } as const;
