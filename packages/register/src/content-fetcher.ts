// Changes that were told without their content wait for it: from whoever hands it over whole, else it is asked for (design 5.6).
import * as Option from 'fp-ts/lib/Option.js';
import type { Kernel } from '@stallstall/kernel';
import { ballotZero, differences, type Request, type Ballot, type Change, type Reply } from '@stallstall/message';

/** A held link, as far as contents are asked for over it. */
export type ContentLink = Readonly<{
  call: (kind: 'look', body: Request<'look'>, milliseconds: number) => Promise<Option.Option<Reply<'look'>>>;
}>;

export type ContentFetcherParts = Readonly<{
  /** The number of the set of cores stood at; 0 where it never changes (design 4.8). */
  set: () => number;
  /** Takes a change with its content. */
  deliver: (core: string, change: Change) => void;
  stopped: () => boolean;
}>;

export type ContentFetcher = Readonly<{
  /** Takes what a core has told, at once if its content is known here; `link` is where it is asked for otherwise. */
  receive: (core: string, link: Option.Option<ContentLink>, change: Change) => void;
  /** The ballot of the content that came last: what differs from it is enough. */
  latestBallot: () => Ballot;
}>;

/** A content that another was to hand over whole is asked for after so long; of one core at a time, since a link may be narrow. */
const waitMilliseconds = 500;
const callMilliseconds = 3_000;
const contentKey = 'configuration';
/** A core may tell what differs from a content that another has overtaken here meanwhile. */
const contentsKept = 4;

/** A ballot is given to one value alone: who knows the ballot knows the content. */
function identityOf(key: string, ballot: Ballot): string {
  return `${key} ${ballot.counter} ${ballot.node}`;
}

function create(kernel: Kernel, parts: ContentFetcherParts): ContentFetcher {
  const known = new Map<string, unknown>();
  const waiting = new Map<string, Change>();
  let fetching = false;
  let latest = ballotZero;

  function fill(core: string, change: Change, value: unknown): void {
    waiting.delete(core);
    parts.deliver(core, { ...change, entry: { ...change.entry, value } });
  }

  function keep(identity: string, ballot: Ballot, content: unknown): void {
    known.delete(identity);
    known.set(identity, content);
    latest = ballot;
    for (const old of [...known.keys()].slice(0, -contentsKept)) known.delete(old);
  }

  /** As it came, as it is known here already, or made of the one it differs from; undefined where none of these can be had. */
  function contentOf(change: Change, identity: string): unknown {
    if (change.entry.value !== null) return change.entry.value;
    if (known.has(identity) || change.differs === undefined) return known.get(identity);
    const base = known.get(identityOf(change.key, change.differs.from));
    return base === undefined ? undefined : differences.applied(base, change.differs.all);
  }

  function changed(core: string, link: Option.Option<ContentLink>, change: Change): void {
    const identity = identityOf(change.key, change.entry.ballot);
    const content = contentOf(change, identity);
    if (content !== undefined) {
      // Another key's change says nothing of a content that is still missing.
      if (change.key === contentKey) {
        keep(identity, change.entry.ballot, content);
        waiting.delete(core);
      }
      parts.deliver(core, { ...change, entry: { ...change.entry, value: content } });
      for (const [other, slim] of [...waiting]) if (identityOf(slim.key, slim.entry.ballot) === identity) fill(other, slim, content);
      return;
    }
    waiting.set(core, change);
    if (Option.isSome(link)) later(core, link.value, change);
  }

  function later(core: string, link: ContentLink, change: Change): void {
    kernel.clock.startTimer(waitMilliseconds, () => void fetch(core, link, change));
  }

  async function fetch(core: string, link: ContentLink, change: Change): Promise<void> {
    if (waiting.get(core) !== change || parts.stopped()) return;
    if (fetching) return later(core, link, change);
    fetching = true;
    const reply = await link.call('look', { key: change.key, set: parts.set() }, callMilliseconds);
    fetching = false;
    const entry = Option.isSome(reply) ? reply.value.accepted : null;
    if (waiting.get(core) !== change) return;
    if (entry === null) return later(core, link, change);
    waiting.delete(core);
    changed(core, Option.some(link), { ...change, entry });
  }

  return { receive: changed, latestBallot: () => latest };
}

export const contentFetcher = { create } as const;
