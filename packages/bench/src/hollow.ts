/** Slopes of the pooled mode from real processes: `hollow.js FIELD SIZE SIZE SIZE [--repeat=2] [--weigh] [FIELD=SIZE ...]`, or `--smoke` (docs/CAPACITY.md). */
import os from 'node:os';
import * as Option from 'fp-ts/lib/Option.js';
import { nodeRuntime } from '@stallstall/runtime';
import { fit, type Point } from './hollow/fit.js';
import { hollowRun, type HollowOutcome, type HollowSize } from './hollow/run.js';

const fields: ReadonlyArray<keyof HollowSize> = ['cores', 'edges', 'agents', 'services', 'sessions', 'statements', 'tenants', 'seconds'];
const usual: HollowSize = { cores: 3, edges: 40, agents: 2, services: 3, sessions: 0, statements: 0, tenants: 8, seconds: 8 };
const smoke: HollowSize = { ...usual, edges: 6, agents: 1, services: 2, seconds: 2 };
/** A slope less straight than this is told with its steps, and not to be reckoned with. */
const straight = 0.9;
/** What the whole range adds less than this part of, does not grow with it. */
const flat = 0.15;

function fieldOf(word: string): keyof HollowSize | undefined {
  return fields.find((field) => field === word);
}

function figure(value: number): string {
  return value === 0 ? '0' : Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);
}

function say(outcome: HollowOutcome): void {
  const { size, weights, timings } = outcome;
  console.log(`run ${fields.map((field) => `${field}=${size[field]}`).join(' ')} load=${os.loadavg()[0]?.toFixed(1)}`);
  for (const weight of weights)
    console.log(
      `  ${weight.role} x${weight.processes}: ${Object.entries(weight.values)
        .map(([name, value]) => `${name}=${figure(value)}`)
        .join(' ')}`,
    );
  console.log(
    `  timings: ${Object.entries(timings)
      .map(([name, value]) => `${name}=${figure(value)}`)
      .join(' ')}`,
  );
}

function points(outcomes: readonly HollowOutcome[], field: keyof HollowSize): ReadonlyMap<string, readonly Point[]> {
  const found = new Map<string, Point[]>();
  function add(name: string, size: number, value: number): void {
    found.set(name, [...(found.get(name) ?? []), { size, value }]);
  }
  for (const outcome of outcomes) {
    const size = outcome.size[field];
    for (const weight of outcome.weights)
      for (const [name, value] of Object.entries(weight.values)) add(`${weight.role}.${name}`, size, value);
    for (const [name, value] of Object.entries(outcome.timings)) add(name, size, value);
  }
  return found;
}

function sayFits(outcomes: readonly HollowOutcome[], field: keyof HollowSize): void {
  for (const [name, measured] of points(outcomes, field)) {
    const found = fit.line(measured);
    if (Option.isNone(found)) continue;
    const { slope, base, lowest, highest, straightness, from, to } = found.value;
    const grows = Math.abs(slope) * (to - from) > flat * Math.abs(base + (slope * (from + to)) / 2);
    const note = !grows ? ' FLAT' : straightness < straight ? ' NOT STRAIGHT' : '';
    console.log(
      `slope ${name} a unit of ${field}: ${figure(slope)} (steps ${figure(lowest)} to ${figure(highest)}), at nought ${figure(base)}, ${field} ${from}-${to}, ${measured.length} runs, r2=${straightness.toFixed(3)}${note}`,
    );
  }
}

function wrong(text: string): never {
  console.error(
    `${text}\nusage: hollow FIELD SIZE SIZE SIZE [--repeat=2] [--weigh] [FIELD=SIZE ...] | --smoke; fields: ${fields.join(', ')}`,
  );
  process.exit(2);
}

const words = process.argv.slice(2);
const isSmoke = words.includes('--smoke');
const [first = 'edges', ...others] = words.filter((word) => !word.startsWith('--') && !word.includes('='));
const field = fieldOf(first) ?? wrong(`${first} is no field`);
const set = Object.fromEntries(
  words
    .filter((word) => !word.startsWith('--') && word.includes('='))
    .map((word) => {
      const [name = '', value] = word.split('=');
      return [fieldOf(name) ?? wrong(`${name} is no field`), Number(value)];
    }),
) as Partial<HollowSize>;
const repeat = Math.min(5, Number(words.find((word) => word.startsWith('--repeat='))?.split('=')[1] ?? 1));
const wanted = others.length > 0 ? others.map(Number) : isSmoke ? [smoke.edges] : [10, 40, 120, 300];
const sizes: readonly HollowSize[] = wanted.map((value) => ({ ...(isSmoke ? smoke : usual), ...set, [field]: value }));
for (const size of sizes) if (hollowRun.denied(size) !== '') wrong(hollowRun.denied(size));

/** Ended from outside, a run takes its children and its folder with it. */
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.on(signal, () => process.exit(1));
const kernel = await nodeRuntime.create('hollow', Option.none);
const outcomes: HollowOutcome[] = [];
let failed = 0;
for (let count = 0; count < repeat; count += 1) {
  for (const size of sizes) {
    try {
      const outcome = await hollowRun.measure(kernel, size, !words.includes('--weigh'));
      outcomes.push(outcome);
      say(outcome);
    } catch (error) {
      failed += 1;
      console.log(`run ${fields.map((one) => `${one}=${size[one]}`).join(' ')} FAILED: ${(error as Error).message}`);
    }
  }
}
sayFits(outcomes, field);
process.exit(failed > 0 ? 1 : 0);
