// Runs the stories and ends with real counts; fails on any failure, and when no story ran.
import { fileURLToPath } from 'node:url';
import { loadConfiguration, runCucumber } from '@cucumber/cucumber/api';

const cwd = fileURLToPath(new URL('.', import.meta.url));
const names = process.argv.slice(2);
const { runConfiguration } = await loadConfiguration(
  {
    provided: {
      paths: ['features/*.feature'],
      import: [
        'build/steps.js',
        'build/administration.js',
        'build/connections.js',
        'build/candidacies.js',
        'build/platform-settings.js',
        'build/guarantees.js',
        'build/product.js',
        'build/wire.js',
        'build/platform.js',
        'build/runtime.js',
        'build/data-folders.js',
        'build/units.js',
        'build/pooled.js',
        'build/capacity.js',
        'build/cores.js',
        'build/disks.js',
        'build/clocks.js',
        'build/cut-core.js',
        'build/duties.js',
        'build/replies.js',
        'build/contents.js',
        'build/outages.js',
        'build/orders.js',
        'build/simulator.js',
      ],
      format: ['progress'],
      publish: false,
      name: names,
    },
  },
  { cwd },
);
const started = new Map();
const failed = new Set();
function count(envelope) {
  if (envelope.testCaseStarted) started.set(envelope.testCaseStarted.id, envelope.testCaseStarted.testCaseId);
  const finished = envelope.testStepFinished;
  if (finished && finished.testStepResult.status !== 'PASSED') failed.add(finished.testCaseStartedId);
}
const { success } = await runCucumber(runConfiguration, { cwd }, count);
const passed = started.size - failed.size;
console.log(`${passed} passed, ${failed.size} failed`);
if (!success || started.size === 0 || failed.size > 0) process.exitCode = 1;
