/** Locks a data folder for one process, whose identity is stored in a file next to the data (design 4.3). */
import fs from 'node:fs';
import path from 'node:path';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Fault } from '@stallstall/kernel';
import { storeFile } from './store-file.js';

const lockName = 'holder';
/** The start time of a process is the twentieth field after its name in /proc/PID/stat. */
const startTimeField = 19;

/** Identifies a process uniquely: process ids are reused, so the boot id and the start time of the process are included. */
function processIdentity(processId: number): string {
  try {
    const boot = fs.readFileSync('/proc/sys/kernel/random/boot_id', 'utf8').trim();
    const stat = fs.readFileSync(`/proc/${processId}/stat`, 'utf8');
    // The process name in parentheses may contain spaces and parentheses.
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    return `${processId} ${boot} ${fields[startTimeField] ?? ''}`;
  } catch {
    return '';
  }
}

function lockPath(folder: string): string {
  return path.join(folder, lockName);
}

/** Returns a fault if another running process holds the folder. */
function heldByAnother(folder: string): Option.Option<Fault> {
  const file = lockPath(folder);
  const holder = fs.existsSync(file) ? fs.readFileSync(file, 'utf8').trim() : '';
  const processId = Number(holder.split(' ')[0]);
  const isFree = holder === '' || holder === processIdentity(process.pid) || holder !== processIdentity(processId);
  if (isFree) return Option.none;
  return Option.some(
    fault.create({
      kind: 'foreign-disk',
      message: `the data folder is in use by process ${processId}`,
      remedy: 'stop that process, or use another folder',
    }),
  );
}

/** Locks the folder for this process. Errors: `foreign-disk`. */
function claim(folder: string): Either.Either<Fault, null> {
  const conflict = heldByAnother(folder);
  if (Option.isSome(conflict)) return Either.left(conflict.value);
  fs.writeFileSync(lockPath(folder), processIdentity(process.pid));
  storeFile.syncFolder(folder);
  return Either.right(null);
}

/** Whether any process has ever locked the folder. */
function wasClaimed(folder: string): boolean {
  return fs.existsSync(lockPath(folder));
}

export const folderLock = { processIdentity, heldByAnother, claim, wasClaimed } as const;
