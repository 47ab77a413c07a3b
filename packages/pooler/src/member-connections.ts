/** The connections of this edge to one member: idle, in use and being opened, with the backoff after failed attempts (design 8.3, 8.12). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Instant } from '@stallstall/kernel';
import type { MemberConnection, MemberAddress } from '@stallstall/session-protocol';

/**
 * The session state on the member's side of a connection: session values, and prepared statements with their names on it (`p1`, `p2`,
 * ...).
 */
export type ServerState = { readonly values: Map<string, string>; readonly prepared: Map<string, string>; lastNameNumber: number };

/** An open connection to a member, for one tenant. */
export type PooledConnection = Readonly<{
  memberAddress: MemberAddress;
  tenant: string;
  connection: MemberConnection;
  serverState: ServerState;
}>;

/** `session`: the id of the session that used it last; empty when it has not been used yet. */
type IdleConnection = Readonly<{ pooled: PooledConnection; session: string; since: Instant }>;

/** When the member last rejected a connection as one too many, and how many it had admitted then. */
type SaturationRejection = Readonly<{ admitted: number; since: Instant }>;

export type MemberConnections = {
  /** Ordered by idle time, longest first. */
  idle: IdleConnection[];
  /** The session that uses each connection. */
  readonly inUse: Map<PooledConnection, string>;
  opening: number;
  /** Number of connections being opened for each tenant. */
  readonly openingFor: Map<string, number>;
  /** Consecutive failed connection attempts. */
  failures: number;
  /** No connection attempt is made before this time. */
  failingUntil: Instant;
  /** When the member's machine last refused a connection because no process listens on the port. */
  notListeningAt: Instant;
  lastRejection: Option.Option<SaturationRejection>;
};

/** The conditions under which a usable idle connection is closed. */
export type Retention = Readonly<{
  /** The current address of the member; undefined when it has been removed. */
  address: string | undefined;
  now: Instant;
  /** Number of connections above the retained limit. */
  surplus: number;
}>;

/** An idle connection is closed after this time. */
const idleMilliseconds = 20_000;
/** An idle connection above the retained limit is closed after this time. */
const surplusMilliseconds = 4_000;
/** A saturated member is asked for one more connection after each such interval. */
export const saturationStepMilliseconds = 250;
/** A connection opened more recently than this and not used yet was opened for a waiting statement and is not closed to make room. */
const unusedGraceMilliseconds = 300;
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

/**
 * Index of the best idle connection for a session: the one it used last, else one without session values, else any; -1 when there is
 * none.
 */
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

/** Acquires an idle connection for a session and marks it as in use. */
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

/** Closes the longest-idle connection of another tenant; false when there is none to close. */
function makeRoom(group: MemberConnections, tenant: string, now: Instant): boolean {
  const index = group.idle.findIndex(
    (idle) => idle.pooled.tenant !== tenant && (idle.session !== '' || now - idle.since > unusedGraceMilliseconds),
  );
  if (index < 0) return false;
  const [closed] = group.idle.splice(index, 1);
  closed?.pooled.connection.close();
  return true;
}

/** Whether a connection for the tenant is idle or in use. */
function hasFor(group: MemberConnections, tenant: string): boolean {
  if (group.idle.some((idle) => idle.pooled.tenant === tenant)) return true;
  for (const pooled of group.inUse.keys()) if (pooled.tenant === tenant) return true;
  return false;
}

/** Current connection limit of the member: `maximum`, or less after it rejected a connection as one too many. */
function limit(group: MemberConnections, maximum: number, now: Instant): number {
  if (Option.isNone(group.lastRejection)) return maximum;
  const { admitted, since } = group.lastRejection.value;
  const limited = admitted + Math.floor((now - since) / saturationStepMilliseconds);
  if (limited >= maximum) group.lastRejection = Option.none;
  return Math.min(maximum, limited);
}

/** Sets the exponential backoff. `fraction` is a random number from 0 to 1: the jitter keeps edges from retrying at the same time. */
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

/** Closes idle connections that are broken, expired, above the retained limit or open to a former address. */
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
