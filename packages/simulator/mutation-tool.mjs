/** What the lists of mutations share: guards that are looked for, copies of the build, runs that are ended once they speak. */
import { execFileSync, spawn } from 'node:child_process';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';

const copiedParts = ['packages', 'platform', 'docs', 'node_modules', 'package.json'];

/** A copy of the tree in a temporary folder: no mutation is ever made in the tree itself. */
export function copyOf(root, name) {
  const copy = fs.mkdtempSync(path.join(os.tmpdir(), `stallstall-${name}-`));
  execFileSync('cp', ['-a', ...copiedParts.map((part) => path.join(root, part)), copy]);
  return copy;
}

/** Runs a program until it prints a line that is expected, and ends it then. Resolves to that line, or to undefined. */
export function lineOf(program, words, expected) {
  return new Promise((resolve) => {
    const run = spawn(process.execPath, [program, ...words], { stdio: ['ignore', 'pipe', 'ignore'] });
    let told = '';
    let found;
    run.stdout.on('data', (chunk) => {
      told += chunk;
      found ??= told
        .split('\n')
        .slice(0, -1)
        .find((line) => expected.test(line));
      if (found !== undefined) run.kill('SIGKILL');
    });
    run.on('close', () => resolve(found));
  });
}

/** The edits that take a guard out: its own, and in `more` those where it stands in a second row. */
function editsOf(mutation) {
  return [mutation, ...(mutation.more ?? [])];
}

/** The edit whose guard is not in its file, if there is one. */
function lostEdit(root, mutation) {
  return editsOf(mutation).find((edit) => !fs.readFileSync(path.join(root, 'packages', edit.file), 'utf8').includes(edit.from));
}

/** Takes the guard out of the code below `root`. Returns a function that puts it back, or undefined when the guard is not where it was. */
export function takeOut(root, mutation) {
  if (lostEdit(root, mutation) !== undefined) return undefined;
  const sound = new Map();
  for (const edit of editsOf(mutation)) {
    const file = path.join(root, 'packages', edit.file);
    const text = fs.readFileSync(file, 'utf8');
    if (!sound.has(file)) sound.set(file, text);
    fs.writeFileSync(file, text.replaceAll(edit.from, edit.to));
  }
  return function putBack() {
    for (const [file, text] of sound) fs.writeFileSync(file, text);
  };
}

/**
 * With `--guards` on the command line: prints the entries whose guard is not found, and ends the process with 1 if there are any.
 * Without it: does nothing.
 */
export function checkGuards(root, mutations) {
  if (!process.argv.includes('--guards')) return;
  const lost = mutations.filter((mutation) => lostEdit(root, mutation) !== undefined);
  for (const mutation of lost) console.log(`${mutation.name}: its guard is not found in ${lostEdit(root, mutation).file}`);
  console.log(`guards: ${mutations.length - lost.length} found, ${lost.length} lost`);
  process.exit(mutations.length > 0 && lost.length === 0 ? 0 : 1);
}
