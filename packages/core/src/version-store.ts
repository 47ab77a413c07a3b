/**
 * Stores a bounded number of earlier configuration versions on each core's own disk (design 5.4). A version is stored when its successor is
 * accepted; versions that a core has missed are fetched from the other cores in the background.
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
  /** The version of the current configuration on this core's own disk. */
  currentVersion: () => number;
  /** Supplies the cores of the fleet and the links to them. */
  node: Pick<Node, 'cores' | 'peerOf'>;
}>;

export type VersionStore = Readonly<{
  /**
   * Stores an entry that is about to be replaced, and the history in it if it was written in disk format 1. Resolves to false if a write to
   * the disk fails.
   */
  archive: (entry: Entry) => Promise<boolean>;
  /** Reads a version from this core's disk, or else from any other core that has it. */
  read: (version: number) => Promise<Option.Option<ArchivedConfiguration>>;
  /** The listed properties of a version; undefined if it is not on this core's disk. */
  summary: (version: number) => VersionSummary | undefined;
  /** The oldest version that may still be stored when `latest` is the newest. */
  oldestVersion: (latest: number) => number;
  /** Replies to another core with the requested versions that are on this disk, up to the size limit of a reply. */
  readBatch: (request: Request<'earlier'>) => Promise<Reply<'earlier'>>;
  /** Reads which versions are on the disk, then starts to fetch missing ones from the other cores. */
  start: () => Promise<void>;
  stop: () => void;
}>;

type StoreState = {
  readonly runtime: Runtime;
  readonly parts: VersionStoreParts;
  readonly index: VersionIndex;
  readonly commands: Owner<null>;
  /** Versions that no other core has, and when they are requested again. */
  readonly retryAt: Map<number, number>;
  isStopped: boolean;
};

const maxPageBytes = 256 * 1024;
const versionsPerRequest = 50;
const requestTimeoutMilliseconds = 1_000;
const fetchIntervalMilliseconds = 500;
const unavailableRetryMilliseconds = 10_000;

/** Drops the oldest versions until the rest are within the size limit. */
async function dropOverLimit({ parts, index }: StoreState): Promise<void> {
  for (let oldest = versionIndex.oldestOverLimit(index); oldest !== undefined; oldest = versionIndex.oldestOverLimit(index)) {
    versionIndex.remove(index, oldest);
    await parts.disk.put(storageKeyOf(oldest), packedVersion.emptyCell);
  }
}

async function write(store: StoreState, version: EarlierVersion): Promise<boolean> {
  const { parts, index } = store;
  if (versionIndex.isStoredOrDropped(index, version.version)) return true;
  const written = await parts.disk.put(storageKeyOf(version.version), packedVersion.toCell(version));
  if (Either.isLeft(written)) return false;
  const replaced = version.version - maxVersions;
  if (index.summaries.has(replaced)) versionIndex.remove(index, replaced);
  versionIndex.add(index, version);
  await dropOverLimit(store);
  return true;
}

async function archive(store: StoreState, entry: Entry): Promise<boolean> {
  const { recent: _recent, history, ...configuration } = entry.value as Configuration;
  const versions = [
    ...(history ?? []).map(({ version, ...earlier }) => packedVersion.pack(version, earlier)),
    packedVersion.pack(entry.version, configuration),
  ];
  for (const version of versions) {
    const isWritten = await store.commands.run(() => write(store, version));
    if (!isWritten) return false;
  }
  return true;
}

async function readLocal({ parts, index }: StoreState, version: number): Promise<Option.Option<EarlierVersion>> {
  if (!index.summaries.has(version)) return Option.none;
  const read = await parts.disk.read(storageKeyOf(version));
  const stored = Either.isRight(read) && Option.isSome(read.right) ? packedVersion.fromCell(read.right.value) : undefined;
  return stored?.version === version ? Option.some(stored) : Option.none;
}

async function readBatch(store: StoreState, request: Request<'earlier'>): Promise<Reply<'earlier'>> {
  const found: EarlierVersion[] = [];
  let bytesLeft = maxPageBytes;
  for (const version of request.versions) {
    if (bytesLeft <= 0) break;
    const local = await readLocal(store, version);
    if (Option.isNone(local)) continue;
    found.push(local.value);
    bytesLeft -= local.value.content.length;
  }
  return { found };
}

/** Requests versions from all other cores and returns the replies that arrived. */
async function requestFromOthers({ parts }: StoreState, versions: readonly number[]): Promise<ReadonlyArray<Reply<'earlier'>>> {
  const links = parts.node.cores().map((core) => parts.node.peerOf(core.node));
  const replies = await Promise.all(
    links.map(async function requestVersions(link) {
      return Option.isSome(link) ? link.value.call('earlier', { versions: [...versions] }, requestTimeoutMilliseconds) : Option.none;
    }),
  );
  return replies.flatMap((reply) => (Option.isSome(reply) ? [reply.value] : []));
}

async function read(store: StoreState, version: number): Promise<Option.Option<ArchivedConfiguration>> {
  const local = await readLocal(store, version);
  if (Option.isSome(local)) return Option.some(packedVersion.unpack(local.value));
  const replies = await requestFromOthers(store, [version]);
  const found = replies.flatMap((reply) => reply.found).find((earlier) => earlier.version === version);
  return found === undefined ? Option.none : Option.some(packedVersion.unpack(found));
}

function oldestVersion({ index }: StoreState, latest: number): number {
  return Math.max(1, latest - maxVersions + 1, index.droppedUpTo + 1);
}

/** The missing versions to request now, newest first because these are read most. */
function missingVersions(store: StoreState): readonly number[] {
  const { runtime, parts, index, retryAt: retryAt } = store;
  const newest = parts.currentVersion();
  const lowest = oldestVersion(store, newest);
  const found: number[] = [];
  for (let version = newest - 1; version >= lowest && found.length < versionsPerRequest; version -= 1) {
    const isDue = (retryAt.get(version) ?? 0) <= runtime.clock.now();
    if (!index.summaries.has(version) && isDue) found.push(version);
  }
  return found;
}

/** Fetches missing versions from the other cores until none is missing or no core replies. */
async function fetchMissing(store: StoreState): Promise<void> {
  const { runtime, index, commands, retryAt: retryAt } = store;
  for (let versions = missingVersions(store); versions.length > 0 && !store.isStopped; versions = missingVersions(store)) {
    const replies = await requestFromOthers(store, versions);
    if (replies.length === 0) return;
    const countBefore = index.summaries.size;
    for (const found of replies.flatMap((reply) => reply.found)) {
      const isWritten = await commands.run(() => write(store, found));
      if (!isWritten) return;
    }
    if (index.summaries.size > countBefore) continue;
    for (const version of versions) retryAt.set(version, runtime.clock.now() + unavailableRetryMilliseconds);
  }
}

/** Builds the index from the disk; versions that cannot be read are fetched from the other cores later, as after the loss of a disk. */
async function loadIndex({ parts, index }: StoreState): Promise<void> {
  let after: string | undefined = '';
  while (after !== undefined) {
    const page = await parts.disk.page(versionStoragePrefix, after, maxPageBytes);
    const entries: ReadonlyArray<readonly [string, unknown]> = Either.isRight(page) ? page.right : [];
    for (const [, value] of entries) {
      const stored = packedVersion.fromCell(value);
      if (stored !== undefined) versionIndex.add(index, stored);
    }
    after = entries.at(-1)?.[0];
  }
  versionIndex.restoreDroppedUpTo(index);
}

async function start(store: StoreState): Promise<void> {
  await loadIndex(store);
  void runtimeUtilities.every(
    store.runtime.clock,
    fetchIntervalMilliseconds,
    () => fetchMissing(store),
    () => !store.isStopped,
  );
}

function create(runtime: Runtime, parts: VersionStoreParts): VersionStore {
  const store: StoreState = {
    runtime,
    parts,
    index: versionIndex.create(),
    commands: owner.create('versions', null),
    retryAt: new Map(),
    isStopped: false,
  };
  return {
    archive: (entry) => archive(store, entry),
    read: (version) => read(store, version),
    summary: (version) => store.index.summaries.get(version),
    oldestVersion: (latest) => oldestVersion(store, latest),
    readBatch: (request) => readBatch(store, request),
    start: () => start(store),
    stop: function stop() {
      store.isStopped = true;
    },
  };
}

export const versionStore = { create } as const;
