/** Moves this core between its states: serving, serving in a newer core set, and no longer serving (design 4.8). */
import * as Option from 'fp-ts/lib/Option.js';
import type { CoreSet, Entry } from '@stallstall/message';
import { watcher } from '@stallstall/register';
import { withoutClientMetadata, type ChangeSubscribers } from './change-subscribers.js';
import type { CoreServices } from './core-context.js';
import { coreSetOf, type FleetRecord } from './fleet-record.js';
import { currentSet } from './peer-handlers.js';
import type { QuorumContact } from './quorum-contact.js';

/** @internal */
export type CoreLifecycle = Readonly<{
  /** Starts to serve ballots as a core of the recorded set. */
  open: (record: FleetRecord) => void;
  /** Continues in the recorded, newer set: every watched entry is pushed again, since pushes of an earlier set no longer count. */
  changeSet: (record: FleetRecord) => void;
  /** Stops serving and follows the given set as an ordinary node; requests in flight are still completed. */
  close: (set: CoreSet) => void;
  /** Pushes an entry that this core's disk has accepted. */
  publish: (key: string, entry: Entry) => void;
  notifyLeaseHolders: () => void;
}>;

/** @internal */
export type CoreLifecycleParts = Readonly<{
  services: CoreServices;
  subscribers: ChangeSubscribers;
  contact: QuorumContact;
}>;

function create({ services, subscribers, contact }: CoreLifecycleParts): CoreLifecycle {
  const { context, storage, node } = services;
  const { cells, reports, coreSetView } = storage;
  let lastChangeNumber = 0;

  function notifyLeaseHolders(): void {
    if (Option.isSome(context.registration)) context.registration.value.grantor.notify();
  }

  /** Pushes all watched entries to the node in this process, for which this core's own disk is one of the sources. */
  function pushToOwnNode(): void {
    for (const key of cells.keys()) {
      const entry = cells.accepted(key);
      if (!watcher.isWatched(key) || Option.isNone(entry)) continue;
      lastChangeNumber += 1;
      const change = { number: lastChangeNumber, key, entry: withoutClientMetadata(key, entry.value), ...currentSet(coreSetView) };
      node.receiveOwnChange(context.settings.node, change);
    }
  }

  function open(record: FleetRecord): void {
    node.setFleet(record.fleet);
    if (Option.isNone(context.platform)) node.setCores(record.cores);
    else node.followCoreSet(coreSetOf(record));
    context.openedAt = context.runtime.clock.now();
    cells.open();
    reports.open();
    contact.markOpened();
    pushToOwnNode();
    notifyLeaseHolders();
    context.runtime.log('core.open', { fleet: record.fleet, cores: record.cores.length });
  }

  function changeSet(record: FleetRecord): void {
    node.followCoreSet(coreSetOf(record));
    subscribers.pushAll(cells);
    pushToOwnNode();
    notifyLeaseHolders();
  }

  function close(set: CoreSet): void {
    cells.close();
    reports.close();
    node.followCoreSet(set);
    notifyLeaseHolders();
  }

  function publish(key: string, entry: Entry): void {
    if (!watcher.isWatched(key)) return;
    notifyLeaseHolders();
    subscribers.push(key, entry);
    pushToOwnNode();
  }

  return { open, changeSet, close, publish, notifyLeaseHolders };
}

/** @internal */
export const coreLifecycle = { create } as const;
