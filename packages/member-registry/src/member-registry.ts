/** The registry of members that register by their heartbeats: one core receives a heartbeat, all cores know it (design 4.7). */
import * as Option from 'fp-ts/lib/Option.js';
import { livenessService, type Liveness } from '@stallstall/election';
import { identifiers, runtimeUtilities, type Instant, type Runtime } from '@stallstall/kernel';
import type { MemberRecord } from '@stallstall/message';
import type { MemberPlacement } from '@stallstall/placement';
import { isSameRecord, unknownMember, type ReceivedHeartbeat, type Registration } from './member-records.js';

export type { ReceivedHeartbeat, Registration } from './member-records.js';

export type MemberRegistry = Readonly<{
  /** Takes a heartbeat that reached this core; false when a later one of the same member was received before. */
  recordHeartbeat: (registration: Registration) => boolean;
  /** The member has left for good. */
  recordDeparture: (member: string) => void;
  /** Takes heartbeats that another core received. */
  mergeHeartbeats: (beats: readonly ReceivedHeartbeat[]) => void;
  /** Takes what was known before a restart: of use until heartbeats tell, and never later than any of them. */
  restore: (records: readonly MemberRecord[]) => void;
  /** Heartbeats received here since the last call, for the other cores. */
  takeRecentHeartbeats: () => readonly ReceivedHeartbeat[];
  /** All that is known here of members, for a core that has missed some of it. */
  snapshot: () => readonly ReceivedHeartbeat[];
  /** Rises with every change that a reader must know of. */
  version: () => number;
  changedSince: (version: number) => readonly MemberRecord[];
  recordOf: (member: string) => Option.Option<MemberRecord>;
  membersOf: (service: string) => readonly MemberPlacement[];
  /** Looks for members that went silent, or are heard again. */
  sweep: () => void;
}>;

/** `left`: it said so itself; one that is gone by its silence alone is back with its next heartbeat. */
type KnownMember = Readonly<{ entry: MemberRecord; changedAt: number; takenAt: Instant; left: boolean }>;

type RegistryState = {
  readonly runtime: Runtime;
  readonly liveness: Liveness;
  readonly onChange: () => void;
  readonly members: Map<string, KnownMember>;
  /** Members to be sent to the other cores, and when they were heard here. */
  readonly recent: Map<string, Instant>;
  version: number;
};

/** No heartbeat is late by more than this: a lower count after such a silence is that of a member that was restarted. */
const lateMilliseconds = 3_000;
/** A member that left is remembered so long, so that no late heartbeat brings it back. */
const goneMilliseconds = 120_000;
/** A member silent for so long is of no service any more: it crashed for good and said nothing. */
const forgetMilliseconds = 60_000;

function put(registry: RegistryState, entry: MemberRecord, takenAt: Instant, left: boolean): void {
  const known = registry.members.get(entry.member);
  const isChanged = known === undefined || !isSameRecord(known.entry, entry);
  if (isChanged) registry.version += 1;
  registry.members.set(entry.member, { entry, changedAt: isChanged ? registry.version : known.changedAt, takenAt, left });
  if (isChanged) registry.onChange();
}

/** A member that left never comes back, and of two heartbeats the later one stands. */
function isLate({ members }: RegistryState, entry: MemberRecord, takenAt: Instant): boolean {
  const known = members.get(entry.member);
  if (known === undefined) return false;
  return (
    (known.left && !entry.gone) || (!entry.gone && entry.sequence < known.entry.sequence && takenAt - known.takenAt < lateMilliseconds)
  );
}

/** Takes a record that was received so long ago; false when it came too late. */
function receive(registry: RegistryState, entry: MemberRecord, ago: number): boolean {
  const { runtime, liveness, members } = registry;
  const takenAt = identifiers.after(runtime.clock.now(), -ago);
  if (isLate(registry, entry, takenAt)) return false;
  if (!entry.gone) liveness.recordHeartbeat(entry.member, ago);
  const known = members.get(entry.member);
  const newest = identifiers.instant(Math.max(takenAt, known?.takenAt ?? Number.NEGATIVE_INFINITY));
  put(registry, { ...entry, down: !entry.gone && liveness.isDown(entry.member) }, newest, entry.gone);
  return true;
}

function recordHeartbeat(registry: RegistryState, registration: Registration): boolean {
  const isTaken = receive(registry, { ...registration, gone: false, down: false }, 0);
  if (isTaken) registry.recent.set(registration.member, registry.runtime.clock.now());
  return isTaken;
}

function recordDeparture(registry: RegistryState, member: string): void {
  const { runtime, members, recent } = registry;
  const known = members.get(member);
  if (known?.left === true) return;
  put(registry, { ...(known?.entry ?? unknownMember(member)), gone: true }, runtime.clock.now(), true);
  recent.set(member, runtime.clock.now());
}

function restore(registry: RegistryState, records: readonly MemberRecord[]): void {
  for (const record of records) {
    if (registry.members.has(record.member)) continue;
    put(registry, { ...record, down: false }, registry.runtime.clock.now(), record.gone);
  }
}

function takeRecentHeartbeats({ runtime, members, recent }: RegistryState): readonly ReceivedHeartbeat[] {
  const now = runtime.clock.now();
  const beats = [...recent].flatMap(function beatOf([member, at]): readonly ReceivedHeartbeat[] {
    const known = members.get(member);
    return known === undefined ? [] : [{ entry: known.entry, ago: Math.max(0, now - at) }];
  });
  recent.clear();
  return beats;
}

/** One that is gone by its silence alone is left out: reported as gone it would never come back. */
function snapshot({ runtime, members }: RegistryState): readonly ReceivedHeartbeat[] {
  const now = runtime.clock.now();
  return [...members.values()]
    .filter((known) => known.left || !known.entry.gone)
    .map((known) => ({ entry: known.entry, ago: Math.max(0, now - known.takenAt) }));
}

function sweepMember(registry: RegistryState, member: string, known: KnownMember): void {
  const { runtime, liveness, members } = registry;
  const now = runtime.clock.now();
  const silentMilliseconds = now - known.takenAt;
  if (known.entry.gone && silentMilliseconds > goneMilliseconds) {
    members.delete(member);
    return;
  }
  if (!known.entry.gone && silentMilliseconds > forgetMilliseconds) {
    put(registry, { ...known.entry, gone: true }, now, false);
    return;
  }
  const down = !known.entry.gone && liveness.isDown(member);
  if (down !== known.entry.down) put(registry, { ...known.entry, down }, known.takenAt, known.left);
}

function sweep(registry: RegistryState): void {
  for (const [member, known] of registry.members) sweepMember(registry, member, known);
}

function placementOf(entry: MemberRecord): MemberPlacement {
  return {
    member: entry.member,
    area: entry.area,
    address: entry.address,
    state: entry.draining ? 'draining' : 'serving',
  };
}

function byName(left: MemberPlacement, right: MemberPlacement): number {
  return left.member < right.member ? -1 : 1;
}

function membersOf({ members }: RegistryState, service: string): readonly MemberPlacement[] {
  return [...members.values()]
    .filter((known) => known.entry.service === service && !known.entry.gone)
    .map((known) => placementOf(known.entry))
    .sort(byName);
}

/** @param onChange - called once anything that a reader must know of has changed */
function create(runtime: Runtime, onChange: () => void): MemberRegistry {
  const registry: RegistryState = {
    runtime,
    liveness: runtime.services.find(livenessService),
    onChange,
    members: new Map(),
    recent: new Map(),
    version: 0,
  };
  return {
    recordHeartbeat: (registration) => recordHeartbeat(registry, registration),
    recordDeparture: (member) => recordDeparture(registry, member),
    mergeHeartbeats: function mergeHeartbeats(beats) {
      for (const { entry, ago } of beats) receive(registry, entry, ago);
    },
    restore: (records) => restore(registry, records),
    takeRecentHeartbeats: () => takeRecentHeartbeats(registry),
    snapshot: () => snapshot(registry),
    version: () => registry.version,
    changedSince: function changedSince(version) {
      return [...registry.members.values()].filter((known) => known.changedAt > version).map((known) => known.entry);
    },
    recordOf: (member) => Option.map((known: KnownMember) => known.entry)(Option.fromNullable(registry.members.get(member))),
    membersOf: (service) => membersOf(registry, service),
    sweep: () => sweep(registry),
  };
}

/** The name under which a process's other services find its registry. */
export const memberRegistryService = runtimeUtilities.serviceName<MemberRegistry>('member-registry');

export const memberRegistry = { create } as const;
