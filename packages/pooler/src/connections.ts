/** Connections to members, kept by member and tenant: few, costly, reused, within this edge's share (design 8.3, 8.12). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Fault, type Runtime } from '@stallstall/kernel';
import { memberConnection, type Dialect, type MemberAddress } from '@stallstall/session-protocol';
import { memberConnections, saturationStepMilliseconds, type MemberConnections, type PooledLine } from './member-connections.js';

export type { Image, PooledLine } from './member-connections.js';

export type Connections = Readonly<{
  /** An idle connection, the one the session used last if it can be had; none when there is none idle. */
  take: (place: MemberAddress, tenant: string, session: string) => Option.Option<PooledLine>;
  /** Has one more opened for whoever waits; false when the share of that member is used up. */
  want: (place: MemberAddress, tenant: string) => boolean;
  /** Opens one ahead of need, unless one stands for the tenant. */
  warm: (place: MemberAddress, tenant: string) => void;
  /** Whether one is being opened for a tenant. */
  opening: (member: string, tenant: string) => boolean;
  /** `sound`: nothing is left open on it; else it is broken off, and the member rolls back what is open. */
  giveBack: (pooled: PooledLine, sound: boolean) => void;
  /** The last opening failed and nothing is open: until then nobody waits for this member. */
  failing: (member: string) => boolean;
  /** Members whose machines refused a connection lately. */
  notListening: () => readonly string[];
  /** How many are in use. */
  busy: (member: string) => number;
  /** Closes what members are gone for, and what has been idle for long. */
  tend: (members: ReadonlyMap<string, Readonly<{ address: string }>>) => void;
  describe: () => Readonly<{ idle: number; busy: number; opening: number; opened: number; failed: number }>;
  closeAll: () => void;
}>;

/** What an edge may hold of a member at once, and what it keeps without demand: room is left for machines that come back. */
export type Share = Readonly<{ most: number; kept: number }>;

type Table = {
  readonly runtime: Runtime;
  readonly dialect: Dialect;
  readonly share: (place: MemberAddress) => Share;
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

function of(table: Table, member: string): MemberConnections {
  let known = table.members.get(member);
  if (known === undefined) {
    known = memberConnections.create();
    table.members.set(member, known);
  }
  return known;
}

function isOpening(table: Table, member: string, tenant: string): boolean {
  return (table.members.get(member)?.openingFor.get(tenant) ?? 0) > 0;
}

/** The member rejected the connection because it has too many. */
function isSaturated(error: Fault): boolean {
  const condition = memberConnection.conditionOf(error);
  return Option.isSome(condition) && condition.value === 'overloaded';
}

async function open(table: Table, place: MemberAddress, tenant: string, known: MemberConnections): Promise<void> {
  const { runtime, dialect, onFreed } = table;
  known.opening += 1;
  known.openingFor.set(tenant, (known.openingFor.get(tenant) ?? 0) + 1);
  table.opened += 1;
  const line = await memberConnection.open(runtime, dialect, place, tenant, openMilliseconds);
  known.opening -= 1;
  known.openingFor.set(tenant, (known.openingFor.get(tenant) ?? 1) - 1);
  if (Either.isLeft(line)) noteFailed(table, place, tenant, known, line.left);
  else if (table.members.get(place.member) !== known) line.right.close();
  else {
    memberConnections.noteOpened(known);
    const image = { values: new Map(), prepared: new Map(), names: 0 };
    memberConnections.addIdle(known, { place, tenant, line: line.right, image }, '', runtime.clock.now());
  }
  onFreed();
}

function noteFailed(table: Table, place: MemberAddress, tenant: string, known: MemberConnections, error: Fault): void {
  const { runtime, onFreed } = table;
  const now = runtime.clock.now();
  table.failed += 1;
  if (isSaturated(error)) {
    known.saturation = Option.some({ admitted: Math.max(1, memberConnections.total(known)), since: now });
    if (memberConnections.makeRoom(known, tenant, now)) void open(table, place, tenant, known);
    else runtime.clock.startTimer(saturationStepMilliseconds * (0.5 + runtime.randomness.fraction()), onFreed);
    return;
  }
  memberConnections.noteFailure(known, now, runtime.randomness.fraction());
  if (fault.kind(error) === 'not-listening') known.notListeningAt = now;
  runtime.log('member.not-opened', { member: place.member, reason: error.message });
}

function want(table: Table, place: MemberAddress, tenant: string): boolean {
  const known = of(table, place.member);
  const now = table.runtime.clock.now();
  if (now < known.failingUntil) return false;
  if (memberConnections.total(known) >= memberConnections.limit(known, table.share(place).most, now)) {
    memberConnections.dropClosed(known);
    if (!memberConnections.makeRoom(known, tenant, now)) return false;
  }
  void open(table, place, tenant, known);
  return true;
}

function warm(table: Table, place: MemberAddress, tenant: string): void {
  const known = of(table, place.member);
  if (memberConnections.total(known) >= table.share(place).kept || isOpening(table, place.member, tenant)) return;
  if (!memberConnections.hasFor(known, tenant)) want(table, place, tenant);
}

function giveBack(table: Table, pooled: PooledLine, sound: boolean): void {
  const known = of(table, pooled.place.member);
  const session = known.busy.get(pooled);
  if (session === undefined) return;
  known.busy.delete(pooled);
  if (sound && !pooled.line.closed() && memberConnections.total(known) < table.share(pooled.place).most)
    memberConnections.addIdle(known, pooled, session, table.runtime.clock.now());
  else if (sound) pooled.line.close();
  else pooled.line.reset();
  table.onFreed();
}

function tend(table: Table, members: ReadonlyMap<string, Readonly<{ address: string }>>): void {
  const now = table.runtime.clock.now();
  for (const [member, known] of table.members) {
    const entry = members.get(member);
    const place = known.idle[0]?.pooled.place;
    const surplus = place === undefined ? 0 : memberConnections.total(known) - table.share(place).kept;
    memberConnections.closeStale(known, { address: entry?.address, now, surplus });
    if (entry === undefined && memberConnections.total(known) === 0) table.members.delete(member);
  }
}

function describe(table: Table): ReturnType<Connections['describe']> {
  const { opened, failed } = table;
  const counts = { idle: 0, busy: 0, opening: 0, opened, failed };
  for (const known of table.members.values()) {
    counts.idle += known.idle.length;
    counts.busy += known.busy.size;
    counts.opening += known.opening;
  }
  return counts;
}

function create(runtime: Runtime, dialect: Dialect, share: (place: MemberAddress) => Share, onFreed: () => void): Connections {
  const table: Table = { runtime, dialect, share, onFreed, members: new Map(), opened: 0, failed: 0 };

  return {
    take: (place, tenant, session) => memberConnections.take(of(table, place.member), place, tenant, session),
    want: (place, tenant) => want(table, place, tenant),
    warm: (place, tenant) => warm(table, place, tenant),
    opening: (member, tenant) => isOpening(table, member, tenant),
    giveBack: (pooled, sound) => giveBack(table, pooled, sound),
    tend: (members) => tend(table, members),
    failing: function failing(member) {
      const known = table.members.get(member);
      return known !== undefined && known.failures > 0 && known.idle.length + known.busy.size === 0;
    },
    notListening: () =>
      [...table.members]
        .filter(([, known]) => runtime.clock.now() - known.notListeningAt < notListeningMilliseconds)
        .map(([member]) => member),
    busy: (member) => table.members.get(member)?.busy.size ?? 0,
    describe: () => describe(table),
    closeAll: function closeAll() {
      for (const known of table.members.values()) memberConnections.closeAll(known);
      table.members.clear();
    },
  };
}

export const connections = { create } as const;
