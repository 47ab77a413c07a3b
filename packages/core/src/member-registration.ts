/** Members that register by their heartbeats, and edges that hold leases, as one core serves them (design 4.7, 7.12). */
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
import { leaderWatch, type LeaderWatch } from './leader-watch.js';
import { registryBroadcaster, type RegistryBroadcaster } from './registry-broadcaster.js';
import { registryFile, type RegistryFile } from './registry-file.js';

export type MemberRegistrationParts = Readonly<{
  node: Node;
  disk: Pick<Disk, 'put'>;
  /** What the disk held of the registry when the process started. */
  storedRegistry: unknown;
  grantorContext: Omit<LeaseGrantorContext, 'epochs' | 'registry' | 'isLeaderMissing' | 'onConnectionRefused'>;
  /** Whether a majority of cores has replied within the last moment. */
  isInContact: () => boolean;
}>;

export type MemberRegistration = Readonly<{
  grantor: LeaseGrantor;
  /** The members of a service, its leader among them. */
  membersOf: (service: string) => readonly MemberPlacement[];
  /** Resolves to false when no majority of cores would know of the heartbeat, so that the member turns to another core. */
  heartbeat: (registration: Registration) => Promise<boolean>;
  /** Resolves to true once a majority of cores knows that the member has left. */
  leave: (member: string) => Promise<boolean>;
  /**
   * Takes heartbeats that another core received; resolves to true once those that say that a member drains or has left are synced.
   */
  mergeBeats: (beats: readonly ReceivedHeartbeat[]) => Promise<boolean>;
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
  readonly broadcaster: RegistryBroadcaster;
  readonly file: RegistryFile;
  isBroadcastScheduled: boolean;
  isStopped: boolean;
};

const broadcastMilliseconds = 100;
/** Changes within this span are broadcast together. */
const gatherMilliseconds = 1;
/** How often this core sees that its own connection to each leader is open. */
const leaderCheckMilliseconds = 300;

function broadcast({ broadcaster, isStopped }: RegistrationState): void {
  if (!isStopped) broadcaster.broadcast();
}

/** A change goes to the other cores and to the edges at once, and to the disk some time later. */
function onRegistryChanged(state: RegistrationState): void {
  state.grantor.notify();
  state.file.writeLater();
  if (state.isBroadcastScheduled) return;
  state.isBroadcastScheduled = true;
  state.runtime.clock.startTimer(gatherMilliseconds, function broadcastNow() {
    state.isBroadcastScheduled = false;
    broadcast(state);
  });
}

/** Resolves to true once a majority of cores, this one included, has on its disk what a member said of its end (design 7.14). */
async function confirm({ file, broadcaster }: RegistrationState, member: string): Promise<boolean> {
  const [own, others] = await Promise.all([file.write(), broadcaster.confirm(member)]);
  return own && others;
}

async function heartbeat(state: RegistrationState, registration: Registration): Promise<boolean> {
  state.registry.recordHeartbeat(registration);
  return state.isInContact() && (!registration.draining || confirm(state, registration.member));
}

async function leave(state: RegistrationState, member: string): Promise<boolean> {
  state.registry.recordDeparture(member);
  return state.isInContact() && confirm(state, member);
}

async function mergeBeats({ registry, file }: RegistrationState, beats: readonly ReceivedHeartbeat[]): Promise<boolean> {
  registry.mergeHeartbeats(beats);
  return !beats.some(({ entry }) => entry.gone || entry.draining) || file.write();
}

/** A leader that no heartbeat has named yet is not gone: liveness tells whether it is DOWN (design 7.1). */
function membersOf({ node, registry }: RegistrationState, service: string): readonly MemberPlacement[] {
  const members = registry.membersOf(service);
  const elected = node.electedPrimary(service);
  if (Option.isNone(elected) || Option.isSome(registry.recordOf(elected.value.primary))) return members;
  return [...members, { member: elected.value.primary, area: '-', address: '', state: 'serving' }];
}

function start(state: RegistrationState): void {
  const { runtime, registry, leaders } = state;
  function isRunning(): boolean {
    return !state.isStopped;
  }
  function sweepAndBroadcast(): void {
    registry.sweep();
    broadcast(state);
  }
  void runtimeUtilities.every(runtime.clock, broadcastMilliseconds, sweepAndBroadcast, isRunning);
  void runtimeUtilities.every(runtime.clock, leaderCheckMilliseconds, leaders.checkLeaderConnections, isRunning);
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
    broadcaster: registryBroadcaster.create(runtime, node, registry),
    file: registryFile.create(runtime, parts.disk, registry),
    isBroadcastScheduled: false,
    isStopped: false,
  };
  return state;
}

function create(runtime: Runtime, parts: MemberRegistrationParts): MemberRegistration {
  const state = assemble(runtime, parts);
  runtime.services.offer(memberRegistryService, state.registry);
  runtime.services.offer(leaseGrantorService, state.grantor);
  registryFile.restore(state.registry, parts.storedRegistry);
  return {
    grantor: state.grantor,
    membersOf: (service) => membersOf(state, service),
    heartbeat: (registration) => heartbeat(state, registration),
    leave: (member) => leave(state, member),
    mergeBeats: (beats) => mergeBeats(state, beats),
    start: () => start(state),
    stop: () => stop(state),
  };
}

export const memberRegistration = { create } as const;
