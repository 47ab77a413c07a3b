/**
 * Tries whether a disk takes bytes, before lmdb has to find out (design 5.1).
 *
 * lmdb 3.5 formats the error of a failed write into a buffer that may be too short for it, and so spoils the heap of the process: a disk
 * that takes nothing must be noticed before a commit is begun, not by a commit that fails.
 */
import fs from 'node:fs';
import path from 'node:path';
import { promisify } from 'node:util';
import * as Either from 'fp-ts/lib/Either.js';
import { fault, type Fault } from '@stallstall/kernel';

export type DiskSpaceProbe = Readonly<{
  /** Whether the disk takes a few bytes now; cheap enough to be asked before every commit. */
  check: () => Promise<Either.Either<Fault, null>>;
  /** Whether it takes and syncs so many bytes: asked of a disk that has failed. */
  prove: (bytes: number) => Promise<Either.Either<Fault, null>>;
  close: () => void;
}>;

const name = 'room';
const checkBytes = 64;
const leastProofBytes = 16 * 1024;
/** Less free space than this is none: a commit may take more than it puts. */
const leastFreeBytes = 2 * 1024 * 1024;
const freeSpaceCheckMilliseconds = 1_000;

const write = promisify(fs.write);
const truncate = promisify(fs.ftruncate);
const sync = promisify(fs.fdatasync);

function diskFull(cause: Error): Fault {
  return fault.diskFailed('what is put', cause);
}

/** Opens the file of a folder that is written for this alone. */
function open(folder: string): DiskSpaceProbe {
  const file = fs.openSync(path.join(folder, name), 'w');
  const sample = Buffer.alloc(checkBytes);
  let checkedAt = Number.NEGATIVE_INFINITY;

  async function writeAll(bytes: Buffer): Promise<void> {
    const { bytesWritten } = await write(file, bytes, 0, bytes.length, 0);
    if (bytesWritten !== bytes.length) throw new Error('the disk took only a part');
  }

  /** Asked of the system now and then; where it does not tell, the write alone decides. */
  async function checkFreeSpace(): Promise<void> {
    if (performance.now() - checkedAt < freeSpaceCheckMilliseconds) return;
    const space = await fs.promises.statfs(folder).catch(() => undefined);
    if (space !== undefined && space.blocks > 0 && space.bavail * space.bsize < leastFreeBytes)
      throw new Error(`${space.bavail * space.bsize} bytes are free`);
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
    prove: (bytes) =>
      attempt(async function prove() {
        await checkFreeSpace();
        await truncate(file, 0);
        await writeAll(Buffer.alloc(Math.max(bytes, leastProofBytes)));
        await sync(file);
      }),
    close: () => fs.closeSync(file),
  };
}

export const diskSpaceProbe = { open } as const;
