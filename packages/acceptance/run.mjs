// Runs the stories and ends with real counts; fails on any failure, and when no story ran.
import { fileURLToPath } from 'node:url';
import { loadConfiguration, runCucumber } from '@cucumber/cucumber/api';
import { knownRed } from '@stallstall/simulator';

const cwd = fileURLToPath(new URL('.', import.meta.url));
const names = process.argv.slice(2);
const { runConfiguration } = await loadConfiguration(
  {
    provided: {
      paths: ['features/*.feature'],
      import: [
        'build/fleet-steps.js',
        'build/member-state-steps.js',
        'build/planned-change-steps.js',
        'build/malformed-input-steps.js',
        'build/replaced-core-steps.js',
        'build/administration.js',
        'build/connections.js',
        'build/candidacies.js',
        'build/replica-set-steps.js',
        'build/platform-settings.js',
        'build/guarantees.js',
        'build/product.js',
        'build/wire.js',
        'build/platform.js',
        'build/runtime.js',
        'build/data-folders.js',
        'build/lease-holder-steps.js',
        'build/lease-grantor-steps.js',
        'build/member-registry-steps.js',
        'build/pooled-leadership-steps.js',
        'build/pooled-session-steps.js',
        'build/pooled-heartbeat-steps.js',
        'build/pooled-draining-steps.js',
        'build/draining-registry-steps.js',
        'build/draining-fleet-steps.js',
        'build/pooled-revocation-steps.js',
        'build/name-steps.js',
        'build/cores.js',
        'build/opening-steps.js',
        'build/register-operation-steps.js',
        'build/disks.js',
        'build/clocks.js',
        'build/cut-core.js',
        'build/duties.js',
        'build/replies.js',
        'build/contents.js',
        'build/watcher-steps.js',
        'build/known-red-steps.js',
        'build/soak-steps.js',
        'build/dialect-steps.js',
        'build/outages.js',
        'build/version-claims.js',
        'build/simulator.js',
        'build/ballots.js',
        'build/commit-watermark-steps.js',
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
const pickles = new Map();
const testCases = new Map();
function count(envelope) {
  if (envelope.pickle) pickles.set(envelope.pickle.id, envelope.pickle.name);
  if (envelope.testCase) testCases.set(envelope.testCase.id, envelope.testCase.pickleId);
  if (envelope.testCaseStarted) started.set(envelope.testCaseStarted.id, envelope.testCaseStarted.testCaseId);
  const finished = envelope.testStepFinished;
  if (finished && finished.testStepResult.status !== 'PASSED') failed.add(finished.testCaseStartedId);
}
const { success } = await runCucumber(runConfiguration, { cwd }, count);

const outcomes = [...started].map(([id, testCase]) => ({ test: pickles.get(testCases.get(testCase)), isFailed: failed.has(id) }));
// A run by name passes over none.
if (names.length > 0) delete process.env.STALLSTALL_KNOWN_RED;
const verdict = knownRed.report('story', outcomes);
console.log(`${verdict.passed} passed, ${verdict.failed} failed`);
const unexplained = !success && failed.size === 0;
if (unexplained || started.size === 0 || verdict.failed > 0) process.exitCode = 1;
