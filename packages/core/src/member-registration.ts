/** Serves members that register by heartbeat, and edges that hold leases, on one core (design 4.7, 7.12). */
import * as Option from 'fp-ts/lib/Option.js';
import { runtimeUtilities, type Disk, type Runtime } from '@stallstall/kernel';
import { leaseGrantor, leaseGrantorService, type LeaseGrantor, type LeaseGrantorContext } from '@stallstall/lease';
import {
  memberRegistry,
  memberRegistryService,
  type MemberRegistry,
  type ReceivedHeartbeat,
  type Registration,
} from '@stallstall/member-registry';
import type { Node } from '@stallstall/node';
import type { MemberPlacement } from '@stallstall/placement';
import { drainingChecks, type DrainingChecks } from './draining-checks.js';
import { leaderWatch, type LeaderWatch } from './leader-watch.js';
import { registryBroadcaster, type RegistryBroadcaster } from './registry-broadcaster.js';
import { registryFile, type RegistryFile } from './registry-file.js';

export type MemberRegistrationParts = Readonly<{
  node: Node;
  disk: Pick<Disk, 'put'>;
  /** The registry as read from the disk when the process started. */
  storedRegistry: unknown;
  grantorContext: Omit<LeaseGrantorContext, 'epochs' | 'registry' | 'isLeaderMissing' | 'onConnectionRefused'>;
  /** Whether a majority of cores has replied recently. */
  isInContact: () => boolean;
}>;

export type MemberRegistration = Readonly<{
  grantor: LeaseGrantor;
  /** The members of a service, including its leader. */
  membersOf: (service: string) => readonly MemberPlacement[];
  /** Resolves to false if this core cannot pass the heartbeat on to a majority of cores; the member then tries another core. */
  heartbeat: (registration: Registration) => Promise<boolean>;
  /** Resolves to true once a majority of cores has recorded that the member has left. */
  leave: (member: string) => Promise<boolean>;
  /**
   * Merges heartbeats that another core received; resolves to true once any that report a draining or departed member are synced to disk.
   */
  mergeHeartbeats: (heartbeats: readonly ReceivedHeartbeat[]) => Promise<boolean>;
  /** See `MemberRegistry.hasAnnouncedDeparture`. */
  hasAnnouncedDeparture: (member: string) => boolean;
  start: () => void;
  stop: () => void;
}>;

type RegistrationState = {
  readonly runtime: Runtime;
  readonly node: Node;
  readonly isInContact: () => boolean;
  readonly registry: MemberRegistry;
  readonly grantor: LeaseGrantor;
  readonly leaders: LeaderWatch;
  readonly drainingChecks: DrainingChecks;
  readonly broadcaster: RegistryBroadcaster;
  readonly file: RegistryFile;
  isBroadcastScheduled: boolean;
  isStopped: boolean;
};

const broadcastIntervalMilliseconds = 100;
/** Changes within this delay are batched into one broadcast. */
const broadcastDelayMilliseconds = 1;
/** How often this core ensures that its own connection to each leader is open. */
const leaderCheckIntervalMilliseconds = 300;
const drainingCheckIntervalMilliseconds = 1_000;

function broadcast({ broadcaster, isStopped }: RegistrationState): void {
  if (!isStopped) broadcaster.broadcast();
}

/** Sends a change to the edges immediately and to the other cores after the batching delay, and schedules the write to disk. */
function onRegistryChanged(state: RegistrationState): void {
  state.grantor.notify();
  state.file.writeLater();
  if (state.isBroadcastScheduled) return;
  state.isBroadcastScheduled = true;
  state.runtime.clock.startTimer(broadcastDelayMilliseconds, function broadcastNow() {
    state.isBroadcastScheduled = false;
    broadcast(state);
  });
}

/** Resolves to true once a majority of cores, including this one, has on disk that a member is draining or has left (design 7.14). */
async function confirm({ file, broadcaster }: RegistrationState, member: string): Promise<boolean> {
  const [isWritten, isConfirmed] = await Promise.all([file.write(), broadcaster.confirm(member)]);
  return isWritten && isConfirmed;
}

async function heartbeat(state: RegistrationState, registration: Registration): Promise<boolean> {
  state.registry.recordHeartbeat(registration);
  return state.isInContact() && (!registration.draining || confirm(state, registration.member));
}

async function leave(state: RegistrationState, member: string): Promise<boolean> {
  state.registry.recordDeparture(member);
  return state.isInContact() && confirm(state, member);
}

async function mergeHeartbeats({ registry, file }: RegistrationState, heartbeats: readonly ReceivedHeartbeat[]): Promise<boolean> {
  registry.mergeHeartbeats(heartbeats);
  return !heartbeats.some(({ entry }) => entry.gone || entry.draining) || file.write();
}

/** Includes a leader that has sent no heartbeat yet: it has not departed, and failure detection decides if it is DOWN (design 7.1). */
function membersOf({ node, registry }: RegistrationState, service: string): readonly MemberPlacement[] {
  const members = registry.membersOf(service);
  const elected = node.electedPrimary(service);
  if (Option.isNone(elected) || Option.isSome(registry.recordOf(elected.value.primary))) return members;
  return [...members, { member: elected.value.primary, area: '-', address: '', state: 'serving' }];
}

function start(state: RegistrationState): void {
  const { runtime, registry, leaders } = state;
  const { queryQuestionedMembers } = state.drainingChecks;
  function isRunning(): boolean {
    return !state.isStopped;
  }
  function sweepAndBroadcast(): void {
    registry.sweep();
    broadcast(state);
  }
  void runtimeUtilities.every(runtime.clock, broadcastIntervalMilliseconds, sweepAndBroadcast, isRunning);
  void runtimeUtilities.every(runtime.clock, leaderCheckIntervalMilliseconds, leaders.checkLeaderConnections, isRunning);
  void runtimeUtilities.every(runtime.clock, drainingCheckIntervalMilliseconds, queryQuestionedMembers, isRunning);
}

function stop(state: RegistrationState): void {
  state.isStopped = true;
  state.file.stop();
  state.grantor.stop();
}

function assemble(runtime: Runtime, parts: MemberRegistrationParts): RegistrationState {
  const { node, isInContact } = parts;
  const registry = memberRegistry.create(runtime, () => onRegistryChanged(state));
  const leaders = leaderWatch.create(runtime, node, registry);
  const grantor = leaseGrantor.create(runtime, {
    ...parts.grantorContext,
    epochs: node.epochs,
    registry,
    isLeaderMissing: leaders.isLeaderMissing,
    onConnectionRefused: leaders.checkConnection,
  });
  const state: RegistrationState = {
    runtime,
    node,
    isInContact,
    registry,
    grantor,
    leaders,
    drainingChecks: drainingChecks.create(runtime, registry, isInContact),
    broadcaster: registryBroadcaster.create(runtime, node, registry),
    file: registryFile.create(runtime, parts.disk, registry),
    isBroadcastScheduled: false,
    isStopped: false,
  };
  return state;
}

function create(runtime: Runtime, parts: MemberRegistrationParts): MemberRegistration {
  const state = assemble(runtime, parts);
  runtime.services.register(memberRegistryService, state.registry);
  runtime.services.register(leaseGrantorService, state.grantor);
  registryFile.restore(state.registry, parts.storedRegistry);
  return {
    grantor: state.grantor,
    membersOf: (service) => membersOf(state, service),
    heartbeat: (registration) => heartbeat(state, registration),
    leave: (member) => leave(state, member),
    mergeHeartbeats: (heartbeats) => mergeHeartbeats(state, heartbeats),
    hasAnnouncedDeparture: state.registry.hasAnnouncedDeparture,
    start: () => start(state),
    stop: () => stop(state),
  };
}

export const memberRegistration = { create } as const;
