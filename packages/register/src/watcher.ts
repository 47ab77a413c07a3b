/**
 * What a node knows of the watched keys from the changes pushed to it: a value is applied once a majority of cores has pushed the same
 * ballot, at whatever moments, and never an older version than one applied before (design 5.2).
 */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Instant, type Runtime } from '@stallstall/kernel';
import { message, type Change, type Entry } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import type { Register } from './register.js';

/** A version that a core pushed, and the number of the set of cores under which it did. */
export type PushedVersion = Readonly<{ core: string; version: number; set: number }>;

export type Watcher = Readonly<{
  /** Takes a change that a core pushed. */
  receive: (core: string, change: Change) => void;
  /** The set of cores has changed: what was pushed is counted anew, over the cores that are left (design 4.8). */
  recount: () => void;
  /** The entry that this node acts by; none until a majority has pushed one. */
  applied: (key: string) => Option.Option<Entry>;
  keys: () => readonly string[];
  /** Which cores have pushed a newer version of a key than the one applied. */
  unapplied: (key: string) => readonly PushedVersion[];
  /** Reads keys that are in doubt from the register, so that an interrupted round is completed; called at each heartbeat. */
  readUncertain: () => void;
}>;

/** Which cores are counted, and the number of their set, where it may change. */
export type CountedCores = Readonly<{ number: () => number; includes: (core: string) => boolean }>;

export type WatcherOptions = Readonly<{
  register: Register;
  coreCount: () => number;
  /** Called once a new version of a key is applied. */
  onApplied: (key: string, entry: Entry) => void;
  /** @default every core */
  cores?: CountedCores;
}>;

type PushedEntry = Readonly<{ entry: Entry; set: number }>;

type WatchedKey = {
  /** By core, the newest last: what it pushed under one set of cores beyond the applied version. */
  readonly pushed: Map<string, readonly PushedEntry[]>;
  applied: Option.Option<Entry>;
  /** Since when some core has pushed a newer version than the one applied, and none was applied. */
  doubtSince: Option.Option<Instant>;
  isReading: boolean;
};

type WatcherState = Readonly<{
  runtime: Runtime;
  register: Register;
  coreCount: () => number;
  onApplied: WatcherOptions['onApplied'];
  cores: CountedCores;
  keys: Map<string, WatchedKey>;
}>;

const doubtMilliseconds = 300;
/** After a read that did not end the doubt, so much is added before the next one. */
const rereadMilliseconds = 700;
const readMilliseconds = 1_000;
/** Cores push a stream of changes out of step; of each so many are remembered. */
const changesKept = 16;

const everyCore: CountedCores = { number: () => 0, includes: () => true };

/** Whether changes of a key are pushed. */
function isWatched(key: string): boolean {
  return key === 'configuration' || key === 'membership' || key.startsWith('epoch/');
}

function watchedKey({ keys }: WatcherState, key: string): WatchedKey {
  const known = keys.get(key);
  if (known !== undefined) return known;
  const created: WatchedKey = { pushed: new Map(), applied: Option.none, doubtSince: Option.none, isReading: false };
  keys.set(key, created);
  return created;
}

function appliedVersionOf({ applied }: WatchedKey): number {
  return Option.isSome(applied) ? applied.value.version : 0;
}

/** What is no newer than the applied version will not be applied any more. */
function forgetApplied(watched: WatchedKey): void {
  const version = appliedVersionOf(watched);
  for (const [core, pushes] of watched.pushed) {
    const left = pushes.filter(({ entry }) => entry.version > version);
    if (left.length > 0) watched.pushed.set(core, left);
    else watched.pushed.delete(core);
  }
}

function apply(watcher: WatcherState, key: string, entry: Entry): void {
  const watched = watchedKey(watcher, key);
  if (Option.isSome(watched.applied) && watched.applied.value.version >= entry.version) return;
  watched.applied = Option.some(entry);
  watched.doubtSince = Option.none;
  forgetApplied(watched);
  watcher.onApplied(key, entry);
}

function unappliedOf({ pushed }: WatchedKey): readonly PushedVersion[] {
  return [...pushed].flatMap(([core, pushes]) => pushes.slice(-1).map(({ entry, set }) => ({ core, version: entry.version, set })));
}

function isInDoubt({ pushed }: WatchedKey): boolean {
  return pushed.size > 0;
}

function isSamePush(left: PushedEntry, right: PushedEntry): boolean {
  return left.set === right.set && message.compareBallots(left.entry.ballot, right.entry.ballot) === 0;
}

/** A core pushes everything anew at every set of cores: what it pushed under another one is forgotten. */
function remember(watched: WatchedKey, core: string, push: PushedEntry): void {
  const others = (watched.pushed.get(core) ?? []).filter((one) => one.set === push.set && !isSamePush(one, push));
  const known = push.entry.version > appliedVersionOf(watched) ? [...others, push] : others;
  if (known.length > 0) watched.pushed.set(core, known.slice(-changesKept));
  else watched.pushed.delete(core);
}

/** Only what cores pushed while they were at this very set is counted: each pushes it anew at every set (design 4.8). */
function applyIfMajority(watcher: WatcherState, key: string, { pushed }: WatchedKey, entry: Entry): void {
  const { cores, coreCount } = watcher;
  const wanted: PushedEntry = { entry, set: cores.number() };
  const agreeing = [...pushed].filter(([core, pushes]) => cores.includes(core) && pushes.some((push) => isSamePush(push, wanted)));
  if (coreCount() > 0 && agreeing.length >= quorum.majority(coreCount())) apply(watcher, key, entry);
}

function observeDoubt({ runtime }: WatcherState, watched: WatchedKey): void {
  if (!isInDoubt(watched)) watched.doubtSince = Option.none;
  else if (Option.isNone(watched.doubtSince)) watched.doubtSince = Option.some(runtime.clock.now());
}

function receive(watcher: WatcherState, core: string, change: Change): void {
  const watched = watchedKey(watcher, change.key);
  remember(watched, core, { entry: change.entry, set: change.set ?? 0 });
  applyIfMajority(watcher, change.key, watched, change.entry);
  observeDoubt(watcher, watched);
}

function recount(watcher: WatcherState): void {
  for (const [key, watched] of watcher.keys) {
    for (const core of watched.pushed.keys()) if (!watcher.cores.includes(core)) watched.pushed.delete(core);
    for (const { entry } of [...watched.pushed.values()].flat()) applyIfMajority(watcher, key, watched, entry);
    observeDoubt(watcher, watched);
  }
}

async function readDoubtful(watcher: WatcherState, key: string, watched: WatchedKey): Promise<void> {
  watched.isReading = true;
  const read = await watcher.register.read(key, readMilliseconds);
  watched.isReading = false;
  if (Either.isRight(read) && Option.isSome(read.right)) apply(watcher, key, read.right.value);
  const nextDoubt = identifiers.after(watcher.runtime.clock.now(), rereadMilliseconds);
  watched.doubtSince = isInDoubt(watched) ? Option.some(nextDoubt) : Option.none;
}

function readUncertain(watcher: WatcherState): void {
  for (const [key, watched] of watcher.keys) {
    if (watched.isReading || Option.isNone(watched.doubtSince)) continue;
    if (watcher.runtime.clock.now() - watched.doubtSince.value >= doubtMilliseconds) void readDoubtful(watcher, key, watched);
  }
}

function create(runtime: Runtime, { register, coreCount, onApplied, cores = everyCore }: WatcherOptions): Watcher {
  const state: WatcherState = { runtime, register, coreCount, onApplied, cores, keys: new Map() };
  return {
    receive: (core, change) => receive(state, core, change),
    recount: () => recount(state),
    applied: (key) => state.keys.get(key)?.applied ?? Option.none,
    keys: () => [...state.keys.keys()],
    unapplied: function unapplied(key) {
      const watched = state.keys.get(key);
      return watched === undefined ? [] : unappliedOf(watched);
    },
    readUncertain: () => readUncertain(state),
  };
}

export const watcher = { create, isWatched } as const;
