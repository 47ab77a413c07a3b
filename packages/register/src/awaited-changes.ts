/** Changes that cores pushed without their content while it is missing here: the newest few of each core, oldest first. */
import type * as Option from 'fp-ts/lib/Option.js';
import { message, type Ballot, type Change } from '@stallstall/message';
import type { ContentLink } from './content-fetcher.js';

/** @internal */
export type AwaitedChange = Readonly<{
  core: string;
  /** The link over which the content can be fetched; none if there is no link to the core. */
  link: Option.Option<ContentLink>;
  change: Change;
}>;

/** @internal */
export type AwaitedChanges = Readonly<{
  add: (awaited: AwaitedChange) => void;
  /** Removes the changes that a core pushed under this ballot and lower ones. */
  remove: (core: string, through: Ballot) => void;
  /** All changes, grouped by core, oldest first within a core. */
  all: () => readonly AwaitedChange[];
  /** The newest change of each core. */
  newest: () => readonly AwaitedChange[];
  /** How many changes were dropped because the same core pushed newer ones. */
  superseded: () => number;
}>;

/** The number of changes retained per core. Differences build on one another, so those after a fetched content can be applied to it. */
const maxChangesPerCore = 16;

function isHigherBallot(left: Ballot, right: Ballot): boolean {
  return message.compareBallots(left, right) > 0;
}

function create(): AwaitedChanges {
  const byCore = new Map<string, readonly AwaitedChange[]>();
  let superseded = 0;
  return {
    add: function add(awaited) {
      const changes = [...(byCore.get(awaited.core) ?? []), awaited];
      byCore.set(awaited.core, changes.slice(-maxChangesPerCore));
      superseded += Math.max(0, changes.length - maxChangesPerCore);
    },
    remove: function remove(core, through) {
      const remaining = (byCore.get(core) ?? []).filter(({ change }) => isHigherBallot(change.entry.ballot, through));
      if (remaining.length > 0) byCore.set(core, remaining);
      else byCore.delete(core);
    },
    all: () => [...byCore.values()].flat(),
    newest: () => [...byCore.values()].flatMap((changes) => changes.slice(-1)),
    superseded: () => superseded,
  };
}

/** @internal */
export const awaitedChanges = { create, isHigherBallot } as const;
