/** The latest contents of the configuration as they were pushed, and what makes the newest of each (design 5.6). */
import { differences, message, type Ballot, type Change, type Entry } from '@stallstall/message';

/** @internal */
export type RecentContents = Readonly<{
  add: (entry: Entry) => void;
  /** The differences of the newest content from the one under a ballot; undefined where that is not known, or they are not worthwhile. */
  differencesFrom: (held: Ballot) => ContentDifferences | undefined;
}>;

/** @internal */
export type ContentDifferences = NonNullable<Change['differs']>;

type Content = Readonly<{ ballot: Ballot; value: unknown; characters: number }>;

/** So many of the latest contents are kept. */
const contentsKept = 4;
/** Differences are sent only if they are so much shorter than the content. */
const worthwhileShare = 0.5;

function isSameBallot(left: Ballot, right: Ballot): boolean {
  return message.compareBallots(left, right) === 0;
}

function differencesBetween(base: Content, newest: Content): ContentDifferences | undefined {
  const all = [...differences.between(base.value, newest.value)];
  const isWorthwhile = JSON.stringify(all).length < worthwhileShare * newest.characters;
  return isWorthwhile ? { from: base.ballot, all } : undefined;
}

function create(): RecentContents {
  let contents: readonly Content[] = [];
  /** The differences of the newest content, by the ballot of the other; reckoned once for all subscribers. */
  const reckoned = new Map<Ballot, ContentDifferences | undefined>();

  function add({ ballot, value }: Entry): void {
    if (contents.some((content) => isSameBallot(content.ballot, ballot))) return;
    contents = [...contents, { ballot, value, characters: JSON.stringify(value).length }].slice(-contentsKept);
    reckoned.clear();
  }

  function differencesFrom(held: Ballot): ContentDifferences | undefined {
    const base = contents.find((content) => isSameBallot(content.ballot, held));
    const newest = contents.at(-1);
    if (base === undefined || newest === undefined) return undefined;
    if (!reckoned.has(base.ballot)) reckoned.set(base.ballot, differencesBetween(base, newest));
    return reckoned.get(base.ballot);
  }

  return { add, differencesFrom };
}

/** @internal */
export const recentContents = { create } as const;
