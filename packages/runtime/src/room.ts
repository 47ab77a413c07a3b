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

export type Room = Readonly<{
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
const freeLookMilliseconds = 1_000;

const write = promisify(fs.write);
const truncate = promisify(fs.ftruncate);
const sync = promisify(fs.fdatasync);

function noRoom(cause: Error): Fault {
  return fault.diskFailed('what is put', cause);
}

/** Opens the file of a folder that is written for this alone. */
function open(folder: string): Room {
  const file = fs.openSync(path.join(folder, name), 'w');
  const few = Buffer.alloc(checkBytes);
  let lookedAt = Number.NEGATIVE_INFINITY;

  async function writeAll(bytes: Buffer): Promise<void> {
    const { bytesWritten } = await write(file, bytes, 0, bytes.length, 0);
    if (bytesWritten !== bytes.length) throw new Error('the disk took a part only');
  }

  /** Asked of the system now and then; where it does not tell, the write alone decides. */
  async function lookAtFree(): Promise<void> {
    if (performance.now() - lookedAt < freeLookMilliseconds) return;
    const told = await fs.promises.statfs(folder).catch(() => undefined);
    if (told !== undefined && told.blocks > 0 && told.bavail * told.bsize < leastFreeBytes)
      throw new Error(`${told.bavail * told.bsize} bytes are free`);
    lookedAt = performance.now();
  }

  async function trying(action: () => Promise<void>): Promise<Either.Either<Fault, null>> {
    try {
      await action();
      return Either.right(null);
    } catch (error) {
      lookedAt = Number.NEGATIVE_INFINITY;
      return Either.left(noRoom(error as Error));
    }
  }

  return {
    check: () =>
      trying(async function check() {
        await lookAtFree();
        await writeAll(few);
      }),
    prove: (bytes) =>
      trying(async function prove() {
        await lookAtFree();
        await truncate(file, 0);
        await writeAll(Buffer.alloc(Math.max(bytes, leastProofBytes)));
        await sync(file);
      }),
    close: () => fs.closeSync(file),
  };
}

export const room = { open } as const;
