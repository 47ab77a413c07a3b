/** This core as the occupant of a seat: it answers, answers in another set, or answers nothing any more (design 4.8). */
import * as Option from 'fp-ts/lib/Option.js';
import type { CoreSet, Entry } from '@stallstall/message';
import { watcher } from '@stallstall/register';
import { withoutClientMetadata, type ChangeSubscribers } from './change-subscribers.js';
import type { CoreServices } from './core-context.js';
import { setOf, type Fleet } from './fleet-record.js';
import { currentSet } from './peer-handlers.js';
import type { QuorumContact } from './quorum-contact.js';

/** @internal */
export type CoreSeat = Readonly<{
  /** Begins to answer ballots as the record says. */
  open: (known: Fleet) => void;
  /** Answers in another set than before: what is watched is pushed anew at every set. */
  changeSet: (known: Fleet) => void;
  /** Answers nothing any more, and goes on asking whoever has the seats by now: what is in flight here is still finished. */
  close: (set: CoreSet) => void;
  /** Pushes an entry that this core's disk has accepted. */
  publish: (key: string, entry: Entry) => void;
  notifyLeaseHolders: () => void;
}>;

/** @internal */
export type CoreSeatParts = Readonly<{
  services: CoreServices;
  subscribers: ChangeSubscribers;
  contact: QuorumContact;
}>;

function create({ services, subscribers, contact }: CoreSeatParts): CoreSeat {
  const { context, storage, node } = services;
  const { cells, reports, coreSetView } = storage;
  let lastNumber = 0;

  function notifyLeaseHolders(): void {
    if (Option.isSome(context.registration)) context.registration.value.grantor.notify();
  }

  /** This core's own disk is one of those that push what is watched. */
  function pushToOwnNode(): void {
    for (const key of cells.keys()) {
      const entry = cells.accepted(key);
      if (!watcher.isWatched(key) || Option.isNone(entry)) continue;
      lastNumber += 1;
      const change = { number: lastNumber, key, entry: withoutClientMetadata(key, entry.value), ...currentSet(coreSetView) };
      node.receiveOwnChange(context.settings.node, change);
    }
  }

  function open(known: Fleet): void {
    node.setFleet(known.fleet);
    if (Option.isNone(context.parts)) node.setCores(known.cores);
    else node.followCoreSet(setOf(known));
    context.openedAt = context.runtime.clock.now();
    cells.open();
    reports.open();
    contact.opened();
    pushToOwnNode();
    notifyLeaseHolders();
    context.runtime.log('core.open', { fleet: known.fleet, cores: known.cores.length });
  }

  function changeSet(known: Fleet): void {
    node.followCoreSet(setOf(known));
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
export const coreSeats = { create } as const;
