/** The connections of this edge to one member: those that are idle, those in use, and how openings have fared (design 8.3, 8.12). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Instant } from '@stallstall/kernel';
import type { MemberConnection, MemberAddress } from '@stallstall/session-protocol';

/** What stands on a connection: session values, and prepared statements under names of the connection's own (`p1`, `p2`, ...). */
export type Image = { readonly values: Map<string, string>; readonly prepared: Map<string, string>; names: number };

/** An open connection to a member, for one tenant. */
export type PooledLine = Readonly<{
  place: MemberAddress;
  tenant: string;
  line: MemberConnection;
  image: Image;
}>;

/** `session`: who used it last; empty when it has not been used yet. */
type IdleConnection = Readonly<{ pooled: PooledLine; session: string; since: Instant }>;

/** How many connections a member admitted when it last rejected one as too many, and when that was. */
type Saturation = Readonly<{ admitted: number; since: Instant }>;

export type MemberConnections = {
  /** Those that have been idle longest come first. */
  idle: IdleConnection[];
  /** With the session that uses each. */
  readonly busy: Map<PooledLine, string>;
  opening: number;
  /** Of those being opened, how many for each tenant. */
  readonly openingFor: Map<string, number>;
  /** Openings that failed one after another. */
  failures: number;
  /** No opening is tried before. */
  failingUntil: Instant;
  /** When the member's machine last refused a connection because nothing listens there. */
  notListeningAt: Instant;
  saturation: Option.Option<Saturation>;
};

/** When a connection is closed though it is sound. */
export type Retention = Readonly<{
  /** Where the member is now; undefined when it is gone. */
  address: string | undefined;
  now: Instant;
  /** How many idle connections are more than this edge keeps. */
  surplus: number;
}>;

/** A connection is closed when it has been idle for so long. */
const idleMilliseconds = 20_000;
/** One beyond what the edge keeps is closed when it has been idle for so long. */
const surplusMilliseconds = 4_000;
/** A saturated member is asked for one connection more after each such span. */
export const saturationStepMilliseconds = 250;
/** One that was opened no longer ago than this and not used yet is meant for somebody who waits. */
const unusedMilliseconds = 300;
const leastPauseMilliseconds = 150;
const mostPauseMilliseconds = 1_500;
const never = identifiers.instant(Number.NEGATIVE_INFINITY);

function create(): MemberConnections {
  return {
    idle: [],
    busy: new Map(),
    opening: 0,
    openingFor: new Map(),
    failures: 0,
    failingUntil: never,
    notListeningAt: never,
    saturation: Option.none,
  };
}

function total(known: MemberConnections): number {
  return known.idle.length + known.busy.size + known.opening;
}

function dropClosed(known: MemberConnections): void {
  if (known.idle.some((one) => one.pooled.line.closed())) known.idle = known.idle.filter((one) => !one.pooled.line.closed());
}

/** The idle connection that suits the session best: its own last one, else one without values, else any; -1 when there is none. */
function bestIdle(known: MemberConnections, place: MemberAddress, tenant: string, session: string): number {
  let best = -1;
  for (let index = known.idle.length - 1; index >= 0; index -= 1) {
    const one = known.idle[index] as IdleConnection;
    if (one.pooled.tenant !== tenant || one.pooled.place.address !== place.address) continue;
    if (one.session === session) return index;
    const current = best < 0 ? undefined : (known.idle[best] as IdleConnection);
    if (current === undefined || (current.pooled.image.values.size > 0 && one.pooled.image.values.size === 0)) best = index;
  }
  return best;
}

/** Takes an idle connection for a session and marks it busy. */
function take(known: MemberConnections, place: MemberAddress, tenant: string, session: string): Option.Option<PooledLine> {
  dropClosed(known);
  const best = bestIdle(known, place, tenant, session);
  if (best < 0) return Option.none;
  const [found] = known.idle.splice(best, 1);
  const { pooled } = found as IdleConnection;
  known.busy.set(pooled, session);
  return Option.some(pooled);
}

function addIdle(known: MemberConnections, pooled: PooledLine, session: string, since: Instant): void {
  known.idle.push({ pooled, session, since });
}

/** Closes the connection of another tenant that has been idle longest; false when none can be spared. */
function makeRoom(known: MemberConnections, tenant: string, now: Instant): boolean {
  const index = known.idle.findIndex((one) => one.pooled.tenant !== tenant && (one.session !== '' || now - one.since > unusedMilliseconds));
  if (index < 0) return false;
  const [closed] = known.idle.splice(index, 1);
  closed?.pooled.line.close();
  return true;
}

/** Whether a connection for the tenant is idle or in use. */
function hasFor(known: MemberConnections, tenant: string): boolean {
  if (known.idle.some((one) => one.pooled.tenant === tenant)) return true;
  for (const busy of known.busy.keys()) if (busy.tenant === tenant) return true;
  return false;
}

/** How many connections the member may be asked for: `most`, or less while it is saturated. */
function limit(known: MemberConnections, most: number, now: Instant): number {
  if (Option.isNone(known.saturation)) return most;
  const { admitted, since } = known.saturation.value;
  const limited = admitted + Math.floor((now - since) / saturationStepMilliseconds);
  if (limited >= most) known.saturation = Option.none;
  return Math.min(most, limited);
}

/** `fraction`: a random number from 0 to 1, so that edges do not try again all at once. */
function noteFailure(known: MemberConnections, now: Instant, fraction: number): void {
  known.failures += 1;
  const pause = Math.min(mostPauseMilliseconds, leastPauseMilliseconds * 2 ** (known.failures - 1));
  known.failingUntil = identifiers.after(now, pause * (0.75 + fraction / 2));
}

function noteOpened(known: MemberConnections): void {
  known.failures = 0;
  known.failingUntil = never;
  known.notListeningAt = never;
}

/** Closes idle connections that are not needed, or of no use, any more. */
function closeStale(known: MemberConnections, { address, now, surplus }: Retention): void {
  let left = surplus;
  const stale = known.idle.filter(function isStale({ pooled, since }) {
    if (address !== pooled.place.address || now - since > idleMilliseconds || pooled.line.closed()) return true;
    if (left <= 0 || now - since <= surplusMilliseconds) return false;
    left -= 1;
    return true;
  });
  if (stale.length === 0) return;
  known.idle = known.idle.filter((one) => !stale.includes(one));
  for (const one of stale) one.pooled.line.close();
}

function closeAll(known: MemberConnections): void {
  for (const one of known.idle) one.pooled.line.close();
  for (const pooled of known.busy.keys()) pooled.line.reset();
}

export const memberConnections = {
  create,
  total,
  dropClosed,
  take,
  addIdle,
  makeRoom,
  hasFor,
  limit,
  noteFailure,
  noteOpened,
  closeStale,
  closeAll,
} as const;
