/** A straight line through measured points, and how straight they were: three sizes at the least (docs/CAPACITY.md). */
import * as Option from 'fp-ts/lib/Option.js';

export type Point = Readonly<{ size: number; value: number }>;

export type Fit = Readonly<{
  slope: number;
  base: number;
  /** The lowest and the highest slope between neighbouring sizes, of each size's mean. */
  lowest: number;
  highest: number;
  /** Of what varies, how much the line tells. */
  straightness: number;
  from: number;
  to: number;
  points: number;
}>;

const leastSizes = 3;

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function line(points: readonly Point[]): Option.Option<Fit> {
  const sizes = [...new Set(points.map((point) => point.size))].sort((left, right) => left - right);
  if (sizes.length < leastSizes) return Option.none;
  const middle = mean(points.map((point) => point.size));
  const level = mean(points.map((point) => point.value));
  const spread = points.reduce((sum, point) => sum + (point.size - middle) ** 2, 0);
  const slope = points.reduce((sum, point) => sum + (point.size - middle) * (point.value - level), 0) / spread;
  const varies = points.reduce((sum, point) => sum + (point.value - level) ** 2, 0);
  const left = points.reduce((sum, point) => sum + (point.value - level - slope * (point.size - middle)) ** 2, 0);
  const means = sizes.map((size) => mean(points.filter((point) => point.size === size).map((point) => point.value)));
  const steps = sizes
    .slice(1)
    .map((size, index) => ((means[index + 1] as number) - (means[index] as number)) / (size - (sizes[index] as number)));
  return Option.some({
    slope,
    base: level - slope * middle,
    lowest: Math.min(...steps),
    highest: Math.max(...steps),
    straightness: varies === 0 ? 1 : 1 - left / varies,
    from: sizes[0] as number,
    to: sizes.at(-1) as number,
    points: points.length,
  });
}

export const fit = { line } as const;
