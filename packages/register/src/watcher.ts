/**
 * Applies the changes of watched keys that cores push to a node. A value is applied once a majority of cores has pushed the same ballot, no
 * matter how far apart in time, and never if a newer version was applied before (design 5.2).
 */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Instant, type Runtime } from '@stallstall/kernel';
import { message, type Change, type Entry } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import type { Register } from './register.js';

/** A version that a core pushed, and the number of the core set under which it was pushed. */
export type PushedVersion = Readonly<{ core: string; version: number; set: number }>;

export type Watcher = Readonly<{
  /** Handles a change that a core pushed. */
  receive: (core: string, change: Change) => void;
  /** Counts the pushed changes again after the core set has changed, for the cores that remain (design 4.8). */
  recount: () => void;
  /** The entry in effect on this node; none until a majority has pushed one. */
  applied: (key: string) => Option.Option<Entry>;
  keys: () => readonly string[];
  /** The cores that have pushed a newer version of a key than the applied one, with the newest version of each. */
  unapplied: (key: string) => readonly PushedVersion[];
  /** Reads keys with unapplied changes from the register, which completes an interrupted round; called at each heartbeat. */
  readUnapplied: () => void;
}>;

/** Which cores are counted, and the number of their core set, for a core set that may change. */
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
  /** By core, the pushes newer than the applied version, under one core set, newest last. */
  readonly pushed: Map<string, readonly PushedEntry[]>;
  applied: Option.Option<Entry>;
  /** Since when a pushed version newer than the applied one has been waiting, with no version applied in between. */
  unappliedSince: Option.Option<Instant>;
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

/** How long a change may stay unapplied before its key is read from the register. */
const readDelayMilliseconds = 300;
/** Added to the delay after a read that left changes unapplied. */
const rereadDelayMilliseconds = 700;
const readTimeoutMilliseconds = 1_000;
/** The number of changes retained per core and key, since cores push a stream of changes at different times. */
const maxChangesPerCore = 16;

const everyCore: CountedCores = { number: () => 0, includes: () => true };

/** Whether cores push changes of this key to nodes. */
function isWatched(key: string): boolean {
  return key === 'configuration' || key === 'membership' || key.startsWith('epoch/');
}

function watchedKey({ keys }: WatcherState, key: string): WatchedKey {
  const existing = keys.get(key);
  if (existing !== undefined) return existing;
  const created: WatchedKey = { pushed: new Map(), applied: Option.none, unappliedSince: Option.none, isReading: false };
  keys.set(key, created);
  return created;
}

function appliedVersionOf({ applied }: WatchedKey): number {
  return Option.isSome(applied) ? applied.value.version : 0;
}

/** Drops pushes that are not newer than the applied version, since they can no longer be applied. */
function dropObsoletePushes(watched: WatchedKey): void {
  const version = appliedVersionOf(watched);
  for (const [core, pushes] of watched.pushed) {
    const remaining = pushes.filter(({ entry }) => entry.version > version);
    if (remaining.length > 0) watched.pushed.set(core, remaining);
    else watched.pushed.delete(core);
  }
}

function apply(watcher: WatcherState, key: string, entry: Entry): void {
  const watched = watchedKey(watcher, key);
  if (Option.isSome(watched.applied) && watched.applied.value.version >= entry.version) return;
  watched.applied = Option.some(entry);
  watched.unappliedSince = Option.none;
  dropObsoletePushes(watched);
  watcher.onApplied(key, entry);
}

function unappliedOf({ pushed }: WatchedKey): readonly PushedVersion[] {
  return [...pushed].flatMap(([core, pushes]) => pushes.slice(-1).map(({ entry, set }) => ({ core, version: entry.version, set })));
}

function hasUnapplied({ pushed }: WatchedKey): boolean {
  return pushed.size > 0;
}

function isSamePush(left: PushedEntry, right: PushedEntry): boolean {
  return left.set === right.set && message.compareBallots(left.entry.ballot, right.entry.ballot) === 0;
}

/** Records a push. A core pushes everything again under each core set, so what it pushed under another set is dropped. */
function recordPush(watched: WatchedKey, core: string, push: PushedEntry): void {
  const others = (watched.pushed.get(core) ?? []).filter((earlier) => earlier.set === push.set && !isSamePush(earlier, push));
  const pushes = push.entry.version > appliedVersionOf(watched) ? [...others, push] : others;
  if (pushes.length > 0) watched.pushed.set(core, pushes.slice(-maxChangesPerCore));
  else watched.pushed.delete(core);
}

/** Counts only pushes under the current core set, since each core pushes everything again under each set (design 4.8). */
function applyIfMajority(watcher: WatcherState, key: string, { pushed }: WatchedKey, entry: Entry): void {
  const { cores, coreCount } = watcher;
  const counted: PushedEntry = { entry, set: cores.number() };
  const agreeing = [...pushed].filter(([core, pushes]) => cores.includes(core) && pushes.some((push) => isSamePush(push, counted)));
  if (coreCount() > 0 && agreeing.length >= quorum.majority(coreCount())) apply(watcher, key, entry);
}

function updateUnappliedSince({ runtime }: WatcherState, watched: WatchedKey): void {
  if (!hasUnapplied(watched)) watched.unappliedSince = Option.none;
  else if (Option.isNone(watched.unappliedSince)) watched.unappliedSince = Option.some(runtime.clock.now());
}

function receive(watcher: WatcherState, core: string, change: Change): void {
  const watched = watchedKey(watcher, change.key);
  recordPush(watched, core, { entry: change.entry, set: change.set ?? 0 });
  applyIfMajority(watcher, change.key, watched, change.entry);
  updateUnappliedSince(watcher, watched);
}

function recount(watcher: WatcherState): void {
  for (const [key, watched] of watcher.keys) {
    for (const core of watched.pushed.keys()) if (!watcher.cores.includes(core)) watched.pushed.delete(core);
    for (const { entry } of [...watched.pushed.values()].flat()) applyIfMajority(watcher, key, watched, entry);
    updateUnappliedSince(watcher, watched);
  }
}

async function readKey(watcher: WatcherState, key: string, watched: WatchedKey): Promise<void> {
  watched.isReading = true;
  const read = await watcher.register.read(key, readTimeoutMilliseconds);
  watched.isReading = false;
  if (Either.isRight(read) && Option.isSome(read.right)) apply(watcher, key, read.right.value);
  const postponedSince = identifiers.after(watcher.runtime.clock.now(), rereadDelayMilliseconds);
  watched.unappliedSince = hasUnapplied(watched) ? Option.some(postponedSince) : Option.none;
}

function readUnapplied(watcher: WatcherState): void {
  for (const [key, watched] of watcher.keys) {
    if (watched.isReading || Option.isNone(watched.unappliedSince)) continue;
    if (watcher.runtime.clock.now() - watched.unappliedSince.value >= readDelayMilliseconds) void readKey(watcher, key, watched);
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
    readUnapplied: () => readUnapplied(state),
  };
}

export const watcher = { create, isWatched } as const;
