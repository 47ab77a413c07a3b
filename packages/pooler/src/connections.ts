/** Connections to members, kept by member and tenant: few, costly, reused, within this edge's share (design 8.3, 8.12). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Fault, type Runtime } from '@stallstall/kernel';
import { memberConnection, type Dialect, type MemberAddress } from '@stallstall/session-protocol';
import { memberConnections, saturationStepMilliseconds, type MemberConnections, type PooledConnection } from './member-connections.js';

export type { ServerState, PooledConnection } from './member-connections.js';

export type Connections = Readonly<{
  /** An idle connection, the one the session used last if it can be had; none when there is none idle. */
  acquire: (memberAddress: MemberAddress, tenant: string, session: string) => Option.Option<PooledConnection>;
  /** Has one more opened for whoever waits; false when the share of that member is used up. */
  requestConnection: (memberAddress: MemberAddress, tenant: string) => boolean;
  /** Opens one ahead of need, unless one stands for the tenant. */
  warmUp: (memberAddress: MemberAddress, tenant: string) => void;
  /** Whether one is being opened for a tenant. */
  isOpening: (member: string, tenant: string) => boolean;
  /** `reusable`: nothing is left open on it; else it is broken off, and the member rolls back what is open. */
  release: (pooled: PooledConnection, reusable: boolean) => void;
  /** The last opening failed and nothing is open: until then nobody waits for this member. */
  isFailing: (member: string) => boolean;
  /** Members whose machines refused a connection lately. */
  notListening: () => readonly string[];
  /** How many are in use. */
  busyCount: (member: string) => number;
  /** Closes what members are gone for, and what has been idle for long. */
  closeStale: (members: ReadonlyMap<string, Readonly<{ address: string }>>) => void;
  describe: () => Readonly<{ idle: number; busy: number; opening: number; opened: number; failed: number }>;
  closeAll: () => void;
}>;

/** What an edge may hold of a member at once, and what it keeps without demand: room is left for machines that come back. */
export type ConnectionLimits = Readonly<{ maximum: number; retained: number }>;

type Table = {
  readonly runtime: Runtime;
  readonly dialect: Dialect;
  readonly limitsFor: (memberAddress: MemberAddress) => ConnectionLimits;
  /** A connection is idle now, or an opening has failed. */
  readonly onFreed: () => void;
  readonly members: Map<string, MemberConnections>;
  /** Openings that were begun, and that failed, since the start. */
  opened: number;
  failed: number;
};

const openMilliseconds = 1_000;
/** A member counts as not listening for so long after its machine refused a connection. */
const notListeningMilliseconds = 1_000;

function connectionsOf(table: Table, member: string): MemberConnections {
  let group = table.members.get(member);
  if (group === undefined) {
    group = memberConnections.create();
    table.members.set(member, group);
  }
  return group;
}

function isOpening(table: Table, member: string, tenant: string): boolean {
  return (table.members.get(member)?.openingFor.get(tenant) ?? 0) > 0;
}

/** The member rejected the connection because it has too many. */
function isSaturated(error: Fault): boolean {
  const condition = memberConnection.conditionOf(error);
  return Option.isSome(condition) && condition.value === 'overloaded';
}

async function open(table: Table, memberAddress: MemberAddress, tenant: string, group: MemberConnections): Promise<void> {
  const { runtime, dialect, onFreed } = table;
  group.opening += 1;
  group.openingFor.set(tenant, (group.openingFor.get(tenant) ?? 0) + 1);
  table.opened += 1;
  const connection = await memberConnection.open(runtime, dialect, memberAddress, tenant, openMilliseconds);
  group.opening -= 1;
  group.openingFor.set(tenant, (group.openingFor.get(tenant) ?? 1) - 1);
  if (Either.isLeft(connection)) handleOpenFailure(table, memberAddress, tenant, group, connection.left);
  else if (table.members.get(memberAddress.member) !== group) connection.right.close();
  else {
    memberConnections.recordOpened(group);
    const serverState = { values: new Map(), prepared: new Map(), lastNameNumber: 0 };
    memberConnections.addIdle(group, { memberAddress, tenant, connection: connection.right, serverState }, '', runtime.clock.now());
  }
  onFreed();
}

function handleOpenFailure(table: Table, memberAddress: MemberAddress, tenant: string, group: MemberConnections, error: Fault): void {
  const { runtime, onFreed } = table;
  const now = runtime.clock.now();
  table.failed += 1;
  if (isSaturated(error)) {
    group.lastRejection = Option.some({ admitted: Math.max(1, memberConnections.total(group)), since: now });
    if (memberConnections.makeRoom(group, tenant, now)) void open(table, memberAddress, tenant, group);
    else runtime.clock.startTimer(saturationStepMilliseconds * (0.5 + runtime.randomness.fraction()), onFreed);
    return;
  }
  memberConnections.recordFailure(group, now, runtime.randomness.fraction());
  if (fault.kind(error) === 'not-listening') group.notListeningAt = now;
  runtime.log('member.not-opened', { member: memberAddress.member, reason: error.message });
}

function requestConnection(table: Table, memberAddress: MemberAddress, tenant: string): boolean {
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

function warmUp(table: Table, memberAddress: MemberAddress, tenant: string): void {
  const group = connectionsOf(table, memberAddress.member);
  if (memberConnections.total(group) >= table.limitsFor(memberAddress).retained || isOpening(table, memberAddress.member, tenant)) return;
  if (!memberConnections.hasFor(group, tenant)) requestConnection(table, memberAddress, tenant);
}

function release(table: Table, pooled: PooledConnection, reusable: boolean): void {
  const group = connectionsOf(table, pooled.memberAddress.member);
  const session = group.inUse.get(pooled);
  if (session === undefined) return;
  group.inUse.delete(pooled);
  if (reusable && !pooled.connection.isClosed() && memberConnections.total(group) < table.limitsFor(pooled.memberAddress).maximum)
    memberConnections.addIdle(group, pooled, session, table.runtime.clock.now());
  else if (reusable) pooled.connection.close();
  else pooled.connection.reset();
  table.onFreed();
}

function closeStale(table: Table, members: ReadonlyMap<string, Readonly<{ address: string }>>): void {
  const now = table.runtime.clock.now();
  for (const [member, group] of table.members) {
    const entry = members.get(member);
    const memberAddress = group.idle[0]?.pooled.memberAddress;
    const surplus = memberAddress === undefined ? 0 : memberConnections.total(group) - table.limitsFor(memberAddress).retained;
    memberConnections.closeStale(group, { address: entry?.address, now, surplus });
    if (entry === undefined && memberConnections.total(group) === 0) table.members.delete(member);
  }
}

function describe(table: Table): ReturnType<Connections['describe']> {
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
  onFreed: () => void,
): Connections {
  const table: Table = { runtime, dialect, limitsFor, onFreed, members: new Map(), opened: 0, failed: 0 };

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
    closeAll: function closeAll() {
      for (const group of table.members.values()) memberConnections.closeAll(group);
      table.members.clear();
    },
  };
}

export const connections = { create } as const;
