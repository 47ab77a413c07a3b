/** Numbered changes pushed to every node that subscribes over a link, and the acknowledgements that come back (design 5.2). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Ballot, Change, Entry, Request } from '@stallstall/message';
import type { Configuration } from '@stallstall/node';
import type { Caller } from '@stallstall/peer';
import { watcher, type Acceptor } from '@stallstall/register';
import { recentContents, type RecentContents } from './recent-contents.js';

export type Subscriber = {
  readonly node: string;
  readonly caller: Caller;
  /** The number of the last change pushed. */
  number: number;
  acknowledged: number;
  /** The configuration version that the node has applied. */
  appliedVersion: number;
  /** Whether configurations are pushed here with their content. */
  wantsContent: boolean;
  /** The ballot of the newest content that the node holds. */
  holds: Ballot | undefined;
};

/** What a node said with its newest request. The field names are those of its messages. */
export type WatchRequest = Pick<Request<'watch'>, 'node' | 'acknowledged' | 'obeyed' | 'content' | 'holds'>;

export type ChangeSubscribers = Readonly<{
  /** Pushes an accepted entry to every open subscriber. */
  push: (key: string, entry: Entry) => void;
  /** Pushes all that is watched to every open subscriber anew, as the cells hold it. */
  pushAll: (cells: Acceptor) => void;
  /** Subscribes a node, once the cells are open, and keeps its acknowledgement; undefined while they are not. */
  subscribe: (cells: Acceptor, from: WatchRequest, caller: Caller) => Subscriber | undefined;
  /** The configuration version that each connected node has applied. */
  appliedVersions: () => ReadonlyMap<string, number>;
  metrics: () => Readonly<{ watching: number; pushed: number; unacknowledged: number }>;
}>;

type SubscriberTable = Readonly<{
  subscribers: Map<Caller, Subscriber>;
  contents: RecentContents;
  /** The number of the set of cores under which a change is pushed (design 4.8). */
  currentSet: () => Readonly<{ set?: number }>;
}>;

/** The entry as it is pushed: a configuration without the ids of earlier sends and without its sender's own text. */
export function withoutHistory(key: string, entry: Entry): Entry {
  if (key !== 'configuration') return entry;
  const { external: _external, ...pushed } = entry.value as Configuration;
  return { ...entry, value: { ...pushed, recent: [] } };
}

/**
 * What one subscriber is sent of an entry. A configuration goes with its content to whoever wants that here, as differences from the one it
 * holds if it can; the others learn that there is one.
 */
function contentFor({ contents }: SubscriberTable, to: Subscriber, key: string, entry: Entry): Pick<Change, 'entry' | 'differs'> {
  if (key !== 'configuration') return { entry };
  const withoutContent = { ...entry, value: null };
  if (!to.wantsContent) return { entry: withoutContent };
  const pushed = withoutHistory(key, entry);
  contents.add(pushed);
  const differs = to.holds === undefined ? undefined : contents.differencesFrom(to.holds);
  if (to.holds !== undefined) to.holds = entry.ballot;
  return differs === undefined ? { entry: pushed } : { entry: withoutContent, differs };
}

function pushTo(table: SubscriberTable, to: Subscriber, key: string, entry: Entry): void {
  to.number += 1;
  to.caller.change({ number: to.number, key, ...contentFor(table, to, key, entry), ...table.currentSet() });
}

function openSubscribers({ subscribers }: SubscriberTable): readonly Subscriber[] {
  return [...subscribers.values()].filter((subscriber) => subscriber.caller.open());
}

function pushAllTo(table: SubscriberTable, cells: Acceptor, to: readonly Subscriber[]): void {
  for (const key of cells.keys()) {
    const accepted = cells.accepted(key);
    if (!watcher.isWatched(key) || Option.isNone(accepted)) continue;
    for (const subscriber of to) pushTo(table, subscriber, key, accepted.value);
  }
}

function add(table: SubscriberTable, cells: Acceptor, from: WatchRequest, caller: Caller): Subscriber {
  const subscriber: Subscriber = {
    node: from.node,
    caller,
    number: 0,
    acknowledged: 0,
    appliedVersion: 0,
    wantsContent: from.content ?? true,
    holds: from.holds,
  };
  table.subscribers.set(caller, subscriber);
  pushAllTo(table, cells, [subscriber]);
  return subscriber;
}

function forgetClosed({ subscribers }: SubscriberTable): void {
  for (const caller of subscribers.keys()) if (!caller.open()) subscribers.delete(caller);
}

function subscribe(table: SubscriberTable, cells: Acceptor, from: WatchRequest, caller: Caller): Subscriber | undefined {
  const known = table.subscribers.get(caller);
  const subscriber = known ?? (cells.ready() ? add(table, cells, from, caller) : undefined);
  forgetClosed(table);
  if (subscriber === undefined) return undefined;
  const wantsContent = from.content ?? true;
  // Contents were pushed by another core meanwhile: the node holds what it says, not what this core pushed last.
  if (wantsContent && !subscriber.wantsContent) subscriber.holds = from.holds;
  subscriber.wantsContent = wantsContent;
  subscriber.acknowledged = from.acknowledged;
  subscriber.appliedVersion = from.obeyed;
  return subscriber;
}

function metrics(table: SubscriberTable): ReturnType<ChangeSubscribers['metrics']> {
  const open = openSubscribers(table);
  return {
    watching: open.length,
    pushed: [...table.subscribers.values()].reduce((sum, subscriber) => sum + subscriber.number, 0),
    unacknowledged: open.reduce((sum, subscriber) => sum + Math.max(0, subscriber.number - subscriber.acknowledged), 0),
  };
}

/** @param currentSet - the number of the set of cores that this core is in, for its messages */
function create(currentSet: SubscriberTable['currentSet']): ChangeSubscribers {
  const table: SubscriberTable = { subscribers: new Map(), contents: recentContents.create(), currentSet };
  return {
    push: function push(key, entry) {
      for (const subscriber of openSubscribers(table)) pushTo(table, subscriber, key, entry);
    },
    pushAll: (cells) => pushAllTo(table, cells, openSubscribers(table)),
    subscribe: (cells, from, caller) => subscribe(table, cells, from, caller),
    appliedVersions: () => new Map(openSubscribers(table).map(({ node, appliedVersion }) => [node, appliedVersion])),
    metrics: () => metrics(table),
  };
}

export const changeSubscribers = { create } as const;
