/**
 * Seeded outages of a fleet of cores. Faults strike as soon as the tolerance allows, up to the last moment; then a closing fault strikes
 * right after an acknowledgement, and the configuration must be readable soon after the machines are back (design 10.4).
 */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { coreOutageFaults, coresInUse, type OutageFault, type OutageFleet } from './core-outage-faults.js';
import { coreFleet, type CoreMachine } from './core-fleet.js';
import { between, pick } from './draws.js';
import type { Violation } from './fleet-checks/check-records.js';
import { lossBudget, settleMilliseconds, type Back } from './loss-budget.js';

export type CoreOutageResult = Readonly<{
  seed: number;
  violations: readonly Violation[];
  faults: readonly string[];
  /** From when the machines were back after the closing fault to the first read that returned the acknowledged version. */
  readAfterMilliseconds: number;
}>;

export type CoreOutageOptions = Readonly<{ trace?: boolean }>;

const coreCount = 3;
/** As on a real host, where a lost packet of a connection attempt would be sent again only after a second. */
const connectMilliseconds = 400;
const minFaults = 1;
const maxFaults = 6;
const pollMilliseconds = 5;
const shareOfRunsThatEndAll = 0.4;
const shareOfOverlappingRuns = 0.3;
const faultMilliseconds = 12_000;
const idleDeadlineMilliseconds = 120_000;
const maxDownMilliseconds = 5_000;
const acknowledgementMilliseconds = 8_000;
const acknowledgedWithinMilliseconds = 4;
/** The operator asks for the configuration for this long, and waits for one reply for `callMilliseconds`. */
const readMilliseconds = 4_000;
const callMilliseconds = 1_000;
const readPauseMilliseconds = 100;
/** Reads go on for this long in order to tell a late read from none. */
const longestReadMilliseconds = 12_000;
const sendIntervals = [60, 150, 400];
/** What each write of the configuration takes, as large ones do on a busy core. */
const writeMilliseconds = [0, 0, 20, 50];

/** Cores in use that are not open in the newest set, and the reason. */
function unlevelCores(outage: OutageFleet): readonly string[] {
  const { fleet } = outage;
  const sets = coresInUse(outage).map((machine) => ({ name: machine.name, set: fleet.coreSetOf(machine) }));
  const newest = Math.max(...sets.map(({ set }) => set.number));
  return sets
    .filter(({ name, set }) => set.number !== newest || !set.cores.includes(name))
    .map(({ name, set }) => `${name} is in set ${set.number} of ${newest} (${set.cores.join(' ') || 'not open'})`);
}

async function waitForAcknowledgement({ fleet }: OutageFleet): Promise<boolean> {
  const before = fleet.highestAcknowledgedVersion();
  for (let elapsed = 0; elapsed < acknowledgementMilliseconds; elapsed += 1) {
    if (fleet.highestAcknowledgedVersion() > before) return true;
    await fleet.world.run(1);
  }
  return false;
}

type Closing = Readonly<{ name: string; strike: (outage: OutageFleet, acknowledger: CoreMachine) => void }>;

function wipe({ fleet }: OutageFleet, machine: CoreMachine): void {
  machine.disk = fleet.newDisk();
}

const closings: readonly Closing[] = [
  {
    name: 'power-lost-by-all',
    strike: (outage) => coresInUse(outage).forEach(outage.fleet.losePower),
  },
  {
    name: 'all-killed',
    strike: (outage) => coresInUse(outage).forEach(outage.fleet.kill),
  },
  {
    name: 'disk-lost',
    strike: function strike(outage, acknowledger) {
      outage.fleet.losePower(acknowledger);
      wipe(outage, acknowledger);
    },
  },
  {
    name: 'disk-lost-and-power-lost-by-all',
    strike: function strike(outage, acknowledger) {
      coresInUse(outage).forEach(outage.fleet.losePower);
      wipe(outage, acknowledger);
    },
  },
  {
    name: 'any-disk-lost-and-power-lost-by-all',
    strike: function strike(outage) {
      coresInUse(outage).forEach(outage.fleet.losePower);
      wipe(outage, pick(outage.fleet, coresInUse(outage)));
    },
  },
];

/** One call of the operator; none if it is rejected or not answered in time. */
async function readOnce({ fleet }: OutageFleet, machine: CoreMachine): Promise<Option.Option<number>> {
  const reading = machine.process?.alive() === true ? machine.platformApi?.readSource() : undefined;
  if (reading === undefined) return Option.none;
  let reply: Either.Either<unknown, string> | undefined;
  void reading.then((read) => {
    reply = read;
  });
  for (let elapsed = 0; reply === undefined && elapsed < callMilliseconds; elapsed += 5) await fleet.world.run(5);
  const settled = reply as Either.Either<unknown, string> | undefined;
  return settled !== undefined && Either.isRight(settled) ? Option.some(Number(settled.right)) : Option.none;
}

type ReadBack = Readonly<{ afterMilliseconds: number; version: number }>;

/** Asks one core after the other, as an operator does, until one of them answers. */
async function readBack(outage: OutageFleet): Promise<Option.Option<ReadBack>> {
  const { fleet } = outage;
  const from = fleet.world.now();
  for (let calls = Math.floor(between(fleet, 0, coreCount)); fleet.world.now() - from < longestReadMilliseconds; calls += 1) {
    const machines = coresInUse(outage);
    const read = await readOnce(outage, machines[calls % machines.length] as CoreMachine);
    if (Option.isSome(read)) return Option.some({ afterMilliseconds: Math.round(fleet.world.now() - from), version: read.value });
    await fleet.world.run(readPauseMilliseconds);
  }
  return Option.none;
}

/** Strikes right after an acknowledgement, and starts everything again. */
async function close(outage: OutageFleet): Promise<readonly Violation[]> {
  const { fleet } = outage;
  if (!(await waitForAcknowledgement(outage)))
    return [{ check: 'acknowledgement', detail: 'no order was acknowledged before the closing fault' }];
  await fleet.world.run(between(fleet, 0, acknowledgedWithinMilliseconds));
  const acknowledger = fleet.machine(fleet.lastAcknowledger());
  const closing = pick(fleet, closings);
  outage.report(`closing ${closing.name}`);
  closing.strike(outage, acknowledger);
  outage.operator.stop();
  await fleet.world.run(between(fleet, 200, maxDownMilliseconds));
  for (const machine of coresInUse(outage)) if (machine.process?.alive() !== true) await fleet.start(machine, false);
  return [];
}

function judgeRead(read: Option.Option<ReadBack>, acknowledged: number): readonly Violation[] {
  if (Option.isNone(read)) return [{ check: 'read-back', detail: `nothing is read back; version ${acknowledged} was acknowledged` }];
  const { version, afterMilliseconds } = read.value;
  if (version < acknowledged) return [{ check: 'read-back', detail: `version ${version} is read back; ${acknowledged} was acknowledged` }];
  if (afterMilliseconds <= readMilliseconds) return [];
  return [{ check: 'read-back', detail: `read back only ${afterMilliseconds} ms after the machines were back` }];
}

/** Strikes at once, although other cores may be lost at that moment. */
function strikeBeyondTolerance(outage: OutageFleet, fault: OutageFault): void {
  const { beyondTolerance, fleet } = outage;
  beyondTolerance.underWay += 1;
  outage.report(`${fault.name} (beyond the tolerance)`);
  fault.strike(outage, function back() {
    beyondTolerance.underWay -= 1;
    beyondTolerance.until = fleet.world.now();
  });
}

/** Whether every core that was lost beyond the tolerance has been back for long enough. */
function hasSettled({ beyondTolerance, fleet }: OutageFleet): boolean {
  return beyondTolerance.underWay === 0 && fleet.world.now() >= beyondTolerance.until + settleMilliseconds;
}

function strikeWithinTolerance(outage: OutageFleet, fault: OutageFault): void {
  function strike(back: Back): void {
    if (!hasSettled(outage)) return outage.fleet.world.schedule(pollMilliseconds, () => strike(back));
    outage.report(fault.name);
    fault.strike(outage, back);
  }
  outage.losses.take([strike]);
}

/** Schedules the faults of the run. Those that lose a disk, and in most runs all, wait until the tolerance allows them. */
function scheduleFaults(outage: OutageFleet): void {
  const { fleet } = outage;
  const isOverlapping = fleet.world.fraction() < shareOfOverlappingRuns;
  const count = Math.floor(between(fleet, minFaults, maxFaults + 1));
  for (let index = 0; index < count; index += 1) {
    const fault = pick(fleet, coreOutageFaults.withinTolerance);
    const strike = isOverlapping && fault.losesDisk !== true ? strikeBeyondTolerance : strikeWithinTolerance;
    fleet.world.schedule(between(fleet, 0, faultMilliseconds), () => strike(outage, fault));
  }
  if (fleet.world.fraction() >= shareOfRunsThatEndAll) return;
  const fault = pick(fleet, coreOutageFaults.ofAllCores);
  fleet.world.schedule(between(fleet, 0, faultMilliseconds), () => strikeBeyondTolerance(outage, fault));
}

async function run(seed: number, options: CoreOutageOptions = {}): Promise<CoreOutageResult> {
  const fleet = await coreFleet.create(seed, coreCount, { connectMilliseconds });
  fleet.slowConfigurationWrites(pick(fleet, writeMilliseconds));
  const operator = fleet.startOperator(pick(fleet, sendIntervals));
  const faults: string[] = [];
  const outage: OutageFleet = {
    fleet,
    operator,
    losses: lossBudget.create(fleet.world),
    retired: new Set(),
    beyondTolerance: { underWay: 0, until: fleet.world.now() },
    report: (name) => void faults.push(`${Math.round(fleet.world.now())} ${name}`),
  };
  scheduleFaults(outage);
  await fleet.world.run(faultMilliseconds);
  function isSettled(): boolean {
    return outage.losses.idle() && hasSettled(outage);
  }
  for (let elapsed = 0; !isSettled() && elapsed < idleDeadlineMilliseconds; elapsed += 1) await fleet.world.run(1);
  outage.losses.close();
  const violations: Violation[] = unlevelCores(outage).map((detail) => ({ check: 'settled', detail }));
  violations.push(...(await close(outage)));
  const read = await readBack(outage);
  violations.push(...judgeRead(read, fleet.highestAcknowledgedVersion()));
  violations.push(...fleet.violations.map((detail) => ({ check: 'older-read', detail })));
  if (options.trace === true)
    for (const line of fleet.world.logs) console.log(line.at.toFixed(1), line.process, line.event, JSON.stringify(line.fields));
  return { seed, violations, faults, readAfterMilliseconds: Option.isSome(read) ? read.value.afterMilliseconds : -1 };
}

export const coreOutages = { run } as const;
