/**
 * `node build/exploring.js [first seed] [--seconds=N] [--stride=N]`: plays the written schedules, strikes one loss at one of so many
 * moments of each repair in turn, and explores seed after seed for so many seconds; ends at the first violation.
 */
import { exploreLosses } from './explore-losses.js';
import { explore } from './explore.js';
import { knownRed, type TestOutcome } from './known-red.js';
import { schedules } from './schedules.js';

/** Each schedule, scenario and explored seed by its name. */
type Outcomes = TestOutcome[];

/** Every second moment fits into a check; a night's run takes them all. */
const usualStride = 2;

function option(name: string, usual: number): number {
  return Number(new RegExp(`--${name}=(\\d+)`).exec(process.argv.join(' '))?.[1] ?? usual);
}

function isNamed(test: string): boolean {
  return knownRed.entriesOf('exploration').some((entry) => entry.test === test);
}

function note(outcomes: Outcomes, test: string, violation: string | undefined): void {
  outcomes.push({ test, isFailed: violation !== undefined });
  if (violation !== undefined) console.log(`${test}: ${violation}`);
}

async function playSchedules(outcomes: Outcomes): Promise<void> {
  for (const [name, schedule] of Object.entries(schedules)) note(outcomes, `schedule ${name}`, await schedule());
}

async function strikeLosses(seed: number, stride: number, outcomes: Outcomes): Promise<void> {
  let moments = 0;
  let happenings = 0;
  for (const scenario of exploreLosses.scenarios) {
    const struck = await exploreLosses.everyMoment(scenario, seed, stride);
    moments += struck.moments;
    happenings += struck.happenings;
    const isJudged = struck.moments > 0 && struck.results > 0;
    const test = `scenario ${scenario.name}`;
    note(outcomes, test, struck.violation ?? (isJudged ? undefined : 'nothing was judged'));
    if (outcomes.at(-1)?.isFailed === true && !isNamed(test)) return;
  }
  console.log(`${exploreLosses.scenarios.length} scenarios, a loss at each of ${moments} moments, ${happenings} happenings`);
}

async function exploreSeeds(first: number, seconds: number, outcomes: Outcomes): Promise<void> {
  const until = Date.now() + seconds * 1_000;
  const total = { happenings: 0, steps: 0, losses: 0, results: 0 };
  async function play(seed: number): Promise<string | undefined> {
    const explored = await explore.run(seed);
    total.happenings += explored.happenings;
    total.steps += explored.steps;
    total.losses += explored.losses;
    total.results += explored.results;
    return explored.violations[0];
  }
  for (const seed of knownRed.seedsOf('exploration')) note(outcomes, String(seed), await play(seed));
  let seed = first;
  let violation: string | undefined;
  for (; Date.now() < until && violation === undefined; seed += 1) violation = isNamed(String(seed)) ? undefined : await play(seed);
  console.log(
    `${seed - first} runs, ${total.happenings} happenings, ${total.losses} losses, ${total.steps} steps, ${total.results} results`,
  );
  const isJudged = total.steps > 0 && total.losses > 0 && total.results > 0;
  if (violation === undefined) note(outcomes, 'seeds', isJudged ? undefined : 'nothing was judged');
  else note(outcomes, String(seed - 1), violation);
}

async function main(): Promise<void> {
  const first = Number(process.argv[2] ?? 1);
  const outcomes: Outcomes = [];
  await playSchedules(outcomes);
  await strikeLosses(first, option('stride', usualStride), outcomes);
  if (outcomes.every((outcome) => !outcome.isFailed || isNamed(outcome.test))) await exploreSeeds(first, option('seconds', 8), outcomes);
  const { passed, failed } = knownRed.report('exploration', outcomes);
  console.log(`exploration: ${passed} passed, ${failed} failed`);
  process.exit(failed > 0 ? 1 : 0);
}

await main();
