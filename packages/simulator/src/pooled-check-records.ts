/** What the checks of the pooled mode look at: what members ran and clients were told, and the spans in which a bound does not hold. */
import * as Option from 'fp-ts/lib/Option.js';
import type { SessionAsk, SessionRun, SessionTry } from '@stallstall/fakes';
import type { PooledFleet } from './pooled-model.js';
import { initialWallTime } from './world.js';

/** A span in which something is not in touch: an edge by its name, or `core`, `platform`, `member`. */
export type Trouble = Readonly<{ who: string; from: number; to: number }>;
export type EdgeLife = Readonly<{ edge: string; life: number; from: number }>;
export type EdgeEnd = Readonly<{ edge: string; from: number; to: number }>;
/** A member's process whose draining was acknowledged. `endedAt`: infinite while it has not ended, as far as is known. */
export type DrainNote = Readonly<{ member: string; acknowledgedAt: number; endedAt: number }>;

/** How long a machine is calm before the bounds hold for it. */
export const quietMilliseconds = 4_000;

/** What is judged of a fleet, in memory or of real processes. */
export type JudgedFleet = Pick<
  PooledFleet,
  'ledger' | 'runs' | 'versions' | 'platformStore' | 'edges' | 'services' | 'firstSheet' | 'primaryOf'
>;

/** What happened in a run, arranged for the checks. */
export type JudgedRecords = Readonly<{
  fleet: JudgedFleet;
  /** The time of day at moment 0. */
  wallOffset: number;
  asks: ReadonlyMap<string, Readonly<{ ask: SessionAsk; of: SessionTry }>>;
  byTry: ReadonlyMap<string, readonly SessionRun[]>;
  troubles: readonly Trouble[];
}>;

export function readRecords(fleet: JudgedFleet, troubles: readonly Trouble[], wallOffset: number = initialWallTime): JudgedRecords {
  const asks = new Map<string, { ask: SessionAsk; of: SessionTry }>();
  for (const of of fleet.ledger.tries) for (const ask of of.asks) asks.set(ask.identifier, { ask, of });
  const byTry = new Map<string, SessionRun[]>();
  for (const run of fleet.runs) {
    const known = asks.get(run.identifier);
    if (known === undefined) continue;
    const runs = byTry.get(known.of.name);
    if (runs === undefined) byTry.set(known.of.name, [run]);
    else runs.push(run);
  }
  return { fleet, wallOffset, asks, byTry, troubles };
}

/** Whether none of these was in trouble in the span. */
export function isCalm(troubles: readonly Trouble[], who: readonly string[], from: number, to: number): boolean {
  return !troubles.some((trouble) => (who.includes(trouble.who) || trouble.who === 'all') && trouble.from <= to && trouble.to >= from);
}

/** How a statement ended: `done`, the condition of its fault, or `none` without a reply. */
export function conditionOf(ask: SessionAsk): string {
  if (Option.isNone(ask.ending)) return 'none';
  return ask.ending.value.kind === 'done' ? 'done' : ask.ending.value.condition;
}
