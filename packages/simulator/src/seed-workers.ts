/** Plays seeds on several threads; both seeded runs use it (design 10.4). */
import { Worker, isMainThread, parentPort, workerData } from 'node:worker_threads';
import { fileURLToPath } from 'node:url';
import { knownRed, type KnownRedKind } from './known-red.js';

export type SeedResult = Readonly<{ seed: number; violations: ReadonlyArray<Readonly<{ check: string; detail: string }>> }>;

/** One kind of seeded run, as its command-line module gives it. */
export type SeededRun<Options, Result extends SeedResult> = Readonly<{
  /** `import.meta.url` of the module that calls `play` at its top level: each thread runs that module again. */
  module: string;
  run: (seed: number, options: Options) => Promise<Result>;
  /** The result of a seed whose run ended with an error. */
  broke: (seed: number, error: Error) => Result;
  /** Called on the main thread for each result as it comes. */
  tell: (result: Result) => void;
}>;

/** `also`: seeds beside those from `first` on. */
export type SeedPlan<Options> = Readonly<{ first: number; count: number; also: readonly number[]; workers: number; options: Options }>;

type Work<Options> = Readonly<{ seeds: readonly number[]; options: Options }>;

async function playAll<Options, Result extends SeedResult>(
  seeded: SeededRun<Options, Result>,
  { seeds, options }: Work<Options>,
  done: (result: Result) => void,
): Promise<void> {
  for (const seed of seeds) {
    try {
      done(await seeded.run(seed, options));
    } catch (error) {
      done(seeded.broke(seed, error as Error));
    }
  }
}

/** An error that no seed caught ends its thread: the seed under way counts as broken, and another thread goes on with the rest. */
async function playOnThread<Options, Result extends SeedResult>(
  seeded: SeededRun<Options, Result>,
  work: Work<Options>,
  done: (result: Result) => void,
): Promise<void> {
  let left = work.seeds;
  while (left.length > 0) {
    const error = await new Promise<Error | undefined>((resolve) => {
      const worker = new Worker(fileURLToPath(seeded.module), { workerData: { ...work, seeds: left } satisfies Work<Options> });
      worker.on('message', function taken(result: Result) {
        left = left.filter((seed) => seed !== result.seed);
        done(result);
      });
      worker.on('error', resolve);
      worker.on('exit', () => resolve(undefined));
    });
    const [broken, ...rest] = left;
    if (broken === undefined) return;
    done(seeded.broke(broken, error ?? new Error('its thread ended without a result')));
    left = rest;
  }
}

/** Plays the plan and returns every result, one for each seed; on a thread that this started, plays that thread's share and returns none. */
async function play<Options, Result extends SeedResult>(
  seeded: SeededRun<Options, Result>,
  planned: () => SeedPlan<Options>,
): Promise<readonly Result[] | undefined> {
  if (!isMainThread) {
    await playAll(seeded, workerData as Work<Options>, (result) => parentPort?.postMessage(result));
    return undefined;
  }
  const { first, count, also, workers, options } = planned();
  const seeds = [...new Set([...Array.from({ length: count }, (_, index) => first + index), ...also])];
  const results: Result[] = [];
  function done(result: Result): void {
    results.push(result);
    seeded.tell(result);
  }
  if (seeds.length === 1) await playAll(seeded, { seeds, options }, done);
  else {
    const threads = Math.min(seeds.length, Math.max(1, workers));
    const shares = Array.from({ length: threads }, (_, index) => seeds.filter((_seed, place) => place % threads === index));
    await Promise.all(shares.map((share) => playOnThread(seeded, { seeds: share, options }, done)));
  }
  return results;
}

/** The seeds that failed, in order. */
function failedOf(results: readonly SeedResult[]): readonly number[] {
  return results
    .filter((result) => result.violations.length > 0)
    .map((result) => result.seed)
    .sort((left, right) => left - right);
}

/** Counts the results, but for failures that KNOWN-RED.txt names. */
function tally(kind: KnownRedKind, results: readonly SeedResult[]): Readonly<{ passed: number; failed: number }> {
  const outcomes = results.map(({ seed, violations }) => ({ test: String(seed), isFailed: violations.length > 0 }));
  return knownRed.report(kind, outcomes);
}

export const seedWorkers = { play, failedOf, tally } as const;
