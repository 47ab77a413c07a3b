/** The store's file in a data folder: made whole or not at all, and looked at before lmdb maps it (design 4.3). */
import fs from 'node:fs';
import path from 'node:path';

const name = 'register.lmdb';
const lockSuffix = '-lock';
/** A file being made: it gets its name only once it is whole. */
const makingSuffix = '.new';
/** The last store that was given up, for whoever wants to look at it. */
const brokenSuffix = '.broken';

/** Where lmdb's two meta pages hold what is checked here: after a page header of 24 bytes, in the machine's own order of bytes. */
const magicAt = 24;
const magic = 0xbeefc0de;
const pageSizeAt = 48;
const lastPageAt = 144;
const transactionAt = 152;
const metaBytes = 160;
const leastPage = 512;
const mostPage = 65_536;

export type StoreFileState = 'missing' | 'present' | 'broken';

type Meta = Readonly<{ pageSize: number; lastPage: number; transaction: number }>;

/** Makes the names in a folder last: a file that was made, renamed or removed may else be lost, or come back, by itself. */
function syncFolder(folder: string): void {
  const descriptor = fs.openSync(folder, 'r');
  try {
    fs.fsyncSync(descriptor);
  } finally {
    fs.closeSync(descriptor);
  }
}

/** Makes a folder with all above it, each lasting in the one that holds it. */
function makeFolder(folder: string): void {
  const first = fs.mkdirSync(folder, { recursive: true });
  if (first === undefined) return;
  for (let made = path.resolve(folder); made.length >= path.resolve(first).length; made = path.dirname(made))
    syncFolder(path.dirname(made));
}

function pathOf(folder: string): string {
  return path.join(folder, name);
}

function metaAt(file: Buffer, at: number): Meta | undefined {
  if (file.length < at + metaBytes || file.readUInt32LE(at + magicAt) !== magic) return undefined;
  const pageSize = file.readUInt32LE(at + pageSizeAt);
  const isPageSize = pageSize >= leastPage && pageSize <= mostPage && (pageSize & (pageSize - 1)) === 0;
  if (!isPageSize) return undefined;
  return {
    pageSize,
    lastPage: Number(file.readBigUInt64LE(at + lastPageAt)),
    transaction: Number(file.readBigUInt64LE(at + transactionAt)),
  };
}

function head(descriptor: number): Buffer {
  const read = Buffer.alloc(mostPage + metaBytes);
  return read.subarray(0, fs.readSync(descriptor, read, 0, read.length, 0));
}

/**
 * Whether the file is there and its first pages are whole. One that ends before its last page is given its length again, in zeros: lmdb
 * reads a map, and a read past the end of the file would end the process, where a page of zeros is a fault like any other.
 */
function inspect(folder: string): StoreFileState {
  const file = pathOf(folder);
  if (!fs.existsSync(file)) return 'missing';
  const descriptor = fs.openSync(file, 'r+');
  try {
    const start = head(descriptor);
    const first = metaAt(start, 0);
    const second = first === undefined ? undefined : metaAt(start, first.pageSize);
    if (first === undefined || second === undefined) return 'broken';
    const latest = second.transaction > first.transaction ? second : first;
    const whole = (latest.lastPage + 1) * latest.pageSize;
    if (!Number.isSafeInteger(whole)) return 'broken';
    if (fs.fstatSync(descriptor).size < whole) fs.ftruncateSync(descriptor, whole);
    return 'present';
  } finally {
    fs.closeSync(descriptor);
  }
}

function remove(file: string): void {
  fs.rmSync(file, { force: true });
  fs.rmSync(file + lockSuffix, { force: true });
}

/** Makes a store by `fill`, which writes and closes the file it is given; whoever starts finds all of it or nothing. */
async function make(folder: string, fill: (file: string) => Promise<void>): Promise<void> {
  const making = pathOf(folder) + makingSuffix;
  remove(making);
  await fill(making);
  fs.rmSync(making + lockSuffix, { force: true });
  fs.renameSync(making, pathOf(folder));
  syncFolder(folder);
}

/** Moves a store aside that cannot be used; the one moved aside before it is removed. */
function setAside(folder: string): void {
  const file = pathOf(folder);
  if (fs.existsSync(file)) fs.renameSync(file, file + brokenSuffix);
  fs.rmSync(file + lockSuffix, { force: true });
  syncFolder(folder);
}

export const storeFile = { pathOf, makeFolder, syncFolder, inspect, make, setAside } as const;
