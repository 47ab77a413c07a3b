// `node build/exploring.js [first seed] [--seconds=N]`: explores seed after seed for so many seconds; ends at the first violation.
import { explore } from './explore.js';
import { schedules } from './schedules.js';

async function main(): Promise<void> {
  const first = Number(process.argv[2] ?? 1);
  const seconds = Number(/--seconds=(\d+)/.exec(process.argv.join(' '))?.[1] ?? 8);
  const until = Date.now() + seconds * 1_000;
  let failed = 0;
  for (const [name, schedule] of Object.entries(schedules)) {
    const violation = await schedule();
    if (violation === undefined) continue;
    failed += 1;
    console.log(`schedule ${name}: ${violation}`);
  }
  const written = Object.keys(schedules).length;
  let seed = first;
  let happenings = 0;
  let steps = 0;
  let results = 0;
  for (; Date.now() < until; seed += 1) {
    const explored = await explore.run(seed);
    happenings += explored.happenings;
    steps += explored.steps;
    results += explored.results;
    if (explored.violations.length === 0) continue;
    console.log(`seed ${seed}: ${explored.violations[0]}`);
    console.log(`exploration: ${written - failed} passed, ${failed + 1} failed`);
    process.exitCode = 1;
    return;
  }
  console.log(`${seed - first} runs, ${happenings} happenings, ${steps} steps, ${results} results`);
  const judged = steps > 0 && results > 0;
  console.log(`exploration: ${written - failed + (judged ? 1 : 0)} passed, ${failed + (judged ? 0 : 1)} failed`);
  if (!judged || failed > 0) process.exitCode = 1;
}

await main();
