// Connections to members, kept by member and tenant: few, costly, reused, within this edge's share (design 8.3, 8.12).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, identifiers, type Fault, type Instant, type Kernel } from '@stallstall/kernel';
import { lines, type Dialect, type MemberLine, type MemberPlace } from '@stallstall/statement';

/** What stands on a connection: a session's values, and prepared shapes under names of the connection's own. */
export type Image = { readonly values: Map<string, string>; readonly prepared: Map<string, string>; names: number };

export type PooledLine = Readonly<{
  place: MemberPlace;
  tenant: string;
  line: MemberLine;
  image: Image;
}>;

export type Connections = Readonly<{
  /** An idle connection, the one the session used last if it can be had; none when there is none idle. */
  take: (place: MemberPlace, tenant: string, session: string) => Option.Option<PooledLine>;
  /** Has one more opened for whoever waits; false when the share of that member is used up. */
  want: (place: MemberPlace, tenant: string) => boolean;
  /** Opens one ahead of need, should none stand for the tenant. */
  warm: (place: MemberPlace, tenant: string) => void;
  opening: (member: string, tenant: string) => boolean;
  giveBack: (pooled: PooledLine, sound: boolean) => void;
  /** The last opening failed and nothing is open: until then nobody waits for this member. */
  failing: (member: string) => boolean;
  /** Members whose machines refused a connection lately. */
  notListening: () => readonly string[];
  busy: (member: string) => number;
  /** Closes what members are gone for, and what has been idle for long. */
  tend: (members: ReadonlyMap<string, Readonly<{ address: string }>>) => void;
  describe: () => Readonly<{ idle: number; busy: number; opening: number; opened: number; failed: number }>;
  closeAll: () => void;
}>;

type Idle = Readonly<{ pooled: PooledLine; session: string; since: Instant }>;
/** What an edge may hold of a member at once, and what it keeps when nobody asks: room is left for whoever comes back from the dark. */
export type Share = Readonly<{ most: number; kept: number }>;

type MemberLines = {
  idle: Idle[];
  readonly busy: Map<PooledLine, string>;
  opening: number;
  openingFor: Map<string, number>;
  failures: number;
  failingUntil: Instant;
  notListeningAt: Instant;
  /** Until a member lets in more again: how many it let in, and since when. */
  scarce: Option.Option<Readonly<{ most: number; since: Instant }>>;
};

const openMilliseconds = 1_000;
const idleMilliseconds = 20_000;
/** An idle connection beyond what is kept is closed after so long. */
const surplusMilliseconds = 4_000;
/** A member that has too many connections is asked for no more than stand, and for one more after each such span. */
const scarceMilliseconds = 250;
const unusedMilliseconds = 300;
const leastPauseMilliseconds = 150;
const mostPauseMilliseconds = 1_500;
const notListeningMilliseconds = 1_000;
const never = identifiers.instant(Number.NEGATIVE_INFINITY);

function create(kernel: Kernel, dialect: Dialect, share: (place: MemberPlace) => Share, onFreed: () => void): Connections {
  const table = new Map<string, MemberLines>();
  let opened = 0;
  let failed = 0;

  function of(member: string): MemberLines {
    let known = table.get(member);
    if (known === undefined) {
      known = {
        idle: [],
        busy: new Map(),
        opening: 0,
        openingFor: new Map(),
        failures: 0,
        failingUntil: never,
        notListeningAt: never,
        scarce: Option.none,
      };
      table.set(member, known);
    }
    return known;
  }

  function mostOf(place: MemberPlace, known: MemberLines): number {
    const { most } = share(place);
    if (Option.isNone(known.scarce)) return most;
    const now = known.scarce.value.most + Math.floor((kernel.clock.now() - known.scarce.value.since) / scarceMilliseconds);
    if (now >= most) known.scarce = Option.none;
    return Math.min(most, now);
  }

  function total(known: MemberLines): number {
    return known.idle.length + known.busy.size + known.opening;
  }

  function dropClosed(known: MemberLines): void {
    if (known.idle.some((one) => one.pooled.line.closed())) known.idle = known.idle.filter((one) => !one.pooled.line.closed());
  }

  function take(place: MemberPlace, tenant: string, session: string): Option.Option<PooledLine> {
    const known = of(place.member);
    dropClosed(known);
    let best = -1;
    for (let index = known.idle.length - 1; index >= 0; index -= 1) {
      const one = known.idle[index] as Idle;
      if (one.pooled.tenant !== tenant || one.pooled.place.address !== place.address) continue;
      if (one.session === session) {
        best = index;
        break;
      }
      // Next best is one on which no values stand: nothing has to be cleared.
      const current = best < 0 ? undefined : (known.idle[best] as Idle);
      if (current === undefined || (current.pooled.image.values.size > 0 && one.pooled.image.values.size === 0)) best = index;
    }
    if (best < 0) return Option.none;
    const [found] = known.idle.splice(best, 1);
    const { pooled } = found as Idle;
    known.busy.set(pooled, session);
    return Option.some(pooled);
  }

  async function open(place: MemberPlace, tenant: string, known: MemberLines): Promise<void> {
    known.opening += 1;
    known.openingFor.set(tenant, (known.openingFor.get(tenant) ?? 0) + 1);
    opened += 1;
    const line = await lines.open(kernel, dialect, place, tenant, openMilliseconds);
    known.opening -= 1;
    known.openingFor.set(tenant, (known.openingFor.get(tenant) ?? 1) - 1);
    const now = kernel.clock.now();
    if (Either.isLeft(line) && isScarce(line.left)) {
      failed += 1;
      known.scarce = Option.some({ most: Math.max(1, total(known)), since: now });
      if (makeRoom(tenant, known)) void open(place, tenant, known);
      else kernel.clock.alarm(scarceMilliseconds * (0.5 + kernel.randomness.fraction()), onFreed);
      onFreed();
      return;
    }
    if (Either.isLeft(line)) {
      failed += 1;
      known.failures += 1;
      const pause = Math.min(mostPauseMilliseconds, leastPauseMilliseconds * 2 ** (known.failures - 1));
      known.failingUntil = identifiers.after(now, pause * (0.75 + kernel.randomness.fraction() / 2));
      if (fault.kind(line.left) === 'not-listening') known.notListeningAt = now;
      kernel.log('member.not-opened', { member: place.member, reason: line.left.message });
    } else if (table.get(place.member) !== known) line.right.close();
    else {
      known.failures = 0;
      known.failingUntil = never;
      known.notListeningAt = never;
      known.idle.push({
        pooled: { place, tenant, line: line.right, image: { values: new Map(), prepared: new Map(), names: 0 } },
        session: '',
        since: now,
      });
    }
    onFreed();
  }

  function isScarce(error: Fault): boolean {
    const condition = lines.conditionOf(error);
    return Option.isSome(condition) && condition.value === 'overloaded';
  }

  /** One of this edge's own that rests for another tenant gives way. */
  function makeRoom(tenant: string, known: MemberLines): boolean {
    const now = kernel.clock.now();
    // One that was opened a moment ago and not used yet is meant for somebody who waits.
    const index = known.idle.findIndex(
      (one) => one.pooled.tenant !== tenant && (one.session !== '' || now - one.since > unusedMilliseconds),
    );
    if (index < 0) return false;
    const [given] = known.idle.splice(index, 1);
    given?.pooled.line.close();
    return true;
  }

  /** Whether one is being opened for a tenant. */
  function opening(member: string, tenant: string): boolean {
    return (table.get(member)?.openingFor.get(tenant) ?? 0) > 0;
  }

  /** Opens one ahead of need, should none stand for the tenant. */
  function warm(place: MemberPlace, tenant: string): void {
    const known = of(place.member);
    if (total(known) >= share(place).kept || opening(place.member, tenant) || known.idle.some((one) => one.pooled.tenant === tenant))
      return;
    for (const busy of known.busy.keys()) if (busy.tenant === tenant) return;
    want(place, tenant);
  }

  function want(place: MemberPlace, tenant: string): boolean {
    const known = of(place.member);
    if (kernel.clock.now() < known.failingUntil) return false;
    if (total(known) >= mostOf(place, known)) {
      // Another tenant's idle connection makes room: the one that rested longest.
      dropClosed(known);
      if (!makeRoom(tenant, known)) return false;
    }
    void open(place, tenant, known);
    return true;
  }

  function giveBack(pooled: PooledLine, sound: boolean): void {
    const known = of(pooled.place.member);
    const session = known.busy.get(pooled);
    if (session === undefined) return;
    known.busy.delete(pooled);
    if (sound && !pooled.line.closed() && total(known) < share(pooled.place).most)
      known.idle.push({ pooled, session, since: kernel.clock.now() });
    else if (sound) pooled.line.close();
    else pooled.line.reset();
    onFreed();
  }

  function tend(members: ReadonlyMap<string, Readonly<{ address: string }>>): void {
    const now = kernel.clock.now();
    for (const [member, known] of table) {
      const entry = members.get(member);
      const place = known.idle[0]?.pooled.place;
      let surplus = place === undefined ? 0 : total(known) - share(place).kept;
      const stale = known.idle.filter(function isStale(one) {
        if (
          entry === undefined ||
          entry.address !== one.pooled.place.address ||
          now - one.since > idleMilliseconds ||
          one.pooled.line.closed()
        )
          return true;
        // Those that rested longest stand first.
        if (surplus <= 0 || now - one.since <= surplusMilliseconds) return false;
        surplus -= 1;
        return true;
      });
      if (stale.length > 0) {
        known.idle = known.idle.filter((one) => !stale.includes(one));
        for (const one of stale) one.pooled.line.close();
      }
      if (entry === undefined && total(known) === 0) table.delete(member);
    }
  }

  return {
    take,
    want,
    warm,
    opening,
    giveBack,
    tend,
    failing: function failing(member) {
      const known = table.get(member);
      return known !== undefined && known.failures > 0 && known.idle.length + known.busy.size === 0;
    },
    notListening: () =>
      [...table].filter(([, known]) => kernel.clock.now() - known.notListeningAt < notListeningMilliseconds).map(([member]) => member),
    busy: (member) => table.get(member)?.busy.size ?? 0,
    describe: function describe() {
      const all = [...table.values()];
      return {
        idle: all.reduce((sum, one) => sum + one.idle.length, 0),
        busy: all.reduce((sum, one) => sum + one.busy.size, 0),
        opening: all.reduce((sum, one) => sum + one.opening, 0),
        opened,
        failed,
      };
    },
    closeAll: function closeAll() {
      for (const known of table.values()) {
        for (const one of known.idle) one.pooled.line.close();
        for (const pooled of known.busy.keys()) pooled.line.reset();
      }
      table.clear();
    },
  };
}

export const connections = { create } as const;
