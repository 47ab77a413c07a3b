/** Whether what a process takes up grows from the first quarter of its life to its last while, when all orders have ended. */
import type { ProcessUse } from './product-process.js';

export type UseSample = Readonly<{ process: string; at: number; use: ProcessUse }>;
export type Growth = Readonly<{ process: string; measure: string; first: number; last: number; perMinute: number; isGrowing: boolean }>;

type Measure = Readonly<{ name: string; of: (use: ProcessUse) => number; allowance: number }>;

const mebibyte = 1_048_576;
/** More than a process may grow by without its cause: a collector at work, connections of a busier hour. */
const measures: readonly Measure[] = [
  { name: 'resident MiB', of: (use) => use.residentBytes / mebibyte, allowance: 48 },
  { name: 'heap MiB', of: (use) => use.heapBytes / mebibyte, allowance: 24 },
  { name: 'descriptors', of: (use) => use.descriptors, allowance: 60 },
  { name: 'timers', of: (use) => use.timers, allowance: 60 },
  { name: 'sockets', of: (use) => use.sockets, allowance: 60 },
];
const samplesLeast = 8;
const millisecondsOfMinute = 60_000;

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function growthOf(process: string, samples: readonly UseSample[], restAt: number, { name, of, allowance }: Measure): Growth {
  const quarter = Math.max(1, Math.floor(samples.length / 4));
  const first = median(samples.slice(0, quarter).map(({ use }) => of(use)));
  const last = median(samples.filter(({ at }) => at >= restAt).map(({ use }) => of(use)));
  const span = (samples.at(-1)?.at ?? 0) - (samples[0]?.at ?? 0);
  const perMinute = span === 0 ? 0 : ((last - first) / (0.75 * span)) * millisecondsOfMinute;
  return { process, measure: name, first, last, perMinute, isGrowing: last - first > allowance };
}

/**
 * Of each process and measure; nothing of processes that lived too short to tell, or did not see the end. `process` names one life.
 * @param restAt - when the last order had ended: before that, what is under way is no growth
 */
function judge(samples: readonly UseSample[], restAt: number): readonly Growth[] {
  const names = [...new Set(samples.map((sample) => sample.process))];
  return names.flatMap(function ofProcess(process) {
    const own = samples.filter((sample) => sample.process === process);
    const isJudged = own.length >= samplesLeast && (own.at(-1)?.at ?? 0) >= restAt;
    return isJudged ? measures.map((measure) => growthOf(process, own, restAt, measure)) : [];
  });
}

export const resourceGrowth = { judge } as const;
