/** Changes that were pushed without their content wait for it: from a core that pushes it complete, else it is fetched (design 5.6). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Kernel } from '@stallstall/kernel';
import { ballotZero, differences, type Ballot, type Change, type Reply, type Request } from '@stallstall/message';

/** A link to a core, as far as contents are fetched over it. */
export type ContentLink = Readonly<{
  call: (kind: 'look', body: Request<'look'>, milliseconds: number) => Promise<Option.Option<Reply<'look'>>>;
}>;

export type ContentFetcherParts = Readonly<{
  /** The number of the set of cores that is followed; 0 where it never changes (design 4.8). */
  set: () => number;
  /** Called with a change and its content. */
  deliver: (core: string, change: Change) => void;
  stopped: () => boolean;
}>;

export type ContentFetcher = Readonly<{
  /** Takes what a core has pushed, at once if its content is known here; `link` is where it is fetched from otherwise. */
  receive: (core: string, link: Option.Option<ContentLink>, change: Change) => void;
  /** The ballot of the content that arrived last: what differs from it is enough. */
  latestBallot: () => Ballot;
  /** The version of each core's change whose content is missing. */
  awaited: () => readonly AwaitedContent[];
  counts: () => ContentCounts;
}>;

export type AwaitedContent = Readonly<{ core: string; version: number }>;

/** How contents were asked for so far; `superseded`: changes that a newer one of their core replaced before their content was known. */
export type ContentCounts = Readonly<{ fetched: number; unanswered: number; superseded: number }>;

type FetcherState = {
  readonly kernel: Kernel;
  readonly parts: ContentFetcherParts;
  /** The latest contents, by their identity, oldest first. */
  readonly contents: Map<string, unknown>;
  /** By core: the change whose content is missing. */
  readonly waiting: Map<string, Change>;
  isFetching: boolean;
  latest: Ballot;
  readonly counts: { fetched: number; unanswered: number; superseded: number };
};

/** A content that another core was to push is fetched after so long; from one core at a time, since a link may be narrow. */
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

function keep(fetcher: FetcherState, identity: string, ballot: Ballot, content: unknown): void {
  const { contents } = fetcher;
  contents.delete(identity);
  contents.set(identity, content);
  fetcher.latest = ballot;
  for (const old of [...contents.keys()].slice(0, -contentsKept)) contents.delete(old);
}

/** As it was pushed, as it is known here already, or made of the one it differs from; undefined where none of these can be had. */
function contentOf({ contents }: FetcherState, change: Change, identity: string): unknown {
  if (change.entry.value !== null) return change.entry.value;
  if (contents.has(identity) || change.differs === undefined) return contents.get(identity);
  const base = contents.get(identityOf(change.key, change.differs.from));
  return base === undefined ? undefined : differences.applied(base, change.differs.all);
}

/** Delivers the changes of other cores that waited for this content. */
function deliverWaiting({ waiting, parts }: FetcherState, identity: string, content: unknown): void {
  for (const [core, change] of [...waiting]) {
    if (identityOf(change.key, change.entry.ballot) !== identity) continue;
    waiting.delete(core);
    parts.deliver(core, withContent(change, content));
  }
}

function receive(fetcher: FetcherState, core: string, link: Option.Option<ContentLink>, change: Change): void {
  const { parts, waiting } = fetcher;
  const identity = identityOf(change.key, change.entry.ballot);
  const content = contentOf(fetcher, change, identity);
  if (content === undefined) {
    if (waiting.has(core)) fetcher.counts.superseded += 1;
    waiting.set(core, change);
    if (Option.isSome(link)) fetchLater(fetcher, core, link.value, change);
    return;
  }
  // Another key's change says nothing of a content that is still missing.
  if (change.key === contentKey) {
    keep(fetcher, identity, change.entry.ballot, content);
    waiting.delete(core);
  }
  parts.deliver(core, withContent(change, content));
  deliverWaiting(fetcher, identity, content);
}

function fetchLater(fetcher: FetcherState, core: string, link: ContentLink, change: Change): void {
  fetcher.kernel.clock.startTimer(waitMilliseconds, () => void fetchContent(fetcher, core, link, change));
}

async function fetchContent(fetcher: FetcherState, core: string, link: ContentLink, change: Change): Promise<void> {
  const { parts, waiting } = fetcher;
  if (waiting.get(core) !== change || parts.stopped()) return;
  if (fetcher.isFetching) return fetchLater(fetcher, core, link, change);
  fetcher.isFetching = true;
  const reply = await link.call('look', { key: change.key, set: parts.set() }, fetchMilliseconds);
  fetcher.isFetching = false;
  const entry = Option.isSome(reply) ? reply.value.accepted : null;
  if (entry === null) fetcher.counts.unanswered += 1;
  else fetcher.counts.fetched += 1;
  if (waiting.get(core) !== change) return;
  if (entry === null) return fetchLater(fetcher, core, link, change);
  waiting.delete(core);
  receive(fetcher, core, Option.some(link), { ...change, entry });
}

function create(kernel: Kernel, parts: ContentFetcherParts): ContentFetcher {
  const fetcher: FetcherState = {
    kernel,
    parts,
    contents: new Map(),
    waiting: new Map(),
    isFetching: false,
    latest: ballotZero,
    counts: { fetched: 0, unanswered: 0, superseded: 0 },
  };
  return {
    receive: (core, link, change) => receive(fetcher, core, link, change),
    latestBallot: () => fetcher.latest,
    awaited: () => [...fetcher.waiting].map(([core, { entry }]) => ({ core, version: entry.version })),
    counts: () => fetcher.counts,
  };
}

export const contentFetcher = { create } as const;
