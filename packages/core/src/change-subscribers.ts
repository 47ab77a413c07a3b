/** Numbered changes pushed to every node that asks over a held link, and the acknowledgements that come back (design 5.2). */
import * as Option from 'fp-ts/lib/Option.js';
import { differences, message, type Ballot, type Change, type Entry } from '@stallstall/message';
import type { Configuration } from '@stallstall/node';
import type { Caller } from '@stallstall/peer';
import { watcher, type Acceptor } from '@stallstall/register';

export type Subscriber = {
  node: string;
  number: number;
  acknowledged: number;
  obeyed: number;
  caller: Caller;
  content: boolean;
  holds: Ballot | undefined;
};

/** What a node said with its newest request: the change it acknowledged, the version it obeys, and whether it takes contents here. */
export type Acknowledgement = Readonly<{
  node: string;
  acknowledged: number;
  obeyed: number;
  content?: boolean | undefined;
  holds?: Ballot | undefined;
}>;

export type ChangeSubscribers = Readonly<{
  /** Hands an accepted entry to every open subscriber. */
  push: (key: string, entry: Entry) => void;
  /** Hands all that is watched to every open subscriber anew, as the cells hold it. */
  pushAll: (cells: Acceptor) => void;
  /** Subscribes whoever asks, once the cells are open, and keeps its acknowledgement. */
  subscribe: (cells: Acceptor, from: Acknowledgement, caller: Caller) => Subscriber | undefined;
  /** The version that each connected node has acknowledged to obey. */
  appliedVersions: () => ReadonlyMap<string, number>;
  metrics: () => Readonly<{ watching: number; pushed: number; unacknowledged: number }>;
}>;

/** What is pushed of the configuration leaves the ids of earlier sends behind. */
export function withoutHistory(key: string, entry: Entry): Entry {
  if (key !== 'configuration') return entry;
  const { external: _external, ...pushed } = entry.value as Configuration;
  return { ...entry, value: { ...pushed, recent: [] } };
}

/** So many of the latest contents are kept to tell what differs from them. */
const contentsKept = 4;
/** Differences are sent only if they are so much shorter than the whole. */
const worthwhileShare = 0.5;

type Differs = NonNullable<Change['differs']>;
type Content = Readonly<{ ballot: Ballot; value: unknown; characters: number }>;

/** The latest contents as they were pushed, and what makes the last of each. */
function recentContents(): Readonly<{ add: (entry: Entry) => void; differsFrom: (held: Ballot) => Differs | undefined }> {
  let contents: readonly Content[] = [];
  const reckoned = new Map<Ballot, Differs | undefined>();

  function isSame(left: Ballot, right: Ballot): boolean {
    return message.compareBallots(left, right) === 0;
  }

  function add(entry: Entry): void {
    if (contents.some((one) => isSame(one.ballot, entry.ballot))) return;
    const content = { ballot: entry.ballot, value: entry.value, characters: JSON.stringify(entry.value).length };
    contents = [...contents, content].slice(-contentsKept);
    reckoned.clear();
  }

  function reckon(base: Content, latest: Content): Differs | undefined {
    const all = [...differences.between(base.value, latest.value)];
    return JSON.stringify(all).length < worthwhileShare * latest.characters ? { from: base.ballot, all } : undefined;
  }

  /** What makes the latest of the one held, where that is still known here. */
  function differsFrom(held: Ballot): Differs | undefined {
    const base = contents.find((one) => isSame(one.ballot, held));
    const latest = contents.at(-1);
    if (base === undefined || latest === undefined) return undefined;
    if (!reckoned.has(base.ballot)) reckoned.set(base.ballot, reckon(base, latest));
    return reckoned.get(base.ballot);
  }

  return { add, differsFrom };
}

/** `stoodAt` tells the number of the set of cores under which a change is handed over (design 4.8). */
function create(stoodAt: () => Readonly<{ set?: number }>): ChangeSubscribers {
  const changeSubscribers = new Map<Caller, Subscriber>();
  const recent = recentContents();

  /** A configuration goes over to whoever asked for that here, as what differs from the one it holds if it can; the others learn that there is one. */
  function told(to: Subscriber, key: string, entry: Entry): Pick<Change, 'entry' | 'differs'> {
    const slim = { ...entry, value: null };
    if (key !== 'configuration') return { entry };
    if (!to.content) return { entry: slim };
    const pushed = withoutHistory(key, entry);
    recent.add(pushed);
    const differs = to.holds === undefined ? undefined : recent.differsFrom(to.holds);
    if (to.holds !== undefined) to.holds = entry.ballot;
    return differs === undefined ? { entry: pushed } : { entry: slim, differs };
  }

  function handOver(to: Subscriber, key: string, entry: Entry): void {
    to.number += 1;
    to.caller.change({ number: to.number, key, ...told(to, key, entry), ...stoodAt() });
  }

  function open(): readonly Subscriber[] {
    return [...changeSubscribers.values()].filter((subscriber) => subscriber.caller.open());
  }

  function handOverAll(cells: Acceptor, to: readonly Subscriber[]): void {
    for (const key of cells.keys()) {
      const accepted = cells.accepted(key);
      if (!watcher.isWatched(key) || Option.isNone(accepted)) continue;
      for (const subscriber of to) handOver(subscriber, key, accepted.value);
    }
  }

  function enlist(cells: Acceptor, from: Acknowledgement, caller: Caller): Subscriber | undefined {
    const content = from.content ?? true;
    let subscriber = changeSubscribers.get(caller);
    if (cells.ready() && subscriber === undefined) {
      subscriber = { node: from.node, number: 0, acknowledged: 0, obeyed: 0, caller, content, holds: from.holds };
      changeSubscribers.set(caller, subscriber);
      handOverAll(cells, [subscriber]);
    }
    for (const known of changeSubscribers.keys()) if (!known.open()) changeSubscribers.delete(known);
    if (subscriber !== undefined) Object.assign(subscriber, { content, acknowledged: from.acknowledged, obeyed: from.obeyed });
    return subscriber;
  }

  return {
    subscribe: enlist,
    push: function push(key, entry) {
      for (const subscriber of open()) handOver(subscriber, key, entry);
    },
    pushAll: (cells) => handOverAll(cells, open()),
    appliedVersions: () => new Map(open().map((subscriber) => [subscriber.node, subscriber.obeyed])),
    metrics: () => ({
      watching: open().length,
      pushed: [...changeSubscribers.values()].reduce((sum, subscriber) => sum + subscriber.number, 0),
      unacknowledged: open().reduce((sum, subscriber) => sum + Math.max(0, subscriber.number - subscriber.acknowledged), 0),
    }),
  };
}

export const changeSubscribers = { create } as const;
