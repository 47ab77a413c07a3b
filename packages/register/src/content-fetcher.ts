/** Holds back changes that were pushed without their content until another core pushes the content or it is fetched (design 5.6). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Instant, Runtime } from '@stallstall/kernel';
import { ballotZero, differences, type Ballot, type Change, type Reply, type Request } from '@stallstall/message';
import { awaitedChanges, type AwaitedChange, type AwaitedChanges } from './awaited-changes.js';

/** The part of a link to a core that is needed to fetch contents. */
export type ContentLink = Readonly<{
  call: (kind: 'look', body: Request<'look'>, milliseconds: number) => Promise<Option.Option<Reply<'look'>>>;
}>;

export type ContentFetcherOptions = Readonly<{
  /** The number of the current core set; 0 if it never changes (design 4.8). */
  coreSetNumber: () => number;
  /** Called with a change that includes its content. */
  deliver: (core: string, change: Change) => void;
  stopped: () => boolean;
}>;

export type ContentFetcher = Readonly<{
  /** Handles a change that a core pushed: delivers it at once if its content is available here, else fetches the content over `link`. */
  receive: (core: string, link: Option.Option<ContentLink>, change: Change) => void;
  /** The ballot of the newest content here; cores need to push only the difference from it. */
  latestBallot: () => Ballot;
  /** The newest change of each core whose content is missing. */
  awaited: () => readonly AwaitedContent[];
  counts: () => ContentCounts;
}>;

export type AwaitedContent = Readonly<{ core: string; version: number }>;

/**
 * Counters of content fetches: `fetched` and `unanswered` calls, and `superseded` changes, which newer changes of the same core replaced
 * before their content was available.
 */
export type ContentCounts = Readonly<{ fetched: number; unanswered: number; superseded: number }>;

type FetcherState = {
  readonly runtime: Runtime;
  readonly options: ContentFetcherOptions;
  /** The latest contents by identity (key and ballot), oldest first. */
  readonly contents: Map<string, unknown>;
  readonly awaited: AwaitedChanges;
  /** When a content newer than the latest was first found missing, or when the last fetch for it ended. */
  missingSince: Option.Option<Instant>;
  /** A fetch is scheduled or in progress. There is only one at a time, since a link may have little bandwidth. */
  isFetchPending: boolean;
  /** The core that did not reply to the last fetch; empty if the last fetch succeeded. */
  unresponsive: string;
  latest: Ballot;
  fetched: number;
  unanswered: number;
};

/** How long to wait for another core to push a missing content before it is fetched. */
const fetchDelayMilliseconds = 500;
const fetchTimeoutMilliseconds = 3_000;
const contentKey = 'configuration';
/** Earlier contents are retained because a core may push the difference from one that a push of another core has already replaced here. */
const maxContents = 4;

/** A ballot is used for a single value, so key and ballot identify the content. */
function identityOf(key: string, ballot: Ballot): string {
  return `${key} ${ballot.counter} ${ballot.node}`;
}

function withContent(change: Change, value: unknown): Change {
  return { ...change, entry: { ...change.entry, value } };
}

/** The awaited changes that are newer than the latest content; an older one would no longer be applied. */
function missingChanges({ awaited, latest }: FetcherState): readonly AwaitedChange[] {
  return awaited.newest().filter(({ change }) => awaitedChanges.isHigherBallot(change.entry.ballot, latest));
}

/** Restarts the fetch delay. A newer content is progress, so contents that are still missing count as missing from now on. */
function restartWait(fetcher: FetcherState): void {
  fetcher.missingSince = missingChanges(fetcher).length > 0 ? Option.some(fetcher.runtime.clock.now()) : Option.none;
}

function storeContent(fetcher: FetcherState, ballot: Ballot, content: unknown): void {
  const { contents } = fetcher;
  const identity = identityOf(contentKey, ballot);
  contents.delete(identity);
  contents.set(identity, content);
  for (const old of [...contents.keys()].slice(0, -maxContents)) contents.delete(old);
  if (!awaitedChanges.isHigherBallot(ballot, fetcher.latest)) return;
  fetcher.latest = ballot;
  restartWait(fetcher);
}

/** The content as pushed, as stored here, or built from its difference to a stored content; undefined if none of these is available. */
function contentOf({ contents }: FetcherState, change: Change): unknown {
  const { entry, differs } = change;
  if (entry.value !== null) return entry.value;
  const identity = identityOf(change.key, entry.ballot);
  if (contents.has(identity) || differs === undefined) return contents.get(identity);
  const base = contents.get(identityOf(change.key, differs.from));
  return base === undefined ? undefined : differences.apply(base, differs.all);
}

function deliver(fetcher: FetcherState, core: string, change: Change, content: unknown): void {
  // A change of another key does not make a missing content available.
  if (change.key === contentKey) {
    fetcher.awaited.remove(core, change.entry.ballot);
    storeContent(fetcher, change.entry.ballot, content);
  }
  fetcher.options.deliver(core, withContent(change, content));
}

/** Delivers awaited changes whose content has become available; each delivered content may be the base of the next difference. */
function deliverAwaited(fetcher: FetcherState): void {
  for (const { core, change } of fetcher.awaited.all()) {
    const content = contentOf(fetcher, change);
    if (content === undefined) continue;
    deliver(fetcher, core, change, content);
    deliverAwaited(fetcher);
    return;
  }
}

function receive(fetcher: FetcherState, core: string, link: Option.Option<ContentLink>, change: Change): void {
  const content = contentOf(fetcher, change);
  if (content !== undefined) {
    deliver(fetcher, core, change, content);
    if (change.key === contentKey) deliverAwaited(fetcher);
    return;
  }
  fetcher.awaited.add({ core, link, change });
  if (Option.isNone(fetcher.missingSince)) restartWait(fetcher);
  scheduleFetch(fetcher);
}

function scheduleFetch(fetcher: FetcherState): void {
  const { runtime, missingSince } = fetcher;
  if (fetcher.isFetchPending || Option.isNone(missingSince)) return;
  fetcher.isFetchPending = true;
  const elapsed = runtime.clock.now() - missingSince.value;
  runtime.clock.startTimer(Math.max(0, fetchDelayMilliseconds - elapsed), () => void fetchWhenDue(fetcher));
}

/** Only newer contents postpone the fetch, newer changes do not: a continuous stream of changes would postpone it forever. */
async function fetchWhenDue(fetcher: FetcherState): Promise<void> {
  const { runtime, options, missingSince } = fetcher;
  if (options.stopped()) return;
  const isDue = Option.isSome(missingSince) && runtime.clock.now() - missingSince.value >= fetchDelayMilliseconds;
  if (isDue) await fetchNewest(fetcher);
  fetcher.isFetchPending = false;
  scheduleFetch(fetcher);
}

/** The newest missing change, whose core is fetched from. A core that just failed to reply is chosen only if there is no other. */
function chooseSource(fetcher: FetcherState): AwaitedChange | undefined {
  const candidates = missingChanges(fetcher).filter(({ link }) => Option.isSome(link));
  const responsive = candidates.filter(({ core }) => core !== fetcher.unresponsive);
  const sources = responsive.length > 0 ? responsive : candidates;
  return sources.reduce<AwaitedChange | undefined>(function newer(newest, source) {
    return newest === undefined || awaitedChanges.isHigherBallot(source.change.entry.ballot, newest.change.entry.ballot) ? source : newest;
  }, undefined);
}

async function fetchNewest(fetcher: FetcherState): Promise<void> {
  const source = chooseSource(fetcher);
  if (source === undefined || Option.isNone(source.link)) return restartWait(fetcher);
  const reply = await source.link.value.call('look', { key: contentKey, set: fetcher.options.coreSetNumber() }, fetchTimeoutMilliseconds);
  const entry = Option.isSome(reply) ? reply.value.accepted : null;
  restartWait(fetcher);
  if (entry === null) {
    fetcher.unanswered += 1;
    fetcher.unresponsive = source.core;
    return;
  }
  fetcher.fetched += 1;
  fetcher.unresponsive = '';
  storeContent(fetcher, entry.ballot, entry.value);
  deliverAwaited(fetcher);
}

function create(runtime: Runtime, options: ContentFetcherOptions): ContentFetcher {
  const fetcher: FetcherState = {
    runtime,
    options,
    contents: new Map(),
    awaited: awaitedChanges.create(),
    missingSince: Option.none,
    isFetchPending: false,
    unresponsive: '',
    latest: ballotZero,
    fetched: 0,
    unanswered: 0,
  };
  return {
    receive: (core, link, change) => receive(fetcher, core, link, change),
    latestBallot: () => fetcher.latest,
    awaited: () => missingChanges(fetcher).map(({ core, change }) => ({ core, version: change.entry.version })),
    counts: () => ({ fetched: fetcher.fetched, unanswered: fetcher.unanswered, superseded: fetcher.awaited.superseded() }),
  };
}

export const contentFetcher = { create } as const;
