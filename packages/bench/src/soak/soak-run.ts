/** One soak: a fleet of real processes, its schedule, clients that stay, and every checker at the end (design 10.6). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Runtime } from '@stallstall/kernel';
import { pooledChecks, pooledOrders, type JudgedFleet, type PooledFleet, type Violation } from '@stallstall/simulator';
import { orderLag, type AppliedOrder, type EdgeLag } from './order-lag.js';
import { resourceGrowth, type Growth, type UseSample } from './resource-growth.js';
import { soakActions, type SoakRecord } from './soak-actions.js';
import { soakFleet, type SoakFleet } from './soak-fleet.js';
import { soakSchedule, type SoakEvent } from './soak-schedule.js';

export type SoakOptions = Readonly<{
  seed: number;
  seconds: number;
  edges: number;
  services: readonly string[];
  synchronousReplicas: number;
  connectionLimit: number;
  sessions: number;
  folder: string;
  basePort: number;
}>;

export type SoakResult = Readonly<{
  violations: readonly Violation[];
  events: readonly SoakEvent[];
  lags: readonly EdgeLag[];
  growth: readonly Growth[];
  processes: number;
  peakBytes: number;
  judged: Readonly<Record<string, number>>;
}>;

const readyMilliseconds = 30_000;
/** Beyond the recovery, long enough for tries to be counted. */
const settleMilliseconds = 20_000;
const recoveryMilliseconds = 12_000;
const leastServedShare = 0.9;
const usageMilliseconds = 12_000;
const sampleMilliseconds = 1_000;
const readBackMilliseconds = 4_000;
const readBackPauseMilliseconds = 200;
const firstVersion = 3;
/** A start or an end under way when the schedule is over is waited for. */
const lastActionsMilliseconds = 20_000;

type Watch = Readonly<{ samples: UseSample[]; stop: () => void; peakBytes: () => number }>;

async function until(runtime: Runtime, condition: () => boolean | Promise<boolean>, milliseconds: number): Promise<boolean> {
  const deadline = runtime.clock.now() + milliseconds;
  while (runtime.clock.now() < deadline) {
    if (await condition()) return true;
    await runtime.clock.sleep(100);
  }
  return condition();
}

function watchUse(fleet: SoakFleet): Watch {
  const samples: UseSample[] = [];
  let isStopped = false;
  let peak = 0;
  async function look(): Promise<void> {
    const uses = await Promise.all(fleet.processes().map(async (process) => ({ process, use: await process.use() })));
    const at = fleet.runtime.clock.now();
    for (const { process, use } of uses) if (use !== undefined) samples.push({ process: `${process.name}#${process.lives()}`, at, use });
    peak = Math.max(
      peak,
      uses.reduce((sum, { use }) => sum + (use?.residentBytes ?? 0), process.memoryUsage().rss),
    );
  }
  async function lookAgain(): Promise<void> {
    while (!isStopped) {
      await look();
      await fleet.runtime.clock.sleep(sampleMilliseconds);
    }
  }
  void lookAgain();
  return {
    samples,
    peakBytes: () => peak,
    stop: function stop() {
      isStopped = true;
    },
  };
}

/** Carries the schedule out; each action at its moment, whatever others are under way. */
async function play(fleet: SoakFleet, record: SoakRecord, events: readonly SoakEvent[], log: (line: string) => void): Promise<void> {
  const startedAt = fleet.runtime.clock.now();
  const underWay: Array<Promise<void>> = [];
  for (const event of events) {
    const pause = startedAt + event.at - fleet.runtime.clock.now();
    if (pause > 0) await fleet.runtime.clock.sleep(pause);
    log(soakSchedule.describe(event));
    underWay.push(soakActions.perform({ fleet, record }, event.action));
  }
  await Promise.race([Promise.all(underWay), fleet.runtime.clock.sleep(lastActionsMilliseconds)]);
}

/** Everything runs again. */
async function restore(fleet: SoakFleet, record: SoakRecord): Promise<void> {
  fleet.operatorTrouble.lostShare = 0;
  for (const process of fleet.processes()) process.signal('SIGCONT');
  await Promise.all(fleet.cores.map((core) => fleet.startCore(core)));
  await Promise.all(fleet.edges.map((edge) => fleet.startEdge(edge)));
  for (const member of fleet.members) await fleet.startMember(member);
  const at = fleet.runtime.clock.now();
  record.troubles.push({ who: 'all', from: at, to: at });
}

type ReadBack = Readonly<{ read: SoakFleet['readBack']; unanswered: () => number }>;

/** Asks a core again and again, as operators do at the end of a day: one silence or refusal among them is allowed, and counted. */
function readBackAgain(fleet: SoakFleet): ReadBack {
  const { clock } = fleet.runtime;
  let unanswered = 0;
  return {
    read: async function read(coreIndex) {
      const deadline = clock.now() + readBackMilliseconds;
      for (;;) {
        const found = await fleet.readBack(coreIndex);
        if (Option.isSome(found)) return found;
        unanswered += 1;
        if (clock.now() >= deadline) return found;
        await clock.sleep(readBackPauseMilliseconds);
      }
    },
    unanswered: () => unanswered,
  };
}

type Spans = Readonly<{ startedAt: number; backAt: number; until: number }>;

async function judge(fleet: SoakFleet, record: SoakRecord, { startedAt, backAt, until: end }: Spans) {
  const wallOffset = fleet.runtime.clock.wall() - fleet.runtime.clock.now();
  // Of edges and members the checkers read what a fleet of processes has as well: names, and the leader's log.
  const judged = fleet as unknown as JudgedFleet;
  const read = pooledChecks.read(judged, record.troubles, wallOffset);
  const stale = pooledChecks.stale(read);
  const configuration = pooledChecks.configuration(read, record.lives);
  const draining = pooledChecks.draining(read, record.drains);
  const usage = pooledChecks.usage(read, startedAt, end);
  const ends = pooledChecks.plannedEnds(read, record.ends);
  const recovered = pooledChecks.served(judged, backAt + recoveryMilliseconds, end - 3_000);
  const readBack = readBackAgain(fleet);
  const ordered = { ...fleet, readBack: readBack.read, drive: <Result>(work: Promise<Result>) => work } as unknown as PooledFleet;
  const violations: readonly Violation[] = [
    ...pooledChecks.stamps(read),
    ...pooledChecks.statements(read),
    ...pooledChecks.wellAsked(read),
    ...pooledChecks.writes(read),
    ...stale.found,
    ...pooledChecks.lost(read),
    ...configuration.found,
    ...draining.found,
    ...pooledChecks.duties(fleet.platformStore.calls),
    ...usage.found,
    ...ends.found,
    ...pooledOrders.refused(ordered),
    ...pooledOrders.invalidAcknowledged(record),
    ...(await pooledOrders.readBack(ordered)),
    ...(recovered.served < recovered.asked * leastServedShare || recovered.asked === 0
      ? [{ check: 'recovery', detail: `${recovered.served} of ${recovered.asked} tries were served after everything was back` }]
      : []),
  ];
  const counts = {
    tries: fleet.ledger.tries.length,
    runs: fleet.runs.length,
    reads: stale.judged,
    configuration: configuration.judged,
    draining: draining.judged,
    windows: usage.judged,
    ends: ends.judged,
    orders: fleet.versions.length,
    unansweredReads: readBack.unanswered(),
    promotions: fleet.platformStore.calls.filter((call) => call.duty === 'promotion' && call.accepted).length,
  };
  return { violations, counts };
}

async function begin(fleet: SoakFleet): Promise<readonly Violation[]> {
  await fleet.startAll();
  if (!(await fleet.configure(firstVersion, fleet.firstSheet(), 0)))
    return [{ check: 'run-broke', detail: 'the first configuration was not taken' }];
  async function areReady(): Promise<boolean> {
    return (await Promise.all(fleet.edges.map(fleet.isReady))).every(Boolean);
  }
  const isReady = await until(fleet.runtime, areReady, readyMilliseconds);
  return isReady ? [] : [{ check: 'run-broke', detail: 'the edges were never ready' }];
}

function lagsOf(fleet: SoakFleet, record: SoakRecord, applied: readonly AppliedOrder[], end: number): readonly EdgeLag[] {
  return fleet.edges.map(({ name }) =>
    orderLag.lagOf(
      name,
      applied.filter((one) => one.edge === name),
      fleet.versions.slice(1),
      record.troubles,
      end,
    ),
  );
}

/** @param log - called with each event as it is carried out */
async function run(runtime: Runtime, options: SoakOptions, log: (line: string) => void): Promise<SoakResult> {
  const { seed, seconds, edges, services, sessions } = options;
  const applied: AppliedOrder[] = [];
  const violations: Violation[] = [];
  const record: SoakRecord = { troubles: [], lives: [], ends: [], drains: [], invalidOrders: [], pendingOrders: new Set() };
  const fleet = soakFleet.create(runtime, options, {
    onApplied: (edge, order) => void applied.push({ edge, order, at: runtime.clock.now() }),
    onUnexpectedEnd: (detail) => void violations.push({ check: 'process-ended', detail }),
  });
  const events = soakSchedule.draw(seed, {
    milliseconds: seconds * 1_000,
    edges,
    cores: fleet.cores.length,
    members: fleet.members.length,
    services: services.length,
  });
  try {
    for (const { name } of fleet.edges) record.lives.push({ edge: name, life: 1, from: 0 });
    violations.push(...(await begin(fleet)));
    const processes = fleet.processes().length;
    const watch = watchUse(fleet);
    const startedAt = runtime.clock.now();
    const clients = fleet.startClients(sessions);
    if (violations.length === 0) await play(fleet, record, events, log);
    await restore(fleet, record);
    const backAt = runtime.clock.now();
    await runtime.clock.sleep(settleMilliseconds);
    clients.stop();
    const end = runtime.clock.now();
    await Promise.all(record.pendingOrders);
    const restAt = runtime.clock.now();
    await runtime.clock.sleep(usageMilliseconds);
    watch.stop();
    const judged = await judge(fleet, record, { startedAt, backAt, until: end });
    const lags = lagsOf(fleet, record, applied, end);
    const growth = resourceGrowth.judge(watch.samples, restAt);
    const growing = growth
      .filter((one) => one.isGrowing)
      .map((one) => ({ check: 'growth', detail: `${one.process}: ${one.measure} ${one.first.toFixed(0)} to ${one.last.toFixed(0)}` }));
    const late = lags.flatMap((lag) => lag.late.map((detail) => ({ check: 'order-late', detail })));
    return {
      violations: [...violations, ...judged.violations, ...late, ...growing],
      events,
      lags,
      growth,
      processes,
      peakBytes: watch.peakBytes(),
      judged: { ...judged.counts, lags: lags.reduce((sum, lag) => sum + lag.judged, 0) },
    };
  } finally {
    await fleet.stop();
  }
}

export const soakRun = { run } as const;
