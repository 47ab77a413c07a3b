/** Which configurations allow what came of each statement and opening, and whether those were in force in time (design 10.5). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Violation } from './fleet-checks/check-records.js';
import { conditionOf, isCalm, quietMilliseconds, type EdgeLife, type JudgedRecords } from './pooled-check-records.js';
import type { PooledVersion } from './pooled-model.js';

const settleMilliseconds = 3_000;
const revertMilliseconds = 250;

/** What came of a statement or an opening, and the versions that allow it. */
type Effect = Readonly<{ at: number; endedAt: number; edge: string; what: string; allowedBy: readonly PooledVersion[] }>;

function tenantOf(version: PooledVersion, key: string): string | undefined {
  return version.sheet.tenants.find((tenant) => tenant.keys.includes(key))?.tenant;
}

function serviceOf(version: PooledVersion, database: string): string | undefined {
  return version.sheet.databases.find((one) => one.database === database)?.service;
}

/** Versions sent by then that allow this outcome: one that came later cannot have been obeyed. */
function allowing(
  versions: readonly PooledVersion[],
  { database, who, endedAt }: Readonly<{ database: string; who: string; endedAt: number }>,
  outcome: string,
): readonly PooledVersion[] {
  return versions.filter((version) => {
    if (version.sentAt > endedAt) return false;
    const exists = serviceOf(version, database) !== undefined;
    if (outcome === 'no-database') return !exists;
    if (outcome === 'denied') return exists && tenantOf(version, who) === undefined;
    return exists && tenantOf(version, who) !== undefined;
  });
}

function effects({ fleet, byTry, asks }: JudgedRecords): readonly Effect[] {
  const versions = fleet.versions.filter((sent) => !sent.refused).sort((left, right) => left.version - right.version);
  const found: Effect[] = [];
  for (const opening of fleet.ledger.openings) {
    if (!['open', 'denied', 'no-database'].includes(opening.outcome)) continue;
    found.push({
      at: opening.at,
      endedAt: opening.endedAt,
      edge: opening.edge,
      what: `opening ${opening.database} as ${opening.who}: ${opening.outcome}`,
      allowedBy: allowing(versions, opening, opening.outcome),
    });
  }
  for (const of of fleet.ledger.tries) {
    for (const run of (byTry.get(of.name) ?? []).filter((one) => one.first)) {
      const allowedBy = versions.filter(
        (version) =>
          version.sentAt <= run.at && serviceOf(version, of.database) === run.service && tenantOf(version, of.who) === run.tenant,
      );
      found.push({
        at: of.startedAt,
        endedAt: run.at,
        edge: of.edge,
        what: `${run.identifier} (${of.database} as ${of.who}) on ${run.member}`,
        allowedBy,
      });
    }
    // A route binds from the next transaction on, a key at once: later statements of a transaction are judged by their key alone.
    for (const run of (byTry.get(of.name) ?? []).filter((one) => !one.first)) {
      const ask = asks.get(run.identifier)?.ask;
      if (ask === undefined || run.kind === 'rollback') continue;
      found.push({
        at: ask.sentAt,
        endedAt: run.at,
        edge: of.edge,
        what: `${run.identifier} within a transaction (${of.database} as ${of.who}) on ${run.member}`,
        allowedBy: versions.filter(
          (version) =>
            version.sentAt <= run.at && serviceOf(version, of.database) !== undefined && tenantOf(version, of.who) === run.tenant,
        ),
      });
    }
    const outcome = Option.isSome(of.begun) ? of.begun.value : of.asks[0] === undefined ? '' : conditionOf(of.asks[0]);
    if (outcome === 'denied' || outcome === 'no-database') {
      const endedAt = of.asks[0]?.endedAt ?? of.startedAt;
      found.push({
        at: of.startedAt,
        endedAt,
        edge: of.edge,
        what: `${of.name}: ${outcome}`,
        allowedBy: allowing(versions, { database: of.database, who: of.who, endedAt }, outcome),
      });
    }
  }
  return found.sort((left, right) => left.endedAt - right.endedAt);
}

/** Machines in touch obey a version in time, and no process goes back to an older one. */
export function checkConfiguration(
  all: JudgedRecords,
  lives: readonly EdgeLife[],
): Readonly<{ found: readonly Violation[]; judged: number }> {
  const found: Violation[] = [];
  const highest = new Map<string, Readonly<{ version: number; at: number }>>();
  let judged = 0;
  for (const effect of effects(all)) {
    if (effect.allowedBy.length === 0) {
      found.push({ check: 'route', detail: `${effect.what} is allowed by no version ever sent` });
      continue;
    }
    const newest = Math.max(...effect.allowedBy.map((version) => version.version));
    const oldest = Math.min(...effect.allowedBy.map((version) => version.version));
    // The bound holds for whoever has been in touch, and long enough after the last event.
    const due = Math.max(
      0,
      ...all.fleet.versions.filter((version) => version.acknowledgedAt <= effect.at - settleMilliseconds).map((version) => version.version),
    );
    if (isCalm(all.troubles, [effect.edge, 'core'], effect.at - settleMilliseconds - quietMilliseconds, effect.endedAt)) {
      judged += 1;
      if (newest < due)
        found.push({
          check: 'configuration',
          detail: `${effect.what} at ${Math.round(effect.at)} is allowed up to version ${newest} only, ${due} was due`,
        });
    }
    const life = lives.filter((one) => one.edge === effect.edge && one.from <= effect.at).at(-1);
    const key = `${effect.edge}/${life?.life ?? 0}`;
    const before = highest.get(key);
    if (before !== undefined && newest < before.version && effect.at > before.at + revertMilliseconds)
      found.push({ check: 'configuration', detail: `${effect.what}: ${key} went back to ${newest} after ${before.version}` });
    if (before === undefined || oldest > before.version) highest.set(key, { version: oldest, at: effect.endedAt });
  }
  return { found, judged };
}
