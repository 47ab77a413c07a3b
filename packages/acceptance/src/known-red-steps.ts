/** Steps of known-red.feature: the list of known failures that a check ignores. */
import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { Given, Then, When, type DataTable } from '@cucumber/cucumber';
import { knownRed, type KnownRedKind, type TestOutcome } from '@stallstall/simulator';

type KnownRedStory = { list: string; output: string; status: number | null };

function outcomesOf(text: string): readonly TestOutcome[] {
  return [...text.matchAll(/(\d+) (passed|failed)/g)].map(([, test = '', outcome]) => ({ test, isFailed: outcome === 'failed' }));
}

Given('a list of known failures:', function given(this: KnownRedStory, table: DataTable) {
  this.list = table.raw().flat().join('\n');
});

Then('the outcomes of {word} are judged as follows:', function then(this: KnownRedStory, kind: KnownRedKind, table: DataTable) {
  const entries = knownRed.parse(this.list).filter((entry) => entry.kind === kind);
  for (const [outcomes = '', passedOver = '', failed = '', complaint = ''] of table.rows()) {
    const verdict = knownRed.judge(entries, outcomesOf(outcomes));
    assert.deepEqual(
      verdict.passedOver.map((line) => /^known red: [a-z-]+ (\d+):/.exec(line)?.[1]),
      passedOver === '' ? [] : [passedOver],
    );
    assert.equal(verdict.failed.length, Number(failed), outcomes);
    assert.deepEqual(verdict.complaints, complaint === '' ? [] : [complaint]);
  }
});

Then(/^this list of known failures is rejected: (.*)$/, function then(list: string) {
  assert.throws(() => knownRed.parse(list), /KNOWN-RED\.txt: expected/);
});

function listEntry(seed: number): string {
  return `seed: ${seed} | npm run seeds -- ${seed} 1 | what was seen | 31`;
}

Then('a list of {int} entries of one kind is rejected, and so is one that names a seed twice', function then(count: number) {
  assert.throws(() => knownRed.parse(Array.from({ length: count }, (_, index) => listEntry(index)).join('\n')), /at most/);
  assert.throws(() => knownRed.parse([listEntry(1), listEntry(1)].join('\n')), /named twice/);
});

When('a check runs seed 1 and its list names seed 2', { timeout: 120_000 }, function when(this: KnownRedStory) {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'stallstall-known-red-'));
  const file = path.join(folder, 'KNOWN-RED.txt');
  fs.writeFileSync(file, listEntry(2));
  const program = fileURLToPath(new URL('../../simulator/build/seeds.js', import.meta.url));
  const env = { ...process.env, STALLSTALL_KNOWN_RED: file };
  const run = spawnSync(process.execPath, [program, '1', '1', '--milliseconds=3000'], { encoding: 'utf8', env, timeout: 100_000 });
  fs.rmSync(folder, { recursive: true });
  this.output = run.stdout;
  this.status = run.status;
});

Then('it runs both seeds, prints that seed 2 passes again, and fails', function then(this: KnownRedStory) {
  assert.match(this.output, /^seed=1 passed/m);
  assert.match(this.output, /^seed=2 passed/m);
  assert.match(this.output, /^known red passes again, remove its entry: seed 2$/m);
  assert.match(this.output, /^seeded-run: 2 passed, 1 failed$/m);
  assert.equal(this.status, 1);
});
