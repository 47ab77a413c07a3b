/** The pool of connections to members, by member and tenant, within this edge's connection limits (design 8.3, 8.12). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Fault, type Runtime } from '@stallstall/kernel';
import { memberConnection, type Dialect, type MemberAddress } from '@stallstall/session-protocol';
import { memberConnections, saturationStepMilliseconds, type MemberConnections, type PooledConnection } from './member-connections.js';

export type { ServerState, PooledConnection } from './member-connections.js';

export type Connections = Readonly<{
  /** Acquires an idle connection, preferably the one that the session used last; none when no connection is idle. */
  acquire: (memberAddress: MemberAddress, tenant: string, session: string) => Option.Option<PooledConnection>;
  /** Starts opening a connection for a waiting statement; false when the connection limit of the member is reached. */
  requestConnection: (memberAddress: MemberAddress, tenant: string) => boolean;
  /** Opens a connection ahead of need unless the tenant already has one. */
  warmUp: (memberAddress: MemberAddress, tenant: string) => void;
  /** Whether a connection is being opened for the tenant. */
  isOpening: (member: string, tenant: string) => boolean;
  /** Returns a connection to the pool if `reusable` (no transaction is open on it); otherwise resets it, so that the member rolls back. */
  release: (pooled: PooledConnection, reusable: boolean) => void;
  /** Whether the last attempt to connect failed and no connection is open: statements must not wait for this member. */
  isFailing: (member: string) => boolean;
  /** Members whose machines recently refused a connection. */
  notListening: () => readonly string[];
  /** Number of connections in use. */
  busyCount: (member: string) => number;
  /** Closes connections to removed or moved members and those that have been idle too long. */
  closeStale: (members: ReadonlyMap<string, Readonly<{ address: string }>>) => void;
  describe: () => Readonly<{ idle: number; busy: number; opening: number; opened: number; failed: number }>;
  /** Resets the connections in use: each statement on them gets the outcome that is known, and the members roll back. */
  resetBusy: () => void;
  closeAll: () => void;
}>;

/**
 * Connections that an edge may have to a member at once, and those it retains when idle; the difference leaves room for machines that
 * reconnect.
 */
export type ConnectionLimits = Readonly<{ maximum: number; retained: number }>;

type ConnectionTable = {
  readonly runtime: Runtime;
  readonly dialect: Dialect;
  readonly limitsFor: (memberAddress: MemberAddress) => ConnectionLimits;
  /** Called when a connection has become idle or an attempt to open one has failed. */
  readonly onAvailable: () => void;
  readonly members: Map<string, MemberConnections>;
  /** Connection attempts started and failed since the start of the process. */
  opened: number;
  failed: number;
};

const openTimeoutMilliseconds = 1_000;
/** How long a member is reported as not listening after its machine refused a connection. */
const notListeningMilliseconds = 1_000;

function connectionsOf(table: ConnectionTable, member: string): MemberConnections {
  let group = table.members.get(member);
  if (group === undefined) {
    group = memberConnections.create();
    table.members.set(member, group);
  }
  return group;
}

function isOpening(table: ConnectionTable, member: string, tenant: string): boolean {
  return (table.members.get(member)?.openingFor.get(tenant) ?? 0) > 0;
}

/** Whether the member rejected the connection because it has too many. */
function isSaturated(error: Fault): boolean {
  const condition = memberConnection.conditionOf(error);
  return Option.isSome(condition) && condition.value === 'overloaded';
}

async function open(table: ConnectionTable, memberAddress: MemberAddress, tenant: string, group: MemberConnections): Promise<void> {
  const { runtime, dialect, onAvailable } = table;
  group.opening += 1;
  group.openingFor.set(tenant, (group.openingFor.get(tenant) ?? 0) + 1);
  table.opened += 1;
  const connection = await memberConnection.open(runtime, dialect, memberAddress, tenant, openTimeoutMilliseconds);
  group.opening -= 1;
  group.openingFor.set(tenant, (group.openingFor.get(tenant) ?? 1) - 1);
  if (Either.isLeft(connection)) handleOpenFailure(table, memberAddress, tenant, group, connection.left);
  else if (table.members.get(memberAddress.member) !== group) connection.right.close();
  else {
    memberConnections.recordOpened(group);
    const serverState = { values: new Map(), prepared: new Map(), lastNameNumber: 0 };
    memberConnections.addIdle(group, { memberAddress, tenant, connection: connection.right, serverState }, '', runtime.clock.now());
  }
  onAvailable();
}

function handleOpenFailure(
  table: ConnectionTable,
  memberAddress: MemberAddress,
  tenant: string,
  group: MemberConnections,
  error: Fault,
): void {
  const { runtime, onAvailable } = table;
  const now = runtime.clock.now();
  table.failed += 1;
  if (isSaturated(error)) {
    group.lastRejection = Option.some({ admitted: Math.max(1, memberConnections.total(group)), since: now });
    if (memberConnections.makeRoom(group, tenant, now)) void open(table, memberAddress, tenant, group);
    else runtime.clock.startTimer(saturationStepMilliseconds * (0.5 + runtime.randomness.fraction()), onAvailable);
    return;
  }
  memberConnections.recordFailure(group, now, runtime.randomness.fraction());
  if (fault.kind(error) === 'not-listening') group.notListeningAt = now;
  runtime.log('member.not-opened', { member: memberAddress.member, reason: error.message });
}

function requestConnection(table: ConnectionTable, memberAddress: MemberAddress, tenant: string): boolean {
  const group = connectionsOf(table, memberAddress.member);
  const now = table.runtime.clock.now();
  if (now < group.failingUntil) return false;
  if (memberConnections.total(group) >= memberConnections.limit(group, table.limitsFor(memberAddress).maximum, now)) {
    memberConnections.dropClosed(group);
    if (!memberConnections.makeRoom(group, tenant, now)) return false;
  }
  void open(table, memberAddress, tenant, group);
  return true;
}

function warmUp(table: ConnectionTable, memberAddress: MemberAddress, tenant: string): void {
  const group = connectionsOf(table, memberAddress.member);
  if (memberConnections.total(group) >= table.limitsFor(memberAddress).retained || isOpening(table, memberAddress.member, tenant)) return;
  if (!memberConnections.hasFor(group, tenant)) requestConnection(table, memberAddress, tenant);
}

function release(table: ConnectionTable, pooled: PooledConnection, reusable: boolean): void {
  const group = connectionsOf(table, pooled.memberAddress.member);
  const session = group.inUse.get(pooled);
  if (session === undefined) return;
  group.inUse.delete(pooled);
  if (reusable && !pooled.connection.isClosed() && memberConnections.total(group) < table.limitsFor(pooled.memberAddress).maximum)
    memberConnections.addIdle(group, pooled, session, table.runtime.clock.now());
  else if (reusable) pooled.connection.close();
  else pooled.connection.reset();
  table.onAvailable();
}

function closeStale(table: ConnectionTable, members: ReadonlyMap<string, Readonly<{ address: string }>>): void {
  const now = table.runtime.clock.now();
  for (const [member, group] of table.members) {
    const entry = members.get(member);
    const memberAddress = group.idle[0]?.pooled.memberAddress;
    const surplus = memberAddress === undefined ? 0 : memberConnections.total(group) - table.limitsFor(memberAddress).retained;
    memberConnections.closeStale(group, { address: entry?.address, now, surplus });
    if (entry === undefined && memberConnections.total(group) === 0) table.members.delete(member);
  }
}

function describe(table: ConnectionTable): ReturnType<Connections['describe']> {
  const { opened, failed } = table;
  const counts = { idle: 0, busy: 0, opening: 0, opened, failed };
  for (const group of table.members.values()) {
    counts.idle += group.idle.length;
    counts.busy += group.inUse.size;
    counts.opening += group.opening;
  }
  return counts;
}

function create(
  runtime: Runtime,
  dialect: Dialect,
  limitsFor: (memberAddress: MemberAddress) => ConnectionLimits,
  onAvailable: () => void,
): Connections {
  const table: ConnectionTable = { runtime, dialect, limitsFor, onAvailable, members: new Map(), opened: 0, failed: 0 };

  return {
    acquire: (memberAddress, tenant, session) =>
      memberConnections.acquire(connectionsOf(table, memberAddress.member), memberAddress, tenant, session),
    requestConnection: (memberAddress, tenant) => requestConnection(table, memberAddress, tenant),
    warmUp: (memberAddress, tenant) => warmUp(table, memberAddress, tenant),
    isOpening: (member, tenant) => isOpening(table, member, tenant),
    release: (pooled, reusable) => release(table, pooled, reusable),
    closeStale: (members) => closeStale(table, members),
    isFailing: function failing(member) {
      const group = table.members.get(member);
      return group !== undefined && group.failures > 0 && group.idle.length + group.inUse.size === 0;
    },
    notListening: () =>
      [...table.members]
        .filter(([, group]) => runtime.clock.now() - group.notListeningAt < notListeningMilliseconds)
        .map(([member]) => member),
    busyCount: (member) => table.members.get(member)?.inUse.size ?? 0,
    describe: () => describe(table),
    resetBusy: function resetBusy() {
      for (const group of table.members.values()) for (const pooled of group.inUse.keys()) pooled.connection.reset();
    },
    closeAll: function closeAll() {
      for (const group of table.members.values()) memberConnections.closeAll(group);
      table.members.clear();
    },
  };
}

export const connections = { create } as const;
