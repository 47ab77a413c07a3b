/** Looks whether every mutation of a list still finds its guard in the built code, without running anything. */
import fs from 'node:fs';
import path from 'node:path';

/**
 * With `--guards` on the command line: prints the entries whose guard is not found, and ends the process with 1 if there are any.
 * Without it: does nothing.
 */
export function checkGuards(root, mutations) {
  if (!process.argv.includes('--guards')) return;
  const lost = mutations.filter((mutation) => !fs.readFileSync(path.join(root, 'packages', mutation.file), 'utf8').includes(mutation.from));
  for (const mutation of lost) console.log(`${mutation.name}: its guard is not found in ${mutation.file}`);
  console.log(`guards: ${mutations.length - lost.length} found, ${lost.length} lost`);
  process.exit(mutations.length > 0 && lost.length === 0 ? 0 : 1);
}
