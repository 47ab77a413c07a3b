/** Seeded outages of cores from the command line: `core-seeds.js [first] [count] [--trace] [--workers=N]`. */
import { coreOutages, type CoreOutageOptions, type CoreOutageResult } from './core-outages.js';
import { knownRed } from './known-red.js';
import { seedWorkers, type SeedPlan } from './seed-workers.js';

const defaultWorkers = 2;
const defaultCount = 20;

function parseArguments(words: readonly string[]): SeedPlan<CoreOutageOptions> {
  const [first = 1, count = defaultCount] = words.filter((word) => !word.startsWith('--')).map(Number);
  const workers = words.find((word) => word.startsWith('--workers='))?.slice('--workers='.length);
  return {
    first,
    count,
    also: knownRed.seedsOf('core-seed'),
    workers: Number(workers ?? defaultWorkers),
    // Only for a single seed: the logs of concurrent runs would be interleaved.
    options: { trace: words.includes('--trace') && count === 1 },
  };
}

function printResult({ seed, violations, faults, readAfterMilliseconds }: CoreOutageResult): void {
  console.log(`seed=${seed} ${violations.length === 0 ? 'passed' : 'FAILED'} readAfter=${readAfterMilliseconds} faults=${faults.length}`);
  if (violations.length === 0) return;
  for (const { check, detail } of violations) console.log(`  ${check}: ${detail}`);
  console.log(`  faults: ${faults.join('; ')}`);
  console.log(`  replay: npm run core-seeds -- ${seed} 1 --trace`);
}

function failedResult(seed: number, error: Error): CoreOutageResult {
  return { seed, violations: [{ check: 'run-broke', detail: error.stack ?? error.message }], faults: [], readAfterMilliseconds: -1 };
}

const results = await seedWorkers.play({ module: import.meta.url, run: coreOutages.run, broke: failedResult, tell: printResult }, () =>
  parseArguments(process.argv.slice(2)),
);
if (results !== undefined) {
  const failedSeeds = seedWorkers.failedOf(results);
  const { passed, failed } = seedWorkers.tally('core-seed', results);
  console.log(`core-seeded-run: ${passed} passed, ${failed} failed`);
  if (failedSeeds.length > 0) console.log(`failed seeds: ${failedSeeds.join(' ')}`);
  if (failed > 0) process.exitCode = 1;
}
