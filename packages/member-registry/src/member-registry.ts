/** The registry of members that register by their heartbeats. One core receives a heartbeat, and passes it on to the others (design 4.7). */
import * as Option from 'fp-ts/lib/Option.js';
import { livenessService, type Liveness } from '@stallstall/election';
import { identifiers, runtimeUtilities, type Instant, type Runtime } from '@stallstall/kernel';
import type { MemberRecord } from '@stallstall/message';
import type { MemberPlacement } from '@stallstall/placement';
import { drainings, type Draining } from './draining.js';
import { isSameRecord, unknownMember, type ReceivedHeartbeat, type Registration } from './member-records.js';

export type { ReceivedHeartbeat, Registration } from './member-records.js';

export type MemberRegistry = Readonly<{
  /** Applies a heartbeat that a member sent to this core; false when it changes nothing, because it is outdated or the member has left. */
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
  /** Members that count as draining although a later heartbeat reports them as in service: their replies decide. */
  questionedMembers: () => readonly MemberRecord[];
  /** Records that the member replied to a query of this core. */
  recordReply: (member: string) => void;
  membersOf: (service: string) => readonly MemberPlacement[];
  /** Updates which members are down, marks long silent members as gone and removes old records of gone members. Called periodically. */
  sweep: () => void;
}>;

/**
 * Whether the member counts as draining. `hasReturned`: it did, and this core has found since that it is in service. `inServiceSince`: since when
 * it is, so that older reports of draining are void.
 */
type MemberPhase = Readonly<{ draining: Draining | undefined; hasReturned: boolean; inServiceSince: Instant }>;

/**
 * `changedAt`: the registry's version at the last change. `receivedAt`: when a core received the last heartbeat or the departure, or when the
 * member was marked as gone. `hasLeft`: the member announced its departure; a member that is gone only because it was silent returns with its
 * next heartbeat.
 */
type RegisteredMember = Readonly<{
  record: MemberRecord;
  changedAt: number;
  receivedAt: Instant;
  hasLeft: boolean;
  phase: MemberPhase;
}>;

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

/** After a longer silence a heartbeat with a lower sequence number counts as well: the member may have been restarted. */
const lowerSequenceMilliseconds = 3_000;
/** How long the record of a gone member is kept, so that a delayed heartbeat does not add the member again. */
const goneRetentionMilliseconds = 120_000;
/** A member that is silent for this long is taken for crashed, without having announced its departure, and is marked as gone. */
const silentUntilGoneMilliseconds = 60_000;
const neverDraining: MemberPhase = {
  draining: undefined,
  hasReturned: false,
  inServiceSince: identifiers.instant(Number.NEGATIVE_INFINITY),
};

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

function setMember(registry: RegistryState, next: Omit<RegisteredMember, 'changedAt'>): void {
  const { record, receivedAt } = next;
  const previous = registry.members.get(record.member);
  logPhase(registry, previous, record, receivedAt);
  const isChanged = previous === undefined || !isSameRecord(previous.record, record);
  if (isChanged) registry.version += 1;
  registry.members.set(record.member, { ...next, changedAt: isChanged ? registry.version : previous.changedAt });
  if (isChanged) registry.onChange();
}

/** The content of the later heartbeat: of `entry`, or of the previous one if that has a higher number and was received shortly before. */
function laterContent(previous: RegisteredMember | undefined, entry: MemberRecord, receivedAt: Instant): MemberRecord {
  if (previous === undefined || entry.sequence >= previous.record.sequence) return entry;
  return receivedAt - previous.receivedAt < lowerSequenceMilliseconds ? previous.record : entry;
}

/** When a core received a heartbeat that reports the member as in service, as far as this one tells of any. */
function inServiceAtOf({ entry, ago, inServiceAgo }: ReceivedHeartbeat, now: Instant): Option.Option<Instant> {
  const age = entry.draining ? inServiceAgo : ago;
  return age === undefined ? Option.none : Option.some(identifiers.after(now, -age));
}

/** The member's phase after a heartbeat, whatever its sequence number (design 4.7). */
function phaseAfter({ runtime }: RegistryState, previous: MemberPhase, heartbeat: ReceivedHeartbeat): MemberPhase {
  const { entry, ago, drainingAgo } = heartbeat;
  const now = runtime.clock.now();
  const reportedAt = identifiers.after(now, -(drainingAgo ?? ago));
  const isReportValid = entry.draining && reportedAt > previous.inServiceSince;
  const reported = isReportValid ? drainings.report(previous.draining, reportedAt) : previous.draining;
  if (reported === undefined) return previous;
  const inServiceAt = inServiceAtOf(heartbeat, now);
  if (Option.isNone(inServiceAt)) return { ...previous, draining: reported, hasReturned: false };
  const draining = drainings.reportInService(reported, inServiceAt.value);
  const inServiceSince = drainings.inServiceSince(draining, now);
  if (Option.isNone(inServiceSince)) return { ...previous, draining, hasReturned: false };
  return { draining: undefined, hasReturned: true, inServiceSince: inServiceSince.value };
}

/** Applies a heartbeat that a core received; false when it changes nothing. */
function applyHeartbeat(registry: RegistryState, heartbeat: ReceivedHeartbeat): boolean {
  const { runtime, liveness, members } = registry;
  const { entry, ago } = heartbeat;
  const previous = members.get(entry.member);
  const receivedAt = identifiers.after(runtime.clock.now(), -ago);
  const content = laterContent(previous, entry, receivedAt);
  if (previous?.hasLeft === true || (content !== entry && !entry.draining)) return false;
  const phase = phaseAfter(registry, previous?.phase ?? neverDraining, heartbeat);
  liveness.recordHeartbeat(entry.member, ago);
  setMember(registry, {
    record: {
      ...content,
      draining: phase.draining !== undefined,
      returned: phase.hasReturned,
      gone: false,
      down: liveness.isDown(entry.member),
    },
    receivedAt: identifiers.instant(Math.max(receivedAt, previous?.receivedAt ?? Number.NEGATIVE_INFINITY)),
    hasLeft: false,
    phase,
  });
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
  const isApplied = applyHeartbeat(registry, { entry: { ...registration, gone: false, down: false }, ago: 0 });
  if (registration.sequence < (previous?.record.sequence ?? 0)) logLowerSequence(registry, registration, previous?.record, isApplied);
  if (isApplied) registry.unsent.set(registration.member, registry.runtime.clock.now());
  return isApplied;
}

function applyDeparture(registry: RegistryState, record: MemberRecord, receivedAt: Instant): void {
  const previous = registry.members.get(record.member);
  setMember(registry, {
    record: { ...record, gone: true },
    receivedAt: identifiers.instant(Math.max(receivedAt, previous?.receivedAt ?? Number.NEGATIVE_INFINITY)),
    hasLeft: true,
    phase: previous?.phase ?? neverDraining,
  });
}

function recordDeparture(registry: RegistryState, member: string): void {
  const { runtime, members, unsent, announcedDepartures } = registry;
  const previous = members.get(member);
  announcedDepartures.add(member);
  if (previous?.hasLeft === true) return;
  applyDeparture(registry, previous?.record ?? unknownMember(member), runtime.clock.now());
  unsent.set(member, runtime.clock.now());
}

function mergeHeartbeats(registry: RegistryState, heartbeats: readonly ReceivedHeartbeat[]): void {
  for (const heartbeat of heartbeats) {
    const receivedAt = identifiers.after(registry.runtime.clock.now(), -heartbeat.ago);
    if (heartbeat.entry.gone) applyDeparture(registry, { ...heartbeat.entry, down: false }, receivedAt);
    else applyHeartbeat(registry, heartbeat);
  }
}

/** A draining member that was read from the disk counts as draining from now on: how long ago it reported that is not stored. */
function restore(registry: RegistryState, records: readonly MemberRecord[]): void {
  const now = registry.runtime.clock.now();
  for (const record of records) {
    if (registry.members.has(record.member)) continue;
    const draining = record.draining ? drainings.report(undefined, now) : undefined;
    setMember(registry, {
      record: { ...record, down: false },
      receivedAt: now,
      hasLeft: record.gone,
      phase: { ...neverDraining, draining },
    });
  }
}

/** @param receivedAt - when a core received the member's latest heartbeat or its departure */
function toReceivedHeartbeat({ runtime }: RegistryState, { record, phase }: RegisteredMember, receivedAt: Instant): ReceivedHeartbeat {
  const now = runtime.clock.now();
  const heartbeat = { entry: record, ago: Math.max(0, now - receivedAt) };
  if (phase.draining === undefined) return heartbeat;
  const { reportedAt, inServiceAt } = phase.draining;
  const drainingAgo = Math.max(0, now - reportedAt);
  if (Option.isNone(inServiceAt)) return { ...heartbeat, drainingAgo };
  return { ...heartbeat, drainingAgo, inServiceAgo: Math.max(0, now - inServiceAt.value) };
}

function takeRecentHeartbeats(registry: RegistryState): readonly ReceivedHeartbeat[] {
  const heartbeats = [...registry.unsent].flatMap(function toHeartbeat([member, receivedAt]): readonly ReceivedHeartbeat[] {
    const registered = registry.members.get(member);
    return registered === undefined ? [] : [toReceivedHeartbeat(registry, registered, receivedAt)];
  });
  registry.unsent.clear();
  return heartbeats;
}

/** Leaves out members that are gone only because they were silent: another core would take a record marked as gone for a final departure. */
function snapshot(registry: RegistryState): readonly ReceivedHeartbeat[] {
  return [...registry.members.values()]
    .filter((registered) => registered.hasLeft || !registered.record.gone)
    .map((registered) => toReceivedHeartbeat(registry, registered, registered.receivedAt));
}

function questionedMembers({ members }: RegistryState): readonly MemberRecord[] {
  return [...members.values()]
    .filter(({ record, phase }) => !record.gone && phase.draining !== undefined && drainings.isQuestioned(phase.draining))
    .map(({ record }) => record);
}

function recordReply({ runtime, members }: RegistryState, member: string): void {
  const registered = members.get(member);
  if (registered?.phase.draining === undefined) return;
  const draining = drainings.recordReply(registered.phase.draining, runtime.clock.now());
  members.set(member, { ...registered, phase: { ...registered.phase, draining } });
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
    setMember(registry, { ...registered, record: { ...registered.record, gone: true }, receivedAt: now, hasLeft: false });
    return;
  }
  const down = !registered.record.gone && liveness.isDown(member);
  if (down !== registered.record.down) setMember(registry, { ...registered, record: { ...registered.record, down } });
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
    mergeHeartbeats: (heartbeats) => mergeHeartbeats(registry, heartbeats),
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
    questionedMembers: () => questionedMembers(registry),
    recordReply: (member) => recordReply(registry, member),
    membersOf: (service) => membersOf(registry, service),
    sweep: () => sweep(registry),
  };
}

/** The name under which other services of the process find its registry. */
export const memberRegistryService = runtimeUtilities.serviceName<MemberRegistry>('member-registry');

export const memberRegistry = { create } as const;
