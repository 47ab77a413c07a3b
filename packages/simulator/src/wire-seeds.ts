/** `npm run wire-seeds -- FIRST [--seconds=N]`: links and member lines over a network that splits, duplicates, delays, cuts and resets. */
import { wires, type WireReport } from './wires.js';

const [first = '1'] = process.argv.slice(2).filter((word) => !word.startsWith('--'));
const seconds = Number(process.argv.find((word) => word.startsWith('--seconds='))?.slice('--seconds='.length) ?? '5');
const until = Date.now() + seconds * 1_000;
let passed = 0;
let failed = 0;
let replied = 0;
let asked = 0;

function take(seed: number, what: string, report: WireReport): void {
  asked += report.asked;
  replied += report.replied;
  if (report.violations.length === 0) passed += 1;
  else failed += 1;
  for (const violation of report.violations.slice(0, 3)) console.log(`seed ${seed}, ${what}: ${violation}`);
}

for (let seed = Number(first); Date.now() < until; seed += 1) {
  const troubles = wires.troublesOf(seed);
  take(seed, 'links', await wires.links(seed, troubles));
  take(seed, 'member lines', await wires.memberLines(seed, troubles));
}
console.log(`${replied} of ${asked} questions were replied`);
console.log(`wire-seeds: ${passed} passed, ${failed} failed`);
process.exitCode = failed === 0 && passed > 0 ? 0 : 1;
