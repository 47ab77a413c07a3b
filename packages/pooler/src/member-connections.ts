/** The connections of this edge to one member: those that are idle, those in use, and how openings have fared (design 8.3, 8.12). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Instant } from '@stallstall/kernel';
import type { MemberConnection, MemberAddress } from '@stallstall/session-protocol';

/** What stands on a connection: session values, and prepared statements under names of the connection's own (`p1`, `p2`, ...). */
export type ServerState = { readonly values: Map<string, string>; readonly prepared: Map<string, string>; lastNameNumber: number };

/** An open connection to a member, for one tenant. */
export type PooledConnection = Readonly<{
  memberAddress: MemberAddress;
  tenant: string;
  connection: MemberConnection;
  serverState: ServerState;
}>;

/** `session`: who used it last; empty when it has not been used yet. */
type IdleConnection = Readonly<{ pooled: PooledConnection; session: string; since: Instant }>;

/** How many connections a member admitted when it last rejected one as too many, and when that was. */
type SaturationRejection = Readonly<{ admitted: number; since: Instant }>;

export type MemberConnections = {
  /** Those that have been idle longest come first. */
  idle: IdleConnection[];
  /** With the session that uses each. */
  readonly inUse: Map<PooledConnection, string>;
  opening: number;
  /** Of those being opened, how many for each tenant. */
  readonly openingFor: Map<string, number>;
  /** Openings that failed one after another. */
  failures: number;
  /** No opening is tried before. */
  failingUntil: Instant;
  /** When the member's machine last refused a connection because nothing listens there. */
  notListeningAt: Instant;
  lastRejection: Option.Option<SaturationRejection>;
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
const minimumBackoffMilliseconds = 150;
const maximumBackoffMilliseconds = 1_500;
const never = identifiers.instant(Number.NEGATIVE_INFINITY);

function create(): MemberConnections {
  return {
    idle: [],
    inUse: new Map(),
    opening: 0,
    openingFor: new Map(),
    failures: 0,
    failingUntil: never,
    notListeningAt: never,
    lastRejection: Option.none,
  };
}

function total(group: MemberConnections): number {
  return group.idle.length + group.inUse.size + group.opening;
}

function dropClosed(group: MemberConnections): void {
  if (group.idle.some((idle) => idle.pooled.connection.isClosed()))
    group.idle = group.idle.filter((idle) => !idle.pooled.connection.isClosed());
}

/** The idle connection that suits the session best: its own last one, else one without values, else any; -1 when there is none. */
function bestIdle(group: MemberConnections, memberAddress: MemberAddress, tenant: string, session: string): number {
  let best = -1;
  for (let index = group.idle.length - 1; index >= 0; index -= 1) {
    const idle = group.idle[index] as IdleConnection;
    if (idle.pooled.tenant !== tenant || idle.pooled.memberAddress.address !== memberAddress.address) continue;
    if (idle.session === session) return index;
    const current = best < 0 ? undefined : (group.idle[best] as IdleConnection);
    if (current === undefined || (current.pooled.serverState.values.size > 0 && idle.pooled.serverState.values.size === 0)) best = index;
  }
  return best;
}

/** Takes an idle connection for a session and marks it busy. */
function acquire(group: MemberConnections, memberAddress: MemberAddress, tenant: string, session: string): Option.Option<PooledConnection> {
  dropClosed(group);
  const best = bestIdle(group, memberAddress, tenant, session);
  if (best < 0) return Option.none;
  const [acquired] = group.idle.splice(best, 1);
  const { pooled } = acquired as IdleConnection;
  group.inUse.set(pooled, session);
  return Option.some(pooled);
}

function addIdle(group: MemberConnections, pooled: PooledConnection, session: string, since: Instant): void {
  group.idle.push({ pooled, session, since });
}

/** Closes the connection of another tenant that has been idle longest; false when none can be spared. */
function makeRoom(group: MemberConnections, tenant: string, now: Instant): boolean {
  const index = group.idle.findIndex(
    (idle) => idle.pooled.tenant !== tenant && (idle.session !== '' || now - idle.since > unusedMilliseconds),
  );
  if (index < 0) return false;
  const [closed] = group.idle.splice(index, 1);
  closed?.pooled.connection.close();
  return true;
}

/** Whether a connection for the tenant is idle or in use. */
function hasFor(group: MemberConnections, tenant: string): boolean {
  if (group.idle.some((idle) => idle.pooled.tenant === tenant)) return true;
  for (const busy of group.inUse.keys()) if (busy.tenant === tenant) return true;
  return false;
}

/** How many connections the member may be asked for: `most`, or less while it is saturated. */
function limit(group: MemberConnections, maximum: number, now: Instant): number {
  if (Option.isNone(group.lastRejection)) return maximum;
  const { admitted, since } = group.lastRejection.value;
  const limited = admitted + Math.floor((now - since) / saturationStepMilliseconds);
  if (limited >= maximum) group.lastRejection = Option.none;
  return Math.min(maximum, limited);
}

/** `fraction`: a random number from 0 to 1, so that edges do not try again all at once. */
function recordFailure(group: MemberConnections, now: Instant, fraction: number): void {
  group.failures += 1;
  const pause = Math.min(maximumBackoffMilliseconds, minimumBackoffMilliseconds * 2 ** (group.failures - 1));
  group.failingUntil = identifiers.after(now, pause * (0.75 + fraction / 2));
}

function recordOpened(group: MemberConnections): void {
  group.failures = 0;
  group.failingUntil = never;
  group.notListeningAt = never;
}

/** Closes idle connections that are not needed, or of no use, any more. */
function closeStale(group: MemberConnections, { address, now, surplus }: Retention): void {
  let remainingSurplus = surplus;
  const stale = group.idle.filter(function isStale({ pooled, since }) {
    if (address !== pooled.memberAddress.address || now - since > idleMilliseconds || pooled.connection.isClosed()) return true;
    if (remainingSurplus <= 0 || now - since <= surplusMilliseconds) return false;
    remainingSurplus -= 1;
    return true;
  });
  if (stale.length === 0) return;
  group.idle = group.idle.filter((idle) => !stale.includes(idle));
  for (const idle of stale) idle.pooled.connection.close();
}

function closeAll(group: MemberConnections): void {
  for (const idle of group.idle) idle.pooled.connection.close();
  for (const pooled of group.inUse.keys()) pooled.connection.reset();
}

export const memberConnections = {
  create,
  total,
  dropClosed,
  acquire,
  addIdle,
  makeRoom,
  hasFor,
  limit,
  recordFailure,
  recordOpened,
  closeStale,
  closeAll,
} as const;
