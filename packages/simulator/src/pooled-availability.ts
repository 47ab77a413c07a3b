/** What must work again after each loss within the tolerance, judged by operators, senders and members alone (design 10.4.1). */
import * as Option from 'fp-ts/lib/Option.js';
import type { SessionTry } from '@stallstall/fakes';
import type { Violation } from './fleet-checks/check-records.js';
import { lastSheet, nextVersion, runningEdges, type PooledStorm } from './faults/common.js';
import { settleMilliseconds } from './loss-budget.js';
import type { Trouble } from './pooled-checks.js';
import type { PooledFleet } from './pooled-model.js';

/** How far an order came that was sent once a loss had settled; it counts for nothing when another loss came between. */
type Probe = {
  sentAt: number;
  acknowledged: boolean;
  /** What was acknowledged before it is read back. */
  earlierKept: boolean;
  /** Cores that did not read it back. */
  missing: readonly string[];
  over: boolean;
  disturbed: boolean;
};

export type AvailabilityWatch = Readonly<{
  stop: () => void;
  found: () => readonly Violation[];
  judged: () => number;
}>;

const lookMilliseconds = 50;
const orderMilliseconds = 5_000;
const serveMilliseconds = 12_000;
const serveSpanMilliseconds = 2_000;
const leastServedShare = 0.25;
const leastAsked = 8;
const warmUpMilliseconds = 500;
const crossingMilliseconds = 1_000;
const pauseMilliseconds = 300;

function newestAcknowledged(fleet: PooledFleet): number {
  return Math.max(...fleet.versions.filter((sent) => Number.isFinite(sent.acknowledgedAt)).map((sent) => sent.version));
}

/** Follows the losses of a day, and sends an order once each has settled. */
function watch(fleet: PooledFleet, storm: PooledStorm): AvailabilityWatch {
  const probes: Probe[] = [];
  let stopped = false;
  let seen = 0;

  function pause(milliseconds: number): Promise<void> {
    return new Promise((resolve) => fleet.world.schedule(milliseconds, resolve));
  }

  function goesOn(probe: Probe, moments: number): boolean {
    if (storm.losses.moments.length !== moments || stopped) probe.disturbed = true;
    return !probe.disturbed && fleet.world.now() < probe.sentAt + orderMilliseconds;
  }

  /** All cores must read the order back, but for those that may be lost just then. */
  async function readBack(probe: Probe, version: number, moments: number): Promise<void> {
    do {
      const missing: string[] = [];
      for (const [index, slot] of [...fleet.cores].entries()) {
        const read = await fleet.readBack(index);
        if (Option.isNone(read) || read.value.version < version) missing.push(slot.name);
      }
      probe.missing = missing.length <= storm.losses.underWay() ? [] : missing;
      if (probe.missing.length === 0) return;
      await pause(pauseMilliseconds);
    } while (goesOn(probe, moments));
  }

  async function sendProbe(moments: number): Promise<void> {
    const probe: Probe = { sentAt: fleet.world.now(), acknowledged: false, earlierKept: false, missing: [], over: false, disturbed: false };
    probes.push(probe);
    await readBack(probe, newestAcknowledged(fleet), moments);
    probe.earlierKept = probe.missing.length === 0;
    if (probe.earlierKept) await order(probe, moments);
    probe.over = true;
  }

  async function order(probe: Probe, moments: number): Promise<void> {
    probe.sentAt = fleet.world.now();
    const version = nextVersion(fleet);
    const sent = fleet.configure(version, lastSheet(fleet), Math.floor(fleet.world.fraction() * fleet.cores.length));
    // What is confirmed later than in time is not confirmed.
    void sent.then((taken) => {
      probe.acknowledged ||= taken && !probe.over;
    });
    while (!probe.acknowledged && goesOn(probe, moments)) await pause(lookMilliseconds);
    if (probe.acknowledged) await readBack(probe, version, moments);
  }

  function look(): void {
    if (stopped) return;
    const { moments } = storm.losses;
    const last = moments.at(-1);
    if (last !== undefined && moments.length !== seen && fleet.world.now() >= last + settleMilliseconds) {
      seen = moments.length;
      void sendProbe(seen);
    }
    fleet.world.schedule(lookMilliseconds, look);
  }
  look();

  return {
    stop: function stop() {
      stopped = true;
    },
    judged: () => probes.filter((probe) => probe.over && !probe.disturbed).length,
    found: () =>
      probes
        .filter((probe) => probe.over && !probe.disturbed)
        .flatMap((probe) => {
          if (!probe.earlierKept)
            return probe.missing.map((core) => ({
              check: 'availability',
              detail: `${core} does not read back what was acknowledged, ${settleMilliseconds} ms after the loss before ${Math.round(probe.sentAt)}`,
            }));
          const sent = `an order sent at ${Math.round(probe.sentAt)}, ${settleMilliseconds} ms after the last loss`;
          if (!probe.acknowledged) return [{ check: 'availability', detail: `${sent}, was confirmed by no core` }];
          return probe.missing.map((core) => ({ check: 'availability', detail: `${sent}, was not read back from ${core}` }));
        }),
  };
}

type Judgement = Readonly<{ found: readonly Violation[]; judged: number }>;
type Window = Readonly<{ from: number; to: number }>;

function touched(troubles: readonly Trouble[], who: readonly string[], { from, to }: Window): boolean {
  return troubles.some((trouble) => who.includes(trouble.who) && trouble.from <= to && trouble.to >= from);
}

function isServed(of: SessionTry, to: number): boolean {
  return (
    of.asks.length > 0 &&
    of.asks.every((ask) => Option.isSome(ask.ending) && ask.ending.value.kind === 'done' && ask.endedAt < to + crossingMilliseconds)
  );
}

function triesIn(fleet: PooledFleet, { from, to }: Window): readonly SessionTry[] {
  return fleet.ledger.tries.filter((of) => !of.left && of.startedAt >= from && of.startedAt < to);
}

/** Losses after which no other came for so long. */
function calmLosses(storm: PooledStorm, milliseconds: number): readonly number[] {
  const { moments } = storm.losses;
  return moments.filter((moment, index) => (moments[index + 1] ?? Number.POSITIVE_INFINITY) > moment + milliseconds);
}

/** Edges in touch that served none of what only the leader serves hold no lease. */
function withoutLease(fleet: PooledFleet, storm: PooledStorm, tries: readonly SessionTry[], calm: Window): readonly string[] {
  if (touched(storm.troubles, ['member', 'platform'], calm)) return [];
  const leaderOnly = new Set(
    fleet.versions.flatMap(({ sheet }) => sheet.databases.filter((one) => one.reads === 'leader').map((one) => one.database)),
  );
  return runningEdges(fleet)
    .filter((slot) => !touched(storm.troubles, [slot.name], calm))
    .filter(function refused(slot) {
      const own = tries.filter((of) => of.edge === slot.name && leaderOnly.has(of.database));
      return own.length >= leastAsked && !own.some((of) => isServed(of, calm.to));
    })
    .map((slot) => slot.name);
}

/** Statements are served again, and each edge in touch is granted its leases. */
function served(fleet: PooledFleet, storm: PooledStorm, startedAt: number, until: number): Judgement {
  const first = { from: startedAt + warmUpMilliseconds, to: startedAt + warmUpMilliseconds + serveSpanMilliseconds };
  const normal = triesIn(fleet, first).filter((of) => isServed(of, first.to)).length;
  const edges = fleet.edges.map((slot) => slot.name);
  const found: Violation[] = [];
  let judged = 0;
  for (const moment of calmLosses(storm, serveMilliseconds)) {
    const window = { from: moment + serveMilliseconds - serveSpanMilliseconds, to: moment + serveMilliseconds };
    const calm = { from: moment, to: window.to };
    if (window.to > until || touched(storm.troubles, ['all'], { from: moment + 1, to: window.to })) continue;
    const after = `${serveMilliseconds} ms after the loss at ${Math.round(moment)}`;
    const tries = triesIn(fleet, window);
    judged += 1;
    const all = tries.filter((of) => isServed(of, window.to)).length;
    if (!touched(storm.troubles, edges, calm) && all < normal * leastServedShare)
      found.push({ check: 'availability', detail: `${all} of ${tries.length} tries were served ${after}, ${normal} at first` });
    for (const edge of withoutLease(fleet, storm, tries, calm))
      found.push({ check: 'availability', detail: `${edge} served no statement of a leader ${after}` });
  }
  return { found, judged };
}

/** Members that run and do not drain, and that an edge does not list as in service although everything has been calm for longer than the bound. */
function unusedMembers(fleet: PooledFleet): readonly Violation[] {
  const inService = fleet.members.filter(({ running, process }) => {
    return running !== undefined && process?.alive() === true && Option.isNone(running.drainingSince());
  });
  return fleet.edges.flatMap(({ name, proxy }) =>
    inService
      .filter(({ member }) => proxy?.view().members.get(member)?.draining !== false)
      .map(({ member }) => ({ check: 'member-unused', detail: `${name} does not list ${member} as in service` })),
  );
}

export const pooledAvailability = { watch, served, unusedMembers } as const;
