// Shows that the exploration detects faults: removes one guard of design 4.8 at a time from a copy of the build and explores until a
// violation is reported.
// `npm run exploring-mutations [-- name]`; works in a temporary copy, never in this source tree.
import { spawnSync } from 'node:child_process';
import fs from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { checkGuards, copyTree, removeGuard } from './mutation-tool.mjs';

const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
const seconds = 30;
// `story`: the exploration does not cover this guard (which core may take a seat, or what leases rely on), so this scenario is run instead.
// `equivalent`: why no test can distinguish the mutated code from the original.
const mutations = [
  { name: 'any-set-is-answered', file: 'register/build/core-set-view.js', from: 'if (proposerNumber === view.number())', to: 'if (true)' },
  {
    name: 'earlier-sets-are-answered',
    file: 'register/build/core-set-view.js',
    from: 'if (proposerNumber === view.number())',
    to: 'if (proposerNumber <= view.number())',
  },
  {
    name: 'answers-before-it-is-level',
    file: 'core/build/learner.js',
    from: 'if (!(await copyFromPeers(learner, set, epochs, set.number)))',
    to: 'if (false)',
  },
  {
    name: 'copies-fewer',
    file: 'register/build/catch-up.js',
    from: 'coreCount - quorum.majority(coreCount) + 1',
    to: 'coreCount - quorum.majority(coreCount)',
  },
  { name: 'copies-others-at-earlier-sets', file: 'register/build/catch-up.js', from: 'reportedSet >= joinedSet', to: 'true' },
  {
    name: 'doubtful-cells-not-settled',
    file: 'register/build/catch-up.js',
    from: 'async function completeUnresolved(acceptor, register) {',
    to: 'async function completeUnresolved(acceptor, register) { return true;',
  },
  {
    name: 'another-seat-before-the-first-is-level',
    file: 'register/build/core-set-changes.js',
    from: 'leavesMajority(set, confirmed.upToDate, node, joiningCore));',
    to: 'true);',
  },
  {
    name: 'a-lost-disk-is-the-same-occupant',
    file: 'register/build/core-set-changes.js',
    from: 'left.node === right.node && left.disk === right.disk',
    to: 'left.node === right.node',
    story: 'A core that lost its disk serves ballots only in a later set',
  },
  {
    name: 'round-of-two-sets',
    file: 'register/build/ballot-round.js',
    from: 'const complete = { key, entry, ...setField };',
    to: 'const complete = { key, entry, ...currentSet(context).setField };',
    // Every core whose accept counts has itself promised this ballot and is in the later set. The cores that promised are then as many as a
    // majority of either set, so a value that a lower ballot chose in either set was seen, or can no longer be chosen.
    equivalent: 'the accepts that count come from a majority of cores that promised, whichever of the two sets they name',
  },
  {
    name: 'former-occupant-goes-on',
    file: 'core/build/core-set-membership.js',
    from: 'const isStillListed = isListed(coreSet);',
    to: 'const isStillListed = true;',
    story: 'A core that is cut off while it is replaced',
  },
  {
    name: 'any-seat-is-vacant',
    file: 'core/build/core-set-manager.js',
    from: 'if (!mayReplaceCore(manager, seat))',
    to: 'if (false)',
    more: [
      { file: 'core/build/core-set-manager.js', from: 'confirmed.unreachable.has(core) && !confirmed.upToDate.includes(core)', to: 'true' },
    ],
    story: 'A new core waits until a core can be replaced',
  },
  {
    name: 'not-blind-after-it-opened',
    file: 'lease/build/lease-grantor.js',
    from: 'laterOf(startedAt, context.servingSince())',
    to: 'startedAt',
    story: 'A core that became an active voter again',
  },
];

checkGuards(root, mutations);
const wanted = process.argv.slice(2);
const copy = copyTree(root, 'exploring');
let uncaught = 0;
for (const mutation of mutations) {
  if (wanted.length > 0 && !wanted.includes(mutation.name)) continue;
  if (mutation.equivalent !== undefined) {
    console.log(`${mutation.name}: not run, the mutation has no observable effect: ${mutation.equivalent}`);
    continue;
  }
  const putBack = removeGuard(copy, mutation);
  if (putBack === undefined) throw new Error(`${mutation.name}: the guard text was not found in the build`);
  const command =
    mutation.story === undefined
      ? [path.join(copy, 'packages/simulator/build/exploring.js'), '1', `--seconds=${seconds}`]
      : [path.join(copy, 'packages/acceptance/run.mjs'), mutation.story];
  const run = spawnSync(process.execPath, command, { encoding: 'utf8' });
  putBack();
  const caughtBy = /^(seed|schedule|scenario) .{0,150}|AssertionError.{0,110}/m.exec(run.stdout)?.[0];
  if (caughtBy === undefined) uncaught += 1;
  console.log(`${mutation.name}: ${caughtBy === undefined ? `NOT CAUGHT ${run.stderr.slice(0, 300)}` : `caught by ${caughtBy}`}`);
}
fs.rmSync(copy, { recursive: true, force: true });
console.log(`exploring-mutations: ${uncaught} not caught`);
process.exitCode = uncaught === 0 ? 0 : 1;
