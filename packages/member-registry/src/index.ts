// Members that register by their beats: one core takes a beat, all cores know it (design 4.7).
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, kernel as kernels, type Instant, type Kernel } from '@stallstall/kernel';
import type { MemberRecord } from '@stallstall/message';
import type { MemberPlacement } from '@stallstall/placement';
import { livenessService } from '@stallstall/election';

/** What a member tells of itself with each beat. */
export type Registration = Omit<MemberRecord, 'gone' | 'down'>;
export type ReceivedBeat = Readonly<{ entry: MemberRecord; ago: number }>;

export type MemberRegistry = Readonly<{
  /** Takes a beat that reached this core; false when a later one of the same member was taken before. */
  heartbeat: (registration: Registration) => boolean;
  /** The member has left for good. */
  leave: (member: string) => void;
  /** Beats that another core took. */
  merge: (takeRecent: readonly ReceivedBeat[]) => void;
  /** What stood before a restart: of use until beats tell, and never later than any of them. */
  restore: (entries: readonly MemberRecord[]) => void;
  /** Beats taken here since the last call, for the other cores. */
  takeRecent: () => readonly ReceivedBeat[];
  /** All that is known here of members, for a core that has missed some of it. */
  all: () => readonly ReceivedBeat[];
  /** Grows with every change that a reader must know of. */
  version: () => number;
  /** What has changed since a number. */
  changedSince: (version: number) => readonly MemberRecord[];
  recordOf: (member: string) => Option.Option<MemberRecord>;
  membersOf: (service: string) => readonly MemberPlacement[];
  /** Looks for members that went silent, or are heard again. */
  sweep: () => void;
}>;

/** `left`: it said so itself; one that is gone by its silence alone is back with its next beat. */
type Known = { entry: MemberRecord; changedAt: number; takenAt: Instant; left: boolean };

/** No beat is late by more than this: a lower count after such a silence is that of a member that began anew. */
const lateMilliseconds = 3_000;
/** A member that left is remembered so long, so that no late beat brings it back. */
const goneMilliseconds = 120_000;
/** A member silent for so long is of no service any more: it crashed for good and said nothing. */
const forgetMilliseconds = 60_000;

function same(left: MemberRecord, right: MemberRecord): boolean {
  return (
    left.address === right.address &&
    left.area === right.area &&
    left.draining === right.draining &&
    left.role === right.role &&
    left.slots === right.slots &&
    left.gone === right.gone &&
    left.down === right.down &&
    left.service === right.service
  );
}

/** A member of which no beat was heard here: all that can be told of it is that it has left. */
function unmet(member: string): MemberRecord {
  return { member, service: '-', address: '-', area: '-', draining: true, role: 'replica', slots: 0, sequence: 0, gone: true, down: false };
}

function create(kernel: Kernel, onChange: () => void): MemberRegistry {
  const liveness = kernel.services.find(livenessService);
  const table = new Map<string, Known>();
  const toSpread = new Map<string, Instant>();
  let number = 0;

  function put(entry: MemberRecord, takenAt: Instant, left: boolean): void {
    const known = table.get(entry.member);
    const changed = known === undefined || !same(known.entry, entry);
    if (changed) number += 1;
    table.set(entry.member, { entry, changedAt: changed ? number : known.changedAt, takenAt, left });
    if (changed) onChange();
  }

  /** What leaves never comes back, and of two tellings the later one stands. */
  function isLate(entry: MemberRecord, takenAt: Instant): boolean {
    const known = table.get(entry.member);
    if (known === undefined) return false;
    return (
      (known.left && !entry.gone) || (!entry.gone && entry.sequence < known.entry.sequence && takenAt - known.takenAt < lateMilliseconds)
    );
  }

  function heard(entry: MemberRecord, ago: number): boolean {
    const takenAt = identifiers.after(kernel.clock.now(), -ago);
    if (isLate(entry, takenAt)) return false;
    if (!entry.gone) liveness.observeHeartbeat(entry.member, ago);
    const known = table.get(entry.member);
    const newest = identifiers.instant(Math.max(takenAt, known?.takenAt ?? Number.NEGATIVE_INFINITY));
    put({ ...entry, down: !entry.gone && liveness.isDown(entry.member) }, newest, entry.gone);
    return true;
  }

  function beat(registration: Registration): boolean {
    const taken = heard({ ...registration, gone: false, down: false }, 0);
    if (taken) toSpread.set(registration.member, kernel.clock.now());
    return taken;
  }

  function leave(member: string): void {
    const known = table.get(member);
    if (known?.left === true) return;
    put({ ...(known?.entry ?? unmet(member)), gone: true }, kernel.clock.now(), true);
    toSpread.set(member, kernel.clock.now());
  }

  function restore(entries: readonly MemberRecord[]): void {
    for (const entry of entries) if (!table.has(entry.member)) put({ ...entry, down: false }, kernel.clock.now(), entry.gone);
  }

  function spread(): readonly ReceivedBeat[] {
    const now = kernel.clock.now();
    const told = [...toSpread].flatMap(([member, at]) => {
      const known = table.get(member);
      return known === undefined ? [] : [{ entry: known.entry, ago: Math.max(0, now - at) }];
    });
    toSpread.clear();
    return told;
  }

  /** One that is gone by its silence alone is left out: told as gone it would never come back. */
  function everything(): readonly ReceivedBeat[] {
    const now = kernel.clock.now();
    return [...table.values()]
      .filter((known) => known.left || !known.entry.gone)
      .map((known) => ({ entry: known.entry, ago: Math.max(0, now - known.takenAt) }));
  }

  function step(): void {
    const now = kernel.clock.now();
    for (const [member, known] of table) {
      const silent = now - known.takenAt;
      if (known.entry.gone ? silent > goneMilliseconds : silent > forgetMilliseconds) {
        if (!known.entry.gone) put({ ...known.entry, gone: true }, now, false);
        else table.delete(member);
        continue;
      }
      const down = !known.entry.gone && liveness.isDown(member);
      if (down !== known.entry.down) put({ ...known.entry, down }, known.takenAt, known.left);
    }
  }

  return {
    heartbeat: beat,
    restore,
    leave,
    takeRecent: spread,
    all: everything,
    sweep: step,
    merge: function take(told) {
      for (const one of told) heard(one.entry, one.ago);
    },
    version: () => number,
    changedSince: (from) => [...table.values()].filter((known) => known.changedAt > from).map((known) => known.entry),
    recordOf: (member) => Option.map((known: Known) => known.entry)(Option.fromNullable(table.get(member))),
    membersOf: (service) =>
      [...table.values()]
        .filter((known) => known.entry.service === service && !known.entry.gone)
        .map(({ entry }): MemberPlacement => ({
          member: entry.member,
          area: entry.area,
          address: entry.address,
          state: entry.draining ? 'draining' : 'serving',
        }))
        .sort((left, right) => (left.member < right.member ? -1 : 1)),
  };
}

export const memberRegistryService = kernels.serviceName<MemberRegistry>('roster');

export const memberRegistry = { create } as const;
