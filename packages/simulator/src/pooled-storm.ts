// One seeded run of the pooled mode: a load of sessions, failures mixed from the seed, and every checker at the end (design 10.4).
import * as Option from 'fp-ts/lib/Option.js';
import { orderChecks } from './order-checks.js';
import { pooledChecks } from './pooled-checks.js';
import { pooledFaults, type PooledStorm } from './pooled-faults.js';
import { pooledFleet, type PooledFleet } from './pooled-fleet.js';
import type { Violation } from './checks.js';

export type PooledResult = Readonly<{
  seed: number;
  violations: readonly Violation[];
  faults: readonly string[];
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
  sessions?: number;
}>;

const settleMilliseconds = 30_000;
const recoveryMilliseconds = 14_000;
const leastServedShare = 0.9;
const lookMilliseconds = 50;
const thinkMilliseconds = 500;

async function readBack(fleet: PooledFleet): Promise<readonly Violation[]> {
  const acknowledged = Math.max(...fleet.versions.filter((sent) => Number.isFinite(sent.acknowledgedAt)).map((sent) => sent.version));
  const found: Violation[] = [];
  for (const index of fleet.cores.keys()) {
    const read = await fleet.drive(fleet.readBack(index));
    if (Option.isNone(read)) found.push({ check: 'read-back', detail: `core ${index + 1} reads nothing back` });
    else {
      const { version } = read.value;
      const sent = fleet.versions.find((one) => one.version === version && !one.refused);
      found.push(...orderChecks.readBack(fleet.orderCalls, { number: version, text: JSON.stringify(read.value.sheet) }));
      if (read.value.version < acknowledged)
        found.push({ check: 'read-back', detail: `core ${index + 1} reads ${read.value.version} back, ${acknowledged} was acknowledged` });
      if (JSON.stringify(sent?.sheet) !== JSON.stringify(read.value.sheet))
        found.push({ check: 'read-back', detail: `core ${index + 1} reads ${read.value.version} back otherwise than it was sent` });
    }
  }
  return found;
}

/** Every order is sent once more to every core: what each replies must agree with all that was replied before. */
async function sendAllAgain(fleet: PooledFleet): Promise<readonly Violation[]> {
  const calmFrom = fleet.world.now();
  for (const sent of fleet.versions) {
    for (const index of fleet.cores.keys()) {
      const { outcome } = await fleet.drive(fleet.order(sent, index));
      if (outcome === 'refused') sent.refused = true;
    }
  }
  return orderChecks.judge(fleet.orderCalls, calmFrom);
}

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

async function run(seed: number, options: PooledStormOptions = {}): Promise<PooledResult> {
  const fleet = pooledFleet.create(seed, { synchronous: seed % 4 === 0 ? 1 : 0 });
  const storm: PooledStorm = {
    told: [],
    troubles: [],
    lives: fleet.edges.map((slot) => ({ edge: slot.name, life: 1, from: 0 })),
    ends: [],
    drains: [],
  };
  const violations: Violation[] = [];
  await fleet.startAll();
  if (!(await fleet.drive(fleet.configure(3, fleet.firstSheet(), 0))))
    violations.push({ check: 'run-broke', detail: 'the first configuration was not taken' });
  if (!(await fleet.until(() => fleet.edges.every((slot) => slot.proxy?.ready() === true), 20_000)))
    violations.push({ check: 'run-broke', detail: 'the edges were never ready' });
  await fleet.world.run(1_500);
  const startedAt = fleet.world.now();
  const senders = fleet.startSenders(options.sessions ?? 50, thinkMilliseconds);
  const milliseconds = options.milliseconds ?? 30_000;
  const drawn = pooledFaults.every.filter((fault) => options.only === undefined || options.only.includes(fault.name));
  let together = 0;
  for (let index = 0; index < (options.faults ?? 6); index += 1) {
    const chosen = pooledFaults.pick(fleet, drawn);
    // One in four strikes at the very moment of the one before it.
    if (index === 0 || fleet.world.fraction() > 0.25) together = pooledFaults.between(fleet, 3_000, milliseconds - 4_000);
    fleet.world.at(together, function strike() {
      storm.told.push(`${Math.round(fleet.world.now())} ${chosen.name}`);
      void chosen.run(fleet, storm);
    });
  }
  let looking = true;
  function look(): void {
    if (!looking) return;
    pooledFaults.noteDrains(fleet, storm);
    fleet.world.at(lookMilliseconds, look);
  }
  look();
  await fleet.world.run(milliseconds);
  await pooledFaults.restore(fleet, storm);
  storm.troubles.push({ who: 'all', from: fleet.world.now() - lookMilliseconds, to: fleet.world.now() });
  const backAt = fleet.world.now();
  await fleet.world.run(settleMilliseconds);
  senders.stop();
  const until = fleet.world.now();
  await fleet.world.run(4_000);
  looking = false;
  const ordered = await sendAllAgain(fleet);
  const read = pooledChecks.read(fleet, storm.troubles);
  const stale = pooledChecks.stale(read);
  const configuration = pooledChecks.configuration(read, storm.lives);
  const draining = pooledChecks.draining(read, storm.drains);
  const usage = pooledChecks.usage(read, startedAt, until);
  const ends = pooledChecks.plannedEnds(read, storm.ends);
  const recovered = pooledChecks.served(fleet, backAt + recoveryMilliseconds, until - 3_000);
  const processes = [...fleet.cores.map((slot) => slot.process), ...fleet.edges.flatMap((slot) => [slot.agentProcess, slot.proxyProcess])];
  violations.push(
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
    ...(await readBack(fleet)),
    ...(recovered.served < recovered.asked * leastServedShare || recovered.asked === 0
      ? [{ check: 'recovery', detail: `${recovered.served} of ${recovered.asked} tries were served after everything was back` }]
      : []),
    ...processes.flatMap((process) =>
      process !== undefined && Option.isSome(process.stoppedBy())
        ? [{ check: 'process-ended', detail: `${process.name} ended by itself` }]
        : [],
    ),
  );
  if (options.trace === true)
    for (const line of fleet.world.logs) console.log(line.at.toFixed(1), line.process, line.event, JSON.stringify(line.fields));
  const told = outcomes(fleet);
  return {
    seed,
    violations,
    faults: storm.told,
    served: told['served'] ?? 0,
    outcomes: told,
    promotions: fleet.platformStore.calls.filter((call) => call.duty === 'promotion' && call.accepted).length,
    judged: {
      tries: fleet.ledger.tries.length,
      runs: fleet.runs.length,
      reads: stale.judged,
      configuration: configuration.judged,
      draining: draining.judged,
      windows: usage.judged,
      ends: ends.judged,
    },
  };
}

export const pooledStorm = { run, faults: pooledFaults.every.map((fault) => fault.name) } as const;
