/** The registry of members that register by their heartbeats. One core receives a heartbeat, and passes it on to the others (design 4.7). */
import * as Option from 'fp-ts/lib/Option.js';
import { livenessService, type Liveness } from '@stallstall/election';
import { identifiers, runtimeUtilities, type Instant, type Runtime } from '@stallstall/kernel';
import type { MemberRecord } from '@stallstall/message';
import type { MemberPlacement } from '@stallstall/placement';
import { isSameRecord, unknownMember, type ReceivedHeartbeat, type Registration } from './member-records.js';

export type { ReceivedHeartbeat, Registration } from './member-records.js';

export type MemberRegistry = Readonly<{
  /** Applies a heartbeat that a member sent to this core; false when it is outdated or the member has left. */
  recordHeartbeat: (registration: Registration) => boolean;
  /** Records that the member has announced its departure, which is final. */
  recordDeparture: (member: string) => void;
  /** Applies heartbeats that another core received. */
  mergeHeartbeats: (heartbeats: readonly ReceivedHeartbeat[]) => void;
  /** Adds records stored before a restart, which serve until heartbeats arrive. They never replace a record that is already there. */
  restore: (records: readonly MemberRecord[]) => void;
  /** Returns the heartbeats and departures that this core received since the last call, to be sent to the other cores. */
  takeRecentHeartbeats: () => readonly ReceivedHeartbeat[];
  /** All records, for a core that has missed some heartbeats. */
  snapshot: () => readonly ReceivedHeartbeat[];
  /** Rises with every change of a record; a heartbeat that only has a new sequence number is no change. */
  version: () => number;
  changedSince: (version: number) => readonly MemberRecord[];
  recordOf: (member: string) => Option.Option<MemberRecord>;
  /** Whether the member has announced its departure to this core since the process started. */
  hasAnnouncedDeparture: (member: string) => boolean;
  membersOf: (service: string) => readonly MemberPlacement[];
  /** Updates which members are down, marks long silent members as gone and removes old records of gone members. Called periodically. */
  sweep: () => void;
}>;

/**
 * `changedAt`: the registry's version at the last change. `receivedAt`: when a core received the last heartbeat or the departure, or when the
 * member was marked as gone. `hasLeft`: the member announced its departure; a member that is gone only because it was silent returns with its
 * next heartbeat.
 */
type RegisteredMember = Readonly<{ record: MemberRecord; changedAt: number; receivedAt: Instant; hasLeft: boolean }>;

type RegistryState = {
  readonly runtime: Runtime;
  readonly liveness: Liveness;
  readonly onChange: () => void;
  readonly members: Map<string, RegisteredMember>;
  /** Members whose records are to be sent to the other cores, and when this core received their heartbeat or departure. */
  readonly unsent: Map<string, Instant>;
  /** Members that announced their departure to this core itself. */
  readonly announcedDepartures: Set<string>;
  version: number;
};

/** Heartbeats are delayed by less than this: a lower sequence number after a longer silence means that the member was restarted. */
const maximumDelayMilliseconds = 3_000;
/** How long the record of a gone member is kept, so that a delayed heartbeat does not add the member again. */
const goneRetentionMilliseconds = 120_000;
/** A member that is silent for this long is taken for crashed, without having announced its departure, and is marked as gone. */
const silentUntilGoneMilliseconds = 60_000;

/** Logs that the member's registration turned to draining or back, and which heartbeat it was that said so. */
function logPhase({ runtime }: RegistryState, previous: RegisteredMember | undefined, record: MemberRecord, receivedAt: Instant): void {
  if (record.gone || (previous?.record.draining ?? false) === record.draining) return;
  runtime.log(record.draining ? 'member.draining' : 'member.in-service', {
    member: record.member,
    sequence: record.sequence,
    previousSequence: previous?.record.sequence ?? 0,
    silentMilliseconds: previous === undefined ? 0 : Math.round(receivedAt - previous.receivedAt),
  });
}

function setRecord(registry: RegistryState, record: MemberRecord, receivedAt: Instant, hasLeft: boolean): void {
  const previous = registry.members.get(record.member);
  logPhase(registry, previous, record, receivedAt);
  const isChanged = previous === undefined || !isSameRecord(previous.record, record);
  if (isChanged) registry.version += 1;
  registry.members.set(record.member, { record, changedAt: isChanged ? registry.version : previous.changedAt, receivedAt, hasLeft });
  if (isChanged) registry.onChange();
}

/** Whether a heartbeat is ignored: the member has left, which is final, or a later heartbeat was received shortly before. */
function isOutdated({ members }: RegistryState, record: MemberRecord, receivedAt: Instant): boolean {
  const previous = members.get(record.member);
  if (previous === undefined) return false;
  return (
    (previous.hasLeft && !record.gone) ||
    (!record.gone && record.sequence < previous.record.sequence && receivedAt - previous.receivedAt < maximumDelayMilliseconds)
  );
}

/** Applies a record that a core received `ago` milliseconds ago; false when it is outdated. */
function applyRecord(registry: RegistryState, record: MemberRecord, ago: number): boolean {
  const { runtime, liveness, members } = registry;
  const receivedAt = identifiers.after(runtime.clock.now(), -ago);
  if (isOutdated(registry, record, receivedAt)) return false;
  if (!record.gone) liveness.recordHeartbeat(record.member, ago);
  const previous = members.get(record.member);
  const latestReceivedAt = identifiers.instant(Math.max(receivedAt, previous?.receivedAt ?? Number.NEGATIVE_INFINITY));
  setRecord(registry, { ...record, down: !record.gone && liveness.isDown(record.member) }, latestReceivedAt, record.gone);
  return true;
}

/** Logs a heartbeat that this core received after one with a higher number: a late one, or one of another process of the member. */
function logLowerSequence(
  { runtime }: RegistryState,
  { member, sequence, draining }: Registration,
  previous: MemberRecord | undefined,
  isApplied: boolean,
): void {
  runtime.log('heartbeat.lower-number', { member, sequence, previousSequence: previous?.sequence ?? 0, draining, isApplied });
}

function recordHeartbeat(registry: RegistryState, registration: Registration): boolean {
  const previous = registry.members.get(registration.member);
  const isApplied = applyRecord(registry, { ...registration, gone: false, down: false }, 0);
  if (registration.sequence < (previous?.record.sequence ?? 0)) logLowerSequence(registry, registration, previous?.record, isApplied);
  if (isApplied) registry.unsent.set(registration.member, registry.runtime.clock.now());
  return isApplied;
}

function recordDeparture(registry: RegistryState, member: string): void {
  const { runtime, members, unsent, announcedDepartures } = registry;
  const previous = members.get(member);
  announcedDepartures.add(member);
  if (previous?.hasLeft === true) return;
  setRecord(registry, { ...(previous?.record ?? unknownMember(member)), gone: true }, runtime.clock.now(), true);
  unsent.set(member, runtime.clock.now());
}

function restore(registry: RegistryState, records: readonly MemberRecord[]): void {
  for (const record of records) {
    if (registry.members.has(record.member)) continue;
    setRecord(registry, { ...record, down: false }, registry.runtime.clock.now(), record.gone);
  }
}

function takeRecentHeartbeats({ runtime, members, unsent }: RegistryState): readonly ReceivedHeartbeat[] {
  const now = runtime.clock.now();
  const heartbeats = [...unsent].flatMap(function toHeartbeat([member, receivedAt]): readonly ReceivedHeartbeat[] {
    const registered = members.get(member);
    return registered === undefined ? [] : [{ entry: registered.record, ago: Math.max(0, now - receivedAt) }];
  });
  unsent.clear();
  return heartbeats;
}

/** Leaves out members that are gone only because they were silent: another core would take a record marked as gone for a final departure. */
function snapshot({ runtime, members }: RegistryState): readonly ReceivedHeartbeat[] {
  const now = runtime.clock.now();
  return [...members.values()]
    .filter((registered) => registered.hasLeft || !registered.record.gone)
    .map((registered) => ({ entry: registered.record, ago: Math.max(0, now - registered.receivedAt) }));
}

function sweepMember(registry: RegistryState, member: string, registered: RegisteredMember): void {
  const { runtime, liveness, members } = registry;
  const now = runtime.clock.now();
  const silentMilliseconds = now - registered.receivedAt;
  if (registered.record.gone && silentMilliseconds > goneRetentionMilliseconds) {
    members.delete(member);
    registry.announcedDepartures.delete(member);
    return;
  }
  if (!registered.record.gone && silentMilliseconds > silentUntilGoneMilliseconds) {
    setRecord(registry, { ...registered.record, gone: true }, now, false);
    return;
  }
  const down = !registered.record.gone && liveness.isDown(member);
  if (down !== registered.record.down) setRecord(registry, { ...registered.record, down }, registered.receivedAt, registered.hasLeft);
}

function sweep(registry: RegistryState): void {
  for (const [member, registered] of registry.members) sweepMember(registry, member, registered);
}

function placementOf(record: MemberRecord): MemberPlacement {
  return {
    member: record.member,
    area: record.area,
    address: record.address,
    state: record.draining ? 'draining' : 'serving',
  };
}

function byId(left: MemberPlacement, right: MemberPlacement): number {
  return left.member < right.member ? -1 : 1;
}

function membersOf({ members }: RegistryState, service: string): readonly MemberPlacement[] {
  return [...members.values()]
    .filter((registered) => registered.record.service === service && !registered.record.gone)
    .map((registered) => placementOf(registered.record))
    .sort(byId);
}

/** @param onChange - called after each change that raises the registry's version */
function create(runtime: Runtime, onChange: () => void): MemberRegistry {
  const registry: RegistryState = {
    runtime,
    liveness: runtime.services.find(livenessService),
    onChange,
    members: new Map(),
    unsent: new Map(),
    announcedDepartures: new Set(),
    version: 0,
  };
  return {
    recordHeartbeat: (registration) => recordHeartbeat(registry, registration),
    recordDeparture: (member) => recordDeparture(registry, member),
    mergeHeartbeats: function mergeHeartbeats(heartbeats) {
      for (const { entry, ago } of heartbeats) applyRecord(registry, entry, ago);
    },
    restore: (records) => restore(registry, records),
    takeRecentHeartbeats: () => takeRecentHeartbeats(registry),
    snapshot: () => snapshot(registry),
    version: () => registry.version,
    changedSince: function changedSince(version) {
      return [...registry.members.values()].filter((registered) => registered.changedAt > version).map((registered) => registered.record);
    },
    recordOf: (member) =>
      Option.map((registered: RegisteredMember) => registered.record)(Option.fromNullable(registry.members.get(member))),
    hasAnnouncedDeparture: (member) => registry.announcedDepartures.has(member),
    membersOf: (service) => membersOf(registry, service),
    sweep: () => sweep(registry),
  };
}

/** The name under which other services of the process find its registry. */
export const memberRegistryService = runtimeUtilities.serviceName<MemberRegistry>('member-registry');

export const memberRegistry = { create } as const;
