/**
 * `node build/exploring.js [first seed] [--seconds=N] [--stride=N]`: plays the written schedules, strikes one loss at one of so many
 * moments of each repair in turn, and explores seed after seed for so many seconds; ends at the first violation.
 */
import { exploreLosses } from './explore-losses.js';
import { explore } from './explore.js';
import { schedules } from './schedules.js';

type Tally = { passed: number; failed: number };

/** Every second moment fits into a check; a night's run takes them all. */
const usualStride = 2;

function option(name: string, usual: number): number {
  return Number(new RegExp(`--${name}=(\\d+)`).exec(process.argv.join(' '))?.[1] ?? usual);
}

async function playSchedules(tally: Tally): Promise<void> {
  for (const [name, schedule] of Object.entries(schedules)) {
    const violation = await schedule();
    if (violation === undefined) tally.passed += 1;
    else {
      tally.failed += 1;
      console.log(`schedule ${name}: ${violation}`);
    }
  }
}

async function strikeLosses(seed: number, stride: number, tally: Tally): Promise<void> {
  let moments = 0;
  let happenings = 0;
  for (const scenario of exploreLosses.scenarios) {
    const struck = await exploreLosses.everyMoment(scenario, seed, stride);
    moments += struck.moments;
    happenings += struck.happenings;
    if (struck.violation === undefined && struck.moments > 0 && struck.results > 0) {
      tally.passed += 1;
      continue;
    }
    tally.failed += 1;
    console.log(`scenario ${scenario.name}: ${struck.violation ?? 'nothing was judged'}`);
    return;
  }
  console.log(`${exploreLosses.scenarios.length} scenarios, a loss at each of ${moments} moments, ${happenings} happenings`);
}

async function exploreSeeds(first: number, seconds: number, tally: Tally): Promise<void> {
  const until = Date.now() + seconds * 1_000;
  const total = { happenings: 0, steps: 0, losses: 0, results: 0 };
  let seed = first;
  for (; Date.now() < until; seed += 1) {
    const explored = await explore.run(seed);
    total.happenings += explored.happenings;
    total.steps += explored.steps;
    total.losses += explored.losses;
    total.results += explored.results;
    if (explored.violations.length === 0) continue;
    tally.failed += 1;
    console.log(`seed ${seed}: ${explored.violations[0]}`);
    return;
  }
  console.log(
    `${seed - first} runs, ${total.happenings} happenings, ${total.losses} losses, ${total.steps} steps, ${total.results} results`,
  );
  if (total.steps > 0 && total.losses > 0 && total.results > 0) tally.passed += 1;
  else tally.failed += 1;
}

async function main(): Promise<void> {
  const first = Number(process.argv[2] ?? 1);
  const tally: Tally = { passed: 0, failed: 0 };
  await playSchedules(tally);
  await strikeLosses(first, option('stride', usualStride), tally);
  if (tally.failed === 0) await exploreSeeds(first, option('seconds', 8), tally);
  console.log(`exploration: ${tally.passed} passed, ${tally.failed} failed`);
  process.exit(tally.failed > 0 ? 1 : 0);
}

await main();
