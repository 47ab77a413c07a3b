/** Index of the earlier versions on a core's disk and of the bytes that they take up (design 5.4). */
import type { EarlierVersion } from '@stallstall/message';

/** The listed properties of a version; `sentAt` is the wall-clock time in milliseconds since 1970. */
export type VersionSummary = Readonly<{ version: number; sentBy: string; sentAt: number }>;

/** @internal */
export type VersionIndex = {
  readonly summaries: Map<number, VersionSummary & Readonly<{ bytes: number }>>;
  bytes: number;
  /** Versions up to this one have been dropped to stay within the size limit. */
  droppedUpTo: number;
};

/** The most bytes of versions that are kept; the oldest are dropped first. */
export const maxVersionBytes = 16 * 1024 * 1024;

function create(): VersionIndex {
  return { summaries: new Map(), bytes: 0, droppedUpTo: 0 };
}

function add(index: VersionIndex, { version, sentBy, sentAt, content }: EarlierVersion): void {
  const bytes = content.length;
  index.bytes += bytes - (index.summaries.get(version)?.bytes ?? 0);
  index.summaries.set(version, { version, sentBy, sentAt, bytes });
}

function remove(index: VersionIndex, version: number): void {
  index.bytes -= index.summaries.get(version)?.bytes ?? 0;
  index.summaries.delete(version);
  index.droppedUpTo = Math.max(index.droppedUpTo, version);
}

/** Whether a version is stored, or was stored and dropped: either way it is not stored again. */
function isStoredOrDropped(index: VersionIndex, version: number): boolean {
  return index.summaries.has(version) || version <= index.droppedUpTo;
}

/** The version to drop next; undefined while the stored versions are within the size limit. */
function oldestOverLimit(index: VersionIndex): number | undefined {
  const isOver = index.bytes > maxVersionBytes && index.summaries.size > 1;
  return isOver ? Math.min(...index.summaries.keys()) : undefined;
}

/** After a start: if the versions on disk take up much of the size limit, older ones are assumed to have been dropped. */
function restoreDroppedUpTo(index: VersionIndex): void {
  if (index.bytes > maxVersionBytes / 2) index.droppedUpTo = Math.min(...index.summaries.keys()) - 1;
}

/** @internal */
export const versionIndex = { create, add, remove, isStoredOrDropped, oldestOverLimit, restoreDroppedUpTo } as const;
