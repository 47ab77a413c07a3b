// Shows that each check can fail: removes one guard at a time from a copy of the build and runs seeds until a check reports a violation.
// `npm run mutations [-- name]`; works in a temporary copy, never in this tree. `only`: the faults that need the guard.
import fs from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { checkGuards, copyTree, findOutputLine, removeGuard } from './mutation-tool.mjs';

const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
const losses = ['kill-primary', 'primary-dies-half-seen', 'cut-edge', 'zone-lost', 'area-dark'];
const replies = ['primary-blinks', 'replies-lost', 'replies-garbled', 'kill-member'];
const lag = ['member-deaf', 'cut-member', 'freeze-member', 'kill-member'];
const sends = ['operators-race', 'key-withdrawn', 'cut-edge', 'cut-core', 'freeze-node'];
const mutations = [
  {
    name: 'fence-at-any-epoch',
    expect: 'two-epochs-open',
    only: losses,
    file: 'quorum-lease/build/quorum-lease.js',
    from: 'echo.epochs[service] === epoch',
    to: 'true',
  },
  {
    name: 'winner-does-not-wait',
    expect: 'two-epochs-open',
    only: losses,
    file: 'election/build/succession-wait.js',
    from: 'majority.reachedAt, leaseTermMilliseconds + leaseMarginMilliseconds);',
    to: 'majority.reachedAt, 0);',
  },
  {
    name: 'write-leaves-twice',
    expect: 'write-',
    only: replies,
    file: 'proxy/build/request-execution.js',
    from: 'if (requestContext.isCommittingWrite(record) && !wasNeverSent) {',
    to: 'if (false) {',
  },
  {
    name: 'lost-reply-called-nothing-kept',
    expect: 'write-kept-after-denial',
    only: replies,
    file: 'proxy/build/request-faults.js',
    from: "kind: 'outcome-unknown',",
    to: "kind: 'given-up',",
  },
  {
    name: 'garbled-reply-called-denial',
    expect: 'write-kept-after-denial',
    only: ['replies-garbled'],
    file: 'proxy/build/member-reply.js',
    from: "(reply.status === 409 || reply.status === 503) && typeof message === 'string' && isPosition(position)",
    to: 'reply.status >= 400',
  },
  {
    name: 'reply-before-its-note',
    expect: 'write-vanished|stale-leader-read|leader-read-unseen',
    only: losses,
    file: 'proxy/build/confirmations.js',
    from: 'reports.isDurable(report)',
    to: 'true',
  },
  {
    name: 'floor-not-looked-at',
    expect: 'write-vanished|stale-leader-read|leader-read-unseen',
    only: ['member-deaf', 'kill-primary', 'zone-lost'],
    file: 'election/build/durable-watermark.js',
    from: 'state.epoch > watermark.epoch ||',
    to: 'true ||',
  },
  {
    name: 'any-replica-is-fresh',
    expect: 'stale-bounded-read',
    only: lag,
    file: 'routing/build/index.js',
    from: 'choice.freshUntil > now',
    to: 'true',
  },
  {
    name: 'own-commit-forgotten',
    expect: 'stale-own-read',
    only: lag,
    file: 'proxy/build/request-pipeline.js',
    from: "request.kind === 'own-read' ?",
    to: 'false ?',
  },
  {
    name: 'control-term-never-ends',
    expect: 'configuration-unobeyed',
    only: sends,
    file: 'proxy/build/placement-feed.js',
    from: 'identifiers.after(sentAt, reply.term)',
    to: 'identifiers.after(sentAt, 60_000)',
  },
  {
    name: 'one-disk-is-enough',
    expect: 'configuration-missing',
    only: ['operators-race', 'blank-core', 'kill-core', 'cut-core'],
    file: 'register/build/ballot-round.js',
    from: 'size > 0 ? quorum.majority(size) : Number.POSITIVE_INFINITY',
    to: '1',
  },
  {
    name: 'versions-share-a-cell',
    expect: 'configuration-missing',
    only: ['operators-race', 'key-withdrawn'],
    file: 'core/build/packed-version.js',
    from: 'version % maxVersions',
    to: '0',
  },
  {
    name: 'keys-not-looked-at',
    expect: 'never-allowed',
    only: sends,
    file: 'placement/build/index.js',
    from: 'candidate.key === key &&',
    to: 'true &&',
  },
  {
    name: 'kinds-not-looked-at',
    expect: 'never-allowed',
    only: sends,
    file: 'placement/build/index.js',
    from: '&& candidate.kinds.includes(kind)',
    to: '',
  },
  { name: 'weights-not-looked-at', expect: 'weight-unobeyed', only: sends, file: 'routing/build/index.js', from: '|| weight <= 0', to: '' },
  {
    name: 'turn-taken-at-once',
    expect: 'turn',
    only: ['actor-struck', 'freeze-node', 'cut-core', 'kill-primary'],
    file: 'election/build/singleton-role.js',
    from: 'return record.released ||',
    to: 'return true ||',
  },
  {
    name: 'duty-not-renewed-beside',
    expect: 'recovery-late|usage-off',
    only: ['kill-primary', 'all-stop'],
    file: 'election/build/role-lease.js',
    from: 'void renewWhile(lease, isInProgress);',
    to: '',
  },
  {
    name: 'usage-forgets-an-edge',
    expect: 'usage-off',
    only: ['kill-core'],
    file: 'register/build/report-store.js',
    from: 'if (report.window < oldest)',
    to: "if (report.node === 'edge-1' || report.window < oldest)",
  },
  {
    name: 'usage-kept-in-memory',
    expect: 'usage-off',
    only: ['everything-stops', 'all-stop'],
    file: 'register/build/report-store.js',
    from: 'reports: reportsOf(store, window),\n',
    to: 'reports: [],\n',
  },
  {
    name: 'open-transaction-given-on',
    expect: 'session-crossed',
    only: ['kill-proxy', 'key-withdrawn'],
    file: 'proxy/build/sessions.js',
    from: 'pool.release(pinned.value.connection, false)',
    to: 'pool.release(pinned.value.connection, true)',
  },
  {
    name: 'shapes-in-common',
    expect: 'session-crossed',
    only: ['kill-proxy'],
    file: 'proxy/build/session.js',
    from: 'const prepared = {};',
    to: 'const prepared = (globalThis.prepared ??= {});',
  },
  {
    name: 'drained-edge-goes-on',
    expect: 'draining-fed',
    only: ['drain-edge'],
    file: 'proxy/build/placement-feed.js',
    from: 'identifiers.after(since.value, lameDuckMilliseconds)',
    to: 'identifiers.after(since.value, 60_000)',
  },
  {
    name: 'retired-member-goes-on',
    expect: 'draining-fed',
    only: ['retire-primary', 'replace-member', 'member-deaf', 'kill-member'],
    file: 'proxy/build/settings.js',
    from: 'const handoverMilliseconds = 5_000;',
    to: 'const handoverMilliseconds = 60_000;',
  },
  {
    name: 'planned-end-at-once',
    expect: 'request-dropped',
    only: ['planned-restart'],
    file: 'proxy/build/settings.js',
    from: 'const graceMilliseconds = 6_000;',
    to: 'const graceMilliseconds = 0;',
  },
  {
    name: 'links-not-dialled-again',
    expect: 'recovery-late',
    only: ['all-stop', 'kill-core'],
    file: 'peer/build/dialled-peer.js',
    from: 'const maxRedialMilliseconds = 150;',
    to: 'const maxRedialMilliseconds = 9e9;',
  },
  {
    name: 'pool-knows-no-share',
    expect: 'connection-limit',
    only: ['spare-edge', 'all-stop', 'freeze-member'],
    file: 'pool/build/index.js',
    from: 'pool.target.maxConnections',
    to: '9e9',
  },
];

/** Runs eight seeds at once and ends them as soon as one reports an expected violation. */
function findViolation(first, mutation, expected) {
  const programArguments = [String(first), '8', '--workers=8', '--milliseconds=26000', `--only=${mutation.only.join(',')}`];
  return findOutputLine(path.join(copy, 'packages/simulator/build/seeds.js'), programArguments, expected);
}

checkGuards(root, mutations);
const selectedNames = process.argv.slice(2);
const copy = copyTree(root, 'mutations');
let notCaught = 0;
for (const mutation of mutations) {
  if (selectedNames.length > 0 && !selectedNames.includes(mutation.name)) continue;
  const restore = removeGuard(copy, mutation);
  if (restore === undefined) throw new Error(`${mutation.name}: its guard is not found`);
  const expected = new RegExp(`^  (${mutation.expect})`);
  const caught =
    (await findViolation(1, mutation, expected)) ??
    (await findViolation(9, mutation, expected)) ??
    (await findViolation(17, mutation, expected));
  restore();
  if (caught === undefined) notCaught += 1;
  console.log(`${mutation.name}: ${caught === undefined ? 'NOT CAUGHT' : `caught by ${caught.trim()}`}`);
}
fs.rmSync(copy, { recursive: true, force: true });
console.log(`mutations: ${notCaught} not caught`);
process.exitCode = notCaught === 0 ? 0 : 1;
