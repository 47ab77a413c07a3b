/** Pushes numbered changes to every node that subscribes over a link, and tracks their acknowledgements (design 5.2). */
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
  lastChangeNumber: number;
  acknowledgedNumber: number;
  /** The configuration version that the node has applied. */
  appliedVersion: number;
  /** Whether configurations are pushed to this node with their content; false while another core supplies it. */
  wantsContent: boolean;
  /** The ballot of the newest configuration content that the node has. */
  contentBallot: Ballot | undefined;
};

/** A node's subscription request, which it repeats to acknowledge changes. The field names are those of the message. */
export type WatchRequest = Pick<Request<'watch'>, 'node' | 'acknowledged' | 'obeyed' | 'content' | 'holds'>;

export type ChangeSubscribers = Readonly<{
  /** Pushes an accepted entry to every subscriber whose link is open. */
  push: (key: string, entry: Entry) => void;
  /** Pushes every watched entry again, as the acceptor has it now, to every subscriber whose link is open. */
  pushAll: (acceptor: Acceptor) => void;
  /** Subscribes a node and records its acknowledgement; returns undefined until the acceptor is ready. */
  subscribe: (acceptor: Acceptor, request: WatchRequest, caller: Caller) => Subscriber | undefined;
  /** The configuration version that each connected node has applied. */
  appliedVersions: () => ReadonlyMap<string, number>;
  metrics: () => Readonly<{ watching: number; pushed: number; unacknowledged: number }>;
}>;

type SubscriberTable = Readonly<{
  subscribers: Map<Caller, Subscriber>;
  contents: RecentContents;
  /** The number of the core set under which a change is pushed (design 4.8). */
  currentSet: () => Readonly<{ set?: number }>;
}>;

/** The entry as it is pushed: a configuration is sent without its list of recent send ids and without the client's original text. */
export function withoutClientMetadata(key: string, entry: Entry): Entry {
  if (key !== 'configuration') return entry;
  const { external: _external, ...pushed } = entry.value as Configuration;
  return { ...entry, value: { ...pushed, recent: [] } };
}

/**
 * The part of an entry that one subscriber is sent. A subscriber that wants the content of configurations from this core gets it, if
 * possible as differences from the content it has; the others get the entry's ballot and version only.
 */
function contentFor({ contents }: SubscriberTable, subscriber: Subscriber, key: string, entry: Entry): Pick<Change, 'entry' | 'differs'> {
  if (key !== 'configuration') return { entry };
  const withoutContent = { ...entry, value: null };
  if (!subscriber.wantsContent) return { entry: withoutContent };
  const pushed = withoutClientMetadata(key, entry);
  contents.add(pushed);
  const differs = subscriber.contentBallot === undefined ? undefined : contents.differencesFrom(subscriber.contentBallot);
  if (subscriber.contentBallot !== undefined) subscriber.contentBallot = entry.ballot;
  return differs === undefined ? { entry: pushed } : { entry: withoutContent, differs };
}

function pushTo(table: SubscriberTable, subscriber: Subscriber, key: string, entry: Entry): void {
  subscriber.lastChangeNumber += 1;
  subscriber.caller.pushChange({
    number: subscriber.lastChangeNumber,
    key,
    ...contentFor(table, subscriber, key, entry),
    ...table.currentSet(),
  });
}

function openSubscribers({ subscribers }: SubscriberTable): readonly Subscriber[] {
  return [...subscribers.values()].filter((subscriber) => subscriber.caller.isOpen());
}

function pushAllTo(table: SubscriberTable, acceptor: Acceptor, subscribers: readonly Subscriber[]): void {
  for (const key of acceptor.keys()) {
    const accepted = acceptor.accepted(key);
    if (!watcher.isWatched(key) || Option.isNone(accepted)) continue;
    for (const subscriber of subscribers) pushTo(table, subscriber, key, accepted.value);
  }
}

function add(table: SubscriberTable, acceptor: Acceptor, request: WatchRequest, caller: Caller): Subscriber {
  const subscriber: Subscriber = {
    node: request.node,
    caller,
    lastChangeNumber: 0,
    acknowledgedNumber: 0,
    appliedVersion: 0,
    wantsContent: request.content ?? true,
    contentBallot: request.holds,
  };
  table.subscribers.set(caller, subscriber);
  pushAllTo(table, acceptor, [subscriber]);
  return subscriber;
}

function removeClosed({ subscribers }: SubscriberTable): void {
  for (const caller of subscribers.keys()) if (!caller.isOpen()) subscribers.delete(caller);
}

function subscribe(table: SubscriberTable, acceptor: Acceptor, request: WatchRequest, caller: Caller): Subscriber | undefined {
  const existing = table.subscribers.get(caller);
  const subscriber = existing ?? (acceptor.ready() ? add(table, acceptor, request, caller) : undefined);
  removeClosed(table);
  if (subscriber === undefined) return undefined;
  const wantsContent = request.content ?? true;
  // Another core has pushed contents in the meantime, so the node's request tells which content it has, not the last push from here.
  if (wantsContent && !subscriber.wantsContent) subscriber.contentBallot = request.holds;
  subscriber.wantsContent = wantsContent;
  subscriber.acknowledgedNumber = request.acknowledged;
  subscriber.appliedVersion = request.obeyed;
  return subscriber;
}

function metrics(table: SubscriberTable): ReturnType<ChangeSubscribers['metrics']> {
  const open = openSubscribers(table);
  return {
    watching: open.length,
    pushed: [...table.subscribers.values()].reduce((sum, subscriber) => sum + subscriber.lastChangeNumber, 0),
    unacknowledged: open.reduce((sum, subscriber) => sum + Math.max(0, subscriber.lastChangeNumber - subscriber.acknowledgedNumber), 0),
  };
}

/** @param currentSet - the number of the core set that this core belongs to, which is added to its messages */
function create(currentSet: SubscriberTable['currentSet']): ChangeSubscribers {
  const table: SubscriberTable = { subscribers: new Map(), contents: recentContents.create(), currentSet };
  return {
    push: function push(key, entry) {
      for (const subscriber of openSubscribers(table)) pushTo(table, subscriber, key, entry);
    },
    pushAll: (acceptor) => pushAllTo(table, acceptor, openSubscribers(table)),
    subscribe: (acceptor, request, caller) => subscribe(table, acceptor, request, caller),
    appliedVersions: () => new Map(openSubscribers(table).map(({ node, appliedVersion }) => [node, appliedVersion])),
    metrics: () => metrics(table),
  };
}

export const changeSubscribers = { create } as const;
