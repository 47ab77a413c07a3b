// Shows that the stories and checkers of the pooled mode can fail: takes one guard at a time out of a copy of the build.
// `npm run pooled-mutations [-- name]`; works in a temporary copy, never in this tree. `story`: the scenario that must fail;
// `expect`: what a checker must say in a seeded run drawn from `only`.
import { execFileSync, spawn, spawnSync } from 'node:child_process';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
const requests = 'pooler/build/requests.js';
const pooler = 'pooler/build/pooler.js';
const copies = 'pooler/build/copies.js';
const lag = ['replica-deaf', 'replica-crashed'];
const orders = ['orders-raced', 'orders-resent', 'order-numbers-reused', 'acknowledgements-lost', 'orders-raced-in-trouble'];
const sends = ['configuration-changed', 'key-withdrawn'];
const mutations = [
  {
    name: 'end-of-a-lease-not-looked-at',
    story: 'deposed',
    expect: 'stale',
    only: ['primary-and-edge-cut'],
    file: requests,
    from: '|| kernel.clock.now() >= leader.until',
    to: '',
  },
  {
    name: 'lost-commit-promised',
    story: 'lost on a commit',
    expect: 'refused|twice',
    only: ['replies-lost'],
    file: requests,
    from: 'if (ask.commit || (ask.writes && Option.isNone(ask.transaction))) {',
    to: 'if (false) {',
  },
  {
    name: 'draining-not-looked-at',
    story: 'drained member',
    expect: 'draining',
    only: ['primary-draining', 'replica-draining'],
    file: requests,
    from: '!entry.draining && ',
    to: '',
  },
  {
    name: 'any-replica-is-fresh',
    expect: 'stale',
    only: lag,
    file: requests,
    from: 'freshness.covering(database.service, bound)',
    to: 'Option.some({ term: 0, number: 0 })',
  },
  { name: 'own-commit-forgotten', expect: 'stale', only: lag, file: requests, from: "database.reads === 'own' ?", to: 'false ?' },
  {
    name: 'position-learnt-from-anyone',
    story: 'bounded age',
    file: requests,
    from: 'if (leader && wasLed(record, sentAt) && Option.isSome(replied.position))',
    to: 'if (Option.isSome(replied.position))',
  },
  {
    name: 'moved-database-not-followed',
    story: 'follows it',
    file: requests,
    from: 'ask: { ...record.ask, database }',
    to: 'ask: record.ask',
  },
  {
    name: 'abandoned-transaction-given-on',
    story: 'leaves nothing on its connection',
    file: requests,
    from: 'connections.giveBack(pooled, false);\n    }\n    // -- The passes',
    to: 'connections.giveBack(pooled, true);\n    }\n    // -- The passes',
  },
  {
    name: 'every-statement-counted',
    expect: 'usage',
    only: sends,
    file: requests,
    from: 'if (begins && record.shots === 1 && !ask.copying)',
    to: 'if (true)',
  },
  {
    name: 'any-key-lets-in',
    story: 'withdrawn|typed fault',
    expect: 'configuration|route',
    only: sends,
    file: pooler,
    from: 'const tenant = view.tenants.get(who);',
    to: "const tenant = view.tenants.get(who) ?? { tenant: 'tenant-one' };",
  },
  { name: 'rest-not-ended', story: 'rests too long', file: pooler, from: 'now - transaction.restsSince >= rest', to: 'false' },
  {
    name: 'left-transaction-stays',
    story: 'leaves midway',
    file: pooler,
    from: 'if (Option.isSome(session.transaction))\n            void rollback(session.transaction.value);',
    to: '',
  },
  {
    name: 'planned-end-cuts-whoever-asks',
    story: 'ends as planned',
    expect: 'planned-end',
    only: ['edge-drained'],
    file: pooler,
    from: '&& !asked.has(session)',
    to: '',
  },
  {
    name: 'open-transactions-not-ended',
    story: 'for a moment only',
    file: pooler,
    from: 'const handoverMilliseconds = 300;',
    to: 'const handoverMilliseconds = 60_000;',
  },
  { name: 'release-never-told', story: 'shorten', file: pooler, from: 'released[service] = release;', to: '' },
  {
    name: 'silent-edge-not-waited-out',
    story: 'waited out',
    expect: 'stale',
    only: ['primary-draining-edge-cut'],
    file: 'elect/build/election.js',
    from: 'view.released(service.service, epoch, majority.lessees.value)',
    to: 'true',
  },
  {
    name: 'one-core-grants',
    expect: 'stale',
    only: ['primary-and-edge-cut'],
    file: 'lease/build/lessee.js',
    from: 'grants.until(service, epoch, names(), cores.length, true, false)',
    to: 'grants.until(service, epoch, names(), 1, true, false)',
  },
  {
    name: 'values-not-cleared',
    story: 'never cross',
    expect: 'pinned',
    only: sends,
    file: 'pooler/build/sessions.js',
    from: 'if (foreign ||',
    to: 'if (false ||',
  },
  {
    name: 'shapes-not-told-apart',
    story: 'never cross',
    expect: 'unasked',
    only: sends,
    file: 'pooler/build/sessions.js',
    from: "return `${prepared.writes ? 'w' : 'r'} ${prepared.shape}`;",
    to: "return 'one';",
  },
  {
    name: 'tenants-share-connections',
    expect: 'route',
    only: sends,
    file: 'pooler/build/connections.js',
    from: 'one.pooled.tenant !== tenant || ',
    to: '',
  },
  {
    name: 'beats-taken-by-no-fleet',
    story: 'no fleet',
    file: 'core/build/index.js',
    from: '&& cells.ready() && (roster',
    to: '&& (roster',
  },
  {
    name: 'late-beats-taken',
    story: 'late beat',
    file: 'roster/build/index.js',
    from: 'entry.sequence < known.entry.sequence',
    to: 'false',
  },
  { name: 'whoever-left-comes-back', story: 'late beat', file: 'roster/build/index.js', from: '(known.left && !entry.gone)', to: 'false' },
  {
    name: 'copy-before-its-window',
    story: 'Before its window',
    file: copies,
    from: 'wall >= holding.window.from && wall < holding.window.to',
    to: 'wall < holding.window.to',
  },
  {
    name: 'copy-after-its-window',
    story: 'clock that is set on',
    file: copies,
    from: 'wall >= holding.window.from && wall < holding.window.to + outageGraceMilliseconds',
    to: 'wall >= holding.window.from',
  },
  {
    name: 'copy-not-dropped',
    story: 'copy is gone',
    file: copies,
    from: 'wall - outageGraceMilliseconds, wall',
    to: 'wall - 10 * outageGraceMilliseconds, wall',
  },
  {
    name: 'copies-of-all-tenants',
    story: "Another tenant's copy",
    file: copies,
    from: 'ask.database.database, ask.tenant, values',
    to: 'ask.database.database, values',
  },
  {
    name: 'copies-under-any-values',
    story: 'other session values',
    file: copies,
    from: 'ask.tenant, values, words',
    to: 'ask.tenant, words',
  },
  { name: 'incomplete-copy-used', story: 'not completed', file: copies, from: '!holding.complete || !windowIsOpen', to: '!windowIsOpen' },
  {
    name: 'copy-filled-in-its-window',
    story: 'not finished in it',
    file: copies,
    from: 'holding.outage.holdMilliseconds && wall < holding.window.from',
    to: 'holding.outage.holdMilliseconds',
  },
  { name: 'own-commit-not-in-copy', story: 'own commit after the copy', file: copies, from: 'own === undefined ||', to: 'true ||' },
  { name: 'unknown-commit-not-in-copy', story: 'unknown end', file: copies, from: 'if (ask.session.unsettled)', to: 'if (false)' },
  { name: 'write-from-a-copy', story: 'settles nothing', file: copies, from: '!ask.writes && ', to: '' },
  { name: 'transaction-from-a-copy', story: 'settles nothing', file: copies, from: 'Option.isNone(ask.transaction) && ', to: '' },
  { name: 'leader-read-from-a-copy', story: 'settles nothing', file: copies, from: "ask.database.reads !== 'leader' && ", to: '' },
  {
    name: 'any-database-held',
    story: 'settles nothing',
    file: copies,
    from: 'outage.databases.includes(ask.database.database)',
    to: 'true',
  },
  {
    name: 'moved-database-from-its-copy',
    story: 'has moved since',
    file: copies,
    from: 'copied.service !== asked.database.service || ',
    to: '',
  },
  { name: 'any-edge-holds', story: "doesn't name", file: copies, from: 'outage.nodes.includes(known.node)', to: 'true' },
  {
    name: 'copies-without-bound',
    story: 'within its bound',
    file: copies,
    from: 'new LRUCache({\n                maxSize: outage.mostBytes',
    to: 'new LRUCache({\n                maxSize: 1_000_000',
  },
  { name: 'copy-of-a-copy', story: 'never made from another copy', file: requests, from: 'record.ask.copying || ', to: '' },
  { name: 'copying-counted-as-usage', story: "nobody's usage", file: requests, from: ' && !ask.copying', to: '' },
  {
    name: 'copy-before-any-member',
    story: 'can be placed goes to a member',
    file: requests,
    from: 'const target = needsLeader(record.ask)',
    to: "if (copies.open(record.ask))\n            return denyUnplaced(record, 'read-only', '');\n        const target = needsLeader(record.ask)",
  },
  {
    name: 'overlapping-windows-taken',
    story: 'outages are checked whole',
    file: 'sheet/build/index.js',
    from: 'shared.length > 0 && overlap(outage, other)',
    to: 'false',
  },
  {
    name: 'any-text-under-a-number',
    story: 'stands for one text at every core',
    expect: 'two-texts',
    only: orders,
    file: 'core/build/ledger.js',
    from: "found.digest === digest ? 'own' : 'other'",
    to: "'own'",
  },
  {
    name: 'number-not-claimed',
    story: 'Of two sheets under one number',
    file: 'core/build/orders.js',
    from: 'const claimed = await ledger.claimNumber(external.version, textDigest, horizon - kernel.clock.now());',
    to: "const claimed = Either.right('own');",
  },
  {
    name: 'forgotten-number-acknowledged',
    story: 'ledger has forgotten',
    file: 'core/build/ledger.js',
    from: "return 'forgotten';",
    to: "return 'own';",
  },
  {
    name: 'digest-of-the-letters',
    story: 'stands for one text at every core',
    file: 'core/build/digest.js',
    from: 'return ofDocument(JSON.parse(text));',
    to: 'return ofDocument(text);',
  },
  {
    name: 'standing-number-not-claimed',
    story: 'confirmed before orders were kept',
    file: 'core/build/orders.js',
    from: 'if (local?.digest !== undefined)',
    to: 'if (true)',
  },
  {
    name: 'send-id-for-any-sheet',
    story: 'A send id stands for one sheet',
    file: 'core/build/orders.js',
    from: 'claimed.right.digest === wanted.digest ?',
    to: 'true ?',
  },
  {
    name: 'send-without-its-version',
    story: 'A send id stands for one sheet',
    file: 'core/build/orders.js',
    from: 'await ledger.settleSend(order.sendId, version);',
    to: '',
  },
  {
    name: 'whole-in-each-ballot',
    story: 'A change moves little',
    file: 'register/build/proposer.js',
    from: 'holding.has(target.core) ? slim : whole',
    to: 'whole',
  },
  {
    name: 'held-entry-sent-again',
    story: 'A change moves little',
    file: 'register/build/acceptor.js',
    from: 'return held ?',
    to: 'return false ?',
  },
  {
    name: 'contents-between-cores',
    story: 'A change moves little',
    file: 'node/build/index.js',
    from: 'content: Option.isNone(parts.own),',
    to: '',
  },
  {
    name: 'difference-not-checked',
    story: 'A difference leads',
    file: 'register/build/difference.js',
    from: 'if (digestOf(text) !== difference.digest)',
    to: 'if (false)',
  },
  {
    name: 'earlier-version-not-kept',
    story: 'A core that missed changes',
    file: 'register/build/acceptor.js',
    from: 'return keepEarlier(accepted);',
    to: 'return true;',
  },
  {
    name: 'missed-versions-not-asked-for',
    story: 'A core that missed changes',
    file: 'core/build/version-store.js',
    from: 'for (let versions = missing(); versions.length > 0 &&',
    to: 'for (let versions = missing(); false &&',
  },
  {
    name: 'versions-without-bound',
    story: 'bounded in bytes, and',
    file: 'core/build/version-store.js',
    from: 'table.bytes > versionBytesMost &&',
    to: 'false &&',
  },
  {
    name: 'forgotten-versions-asked-for',
    story: 'bounded in bytes, and',
    file: 'core/build/version-store.js',
    from: 'table.bytes > versionBytesMost / 2',
    to: 'false',
  },
  {
    name: 'turn-taken-at-once',
    expect: 'one-holder',
    only: ['core-cut', 'core-killed', 'primary-crashed', 'platform-slow'],
    file: 'elect/build/duty.js',
    from: 'if (state.released)',
    to: 'if (true)',
  },
];

const wanted = process.argv.slice(2);
const copy = fs.mkdtempSync(path.join(os.tmpdir(), 'stallstall-mutations-'));
execFileSync('cp', ['-a', ...['packages', 'platform', 'node_modules', 'package.json'].map((part) => path.join(root, part)), copy]);

/** The stories of the copy: true when one of them fails. */
function storyFails(story) {
  const run = spawnSync(process.execPath, ['packages/stories/run.mjs', story], { cwd: copy, encoding: 'utf8', timeout: 120_000 });
  return !/, 0 failed$/m.test(run.stdout);
}

/** Runs seeds until one of them tells of what is expected. */
function seedFails(mutation) {
  const expected = new RegExp(`^  (${mutation.expect}):`);
  return new Promise((resolve) => {
    const run = spawn(
      process.execPath,
      [path.join(copy, 'packages/simulator/build/pooled-seeds.js'), '1', '24', '--workers=2', `--only=${mutation.only.join(',')}`],
      { stdio: ['ignore', 'pipe', 'ignore'] },
    );
    let told = '';
    let caught;
    run.stdout.on('data', (chunk) => {
      told += chunk;
      caught ??= told
        .split('\n')
        .slice(0, -1)
        .find((line) => expected.test(line));
      if (caught !== undefined) run.kill('SIGKILL');
    });
    run.on('close', () => resolve(caught));
  });
}

let blind = 0;
for (const mutation of mutations) {
  if (wanted.length > 0 && !wanted.includes(mutation.name)) continue;
  const file = path.join(copy, 'packages', mutation.file);
  const sound = fs.readFileSync(file, 'utf8');
  if (!sound.includes(mutation.from)) {
    blind += 1;
    console.log(`${mutation.name}: the guard is not where it was`);
    continue;
  }
  const verdicts = [];
  // A story that fails with every guard in place shows nothing.
  if (mutation.story !== undefined && storyFails(mutation.story)) verdicts.push('NOT SHOWN: its story fails with the guard in place');
  fs.writeFileSync(file, sound.replaceAll(mutation.from, mutation.to));
  if (mutation.story !== undefined) verdicts.push(storyFails(mutation.story) ? 'caught by its story' : 'NOT CAUGHT by its story');
  if (mutation.expect !== undefined) {
    const caught = await seedFails(mutation);
    verdicts.push(caught === undefined ? 'NOT CAUGHT by seeds' : `caught by ${caught.trim().slice(0, 120)}`);
  }
  fs.writeFileSync(file, sound);
  if (verdicts.some((verdict) => verdict.startsWith('NOT'))) blind += 1;
  console.log(`${mutation.name}: ${verdicts.join('; ')}`);
}
fs.rmSync(copy, { recursive: true, force: true });
console.log(`mutations: ${blind} not caught`);
process.exitCode = blind === 0 ? 0 : 1;
