/**
 * A separate process on a disk that may be full, for runtime.feature: runs a put for each line it reads, whose key the line is, and prints
 * the results.
 */
import readline from 'node:readline';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Disk, type Fault } from '@stallstall/kernel';
import { disk } from '@stallstall/runtime/disk';

const putCharacters = 20_000;

// A write beyond the file size limit, which stands for a full disk, raises SIGXFSZ; without a handler the signal ends the process.
process.on('SIGXFSZ', () => undefined);

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printDiskFault(reason: Fault): void {
  print(`disk fault ${fault.kind(reason)}`);
}

async function put(ownDisk: Disk, key: string): Promise<void> {
  const stored = await ownDisk.put(key, 'x'.repeat(putCharacters));
  if (Either.isLeft(stored)) return print(`put failed ${fault.kind(stored.left)}`);
  const read = await ownDisk.read(key);
  print(Either.isRight(read) && Option.isSome(read.right) ? 'put succeeded' : 'put not readable');
}

async function main(folder: string): Promise<void> {
  const opened = await disk.openWhenWorking(folder, printDiskFault);
  if (Either.isLeft(opened)) throw opened.left;
  const ownDisk = opened.right;
  ownDisk.onSyncFaultChange((trouble) => (Option.isSome(trouble) ? printDiskFault(trouble.value) : print('disk works')));
  readline.createInterface({ input: process.stdin }).on('line', (key) => void put(ownDisk, key));
  print('opened');
}

void main(process.argv[2] ?? '');
