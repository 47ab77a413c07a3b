/**
 * Soaks from the command line: `soak.js [FIRST [COUNT]] [--seconds=S] [--edges=N] [--deployment=red-comun|brightpath] [--sessions=N] [--base=PORT] [--print]`.
 * A soak that fails leaves a folder with its schedule, findings and one time line of all logs, and prints the command that repeats it.
 */
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import * as Option from 'fp-ts/lib/Option.js';
import { knownRed, type TestOutcome } from '@stallstall/simulator';
import { minimalRuntime } from '@stallstall/runtime/minimal-runtime';
import { soakRun, type SoakOptions, type SoakResult } from './soak/soak-run.js';
import { soakSchedule } from './soak/soak-schedule.js';

type Deployment = Readonly<{
  name: string;
  services: readonly string[];
  synchronousReplicas: number;
  connectionLimit: number;
  sessions: number;
}>;

const deployments: readonly Deployment[] = [
  { name: 'red-comun', services: ['bookings', 'maps'], synchronousReplicas: 0, connectionLimit: 95, sessions: 60 },
  { name: 'brightpath', services: ['offers', 'files'], synchronousReplicas: 1, connectionLimit: 56, sessions: 50 },
];
const secondsDefault = 30;
const edgesDefault = 6;
const basePortDefault = 21_000;
const shownMost = 4;
const mebibyte = 1_048_576;
/** `at=` and the time of day begin each line of a process's log. */
const timeOfLine = /^at=(\S+) /;

function option(words: readonly string[], name: string): string | undefined {
  return words.find((word) => word.startsWith(`--${name}=`))?.slice(name.length + '--='.length);
}

/** All processes' logs on one time line. */
function timeline(folder: string): string {
  const lines = fs
    .readdirSync(folder)
    .filter((file) => file.endsWith('.log'))
    .flatMap((file) =>
      fs
        .readFileSync(path.join(folder, file), 'utf8')
        .split('\n')
        .filter((line) => line !== '')
        .map((line) => ({ at: timeOfLine.exec(line)?.[1] ?? '', line: `${path.basename(file, '.log')} ${line}` })),
    );
  return lines
    .sort((left, right) => (left.at < right.at ? -1 : left.at > right.at ? 1 : 0))
    .map(({ line }) => line)
    .join('\n');
}

function commandOf(seed: number, words: readonly string[]): string {
  return ['npm run soak --', seed, 1, ...words.filter((word) => word.startsWith('--'))].join(' ');
}

function keep(folder: string, result: SoakResult): void {
  fs.writeFileSync(path.join(folder, 'schedule.txt'), result.events.map(soakSchedule.describe).join('\n'));
  fs.writeFileSync(path.join(folder, 'findings.txt'), result.violations.map(({ check, detail }) => `${check}: ${detail}`).join('\n'));
  fs.writeFileSync(path.join(folder, 'timeline.txt'), timeline(folder));
}

function showLags({ lags }: SoakResult): void {
  for (const { edge, judged, histogram } of lags) {
    const [median, high, most] = [50, 99, 100].map((share) => histogram.getValueAtPercentile(share));
    console.log(`  ${edge}: ${judged} orders judged, in force after p50=${median} p99=${high} max=${most} ms`);
  }
}

/** The steepest growth of each measure. */
function showGrowth({ growth }: SoakResult): void {
  for (const measure of new Set(growth.map((one) => one.measure))) {
    const own = growth.filter((one) => one.measure === measure);
    const steepest = own.reduce((most, one) => (one.last - one.first > most.last - most.first ? one : most));
    console.log(
      `  ${measure}: steepest ${steepest.process} ${steepest.first.toFixed(0)} to ${steepest.last.toFixed(0)}, ${steepest.perMinute.toFixed(1)} a minute`,
    );
  }
}

function show(seed: number, deployment: string, folder: string, result: SoakResult, words: readonly string[]): void {
  const { violations, processes, peakBytes, judged, events } = result;
  console.log(
    `soak=${seed} ${deployment} ${violations.length === 0 ? 'passed' : 'FAILED'} processes=${processes} peakMiB=${(peakBytes / mebibyte).toFixed(0)} events=${events.length} judged=${JSON.stringify(judged)}`,
  );
  showLags(result);
  showGrowth(result);
  for (const check of new Set(violations.map((violation) => violation.check))) {
    const found = violations.filter((violation) => violation.check === check);
    for (const { detail } of found.slice(0, shownMost)) console.log(`  ${check}: ${detail}`);
    if (found.length > shownMost) console.log(`  and ${found.length - shownMost} more of ${check}`);
  }
  if (violations.length > 0) console.log(`  kept in ${folder}; again: ${commandOf(seed, words)}`);
}

function optionsFrom(words: readonly string[], seed: number, deployment: Deployment, folder: string): SoakOptions {
  return {
    seed,
    seconds: Number(option(words, 'seconds') ?? secondsDefault),
    edges: Number(option(words, 'edges') ?? edgesDefault),
    services: deployment.services,
    synchronousReplicas: deployment.synchronousReplicas,
    connectionLimit: deployment.connectionLimit,
    sessions: Number(option(words, 'sessions') ?? deployment.sessions),
    folder,
    basePort: Number(option(words, 'base') ?? basePortDefault),
  };
}

async function soak(words: readonly string[], seed: number, deployment: Deployment): Promise<TestOutcome> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), `stallstall-soak-${seed}-`));
  const log = fs.createWriteStream(path.join(folder, 'soak.log'));
  const runtime = { ...minimalRuntime.create('soak', Option.none), log: () => undefined };
  const result = await soakRun.run(
    runtime,
    optionsFrom(words, seed, deployment, folder),
    (line) => void log.write(`at=${new Date().toISOString()} ${line}\n`),
  );
  log.end();
  const isFailed = result.violations.length > 0;
  if (isFailed) keep(folder, result);
  show(seed, deployment.name, folder, result, words);
  if (!isFailed) fs.rmSync(folder, { recursive: true, force: true });
  return { test: `${seed} ${deployment.name}`, isFailed };
}

function printSchedule(words: readonly string[], seed: number, deployment: Deployment): void {
  const { edges, seconds, services } = optionsFrom(words, seed, deployment, '');
  const sizes = { milliseconds: seconds * 1_000, edges, cores: 3, members: 3 * services.length, services: services.length };
  for (const event of soakSchedule.draw(seed, sizes)) console.log(soakSchedule.describe(event));
}

async function main(words: readonly string[]): Promise<void> {
  const [first = 1, count = 1] = words.filter((word) => !word.startsWith('--')).map(Number);
  const name = option(words, 'deployment');
  const chosen = deployments.filter((deployment) => name === undefined || deployment.name === name);
  if (chosen.length === 0) throw new Error(`there is no deployment ${name}: ${deployments.map((one) => one.name).join(', ')}`);
  const listed = knownRed.entriesOf('soak').map((entry) => entry.test);
  const seeds = Array.from({ length: count }, (_, index) => first + index);
  const plan = seeds.map((seed, index) => ({ seed, deployment: chosen[index % chosen.length] as Deployment }));
  for (const test of listed) {
    const [seed, deploymentName] = test.split(' ');
    const deployment = deployments.find((one) => one.name === deploymentName);
    const isPlanned = plan.some((one) => String(one.seed) === seed && one.deployment === deployment);
    if (deployment !== undefined && !isPlanned) plan.push({ seed: Number(seed), deployment });
  }
  const outcomes: TestOutcome[] = [];
  for (const { seed, deployment } of plan) {
    if (words.includes('--print')) printSchedule(words, seed, deployment);
    else outcomes.push(await soak(words, seed, deployment));
  }
  const { passed, failed } = knownRed.report('soak', outcomes);
  console.log(`soaks: ${passed} passed, ${failed} failed`);
  process.exitCode = failed > 0 ? 1 : 0;
}

for (const signal of ['SIGINT', 'SIGTERM'] as const) process.on(signal, () => process.exit(1));
await main(process.argv.slice(2));
process.exit();
