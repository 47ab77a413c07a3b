/** Seeded runs of the pooled mode from the command line: `pooled-seeds.js [first] [count] [--trace] [--long] [--only=fault,fault] [--workers=N]`. */
import { knownRed } from './known-red.js';
import { seedWorkers, type SeedPlan } from './seed-workers.js';
import { pooledStorm, type PooledResult, type PooledStormOptions } from './pooled-storm.js';

const workersDefault = 2;
const countDefault = 20;
/** Of each check. */
const shownMost = 3;

function tell(result: PooledResult): void {
  console.log(
    `seed=${result.seed} ${result.violations.length === 0 ? 'passed' : 'FAILED'} served=${result.served} promotions=${result.promotions} judged=${JSON.stringify(result.judged)} outcomes=${JSON.stringify(result.outcomes)}`,
  );
  if (result.violations.length === 0) return;
  for (const check of new Set(result.violations.map((violation) => violation.check))) {
    const found = result.violations.filter((violation) => violation.check === check);
    for (const { detail } of found.slice(0, shownMost)) console.log(`  ${check}: ${detail}`);
    if (found.length > shownMost) console.log(`  and ${found.length - shownMost} more of ${check}`);
  }
  console.log(`  faults: ${result.faults.join('; ')}`);
  console.log(`  replay: npm run pooled-seeds -- ${result.seed} 1 --trace`);
}

/** A run of enough seeds must have had every fault; one that is drawn from some, or is short, need not. */
function neverStruck(results: readonly PooledResult[], options: PooledStormOptions): readonly string[] {
  if (options.only !== undefined || results.length < pooledStorm.seedsForAll) return [];
  return pooledStorm.faults.filter((name) => results.every((result) => (result.struck[name] ?? 0) === 0));
}

function broke(seed: number, error: Error): PooledResult {
  const violations = [{ check: 'run-broke', detail: error.stack ?? error.message }];
  return { seed, violations, faults: [], struck: {}, served: 0, outcomes: {}, promotions: 0, judged: {} };
}

function planFrom(words: readonly string[]): SeedPlan<PooledStormOptions> {
  const [first = 1, count = countDefault] = words.filter((word) => !word.startsWith('--')).map(Number);
  function wish(name: string): string | undefined {
    return words.find((word) => word.startsWith(`--${name}=`))?.slice(name.length + '--='.length);
  }
  const only = wish('only')?.split(',');
  return {
    first,
    count,
    also: knownRed.seedsOf('pooled-seed'),
    workers: Number(wish('workers') ?? workersDefault),
    options: {
      // The logs of several runs at once would be mixed.
      trace: words.includes('--trace') && count === 1,
      long: words.includes('--long'),
      ...(only === undefined ? {} : { only }),
      ...(wish('faults') === undefined ? {} : { faults: Number(wish('faults')) }),
    },
  };
}

function plan(): SeedPlan<PooledStormOptions> {
  return planFrom(process.argv.slice(2));
}

const results = await seedWorkers.play({ module: import.meta.url, run: pooledStorm.run, broke, tell }, plan);
if (results !== undefined) {
  const missing = neverStruck(results, plan().options);
  const bad = seedWorkers.failedOf(results);
  const { passed, failed: red } = seedWorkers.tally('pooled-seed', results);
  console.log(`pooled-seeded-run: ${passed} passed, ${red} failed`);
  if (bad.length > 0) console.log(`failed seeds: ${bad.join(' ')}`);
  if (missing.length > 0) console.log(`faults that never took place: ${missing.join(' ')}`);
  if (red > 0 || missing.length > 0) process.exitCode = 1;
}
