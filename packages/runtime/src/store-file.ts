/** The store file in a data folder: created atomically, and checked before lmdb maps it (design 4.3). */
import fs from 'node:fs';
import path from 'node:path';

const fileName = 'register.lmdb';
const lockSuffix = '-lock';
/** Suffix of a file that is being created; it is renamed once it is complete. */
const creationSuffix = '.new';
/** Suffix of the last store that was replaced, kept for inspection. */
const brokenSuffix = '.broken';

/** Offsets of the checked fields in lmdb's two meta pages, after a page header of 24 bytes. Fields are in the byte order of the host. */
const magicOffset = 24;
const magic = 0xbeefc0de;
const pageSizeOffset = 48;
const lastPageOffset = 144;
const transactionOffset = 152;
const metaBytes = 160;
const minPageSize = 512;
const maxPageSize = 65_536;

export type StoreFileState = 'missing' | 'present' | 'broken';

type Meta = Readonly<{ pageSize: number; lastPage: number; transaction: number }>;

/** Syncs the entries of a folder: otherwise files that were created, renamed or removed may be lost or reappear after a power loss. */
function syncFolder(folder: string): void {
  const descriptor = fs.openSync(folder, 'r');
  try {
    fs.fsyncSync(descriptor);
  } finally {
    fs.closeSync(descriptor);
  }
}

/** Creates a folder and its missing parents, and syncs each of them in its parent. */
function createFolder(folder: string): void {
  const topmostCreated = fs.mkdirSync(folder, { recursive: true });
  if (topmostCreated === undefined) return;
  for (let created = path.resolve(folder); created.length >= path.resolve(topmostCreated).length; created = path.dirname(created))
    syncFolder(path.dirname(created));
}

function pathOf(folder: string): string {
  return path.join(folder, fileName);
}

function readMeta(file: Buffer, offset: number): Meta | undefined {
  if (file.length < offset + metaBytes || file.readUInt32LE(offset + magicOffset) !== magic) return undefined;
  const pageSize = file.readUInt32LE(offset + pageSizeOffset);
  const isValidPageSize = pageSize >= minPageSize && pageSize <= maxPageSize && (pageSize & (pageSize - 1)) === 0;
  if (!isValidPageSize) return undefined;
  return {
    pageSize,
    lastPage: Number(file.readBigUInt64LE(offset + lastPageOffset)),
    transaction: Number(file.readBigUInt64LE(offset + transactionOffset)),
  };
}

function readFirstPages(descriptor: number): Buffer {
  const buffer = Buffer.alloc(maxPageSize + metaBytes);
  return buffer.subarray(0, fs.readSync(descriptor, buffer, 0, buffer.length, 0));
}

/**
 * Checks that the file exists and that its meta pages are intact. A file that ends before its last page is extended with zeros: lmdb reads
 * through a memory map, where a read past the end of the file would kill the process, while a page of zeros is an ordinary read error.
 */
function inspect(folder: string): StoreFileState {
  const file = pathOf(folder);
  if (!fs.existsSync(file)) return 'missing';
  const descriptor = fs.openSync(file, 'r+');
  try {
    const firstPages = readFirstPages(descriptor);
    const first = readMeta(firstPages, 0);
    const second = first === undefined ? undefined : readMeta(firstPages, first.pageSize);
    if (first === undefined || second === undefined) return 'broken';
    const latest = second.transaction > first.transaction ? second : first;
    const expectedSize = (latest.lastPage + 1) * latest.pageSize;
    if (!Number.isSafeInteger(expectedSize)) return 'broken';
    if (fs.fstatSync(descriptor).size < expectedSize) fs.ftruncateSync(descriptor, expectedSize);
    return 'present';
  } finally {
    fs.closeSync(descriptor);
  }
}

function remove(file: string): void {
  fs.rmSync(file, { force: true });
  fs.rmSync(file + lockSuffix, { force: true });
}

/** Creates a store file atomically: after a crash it is either complete or absent. `fill` writes and closes the file. */
async function createAtomically(folder: string, fill: (file: string) => Promise<void>): Promise<void> {
  const temporary = pathOf(folder) + creationSuffix;
  remove(temporary);
  await fill(temporary);
  fs.rmSync(temporary + lockSuffix, { force: true });
  fs.renameSync(temporary, pathOf(folder));
  syncFolder(folder);
}

/** Moves an unusable store aside, replacing the one that was moved aside before. */
function moveAside(folder: string): void {
  const file = pathOf(folder);
  if (fs.existsSync(file)) fs.renameSync(file, file + brokenSuffix);
  fs.rmSync(file + lockSuffix, { force: true });
  syncFolder(folder);
}

export const storeFile = { pathOf, createFolder, syncFolder, inspect, createAtomically, moveAside } as const;
