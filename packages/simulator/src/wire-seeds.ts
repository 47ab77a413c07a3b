/** `npm run wire-seeds -- FIRST [--seconds=N]`: tests links and member connections under network faults, seed after seed. */
import { knownRed } from './known-red.js';
import { wires, type WireReport } from './wires.js';

const [first = '1'] = process.argv.slice(2).filter((word) => !word.startsWith('--'));
const seconds = Number(process.argv.find((word) => word.startsWith('--seconds='))?.slice('--seconds='.length) ?? '5');
const until = Date.now() + seconds * 1_000;
const failures = new Map<number, boolean>();
let replyCount = 0;
let requestCount = 0;

function recordReport(seed: number, testName: string, report: WireReport): void {
  requestCount += report.requests;
  replyCount += report.replies;
  failures.set(seed, failures.get(seed) === true || report.violations.length > 0);
  for (const violation of report.violations.slice(0, 3)) console.log(`seed ${seed}, ${testName}: ${violation}`);
}

async function runSeed(seed: number): Promise<void> {
  const faults = wires.faultsForSeed(seed);
  recordReport(seed, 'links', await wires.testLinks(seed, faults));
  recordReport(seed, 'member connections', await wires.testMemberConnections(seed, faults));
}

for (const seed of knownRed.seedsOf('wire-seed')) await runSeed(seed);
for (let seed = Number(first); Date.now() < until; seed += 1) if (!failures.has(seed)) await runSeed(seed);
const outcomes = [...failures].map(([seed, isFailed]) => ({ test: String(seed), isFailed }));
const { passed, failed } = knownRed.report('wire-seed', outcomes);
console.log(`${replyCount} of ${requestCount} requests were answered`);
console.log(`wire-seeds: ${passed} passed, ${failed} failed`);
process.exitCode = failed === 0 && passed > 0 ? 0 : 1;
