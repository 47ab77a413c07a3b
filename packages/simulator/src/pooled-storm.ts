/** One seeded run of the pooled mode: a load of sessions, failures mixed from the seed, and every checker at the end (design 10.4). */
import * as Option from 'fp-ts/lib/Option.js';
import { pooledAvailability, type AvailabilityWatch } from './pooled-availability.js';
import { pooledChecks } from './pooled-checks.js';
import { closings, pooledClosing } from './pooled-closing.js';
import { pooledFaults, type PooledFault, type PooledStorm } from './pooled-faults.js';
import { pooledFleet } from './pooled-fleet.js';
import type { PooledFleet } from './pooled-model.js';
import { pooledOrders } from './pooled-orders.js';
import type { Violation } from './fleet-checks/check-records.js';

export type PooledResult = Readonly<{
  seed: number;
  violations: readonly Violation[];
  faults: readonly string[];
  /** How often each fault took place. */
  struck: Readonly<Record<string, number>>;
  served: number;
  outcomes: Readonly<Record<string, number>>;
  promotions: number;
  /** What the checkers had to look at: a check with nothing to judge shows as nought. */
  judged: Readonly<Record<string, number>>;
}>;

export type PooledStormOptions = Readonly<{
  milliseconds?: number;
  faults?: number;
  only?: readonly string[];
  trace?: boolean;
  /** A night's day: longer, with many more faults. */
  long?: boolean;
  sessions?: number;
}>;

const settleMilliseconds = 30_000;
const recoveryMilliseconds = 14_000;
const leastServedShare = 0.9;
const lookMilliseconds = 50;
const thinkMilliseconds = 500;
const dayMilliseconds = 30_000;
const steadySessions = 3;
const longMilliseconds = 120_000;
const longFaultsLeast = 8;
const longFaultsSpread = 20;
/** Faults by turn strike early enough to take place also where they wait for others; drawn ones wait for them. */
const latestByTurn = [6_000, 10_000, 16_000];
const faultsByTurn = latestByTurn.length;
/** So many seeds in a row have had each of them by turn. */
const seedsForAll = Math.ceil(pooledFaults.every.length / faultsByTurn);

function outcomes(fleet: PooledFleet): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const of of fleet.ledger.tries) {
    const last = of.asks.at(-1);
    const name = of.left
      ? 'left'
      : Option.isSome(of.begun)
        ? of.begun.value
        : last === undefined || Option.isNone(last.ending)
          ? Option.isSome(of.cutAt)
            ? 'cut'
            : 'silent'
          : (of.asks
              .map((ask) => (Option.isSome(ask.ending) && ask.ending.value.kind === 'fault' ? ask.ending.value.condition : 'served'))
              .find((one) => one !== 'served') ?? 'served');
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

/** The faults of a day: three by turn from seed to seed, so that a run of many seeds has each of them, and the rest drawn. */
function drawFaults(fleet: PooledFleet, seed: number, options: PooledStormOptions): readonly PooledFault[] {
  const { every } = pooledFaults;
  const count = options.faults ?? (options.long === true ? longFaultsLeast + Math.floor(fleet.world.fraction() * longFaultsSpread) : 6);
  const drawn = every.filter((fault) => options.only === undefined || options.only.includes(fault.name));
  const chosen: PooledFault[] = [];
  if (options.only === undefined)
    for (let turn = 0; turn < faultsByTurn; turn += 1) chosen.push(every[(seed - 1 + turn * seedsForAll) % every.length] as PooledFault);
  // On one day in five the same fault strikes again.
  if (seed % 5 === 0 && chosen[0] !== undefined) chosen.push(chosen[0]);
  while (chosen.length < count) chosen.push(pooledFaults.pick(fleet, drawn));
  return chosen.slice(0, count);
}

function schedule(fleet: PooledFleet, storm: PooledStorm, faults: readonly PooledFault[], milliseconds: number, byTurn: boolean): void {
  let together = 0;
  for (const [index, fault] of faults.entries()) {
    const mustStrike = byTurn && index < faultsByTurn;
    const latest = mustStrike ? (latestByTurn[index] as number) : milliseconds - 4_000;
    // One in four strikes at the very moment of the one before it.
    if (index < faultsByTurn || fleet.world.fraction() > 0.25) together = pooledFaults.between(fleet, 3_000, latest);
    fleet.world.schedule(together, () => void pooledFaults.strike(fleet, storm, fault, mustStrike));
  }
}

/** Until the first configuration is in force everywhere. */
async function begin(fleet: PooledFleet): Promise<readonly Violation[]> {
  const violations: Violation[] = [];
  await fleet.startAll();
  if (!(await fleet.drive(fleet.configure(3, fleet.firstSheet(), 0))))
    violations.push({ check: 'run-broke', detail: 'the first configuration was not taken' });
  if (!(await fleet.until(() => fleet.edges.every((slot) => slot.proxy?.ready() === true), 20_000)))
    violations.push({ check: 'run-broke', detail: 'the edges were never ready' });
  await fleet.world.run(1_500);
  return violations;
}

/** Notes members that drain, until it is stopped. */
function lookForDrains(fleet: PooledFleet, storm: PooledStorm): () => void {
  let looking = true;
  function look(): void {
    if (!looking) return;
    pooledFaults.noteDrains(fleet, storm);
    fleet.world.schedule(lookMilliseconds, look);
  }
  look();
  return function stop() {
    looking = false;
  };
}

type Spans = Readonly<{ startedAt: number; faultsEndAt: number; backAt: number; until: number }>;
type Judged = Readonly<{ violations: readonly Violation[]; judged: PooledResult['judged'] }>;

async function judge(fleet: PooledFleet, storm: PooledStorm, spans: Spans, available: AvailabilityWatch): Promise<Judged> {
  const ordered = await pooledOrders.sendAllAgain(fleet);
  const read = pooledChecks.read(fleet, storm.troubles);
  const stale = pooledChecks.stale(read);
  const configuration = pooledChecks.configuration(read, storm.lives);
  const draining = pooledChecks.draining(read, storm.drains);
  const usage = pooledChecks.usage(read, spans.startedAt, spans.until);
  const ends = pooledChecks.plannedEnds(read, storm.ends);
  const served = pooledAvailability.served(fleet, storm, spans.startedAt, spans.faultsEndAt);
  const recovered = pooledChecks.served(fleet, spans.backAt + recoveryMilliseconds, spans.until - 3_000);
  const violations = [
    ...pooledChecks.stamps(read),
    ...pooledChecks.statements(read),
    ...pooledChecks.wellAsked(read),
    ...pooledChecks.writes(read),
    ...stale.found,
    ...pooledChecks.lost(read),
    ...configuration.found,
    ...ordered,
    ...draining.found,
    ...pooledChecks.duties(fleet.platformStore.calls),
    ...usage.found,
    ...ends.found,
    ...available.found(),
    ...served.found,
    ...pooledAvailability.unusedMembers(fleet),
    ...pooledOrders.refused(fleet),
    ...pooledOrders.invalidAcknowledged(storm),
    ...(await pooledOrders.readBack(fleet)),
    ...(recovered.served < recovered.asked * leastServedShare || recovered.asked === 0
      ? [{ check: 'recovery', detail: `${recovered.served} of ${recovered.asked} tries were served after everything was back` }]
      : []),
    ...fleet.world.endedProcesses.map(({ process, at, reason }) => ({
      check: 'process-ended',
      detail: `${process} ended by itself at ${Math.round(at)}: ${reason.message}`,
    })),
  ];
  return {
    violations,
    judged: {
      tries: fleet.ledger.tries.length,
      runs: fleet.runs.length,
      reads: stale.judged,
      configuration: configuration.judged,
      draining: draining.judged,
      windows: usage.judged,
      ends: ends.judged,
      available: available.judged(),
      served: served.judged,
      invalid: storm.invalidOrders.length,
    },
  };
}

/** On two days in three the platform replies to a promotion before the member leads, by up to a second. */
function effectDelay(seed: number): number {
  return seed % 3 === 0 ? 0 : (seed * 97) % 1_000;
}

async function run(seed: number, options: PooledStormOptions = {}): Promise<PooledResult> {
  const fleet = pooledFleet.create(seed, { synchronous: seed % 4 === 0 ? 1 : 0 });
  const storm = pooledFaults.create(fleet);
  const violations = [...(await begin(fleet))];
  fleet.platform().knobs.effectAfterReplyMilliseconds = effectDelay(seed);
  const startedAt = fleet.world.now();
  const clients = fleet.startClients(options.sessions ?? 50, thinkMilliseconds, steadySessions);
  const milliseconds = options.milliseconds ?? (options.long === true ? longMilliseconds : dayMilliseconds);
  schedule(fleet, storm, drawFaults(fleet, seed, options), milliseconds, options.only === undefined);
  const stopLooking = lookForDrains(fleet, storm);
  const available = pooledAvailability.watch(fleet, storm);
  await fleet.world.run(milliseconds);
  available.stop();
  const faultsEndAt = fleet.world.now();
  await pooledFaults.restore(fleet, storm);
  storm.troubles.push({ who: 'all', from: fleet.world.now() - lookMilliseconds, to: fleet.world.now() });
  violations.push(...(await pooledClosing.run(fleet, storm, seed)));
  const backAt = fleet.world.now();
  await fleet.world.run(settleMilliseconds);
  clients.stop();
  const until = fleet.world.now();
  await fleet.world.run(4_000);
  stopLooking();
  const judgement = await judge(fleet, storm, { startedAt, faultsEndAt, backAt, until }, available);
  if (options.trace === true)
    for (const line of fleet.world.logs) console.log(line.at.toFixed(1), line.process, line.event, JSON.stringify(line.fields));
  const reported = outcomes(fleet);
  return {
    seed,
    violations: [...violations, ...judgement.violations],
    faults: storm.reported,
    struck: Object.fromEntries(storm.struck),
    served: reported['served'] ?? 0,
    outcomes: reported,
    promotions: fleet.platformStore.calls.filter((call) => call.duty === 'promotion' && call.accepted).length,
    judged: judgement.judged,
  };
}

/** Every fault that a run of many seeds must have had. */
const faults: readonly string[] = [...pooledFaults.every, ...closings].map((fault) => fault.name);
export const pooledStorm = { run, faults, seedsForAll } as const;
