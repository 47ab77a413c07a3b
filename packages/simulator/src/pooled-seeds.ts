// Seeded runs of the pooled mode from the command line: `pooled-seeds.js [first] [count] [--trace] [--long] [--only=fault,fault] [--workers=N]`.
import { Worker, isMainThread, parentPort, workerData } from 'node:worker_threads';
import { fileURLToPath } from 'node:url';
import { pooledStorm, type PooledResult, type PooledStormOptions } from './pooled-storm.js';

type Work = Readonly<{ seeds: readonly number[]; options: PooledStormOptions }>;

const workersDefault = 2;
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

async function work(seeds: readonly number[], options: PooledStormOptions, done: (result: PooledResult) => void): Promise<void> {
  for (const seed of seeds) {
    try {
      done(await pooledStorm.run(seed, options));
    } catch (error) {
      done({
        seed,
        violations: [{ check: 'run-broke', detail: (error as Error).stack ?? '' }],
        faults: [],
        struck: {},
        served: 0,
        outcomes: {},
        promotions: 0,
        judged: {},
      });
    }
  }
}

async function main(): Promise<void> {
  const words = process.argv.slice(2);
  const [first = 1, count = 20] = words.filter((word) => !word.startsWith('--')).map(Number);
  function wish(name: string): string | undefined {
    return words.find((word) => word.startsWith(`--${name}=`))?.slice(name.length + 3);
  }
  const only = wish('only')?.split(',');
  const options: PooledStormOptions = {
    trace: words.includes('--trace'),
    long: words.includes('--long'),
    ...(only === undefined ? {} : { only }),
    ...(wish('faults') === undefined ? {} : { faults: Number(wish('faults')) }),
  };
  const seeds = Array.from({ length: count }, (_, index) => first + index);
  const results: PooledResult[] = [];
  function done(result: PooledResult): void {
    results.push(result);
    tell(result);
  }
  if (count === 1) await work(seeds, options, done);
  else {
    const workers = Math.min(count, Number(wish('workers') ?? workersDefault));
    await Promise.all(
      Array.from(
        { length: workers },
        (_, index) =>
          new Promise<void>((resolve, reject) => {
            const worker = new Worker(fileURLToPath(import.meta.url), {
              workerData: {
                seeds: seeds.filter((seed) => (seed - first) % workers === index),
                options: { ...options, trace: false },
              } satisfies Work,
            });
            worker.on('message', done);
            worker.on('error', reject);
            worker.on('exit', () => resolve());
          }),
      ),
    );
  }
  const missing = neverStruck(results, options);
  const bad = results
    .filter((result) => result.violations.length > 0)
    .map((result) => result.seed)
    .sort((left, right) => left - right);
  console.log(`pooled-seeded-run: ${results.length - bad.length} passed, ${bad.length + count - results.length} failed`);
  if (bad.length > 0) console.log(`failed seeds: ${bad.join(' ')}`);
  if (missing.length > 0) console.log(`faults that never took place: ${missing.join(' ')}`);
  if (results.length !== count || bad.length > 0 || missing.length > 0) process.exitCode = 1;
}

if (isMainThread) await main();
else await work((workerData as Work).seeds, (workerData as Work).options, (result) => parentPort?.postMessage(result));
