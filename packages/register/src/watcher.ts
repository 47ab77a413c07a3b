// What a node knows of the watched keys from the changes pushed to it: a value is obeyed once a majority of cores has
// handed over the same ballot, never an older version than one obeyed before (design 5.2).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Kernel } from '@stallstall/kernel';
import { message, type Change, type Entry } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import type { Register } from './proposer.js';

export type Watcher = Readonly<{
  receive: (core: string, change: Change) => void;
  /** The set of cores has changed: what was handed over is counted anew, over the cores that are left (design 4.8). */
  recount: () => void;
  applied: (key: string) => Option.Option<Entry>;
  keys: () => readonly string[];
  /** Reads what is in doubt; called at each beat, so that an interrupted round is completed by whoever meets it. */
  resolve: () => void;
}>;

const doubtMilliseconds = 300;

type Handed = Readonly<{ entry: Entry; set: number }>;
type Known = { readonly fromCore: Map<string, Handed>; obeyed: Option.Option<Entry>; doubtSince: Option.Option<number>; reading: boolean };

function isWatched(key: string): boolean {
  return key === 'configuration' || key === 'membership' || key.startsWith('epoch/');
}

/** Cores of which set are counted, where it may change. */
export type CountedCores = Readonly<{ number: () => number; includes: (core: string) => boolean }>;
const everyCore: CountedCores = { number: () => 0, includes: () => true };

function create(
  kernel: Kernel,
  register: Register,
  total: () => number,
  onObeyed: (key: string, entry: Entry) => void,
  cores: CountedCores = everyCore,
): Watcher {
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
    for (const { entry } of knowledge.fromCore.values()) if (entry.version > version) return true;
    return false;
  }

  /** Only what cores handed over while they stood at this very set is counted: each hands it over anew at every set (design 4.8). */
  function count(key: string, knowledge: Known, ballot: Entry): void {
    let same = 0;
    for (const [core, handed] of knowledge.fromCore) {
      if (cores.includes(core) && handed.set === cores.number() && message.compareBallots(handed.entry.ballot, ballot.ballot) === 0)
        same += 1;
    }
    if (total() > 0 && same >= quorum.majority(total())) obey(key, ballot);
  }

  function doubt(knowledge: Known): void {
    if (!inDoubt(knowledge)) knowledge.doubtSince = Option.none;
    else if (Option.isNone(knowledge.doubtSince)) knowledge.doubtSince = Option.some(kernel.clock.now());
  }

  function changed(core: string, change: Change): void {
    const knowledge = knownOf(change.key);
    knowledge.fromCore.set(core, { entry: change.entry, set: change.set ?? 0 });
    count(change.key, knowledge, change.entry);
    doubt(knowledge);
  }

  function recount(): void {
    for (const [key, knowledge] of known) {
      for (const core of knowledge.fromCore.keys()) if (!cores.includes(core)) knowledge.fromCore.delete(core);
      for (const { entry } of [...knowledge.fromCore.values()]) count(key, knowledge, entry);
      doubt(knowledge);
    }
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
    receive: changed,
    recount,
    resolve,
    applied: function obeyed(key) {
      return known.get(key)?.obeyed ?? Option.none;
    },
    keys: function keys() {
      return [...known.keys()];
    },
  };
}

export const watcher = { create, isWatched } as const;
