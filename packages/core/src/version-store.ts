/**
 * Earlier versions of the configuration on each core's own disk: a bounded tail behind the newest (design 5.4). A version is stored as its
 * successor is accepted; what a core has missed it asks the others for, while it serves.
 */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { runtimeUtilities, owner, type Disk, type Runtime, type Owner } from '@stallstall/kernel';
import type { EarlierVersion, Entry, Reply, Request } from '@stallstall/message';
import type { Configuration, Node } from '@stallstall/node';
import { packedVersion, storageKeyOf, maxVersions, versionStoragePrefix, type ArchivedConfiguration } from './packed-version.js';
import { versionIndex, type VersionIndex, type VersionSummary } from './version-index.js';

export type VersionStoreParts = Readonly<{
  disk: Disk;
  /** The version of the configuration on this core's own disk. */
  currentVersion: () => number;
  /** The other cores, and the links to them as far as there are any. */
  node: Pick<Node, 'cores' | 'peerOf'>;
}>;

export type VersionStore = Readonly<{
  /**
   * Stores an entry that is about to be replaced; with a history, as disks of format 1 have it, that too. Resolves to false when the disk
   * did not sync.
   */
  archive: (entry: Entry) => Promise<boolean>;
  /** A version from this disk, else from any core that keeps it. */
  read: (version: number) => Promise<Option.Option<ArchivedConfiguration>>;
  /** What listings tell of a version, as far as it is kept on this disk. */
  summary: (version: number) => VersionSummary | undefined;
  /** The oldest version that may be asked for. */
  oldestVersion: (latest: number) => number;
  /** What is kept here of the versions that another core asks for, as far as a reply may hold it. */
  readBatch: (request: Request<'earlier'>) => Promise<Reply<'earlier'>>;
  /** Reads which versions the disk keeps, then begins to ask the others for what is missing. */
  start: () => Promise<void>;
  stop: () => void;
}>;

type StoreState = {
  readonly runtime: Runtime;
  readonly parts: VersionStoreParts;
  readonly index: VersionIndex;
  readonly commands: Owner<null>;
  /** Versions that no other core keeps, and when they are asked for again. */
  readonly unavailableUntil: Map<number, number>;
  isStopped: boolean;
};

const pageBytes = 256 * 1024;
const versionsPerRequest = 50;
const requestMilliseconds = 1_000;
const repairMilliseconds = 500;
const unavailableMilliseconds = 10_000;

/** Makes room: the oldest versions are forgotten until all that is kept is within its bound. */
async function forgetSurplus({ parts, index }: StoreState): Promise<void> {
  for (let oldest = versionIndex.surplus(index); oldest !== undefined; oldest = versionIndex.surplus(index)) {
    versionIndex.remove(index, oldest);
    await parts.disk.put(storageKeyOf(oldest), packedVersion.emptyCell);
  }
}

async function write(store: StoreState, version: EarlierVersion): Promise<boolean> {
  const { parts, index } = store;
  if (versionIndex.isSettled(index, version.version)) return true;
  const written = await parts.disk.put(storageKeyOf(version.version), packedVersion.toCell(version));
  if (Either.isLeft(written)) return false;
  const replaced = version.version - maxVersions;
  if (index.rows.has(replaced)) versionIndex.remove(index, replaced);
  versionIndex.add(index, version);
  await forgetSurplus(store);
  return true;
}

async function keep(store: StoreState, entry: Entry): Promise<boolean> {
  const { recent: _recent, history, ...kept } = entry.value as Configuration;
  const versions = [
    ...(history ?? []).map(({ version, ...earlier }) => packedVersion.pack(version, earlier)),
    packedVersion.pack(entry.version, kept),
  ];
  for (const version of versions) {
    const isWritten = await store.commands.run(() => write(store, version));
    if (!isWritten) return false;
  }
  return true;
}

async function readOwn({ parts, index }: StoreState, version: number): Promise<Option.Option<EarlierVersion>> {
  if (!index.rows.has(version)) return Option.none;
  const read = await parts.disk.read(storageKeyOf(version));
  const kept = Either.isRight(read) && Option.isSome(read.right) ? packedVersion.fromCell(read.right.value) : undefined;
  return kept?.version === version ? Option.some(kept) : Option.none;
}

async function earlier(store: StoreState, request: Request<'earlier'>): Promise<Reply<'earlier'>> {
  const found: EarlierVersion[] = [];
  let bytesLeft = pageBytes;
  for (const version of request.versions) {
    if (bytesLeft <= 0) break;
    const own = await readOwn(store, version);
    if (Option.isNone(own)) continue;
    found.push(own.value);
    bytesLeft -= own.value.content.length;
  }
  return { found };
}

/** What every other core keeps of the versions asked for, as far as it replies. */
async function askOthers({ parts }: StoreState, versions: readonly number[]): Promise<ReadonlyArray<Reply<'earlier'>>> {
  const links = parts.node.cores().map((core) => parts.node.peerOf(core.node));
  const replies = await Promise.all(
    links.map(async function ask(link) {
      return Option.isSome(link) ? link.value.call('earlier', { versions: [...versions] }, requestMilliseconds) : Option.none;
    }),
  );
  return replies.flatMap((reply) => (Option.isSome(reply) ? [reply.value] : []));
}

async function read(store: StoreState, version: number): Promise<Option.Option<ArchivedConfiguration>> {
  const own = await readOwn(store, version);
  if (Option.isSome(own)) return Option.some(packedVersion.unpack(own.value));
  const replies = await askOthers(store, [version]);
  const found = replies.flatMap((reply) => reply.found).find((one) => one.version === version);
  return found === undefined ? Option.none : Option.some(packedVersion.unpack(found));
}

function oldest({ index }: StoreState, latest: number): number {
  return Math.max(1, latest - maxVersions + 1, index.forgottenUpTo + 1);
}

/** Versions to ask for now, the newest first, for these are read most. */
function missing(store: StoreState): readonly number[] {
  const { runtime, parts, index, unavailableUntil } = store;
  const newest = parts.currentVersion();
  const least = oldest(store, newest);
  const found: number[] = [];
  for (let version = newest - 1; version >= least && found.length < versionsPerRequest; version -= 1) {
    const isDue = (unavailableUntil.get(version) ?? 0) <= runtime.clock.now();
    if (!index.rows.has(version) && isDue) found.push(version);
  }
  return found;
}

/** Asks the other cores for what is missing, until nothing is or none of them replies. */
async function repair(store: StoreState): Promise<void> {
  const { runtime, index, commands, unavailableUntil } = store;
  for (let versions = missing(store); versions.length > 0 && !store.isStopped; versions = missing(store)) {
    const replies = await askOthers(store, versions);
    if (replies.length === 0) return;
    const before = index.rows.size;
    for (const found of replies.flatMap((reply) => reply.found)) {
      const isWritten = await commands.run(() => write(store, found));
      if (!isWritten) return;
    }
    if (index.rows.size > before) continue;
    for (const version of versions) unavailableUntil.set(version, runtime.clock.now() + unavailableMilliseconds);
  }
}

/** Lists what the disk keeps; what cannot be read now is asked of the other cores, as after a lost disk. */
async function loadIndex({ parts, index }: StoreState): Promise<void> {
  let after: string | undefined = '';
  while (after !== undefined) {
    const page = await parts.disk.page(versionStoragePrefix, after, pageBytes);
    const entries: ReadonlyArray<readonly [string, unknown]> = Either.isRight(page) ? page.right : [];
    for (const [, value] of entries) {
      const kept = packedVersion.fromCell(value);
      if (kept !== undefined) versionIndex.add(index, kept);
    }
    after = entries.at(-1)?.[0];
  }
  versionIndex.rememberForgotten(index);
}

async function start(store: StoreState): Promise<void> {
  await loadIndex(store);
  void runtimeUtilities.every(
    store.runtime.clock,
    repairMilliseconds,
    () => repair(store),
    () => !store.isStopped,
  );
}

function create(runtime: Runtime, parts: VersionStoreParts): VersionStore {
  const store: StoreState = {
    runtime,
    parts,
    index: versionIndex.create(),
    commands: owner.create('versions', null),
    unavailableUntil: new Map(),
    isStopped: false,
  };
  return {
    archive: (entry) => keep(store, entry),
    read: (version) => read(store, version),
    summary: (version) => store.index.rows.get(version),
    oldestVersion: (latest) => oldest(store, latest),
    readBatch: (request) => earlier(store, request),
    start: () => start(store),
    stop: function stop() {
      store.isStopped = true;
    },
  };
}

export const versionStore = { create } as const;
