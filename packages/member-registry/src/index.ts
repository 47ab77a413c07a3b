// Members that register by their beats: one core takes a beat, all cores know it (design 4.7).
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, kernel as kernels, type Instant, type Kernel } from '@stallstall/kernel';
import type { RosterEntry } from '@stallstall/message';
import type { SheetMember } from '@stallstall/placement';
import { livenessService } from '@stallstall/election';

/** What a member tells of itself with each beat. */
export type Registration = Omit<RosterEntry, 'gone' | 'down'>;
export type Spread = Readonly<{ entry: RosterEntry; ago: number }>;

export type Roster = Readonly<{
  /** Takes a beat that reached this core; false when a later one of the same member was taken before. */
  beat: (registration: Registration) => boolean;
  /** The member has left for good. */
  leave: (member: string) => void;
  /** Beats that another core took. */
  take: (spread: readonly Spread[]) => void;
  /** What stood before a restart: of use until beats tell, and never later than any of them. */
  restore: (entries: readonly RosterEntry[]) => void;
  /** Beats taken here since the last call, for the other cores. */
  spread: () => readonly Spread[];
  /** All that is known here of members, for a core that has missed some of it. */
  everything: () => readonly Spread[];
  /** Grows with every change that a reader must know of. */
  number: () => number;
  /** What has changed since a number. */
  since: (number: number) => readonly RosterEntry[];
  entryOf: (member: string) => Option.Option<RosterEntry>;
  membersOf: (service: string) => readonly SheetMember[];
  /** Looks for members that went silent, or are heard again. */
  step: () => void;
}>;

/** `left`: it said so itself; one that is gone by its silence alone is back with its next beat. */
type Known = { entry: RosterEntry; changedAt: number; takenAt: Instant; left: boolean };

/** No beat is late by more than this: a lower count after such a silence is that of a member that began anew. */
const lateMilliseconds = 3_000;
/** A member that left is remembered so long, so that no late beat brings it back. */
const goneMilliseconds = 120_000;
/** A member silent for so long is of no service any more: it crashed for good and said nothing. */
const forgetMilliseconds = 60_000;

function same(left: RosterEntry, right: RosterEntry): boolean {
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
function unmet(member: string): RosterEntry {
  return { member, service: '-', address: '-', area: '-', draining: true, role: 'replica', slots: 0, sequence: 0, gone: true, down: false };
}

function create(kernel: Kernel, onChange: () => void): Roster {
  const liveness = kernel.services.find(livenessService);
  const table = new Map<string, Known>();
  const toSpread = new Map<string, Instant>();
  let number = 0;

  function put(entry: RosterEntry, takenAt: Instant, left: boolean): void {
    const known = table.get(entry.member);
    const changed = known === undefined || !same(known.entry, entry);
    if (changed) number += 1;
    table.set(entry.member, { entry, changedAt: changed ? number : known.changedAt, takenAt, left });
    if (changed) onChange();
  }

  /** What leaves never comes back, and of two tellings the later one stands. */
  function isLate(entry: RosterEntry, takenAt: Instant): boolean {
    const known = table.get(entry.member);
    if (known === undefined) return false;
    return (
      (known.left && !entry.gone) || (!entry.gone && entry.sequence < known.entry.sequence && takenAt - known.takenAt < lateMilliseconds)
    );
  }

  function heard(entry: RosterEntry, ago: number): boolean {
    const takenAt = identifiers.after(kernel.clock.now(), -ago);
    if (isLate(entry, takenAt)) return false;
    if (!entry.gone) liveness.heard(entry.member, ago);
    const known = table.get(entry.member);
    const newest = identifiers.instant(Math.max(takenAt, known?.takenAt ?? Number.NEGATIVE_INFINITY));
    put({ ...entry, down: !entry.gone && liveness.down(entry.member) }, newest, entry.gone);
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

  function restore(entries: readonly RosterEntry[]): void {
    for (const entry of entries) if (!table.has(entry.member)) put({ ...entry, down: false }, kernel.clock.now(), entry.gone);
  }

  function spread(): readonly Spread[] {
    const now = kernel.clock.now();
    const told = [...toSpread].flatMap(([member, at]) => {
      const known = table.get(member);
      return known === undefined ? [] : [{ entry: known.entry, ago: Math.max(0, now - at) }];
    });
    toSpread.clear();
    return told;
  }

  /** One that is gone by its silence alone is left out: told as gone it would never come back. */
  function everything(): readonly Spread[] {
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
      const down = !known.entry.gone && liveness.down(member);
      if (down !== known.entry.down) put({ ...known.entry, down }, known.takenAt, known.left);
    }
  }

  return {
    beat,
    restore,
    leave,
    spread,
    everything,
    step,
    take: function take(told) {
      for (const one of told) heard(one.entry, one.ago);
    },
    number: () => number,
    since: (from) => [...table.values()].filter((known) => known.changedAt > from).map((known) => known.entry),
    entryOf: (member) => Option.map((known: Known) => known.entry)(Option.fromNullable(table.get(member))),
    membersOf: (service) =>
      [...table.values()]
        .filter((known) => known.entry.service === service && !known.entry.gone)
        .map(({ entry }): SheetMember => ({
          member: entry.member,
          area: entry.area,
          address: entry.address,
          state: entry.draining ? 'draining' : 'serving',
        }))
        .sort((left, right) => (left.member < right.member ? -1 : 1)),
  };
}

export const rosterService = kernels.serviceName<Roster>('roster');

export const roster = { create } as const;
