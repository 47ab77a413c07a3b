/** Shared by the mutation lists: finds guards, copies the build, and runs programs until an expected line of output. */
import { execFileSync, spawn } from 'node:child_process';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';

const copiedEntries = ['packages', 'platform', 'docs', 'node_modules', 'package.json'];

/** Copies the tree to a temporary folder, because mutations are never applied to the tree itself. */
export function copyTree(root, name) {
  const copy = fs.mkdtempSync(path.join(os.tmpdir(), `stallstall-${name}-`));
  execFileSync('cp', ['-a', ...copiedEntries.map((part) => path.join(root, part)), copy]);
  return copy;
}

/** Runs a program and kills it as soon as it prints a line that matches. Resolves to that line, or to undefined if there is none. */
export function findOutputLine(program, programArguments, expected) {
  return new Promise((resolve) => {
    const run = spawn(process.execPath, [program, ...programArguments], { stdio: ['ignore', 'pipe', 'ignore'] });
    let output = '';
    let found;
    run.stdout.on('data', (chunk) => {
      output += chunk;
      found ??= output
        .split('\n')
        .slice(0, -1)
        .find((line) => expected.test(line));
      if (found !== undefined) run.kill('SIGKILL');
    });
    run.on('close', () => resolve(found));
  });
}

/** The edits that remove a guard: the mutation's own, and those in `more` for guards that take several edits. */
function editsOf(mutation) {
  return [mutation, ...(mutation.more ?? [])];
}

/** The first edit whose guard is not found in its file, if any. */
function findLostEdit(root, mutation) {
  return editsOf(mutation).find((edit) => !fs.readFileSync(path.join(root, 'packages', edit.file), 'utf8').includes(edit.from));
}

/** Removes the guard from the code below `root`. Returns a function that restores it, or undefined if the guard was not found. */
export function removeGuard(root, mutation) {
  if (findLostEdit(root, mutation) !== undefined) return undefined;
  const originals = new Map();
  for (const edit of editsOf(mutation)) {
    const file = path.join(root, 'packages', edit.file);
    const text = fs.readFileSync(file, 'utf8');
    if (!originals.has(file)) originals.set(file, text);
    fs.writeFileSync(file, text.replaceAll(edit.from, edit.to));
  }
  return function restore() {
    for (const [file, text] of originals) fs.writeFileSync(file, text);
  };
}

/**
 * With `--guards` on the command line: prints the mutations whose guard is not found, and exits with 1 if there are any.
 * Without it: does nothing.
 */
export function checkGuards(root, mutations) {
  if (!process.argv.includes('--guards')) return;
  const lost = mutations.filter((mutation) => findLostEdit(root, mutation) !== undefined);
  for (const mutation of lost) console.log(`${mutation.name}: its guard is not found in ${findLostEdit(root, mutation).file}`);
  console.log(`guards: ${mutations.length - lost.length} found, ${lost.length} lost`);
  process.exit(mutations.length > 0 && lost.length === 0 ? 0 : 1);
}
