/** Which earlier versions a core's disk keeps, and how many bytes they take (design 5.4). */
import type { EarlierVersion } from '@stallstall/message';

/** What listings tell of a version; `sentAt` is the wall time in milliseconds since 1970. */
export type VersionSummary = Readonly<{ version: number; sentBy: string; sentAt: number }>;

/** @internal */
export type VersionIndex = {
  readonly rows: Map<number, VersionSummary & Readonly<{ bytes: number }>>;
  bytes: number;
  /** Versions up to here were forgotten for want of room. */
  forgottenUpTo: number;
};

/** No more than so many bytes of versions are kept: the oldest go first. */
export const maxVersionBytes = 16 * 1024 * 1024;

function create(): VersionIndex {
  return { rows: new Map(), bytes: 0, forgottenUpTo: 0 };
}

function add(index: VersionIndex, { version, sentBy, sentAt, content }: EarlierVersion): void {
  const bytes = content.length;
  index.bytes += bytes - (index.rows.get(version)?.bytes ?? 0);
  index.rows.set(version, { version, sentBy, sentAt, bytes });
}

function remove(index: VersionIndex, version: number): void {
  index.bytes -= index.rows.get(version)?.bytes ?? 0;
  index.rows.delete(version);
  index.forgottenUpTo = Math.max(index.forgottenUpTo, version);
}

/** Whether a version is kept, or was kept and forgotten: it need not be stored again. */
function isSettled(index: VersionIndex, version: number): boolean {
  return index.rows.has(version) || version <= index.forgottenUpTo;
}

/** The version to forget next; undefined while all that is kept is within its bound. */
function surplus(index: VersionIndex): number | undefined {
  const isOver = index.bytes > maxVersionBytes && index.rows.size > 1;
  return isOver ? Math.min(...index.rows.keys()) : undefined;
}

/** After a start: versions older than those found were forgotten before, if those found take much of the room. */
function rememberForgotten(index: VersionIndex): void {
  if (index.bytes > maxVersionBytes / 2) index.forgottenUpTo = Math.min(...index.rows.keys()) - 1;
}

/** @internal */
export const versionIndex = { create, add, remove, isSettled, surplus, rememberForgotten } as const;
