/**
 * Runs seeds of the HTTP-mode fleet: `seeds.js [first] [count] [--trace] [--long] [--only=fault,fault] [--milliseconds=N] [--workers=N]`.
 * Prints the command that repeats each failed seed.
 */
import os from 'node:os';
import { knownRed } from './known-red.js';
import { seedWorkers, type SeedPlan } from './seed-workers.js';
import { storm, type StormOptions, type StormResult } from './storm.js';

/** How many violations of one seed are printed. */
const maxPrintedViolations = 6;

function parseArguments(words: readonly string[]): SeedPlan<StormOptions> {
  const positional = words.filter((word) => !word.startsWith('--'));
  const only = words
    .find((word) => word.startsWith('--only='))
    ?.slice('--only='.length)
    .split(',');
  const milliseconds = words.find((word) => word.startsWith('--milliseconds='))?.slice('--milliseconds='.length);
  const workers = Number(words.find((word) => word.startsWith('--workers='))?.slice('--workers='.length) ?? os.availableParallelism());
  return {
    workers,
    first: Number(positional[0] ?? 1),
    count: Number(positional[1] ?? 20),
    also: knownRed.seedsOf('seed'),
    options: {
      // Only for a single seed: the logs of concurrent runs would be interleaved.
      trace: words.includes('--trace') && positional[1] === '1',
      long: words.includes('--long'),
      ...(only === undefined ? {} : { only }),
      ...(milliseconds === undefined ? {} : { milliseconds: Number(milliseconds) }),
    },
  };
}

function printResult(result: StormResult): void {
  const outcome = result.violations.length === 0 ? 'passed' : 'FAILED';
  console.log(
    `seed=${result.seed} ${outcome} deployment=${result.deployment} served=${result.served} elections=${result.elections} longestDenial=${result.longestRejection} judged=${JSON.stringify(result.judged)} reasons=${JSON.stringify(result.reasons)}`,
  );
  if (result.violations.length === 0) return;
  for (const violation of result.violations.slice(0, maxPrintedViolations)) console.log(`  ${violation.check}: ${violation.detail}`);
  if (result.violations.length > maxPrintedViolations) console.log(`  and ${result.violations.length - maxPrintedViolations} more`);
  console.log(`  faults: ${result.faults.join('; ')}`);
  console.log(`  replay: npm run seeds -- ${result.seed} 1 --trace`);
}

function failedResult(seed: number, error: Error): StormResult {
  return {
    seed,
    deployment: '',
    violations: [{ check: 'run-broke', detail: error.stack ?? error.message }],
    faults: [],
    served: 0,
    reasons: {},
    events: 0,
    elections: 0,
    longestRejection: 0,
    judged: {},
  };
}

const results = await seedWorkers.play({ module: import.meta.url, run: storm.run, broke: failedResult, tell: printResult }, () =>
  parseArguments(process.argv.slice(2)),
);
if (results !== undefined) {
  const failedSeeds = seedWorkers.failedOf(results);
  console.log(`seeds: ${results.length} run, ${failedSeeds.length} failed${failedSeeds.length === 0 ? '' : `: ${failedSeeds.join(' ')}`}`);
  const { passed, failed } = seedWorkers.tally('seed', results);
  console.log(`seeded-run: ${passed} passed, ${failed} failed`);
  if (failed > 0) process.exitCode = 1;
}
