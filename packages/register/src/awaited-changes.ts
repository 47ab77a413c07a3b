/** Changes that were pushed without a content that is known here: the newest few of each core, oldest first. */
import type * as Option from 'fp-ts/lib/Option.js';
import { message, type Ballot, type Change } from '@stallstall/message';
import type { ContentLink } from './content-fetcher.js';

/** @internal */
export type AwaitedChange = Readonly<{
  core: string;
  /** Where the content can be fetched from. */
  link: Option.Option<ContentLink>;
  change: Change;
}>;

/** @internal */
export type AwaitedChanges = Readonly<{
  add: (awaited: AwaitedChange) => void;
  /** Forgets what a core pushed under this ballot and before it. */
  remove: (core: string, through: Ballot) => void;
  /** Of each core the oldest first. */
  all: () => readonly AwaitedChange[];
  /** Of each core the newest. */
  newest: () => readonly AwaitedChange[];
  /** How many changes were forgotten for newer ones of the same core. */
  superseded: () => number;
}>;

/** Differences follow one another: with a content found, so many that came behind it can be applied. */
const changesKept = 16;

function isHigherBallot(left: Ballot, right: Ballot): boolean {
  return message.compareBallots(left, right) > 0;
}

function create(): AwaitedChanges {
  const byCore = new Map<string, readonly AwaitedChange[]>();
  let superseded = 0;
  return {
    add: function add(awaited) {
      const known = [...(byCore.get(awaited.core) ?? []), awaited];
      byCore.set(awaited.core, known.slice(-changesKept));
      superseded += Math.max(0, known.length - changesKept);
    },
    remove: function remove(core, through) {
      const left = (byCore.get(core) ?? []).filter(({ change }) => isHigherBallot(change.entry.ballot, through));
      if (left.length > 0) byCore.set(core, left);
      else byCore.delete(core);
    },
    all: () => [...byCore.values()].flat(),
    newest: () => [...byCore.values()].flatMap((changes) => changes.slice(-1)),
    superseded: () => superseded,
  };
}

/** @internal */
export const awaitedChanges = { create, isHigherBallot } as const;
