// Shows that the checkers of a soak can fail: takes one guard at a time out of a copy of the build and soaks it, ten seeds at the most.
// `npm run soak-mutations [-- name]`; works in a temporary copy, never in this tree.
import { spawnSync } from 'node:child_process';
import fs from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { checkGuards, copyTree, removeGuard } from '../simulator/mutation-tool.mjs';

const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
const seedsMost = 10;
const seconds = 15;
const basePort = 28_000;

const mutations = [
  {
    name: 'older-configuration-applied-again',
    expect: /configuration|order-late/,
    file: 'register/build/watcher.js',
    from: 'watched.applied.value.version >= entry.version',
    to: 'watched.applied.value.version === entry.version',
    more: [
      { file: 'register/build/watcher.js', from: 'push.entry.version > appliedVersionOf(watched)', to: 'true' },
      { file: 'register/build/watcher.js', from: 'dropObsoletePushes(watched);', to: '' },
    ],
  },
  {
    name: 'planned-end-drops-transactions',
    expect: /planned-end/,
    file: 'pooler/build/draining.js',
    from: 'while (!condition() && clock.now() - beganAt < graceMilliseconds - reservedMilliseconds)',
    to: 'while (false)',
  },
  {
    name: 'pushes-lost-for-good',
    expect: /order-late|configuration/,
    file: 'core/build/change-subscribers.js',
    from: 'for (const subscriber of openSubscribers(table))',
    // The first few arrive, so that the fleet begins to serve.
    to: 'for (const subscriber of entry.version > 5 ? [] : openSubscribers(table))',
  },
  {
    name: 'end-of-a-lease-not-looked-at',
    expect: /stale|configuration|refused/,
    file: 'pooler/build/member-selection.js',
    from: '|| runtime.clock.now() >= leader.leaseEnd',
    to: '',
  },
];

checkGuards(root, mutations);
const wanted = process.argv.slice(2);
const copy = copyTree(root, 'soak');
let blind = 0;

/** What a checker said of the first seed that failed, if any did. */
function firstFinding({ expect }) {
  const program = path.join(copy, 'packages/bench/build/soak.js');
  for (let seed = 1; seed <= seedsMost; seed += 1) {
    const run = spawnSync(process.execPath, [program, String(seed), '1', `--seconds=${seconds}`, `--base=${basePort}`], {
      encoding: 'utf8',
    });
    const finding = run.stdout.split('\n').find((line) => /^ {2}[a-z-]+: /.test(line) && expect.test(line.split(':')[0]));
    if (finding !== undefined) return `seed ${seed}:${finding.slice(1, 160)}`;
  }
  return undefined;
}

for (const mutation of mutations) {
  if (wanted.length > 0 && !wanted.includes(mutation.name)) continue;
  const putBack = removeGuard(copy, mutation);
  if (putBack === undefined) throw new Error(`${mutation.name}: the guard is not where it was`);
  const finding = firstFinding(mutation);
  putBack();
  if (finding === undefined) blind += 1;
  console.log(`${mutation.name}: ${finding === undefined ? 'NOT CAUGHT' : `caught by ${finding}`}`);
}
fs.rmSync(copy, { recursive: true, force: true });
console.log(`soak-mutations: ${blind} not caught`);
process.exitCode = blind === 0 ? 0 : 1;
