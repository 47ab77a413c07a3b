/**
 * Checks that a disk accepts writes before lmdb writes to it (design 5.1).
 *
 * lmdb 3.5 formats the error of a failed write into a buffer that may be too short, which corrupts the heap of the process. A full disk must
 * therefore be detected before a commit is started, not by a failing commit.
 */
import fs from 'node:fs';
import path from 'node:path';
import { promisify } from 'node:util';
import * as Either from 'fp-ts/lib/Either.js';
import { fault, type Fault } from '@stallstall/kernel';

export type DiskSpaceProbe = Readonly<{
  /** Whether the disk accepts a few bytes; cheap enough to run before every commit. */
  check: () => Promise<Either.Either<Fault, null>>;
  /** Whether the disk accepts and syncs this many bytes; run when the store is opened and after a failure. */
  testWrite: (bytes: number) => Promise<Either.Either<Fault, null>>;
  close: () => void;
}>;

const fileName = 'room';
const checkBytes = 64;
const minTestBytes = 16 * 1024;
/** With less free space the disk counts as full, since a commit may need more space than its puts. */
const minFreeBytes = 2 * 1024 * 1024;
const freeSpaceCheckMilliseconds = 1_000;

const write = promisify(fs.write);
const truncate = promisify(fs.ftruncate);
const sync = promisify(fs.fdatasync);

function diskFull(cause: Error): Fault {
  return fault.diskFailed('the put', cause);
}

/** Opens the probe's own file in a folder. */
function open(folder: string): DiskSpaceProbe {
  const file = fs.openSync(path.join(folder, fileName), 'w');
  const sample = Buffer.alloc(checkBytes);
  let checkedAt = Number.NEGATIVE_INFINITY;

  async function writeAll(bytes: Buffer): Promise<void> {
    const { bytesWritten } = await write(file, bytes, 0, bytes.length, 0);
    if (bytesWritten !== bytes.length) throw new Error('the disk accepted only a part of the bytes');
  }

  /** Checks the free space at intervals; where the file system does not report it, only the write counts. */
  async function checkFreeSpace(): Promise<void> {
    if (performance.now() - checkedAt < freeSpaceCheckMilliseconds) return;
    const space = await fs.promises.statfs(folder).catch(() => undefined);
    if (space !== undefined && space.blocks > 0 && space.bavail * space.bsize < minFreeBytes)
      throw new Error(`only ${space.bavail * space.bsize} bytes are free`);
    checkedAt = performance.now();
  }

  async function attempt(action: () => Promise<void>): Promise<Either.Either<Fault, null>> {
    try {
      await action();
      return Either.right(null);
    } catch (error) {
      checkedAt = Number.NEGATIVE_INFINITY;
      return Either.left(diskFull(error as Error));
    }
  }

  return {
    check: () =>
      attempt(async function check() {
        await checkFreeSpace();
        await writeAll(sample);
      }),
    testWrite: (bytes) =>
      attempt(async function testWrite() {
        await checkFreeSpace();
        await truncate(file, 0);
        await writeAll(Buffer.alloc(Math.max(bytes, minTestBytes)));
        await sync(file);
      }),
    close: () => fs.closeSync(file),
  };
}

export const diskSpaceProbe = { open } as const;
