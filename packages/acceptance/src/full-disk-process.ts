/** A process of its own on a disk that may be full, for runtime.feature: puts once for each line it reads, and says how that went. */
import readline from 'node:readline';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Disk, type Fault } from '@stallstall/kernel';
import { disk } from '@stallstall/runtime/disk';

const putCharacters = 20_000;

// The limit that stands in for a full disk comes with a signal, which ends a process that does not take it.
process.on('SIGXFSZ', () => undefined);

function say(word: string): void {
  process.stdout.write(`${word}\n`);
}

function sayTrouble(reason: Fault): void {
  say(`trouble ${fault.kind(reason)}`);
}

async function put(own: Disk, key: string): Promise<void> {
  const kept = await own.put(key, 'x'.repeat(putCharacters));
  if (Either.isLeft(kept)) return say(`failed ${fault.kind(kept.left)}`);
  const read = await own.read(key);
  say(Either.isRight(read) && Option.isSome(read.right) ? 'kept' : 'not kept');
}

async function main(folder: string): Promise<void> {
  const opened = await disk.openWhenWorking(folder, sayTrouble);
  if (Either.isLeft(opened)) throw opened.left;
  const own = opened.right;
  own.onTrouble((trouble) => (Option.isSome(trouble) ? sayTrouble(trouble.value) : say('works')));
  readline.createInterface({ input: process.stdin }).on('line', (key) => void put(own, key));
  say('opened');
}

void main(process.argv[2] ?? '');
