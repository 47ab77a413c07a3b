/** One process for each data folder: which one holds it stands in a file beside the data (design 4.3). */
import fs from 'node:fs';
import path from 'node:path';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Fault } from '@stallstall/kernel';
import { storeFile } from './store-file.js';

const lockName = 'holder';
/** The start time of a process is the twentieth field behind its name in /proc/PID/stat. */
const startTimeField = 19;

/** Names a process for good: its id alone comes again, so the boot of its machine and the tick it started at belong to it. */
function processIdentity(processId: number): string {
  try {
    const boot = fs.readFileSync('/proc/sys/kernel/random/boot_id', 'utf8').trim();
    const stat = fs.readFileSync(`/proc/${processId}/stat`, 'utf8');
    // The name in parentheses may hold anything.
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    return `${processId} ${boot} ${fields[startTimeField] ?? ''}`;
  } catch {
    return '';
  }
}

function lockPath(folder: string): string {
  return path.join(folder, lockName);
}

/** Why the folder may not be used: another process that still runs holds it; none where it may. */
function heldByAnother(folder: string): Option.Option<Fault> {
  const file = lockPath(folder);
  const holder = fs.existsSync(file) ? fs.readFileSync(file, 'utf8').trim() : '';
  const processId = Number(holder.split(' ')[0]);
  const isFree = holder === '' || holder === processIdentity(process.pid) || holder !== processIdentity(processId);
  if (isFree) return Option.none;
  return Option.some(
    fault.create({
      kind: 'foreign-disk',
      message: `the data folder is held by process ${processId}`,
      remedy: 'stop that process first, or use another folder',
    }),
  );
}

/** Takes the folder for this process. Errors: `foreign-disk`. */
function claim(folder: string): Either.Either<Fault, null> {
  const held = heldByAnother(folder);
  if (Option.isSome(held)) return Either.left(held.value);
  fs.writeFileSync(lockPath(folder), processIdentity(process.pid));
  storeFile.syncFolder(folder);
  return Either.right(null);
}

/** Whether any process has ever held the folder. */
function wasClaimed(folder: string): boolean {
  return fs.existsSync(lockPath(folder));
}

export const folderLock = { processIdentity, heldByAnother, claim, wasClaimed } as const;
