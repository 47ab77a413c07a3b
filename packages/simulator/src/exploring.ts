/**
 * `node build/exploring.js [first seed] [--seconds=N] [--stride=N]`: runs the fixed schedules, then each loss scenario with the loss at
 * every Nth moment of the repair, then random explorations seed after seed for N seconds. Stops at the first violation.
 */
import { exploreLosses } from './explore-losses.js';
import { explore } from './explore.js';
import { knownRed, type TestOutcome } from './known-red.js';
import { schedules } from './schedules.js';

/** One outcome per schedule, scenario and explored seed. */
type Outcomes = TestOutcome[];

/** Every second moment is what fits into a CI check; nightly runs take every moment. */
const defaultStride = 2;

function numberOption(name: string, defaultValue: number): number {
  return Number(new RegExp(`--${name}=(\\d+)`).exec(process.argv.join(' '))?.[1] ?? defaultValue);
}

function isKnownRed(test: string): boolean {
  return knownRed.entriesOf('exploration').some((entry) => entry.test === test);
}

function recordOutcome(outcomes: Outcomes, test: string, violation: string | undefined): void {
  outcomes.push({ test, isFailed: violation !== undefined });
  if (violation !== undefined) console.log(`${test}: ${violation}`);
}

async function runSchedules(outcomes: Outcomes): Promise<void> {
  for (const [name, schedule] of Object.entries(schedules)) recordOutcome(outcomes, `schedule ${name}`, await schedule());
}

async function runLossScenarios(seed: number, stride: number, outcomes: Outcomes): Promise<void> {
  let moments = 0;
  let events = 0;
  for (const scenario of exploreLosses.scenarios) {
    const result = await exploreLosses.runAtEveryMoment(scenario, seed, stride);
    moments += result.moments;
    events += result.events;
    const wasChecked = result.moments > 0 && result.results > 0;
    const test = `scenario ${scenario.name}`;
    recordOutcome(outcomes, test, result.violation ?? (wasChecked ? undefined : 'no results were checked'));
    if (outcomes.at(-1)?.isFailed === true && !isKnownRed(test)) return;
  }
  console.log(`${exploreLosses.scenarios.length} scenarios, a loss at each of ${moments} moments, ${events} events`);
}

async function exploreSeeds(first: number, seconds: number, outcomes: Outcomes): Promise<void> {
  const until = Date.now() + seconds * 1_000;
  const total = { events: 0, steps: 0, losses: 0, results: 0 };
  async function runSeed(seed: number): Promise<string | undefined> {
    const result = await explore.run(seed);
    total.events += result.events;
    total.steps += result.steps;
    total.losses += result.losses;
    total.results += result.results;
    return result.violations[0];
  }
  for (const seed of knownRed.seedsOf('exploration')) recordOutcome(outcomes, String(seed), await runSeed(seed));
  let seed = first;
  let violation: string | undefined;
  for (; Date.now() < until && violation === undefined; seed += 1) violation = isKnownRed(String(seed)) ? undefined : await runSeed(seed);
  console.log(
    `${seed - first} runs, ${total.events} events, ${total.losses} losses, ${total.steps} core set changes, ${total.results} results`,
  );
  const wasChecked = total.steps > 0 && total.losses > 0 && total.results > 0;
  if (violation === undefined) recordOutcome(outcomes, 'seeds', wasChecked ? undefined : 'no results were checked');
  else recordOutcome(outcomes, String(seed - 1), violation);
}

async function main(): Promise<void> {
  const first = Number(process.argv[2] ?? 1);
  const outcomes: Outcomes = [];
  await runSchedules(outcomes);
  await runLossScenarios(first, numberOption('stride', defaultStride), outcomes);
  if (outcomes.every((outcome) => !outcome.isFailed || isKnownRed(outcome.test)))
    await exploreSeeds(first, numberOption('seconds', 8), outcomes);
  const { passed, failed } = knownRed.report('exploration', outcomes);
  console.log(`exploration: ${passed} passed, ${failed} failed`);
  process.exit(failed > 0 ? 1 : 0);
}

await main();
