/** `npm run wire-seeds -- FIRST [--seconds=N]`: links and member lines over a network that splits, duplicates, delays, cuts and resets. */
import { knownRed } from './known-red.js';
import { wires, type WireReport } from './wires.js';

const [first = '1'] = process.argv.slice(2).filter((word) => !word.startsWith('--'));
const seconds = Number(process.argv.find((word) => word.startsWith('--seconds='))?.slice('--seconds='.length) ?? '5');
const until = Date.now() + seconds * 1_000;
const failures = new Map<number, boolean>();
let replied = 0;
let asked = 0;

function take(seed: number, what: string, report: WireReport): void {
  asked += report.asked;
  replied += report.replied;
  failures.set(seed, failures.get(seed) === true || report.violations.length > 0);
  for (const violation of report.violations.slice(0, 3)) console.log(`seed ${seed}, ${what}: ${violation}`);
}

async function play(seed: number): Promise<void> {
  const troubles = wires.troublesOf(seed);
  take(seed, 'links', await wires.links(seed, troubles));
  take(seed, 'member lines', await wires.memberLines(seed, troubles));
}

for (const seed of knownRed.seedsOf('wire-seed')) await play(seed);
for (let seed = Number(first); Date.now() < until; seed += 1) if (!failures.has(seed)) await play(seed);
const outcomes = [...failures].map(([seed, isFailed]) => ({ test: String(seed), isFailed }));
const { passed, failed } = knownRed.report('wire-seed', outcomes);
console.log(`${replied} of ${asked} questions were replied`);
console.log(`wire-seeds: ${passed} passed, ${failed} failed`);
process.exitCode = failed === 0 && passed > 0 ? 0 : 1;
