// Contents of changes that another core handed over without them: a core takes them from its own disk, which was sent the same
// ballot, and asks the other core only where its own disk has missed it (design 5.6).
import * as Option from 'fp-ts/lib/Option.js';
import type { Clock } from '@stallstall/kernel';
import { message, type Change, type Entry } from '@stallstall/message';

export type ContentsParts = Readonly<{
  clock: Clock;
  /** What this core's own disk holds under a key. */
  own: (key: string) => Option.Option<Entry>;
  /** Reads the entry from the core that told of it. */
  fetch: (core: string, key: string) => Promise<Option.Option<Entry>>;
  /** Hands on a change with its content. */
  changed: (core: string, change: Change) => void;
  goesOn: () => boolean;
}>;

export type Contents = Readonly<{
  take: (core: string, change: Change) => void;
  /** This core's own disk has accepted an entry. */
  accepted: (key: string, entry: Entry) => void;
}>;

/** For so long the own disk is waited for. */
const waitMilliseconds = 120;

function sameBallot(left: Entry, right: Entry): boolean {
  return message.compareBallots(left.ballot, right.ballot) === 0;
}

function create(parts: ContentsParts): Contents {
  /** By core, the newest change whose content is missing. */
  const waiting = new Map<string, Change>();

  function handOn(core: string, change: Change, entry: Entry): void {
    waiting.delete(core);
    parts.changed(core, { ...change, entry });
  }

  async function fetch(core: string, change: Change): Promise<void> {
    if (waiting.get(core) !== change || !parts.goesOn()) return;
    const fetched = await parts.fetch(core, change.key);
    if (waiting.get(core) !== change) return;
    if (Option.isSome(fetched)) handOn(core, change, fetched.value);
    else parts.clock.alarm(waitMilliseconds, () => void fetch(core, change));
  }

  function take(core: string, change: Change): void {
    if (change.entry.value !== null) return parts.changed(core, change);
    const own = parts.own(change.key);
    if (Option.isSome(own) && sameBallot(own.value, change.entry)) return handOn(core, change, own.value);
    waiting.set(core, change);
    parts.clock.alarm(waitMilliseconds, () => void fetch(core, change));
  }

  function accepted(key: string, entry: Entry): void {
    for (const [core, change] of [...waiting]) if (change.key === key && sameBallot(entry, change.entry)) handOn(core, change, entry);
  }

  return { take, accepted };
}

export const contents = { create } as const;
