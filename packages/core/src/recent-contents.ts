/** The latest configuration contents that were pushed, and the differences of the newest from each of them (design 5.6). */
import { differences, message, type Ballot, type Change, type Entry } from '@stallstall/message';

/** @internal */
export type RecentContents = Readonly<{
  add: (entry: Entry) => void;
  /** The differences of the newest content from the one under a ballot; undefined if that one is not kept or they are too large. */
  differencesFrom: (base: Ballot) => ContentDifferences | undefined;
}>;

/** @internal */
export type ContentDifferences = NonNullable<Change['differs']>;

type Content = Readonly<{ ballot: Ballot; value: unknown; characters: number }>;

const maxContents = 4;
/** Differences are sent only if they are shorter than this fraction of the content. */
const maxDifferencesRatio = 0.5;

function isSameBallot(left: Ballot, right: Ballot): boolean {
  return message.compareBallots(left, right) === 0;
}

function differencesBetween(base: Content, newest: Content): ContentDifferences | undefined {
  const all = [...differences.compute(base.value, newest.value)];
  const isSmallEnough = JSON.stringify(all).length < maxDifferencesRatio * newest.characters;
  return isSmallEnough ? { from: base.ballot, all } : undefined;
}

function create(): RecentContents {
  let contents: readonly Content[] = [];
  /** The differences of the newest content by the ballot of their base, computed once for all subscribers. */
  const cachedDifferences = new Map<Ballot, ContentDifferences | undefined>();

  function add({ ballot, value }: Entry): void {
    if (contents.some((content) => isSameBallot(content.ballot, ballot))) return;
    contents = [...contents, { ballot, value, characters: JSON.stringify(value).length }].slice(-maxContents);
    cachedDifferences.clear();
  }

  function differencesFrom(base: Ballot): ContentDifferences | undefined {
    const baseContent = contents.find((content) => isSameBallot(content.ballot, base));
    const newest = contents.at(-1);
    if (baseContent === undefined || newest === undefined) return undefined;
    if (!cachedDifferences.has(baseContent.ballot)) cachedDifferences.set(baseContent.ballot, differencesBetween(baseContent, newest));
    return cachedDifferences.get(baseContent.ballot);
  }

  return { add, differencesFrom };
}

/** @internal */
export const recentContents = { create } as const;
