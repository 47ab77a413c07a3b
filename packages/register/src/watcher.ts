// What a node knows of the watched keys from the changes pushed to it: a value is obeyed once a majority of cores has
// handed over the same ballot, never an older version than one obeyed before (design 5.2).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Kernel } from '@stallstall/kernel';
import { message, type Change, type Entry } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import type { Register } from './proposer.js';

export type Watcher = Readonly<{
  changed: (core: string, change: Change) => void;
  obeyed: (key: string) => Option.Option<Entry>;
  keys: () => readonly string[];
  /** Reads what is in doubt; called at each beat, so that an interrupted round is completed by whoever meets it. */
  resolve: () => void;
}>;

const doubtMilliseconds = 300;

type Known = { readonly fromCore: Map<string, Entry>; obeyed: Option.Option<Entry>; doubtSince: Option.Option<number>; reading: boolean };

function watched(key: string): boolean {
  return key === 'configuration' || key === 'membership' || key.startsWith('epoch/');
}

function create(kernel: Kernel, register: Register, total: () => number, onObeyed: (key: string, entry: Entry) => void): Watcher {
  const known = new Map<string, Known>();

  function knownOf(key: string): Known {
    let entry = known.get(key);
    if (entry === undefined) {
      entry = { fromCore: new Map(), obeyed: Option.none, doubtSince: Option.none, reading: false };
      known.set(key, entry);
    }
    return entry;
  }

  function obey(key: string, entry: Entry): void {
    const knowledge = knownOf(key);
    if (Option.isSome(knowledge.obeyed) && knowledge.obeyed.value.version >= entry.version) return;
    knowledge.obeyed = Option.some(entry);
    onObeyed(key, entry);
  }

  function inDoubt(knowledge: Known): boolean {
    const version = Option.isSome(knowledge.obeyed) ? knowledge.obeyed.value.version : 0;
    for (const entry of knowledge.fromCore.values()) if (entry.version > version) return true;
    return false;
  }

  function changed(core: string, change: Change): void {
    const knowledge = knownOf(change.key);
    knowledge.fromCore.set(core, change.entry);
    let same = 0;
    for (const entry of knowledge.fromCore.values()) if (message.compareBallots(entry.ballot, change.entry.ballot) === 0) same += 1;
    if (total() > 0 && same >= quorum.majority(total())) obey(change.key, change.entry);
    if (!inDoubt(knowledge)) knowledge.doubtSince = Option.none;
    else if (Option.isNone(knowledge.doubtSince)) knowledge.doubtSince = Option.some(kernel.clock.now());
  }

  async function readDoubtful(key: string, knowledge: Known): Promise<void> {
    knowledge.reading = true;
    const read = await register.read(key, 1_000);
    knowledge.reading = false;
    if (Either.isRight(read) && Option.isSome(read.right)) obey(key, read.right.value);
    knowledge.doubtSince = inDoubt(knowledge) ? Option.some(kernel.clock.now() + 700) : Option.none;
  }

  function resolve(): void {
    for (const [key, knowledge] of known) {
      if (knowledge.reading || Option.isNone(knowledge.doubtSince)) continue;
      if (kernel.clock.now() - knowledge.doubtSince.value >= doubtMilliseconds) void readDoubtful(key, knowledge);
    }
  }

  return {
    changed,
    resolve,
    obeyed: function obeyed(key) {
      return known.get(key)?.obeyed ?? Option.none;
    },
    keys: function keys() {
      return [...known.keys()];
    },
  };
}

export const watcher = { create, watched } as const;
