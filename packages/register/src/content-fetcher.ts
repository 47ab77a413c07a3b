/** Changes that were pushed without their content wait for it: from a core that pushes it complete, else it is fetched (design 5.6). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Instant, Runtime } from '@stallstall/kernel';
import { ballotZero, differences, type Ballot, type Change, type Reply, type Request } from '@stallstall/message';
import { awaitedChanges, type AwaitedChange, type AwaitedChanges } from './awaited-changes.js';

/** A link to a core, as far as contents are fetched over it. */
export type ContentLink = Readonly<{
  call: (kind: 'look', body: Request<'look'>, milliseconds: number) => Promise<Option.Option<Reply<'look'>>>;
}>;

export type ContentFetcherOptions = Readonly<{
  /** The number of the set of cores that is followed; 0 where it never changes (design 4.8). */
  coreSetNumber: () => number;
  /** Called with a change and its content. */
  deliver: (core: string, change: Change) => void;
  stopped: () => boolean;
}>;

export type ContentFetcher = Readonly<{
  /** Takes what a core has pushed, at once if its content is known here; `link` is where it is fetched from otherwise. */
  receive: (core: string, link: Option.Option<ContentLink>, change: Change) => void;
  /** The ballot of the newest content: what differs from it is enough. */
  latestBallot: () => Ballot;
  /** The version of each core's change whose content is missing. */
  awaited: () => readonly AwaitedContent[];
  counts: () => ContentCounts;
}>;

export type AwaitedContent = Readonly<{ core: string; version: number }>;

/** How contents were asked for so far; `superseded`: changes that newer ones of their core replaced before their content was known. */
export type ContentCounts = Readonly<{ fetched: number; unanswered: number; superseded: number }>;

type FetcherState = {
  readonly runtime: Runtime;
  readonly options: ContentFetcherOptions;
  /** The latest contents, by their identity, oldest first. */
  readonly contents: Map<string, unknown>;
  readonly awaited: AwaitedChanges;
  /** Since when a content newer than the latest is missing, or when the last fetch for it ended. */
  missingSince: Option.Option<Instant>;
  /** A fetch is scheduled or under way; there is one at a time, since a link may be narrow. */
  isFetchPending: boolean;
  /** The core that did not reply to the last fetch. */
  unresponsive: string;
  latest: Ballot;
  fetched: number;
  unanswered: number;
};

/** A content that another core was to push is fetched after so long. */
const waitMilliseconds = 500;
const fetchMilliseconds = 3_000;
const contentKey = 'configuration';
/** A core may push what differs from a content that another has overtaken here meanwhile. */
const contentsKept = 4;

/** A ballot is given to one value alone: whoever knows the ballot knows the content. */
function identityOf(key: string, ballot: Ballot): string {
  return `${key} ${ballot.counter} ${ballot.node}`;
}

function withContent(change: Change, value: unknown): Change {
  return { ...change, entry: { ...change.entry, value } };
}

/** Contents newer than the latest that are awaited: an older one would not be applied any more. */
function missing({ awaited, latest }: FetcherState): readonly AwaitedChange[] {
  return awaited.newest().filter(({ change }) => awaitedChanges.isHigherBallot(change.entry.ballot, latest));
}

/** A newer content is progress: whatever is missing by now has been so from this moment. */
function restartWait(fetcher: FetcherState): void {
  fetcher.missingSince = missing(fetcher).length > 0 ? Option.some(fetcher.runtime.clock.now()) : Option.none;
}

function keep(fetcher: FetcherState, ballot: Ballot, content: unknown): void {
  const { contents } = fetcher;
  const identity = identityOf(contentKey, ballot);
  contents.delete(identity);
  contents.set(identity, content);
  for (const old of [...contents.keys()].slice(0, -contentsKept)) contents.delete(old);
  if (!awaitedChanges.isHigherBallot(ballot, fetcher.latest)) return;
  fetcher.latest = ballot;
  restartWait(fetcher);
}

/** As it was pushed, as it is known here already, or made of the one it differs from; undefined where none of these can be had. */
function contentOf({ contents }: FetcherState, change: Change): unknown {
  const { entry, differs } = change;
  if (entry.value !== null) return entry.value;
  const identity = identityOf(change.key, entry.ballot);
  if (contents.has(identity) || differs === undefined) return contents.get(identity);
  const base = contents.get(identityOf(change.key, differs.from));
  return base === undefined ? undefined : differences.applied(base, differs.all);
}

function deliver(fetcher: FetcherState, core: string, change: Change, content: unknown): void {
  // Another key's change says nothing of a content that is still missing.
  if (change.key === contentKey) {
    fetcher.awaited.remove(core, change.entry.ballot);
    keep(fetcher, change.entry.ballot, content);
  }
  fetcher.options.deliver(core, withContent(change, content));
}

/** Delivers what waited for a content that is known by now; each may be what the next differs from. */
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
  const waited = runtime.clock.now() - missingSince.value;
  runtime.clock.startTimer(Math.max(0, waitMilliseconds - waited), () => void fetchWhenDue(fetcher));
}

/** Newer changes do not put off the fetch, only newer contents do: a stream of changes would put it off for good. */
async function fetchWhenDue(fetcher: FetcherState): Promise<void> {
  const { runtime, options: parts, missingSince } = fetcher;
  if (parts.stopped()) return;
  const isDue = Option.isSome(missingSince) && runtime.clock.now() - missingSince.value >= waitMilliseconds;
  if (isDue) await fetchNewest(fetcher);
  fetcher.isFetchPending = false;
  scheduleFetch(fetcher);
}

/** The core that pushed the newest of what is missing, rather not the one that has just failed to reply. */
function sourceOf(fetcher: FetcherState): AwaitedChange | undefined {
  const candidates = missing(fetcher).filter(({ link }) => Option.isSome(link));
  const responsive = candidates.filter(({ core }) => core !== fetcher.unresponsive);
  const choices = responsive.length > 0 ? responsive : candidates;
  return choices.reduce<AwaitedChange | undefined>(function newer(best, one) {
    return best === undefined || awaitedChanges.isHigherBallot(one.change.entry.ballot, best.change.entry.ballot) ? one : best;
  }, undefined);
}

async function fetchNewest(fetcher: FetcherState): Promise<void> {
  const source = sourceOf(fetcher);
  if (source === undefined || Option.isNone(source.link)) return restartWait(fetcher);
  const reply = await source.link.value.call('look', { key: contentKey, set: fetcher.options.coreSetNumber() }, fetchMilliseconds);
  const entry = Option.isSome(reply) ? reply.value.accepted : null;
  restartWait(fetcher);
  if (entry === null) {
    fetcher.unanswered += 1;
    fetcher.unresponsive = source.core;
    return;
  }
  fetcher.fetched += 1;
  fetcher.unresponsive = '';
  keep(fetcher, entry.ballot, entry.value);
  deliverAwaited(fetcher);
}

function create(runtime: Runtime, parts: ContentFetcherOptions): ContentFetcher {
  const fetcher: FetcherState = {
    runtime,
    options: parts,
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
    awaited: () => missing(fetcher).map(({ core, change }) => ({ core, version: change.entry.version })),
    counts: () => ({ fetched: fetcher.fetched, unanswered: fetcher.unanswered, superseded: fetcher.awaited.superseded() }),
  };
}

export const contentFetcher = { create } as const;
