/** What must hold of a run of the pooled mode, reckoned from what members ran and senders were told alone (design 10.5). */
import * as Option from 'fp-ts/lib/Option.js';
import type { DutyCall, SessionCommit } from '@stallstall/fakes';
import type { Violation } from './fleet-checks/check-records.js';
import { conditionOf, isCalm, quietMilliseconds, readRecords, type JudgedFleet, type JudgedRecords } from './pooled-check-records.js';
import { checkConfiguration } from './pooled-configuration-checks.js';
import { checkDraining, checkPlannedEnds } from './pooled-planned-checks.js';

export type { DrainNote, EdgeEnd, EdgeLife, JudgedFleet, Trouble } from './pooled-check-records.js';

const promises = new Set(['saturated', 'aborted', 'lagging', 'read-only', 'wrong-member', 'overloaded']);
const turnMilliseconds = 3_000;
const windowMilliseconds = 5_000;
const usageShare = 0.05;

/** A success carries the member's stamp for that statement, and its rows. */
function stamps({ fleet }: JudgedRecords): readonly Violation[] {
  const byStamp = new Map(fleet.runs.map((run) => [run.stamp, run] as const));
  return fleet.ledger.tries.flatMap((of) =>
    of.asks.flatMap((ask): readonly Violation[] => {
      if (ask.kind === 'rollback' || Option.isNone(ask.ending) || ask.ending.value.kind !== 'done') return [];
      const run = byStamp.get(ask.ending.value.stamp);
      if (run === undefined || run.identifier !== ask.identifier)
        return [{ check: 'mixed', detail: `${ask.identifier} ended well under ${ask.ending.value.stamp}, which no member gave it` }];
      const rows = run.row === '' ? [] : [run.row];
      return JSON.stringify(rows) === JSON.stringify(ask.rows)
        ? []
        : [{ check: 'mixed', detail: `${ask.identifier} was told ${ask.rows.join()} where ${run.member} said ${run.row}` }];
    }),
  );
}

/** What members ran was asked as it ran, within its own transaction, under its sender's values, on one connection. */
function statements({ fleet, asks, byTry }: JudgedRecords): readonly Violation[] {
  const found: Violation[] = [];
  const owners = new Map<number, string>();
  for (const run of fleet.runs) {
    const known = asks.get(run.identifier);
    if (known === undefined) {
      if (run.identifier !== 'own' || run.kind !== 'rollback')
        found.push({ check: 'unasked', detail: `${run.member} ran ${run.kind} ${run.rest} under ${run.identifier}` });
      continue;
    }
    const { ask, of } = known;
    if (run.kind === 'rollback') continue;
    if (run.kind !== ask.kind || run.rest !== ask.rest || run.prepared !== ask.prepared)
      found.push({ check: 'unasked', detail: `${run.member} ran ${run.kind} ${run.rest} for ${ask.identifier}: ${ask.kind} ${ask.rest}` });
    if (run.values !== ask.values)
      found.push({ check: 'pinned', detail: `${ask.identifier} ran under ${run.values} instead of ${ask.values}` });
    if (of.transaction !== run.transaction > 0)
      found.push({ check: 'pinned', detail: `${ask.identifier} ran ${of.transaction ? 'outside its' : 'within a'} transaction` });
    if (run.transaction > 0) {
      const owner = owners.get(run.transaction) ?? of.name;
      owners.set(run.transaction, owner);
      if (owner !== of.name) found.push({ check: 'pinned', detail: `${ask.identifier} ran in the transaction of ${owner}` });
    }
  }
  for (const [name, runs] of byTry) {
    const inside = runs.filter((run) => run.transaction > 0);
    // One that had not begun elsewhere may begin again; what has begun stays.
    if (new Set(inside.map((run) => run.transaction)).size > 1 || new Set(inside.map((run) => run.connection)).size > 1)
      found.push({ check: 'pinned', detail: `${name} ran in several transactions` });
  }
  return found;
}

/** Senders ask nothing malformed and prepare what they execute: neither is ever said of a single statement or a beginning. */
function wellAsked({ fleet }: JudgedRecords): readonly Violation[] {
  return fleet.ledger.tries.flatMap((of) => {
    const reported = [...of.asks.map(conditionOf), ...(Option.isSome(of.begun) ? [of.begun.value] : [])];
    const strange = reported.filter(
      (condition) => condition === 'undefined' || (condition === 'malformed' && (!of.transaction || Option.isSome(of.begun))),
    );
    return strange.map((condition) => ({ check: 'pinned', detail: `${of.name} was told ${condition}` }));
  });
}

/** Commits by the identifiers of what they hold. */
function keptOf(fleet: JudgedFleet): ReadonlyMap<string, readonly SessionCommit[]> {
  const kept = new Map<string, SessionCommit[]>();
  for (const run of fleet.runs) {
    if (Option.isNone(run.committed)) continue;
    for (const write of run.committed.value.writes)
      kept.set(write.identifier, [...(kept.get(write.identifier) ?? []), run.committed.value]);
  }
  return kept;
}

function writes({ fleet }: JudgedRecords): readonly Violation[] {
  const found: Violation[] = [];
  const kept = keptOf(fleet);
  for (const of of fleet.ledger.tries) {
    const promised = [...of.asks.map(conditionOf), ...(Option.isSome(of.begun) ? [of.begun.value] : [])].filter((condition) =>
      promises.has(condition),
    );
    for (const ask of of.asks.filter((one) => one.kind === 'put')) {
      const commits = kept.get(ask.identifier) ?? [];
      if (commits.length > 1) found.push({ check: 'twice', detail: `${ask.identifier} was kept ${commits.length} times` });
      if (commits.length > 0 && promised.length > 0)
        found.push({ check: 'refused', detail: `${ask.identifier} was kept although its sender was told ${promised.join()}` });
      if (commits.length > 0 && of.transaction && !of.asks.some((one) => one.kind === 'commit'))
        found.push({ check: 'unasked', detail: `${ask.identifier} was kept and its commit was never asked` });
    }
  }
  return found;
}

type Acknowledged = Readonly<{ at: number; session: string; commit: SessionCommit }>;

/** The log that stands in the end: commits beyond it were cut back by a promotion. */
function lastLog(fleet: JudgedFleet, service: string): readonly SessionCommit[] {
  return fleet.primaryOf(service)?.store.log ?? [];
}

function acknowledgedOf(fleet: JudgedFleet, service: string): readonly Acknowledged[] {
  const log = lastLog(fleet, service);
  const byStamp = new Map(fleet.runs.filter((run) => run.service === service).map((run) => [run.stamp, run] as const));
  return fleet.ledger.tries
    .flatMap((of) =>
      of.asks.flatMap((ask): readonly Acknowledged[] => {
        if (Option.isNone(ask.ending) || ask.ending.value.kind !== 'done') return [];
        const run = byStamp.get(ask.ending.value.stamp);
        if (run === undefined || Option.isNone(run.committed)) return [];
        const commit = run.committed.value;
        return log[commit.number - 1]?.term === commit.term ? [{ at: ask.endedAt, session: of.session, commit }] : [];
      }),
    )
    .sort((left, right) => left.at - right.at);
}

/** Of what was acknowledged before a moment the furthest is enough to look for: a log that holds it holds all before it. */
function furthest(all: readonly Acknowledged[]): (before: number) => Acknowledged | undefined {
  const highest: Acknowledged[] = [];
  for (const one of all)
    highest.push(
      highest.length > 0 && (highest.at(-1) as Acknowledged).commit.number > one.commit.number ? (highest.at(-1) as Acknowledged) : one,
    );
  return function find(before) {
    let low = 0;
    let high = all.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((all[middle] as Acknowledged).at < before) low = middle + 1;
      else high = middle;
    }
    return highest[low - 1];
  };
}

function stale({ fleet, asks }: JudgedRecords): Readonly<{ found: readonly Violation[]; judged: number }> {
  const found: Violation[] = [];
  let judged = 0;
  for (const service of fleet.services) {
    const all = acknowledgedOf(fleet, service);
    const before = furthest(all);
    const bySession = new Map<string, Acknowledged[]>();
    for (const one of all) bySession.set(one.session, [...(bySession.get(one.session) ?? []), one]);
    const ownBefore = new Map([...bySession].map(([session, some]) => [session, furthest(some)] as const));
    for (const run of fleet.runs) {
      const known = run.service === service && run.kind === 'get' ? asks.get(run.identifier) : undefined;
      const database =
        known === undefined
          ? undefined
          : fleet.versions.flatMap((version) => version.sheet.databases).find((one) => one.database === known.of.database);
      if (known === undefined || database === undefined) continue;
      judged += 1;
      const from = known.of.transaction ? known.of.startedAt : known.ask.sentAt;
      const wanted = [
        before(database.reads === 'leader' ? from : from - database.staleMilliseconds),
        database.reads === 'own' ? ownBefore.get(known.of.session)?.(from) : undefined,
      ];
      for (const one of wanted) {
        if (one === undefined || (run.ends[one.commit.term] ?? 0) >= one.commit.number) continue;
        found.push({
          check: 'stale',
          detail: `${run.identifier} (${database.reads}) read on ${run.member} at ${Math.round(run.at)} from ${JSON.stringify(run.ends)}, without ${one.commit.term}/${one.commit.number} acknowledged at ${Math.round(one.at)}, asked at ${Math.round(from)}`,
        });
        break;
      }
    }
  }
  return { found, judged };
}

/** Where a replica must hold a commit before it is acknowledged, the leader of the end holds it. */
function lost({ fleet }: JudgedRecords): readonly Violation[] {
  const byStamp = new Map(fleet.runs.map((run) => [run.stamp, run] as const));
  return fleet.services.flatMap((service) => {
    if (fleet.firstSheet().services.find((one) => one.service === service)?.synchronousReplicas === 0) return [];
    const log = lastLog(fleet, service);
    return fleet.ledger.tries.flatMap((of) =>
      of.asks.flatMap((ask): readonly Violation[] => {
        const run = Option.isSome(ask.ending) && ask.ending.value.kind === 'done' ? byStamp.get(ask.ending.value.stamp) : undefined;
        if (run === undefined || run.service !== service || Option.isNone(run.committed)) return [];
        const { term, number } = run.committed.value;
        return log[number - 1]?.term === term
          ? []
          : [{ check: 'lost', detail: `${ask.identifier} was acknowledged at ${term}/${number} and is in no log of the leader` }];
      }),
    );
  });
}

// -- Configuration: which versions allow what came of a statement or an opening.

/** One holder under one turn; within the span none acts again after another has. */
function duties(calls: readonly DutyCall[]): readonly Violation[] {
  const found: Violation[] = [];
  const byTurn = new Map<string, string>();
  const acts = new Map<string, DutyCall[]>();
  for (const call of [...calls].sort((left, right) => left.at - right.at)) {
    const key = `${call.duty}/${call.subject}`;
    const holder = byTurn.get(`${key}/${call.turn}`) ?? call.holder;
    byTurn.set(`${key}/${call.turn}`, holder);
    if (holder !== call.holder) found.push({ check: 'one-holder', detail: `${key}: ${holder} and ${call.holder} under turn ${call.turn}` });
    if (!call.accepted) continue;
    const before = acts.get(key) ?? [];
    acts.set(key, before);
    const other = before.findLastIndex((one) => one.holder !== call.holder);
    const own = other < 0 ? undefined : before.slice(0, other).findLast((one) => one.holder === call.holder);
    if (own !== undefined && call.at - own.at < turnMilliseconds)
      found.push({
        check: 'one-holder',
        detail: `${key}: ${call.holder}, ${before[other]?.holder}, ${call.holder} within ${Math.round(call.at - own.at)} ms`,
      });
    before.push(call);
  }
  return found;
}

/** Each window is told once, with what members began in it. */
function usage(
  { fleet, wallOffset, byTry, troubles }: JudgedRecords,
  from: number,
  to: number,
): Readonly<{ found: readonly Violation[]; judged: number }> {
  const found: Violation[] = [];
  const begun = new Map<number, Map<string, number>>();
  for (const runs of byTry.values()) {
    const first = runs.find((run) => run.first);
    if (first === undefined) continue;
    const window = Math.floor((wallOffset + first.at) / windowMilliseconds);
    const counts = begun.get(window) ?? new Map<string, number>();
    begun.set(window, counts);
    counts.set(first.tenant, (counts.get(first.tenant) ?? 0) + 1);
  }
  const reported = new Map<number, Readonly<Record<string, number>>>();
  for (const call of fleet.platformStore.calls) {
    if (call.duty !== 'usage' || !call.accepted) continue;
    const { window, counts } = call.body as Readonly<{ window: number; counts: Readonly<Record<string, number>> }>;
    const before = reported.get(window);
    if (before !== undefined && JSON.stringify(Object.entries(before).sort()) !== JSON.stringify(Object.entries(counts).sort()))
      found.push({ check: 'one-report', detail: `window ${window} was told twice, and differently` });
    reported.set(window, counts);
  }
  let judged = 0;
  const edges = fleet.edges.map((slot) => slot.name);
  for (
    let window = Math.ceil((wallOffset + from) / windowMilliseconds);
    (window + 1) * windowMilliseconds < wallOffset + to - 11_000;
    window += 1
  ) {
    const start = window * windowMilliseconds - wallOffset;
    if (!isCalm(troubles, [...edges, 'core', 'platform', 'member'], start - quietMilliseconds, start + 16_000)) continue;
    judged += 1;
    const counts = reported.get(window);
    if (counts === undefined) {
      found.push({ check: 'usage', detail: `window ${window} was never told` });
      continue;
    }
    for (const [tenant, truth] of begun.get(window) ?? []) {
      if (Math.abs((counts[tenant] ?? 0) - truth) > Math.max(2, truth * usageShare))
        found.push({ check: 'usage', detail: `window ${window}: ${tenant} was told ${counts[tenant] ?? 0} times, members began ${truth}` });
    }
  }
  return { found, judged };
}

function served(fleet: JudgedFleet, from: number, to: number): Readonly<{ asked: number; served: number }> {
  const tries = fleet.ledger.tries.filter((of) => of.startedAt >= from && of.startedAt < to && !of.left);
  return {
    asked: tries.length,
    served: tries.filter((of) => of.asks.length > 0 && of.asks.every((ask) => conditionOf(ask) === 'done')).length,
  };
}

export const pooledChecks = {
  read: readRecords,
  stamps,
  statements,
  wellAsked,
  writes,
  stale,
  lost,
  configuration: checkConfiguration,
  draining: checkDraining,
  duties,
  usage,
  plannedEnds: checkPlannedEnds,
  served,
} as const;
