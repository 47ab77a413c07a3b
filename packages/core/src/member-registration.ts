// Members that register by their beats, and edges that hold leases, as one core serves them (design 4.7, 7.12).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { Type } from '@sinclair/typebox';
import { kernel as kernels, type Disk, type Kernel } from '@stallstall/kernel';
import { livenessService } from '@stallstall/election';
import { leaseGrantor as lessors, leaseGrantorService, type LeaseGrantor, type LeaseGrantorContext } from '@stallstall/lease';
import { message, MemberRecordSchema } from '@stallstall/message';
import type { Node } from '@stallstall/node';
import {
  memberRegistry as rosters,
  memberRegistryService,
  type Registration,
  type MemberRegistry,
  type ReceivedBeat,
} from '@stallstall/member-registry';
import type { MemberPlacement } from '@stallstall/placement';
import { rosterKey } from './data-folder.js';
import { registryBroadcaster as spreaders } from './registry-broadcaster.js';

export type MemberRegistrationParts = Readonly<{
  node: Node;
  disk: Pick<Disk, 'put'>;
  /** What the disk held of the roster when the process started. */
  storedRoster: unknown;
  grantorContext: Omit<LeaseGrantorContext, 'epochs' | 'registry' | 'isLeaderMissing' | 'onConnectionRefused'>;
  inTouch: () => boolean;
}>;

export type MemberRegistration = Readonly<{
  lessor: LeaseGrantor;
  /** The members of a service, its leader among them. */
  membersOf: (service: string) => readonly MemberPlacement[];
  /** Resolves to false when no majority of cores would know of the beat, so that the member turns to another core. */
  heartbeat: (registration: Registration) => Promise<boolean>;
  /** Resolves to true once a majority of cores knows that the member has left. */
  leave: (member: string) => Promise<boolean>;
  /** Takes beats that another core was sent; resolves to true once those that say that a member drains or has left are synced. */
  mergeBeats: (beats: readonly ReceivedBeat[]) => Promise<boolean>;
  start: () => void;
  stop: () => void;
}>;

const spreadMilliseconds = 100;
/** Changes within this span are spread together. */
const gatherMilliseconds = 1;
const keepMilliseconds = 300;
/** So often this core sees that its own connection to whoever leads stands. */
const lookMilliseconds = 300;
const lookTimeoutMilliseconds = 800;
const RosterSchema = Type.Array(MemberRecordSchema);

/** Looks of this core's own at members and leaders, whose outcome liveness keeps. */
function leaderWatch(kernel: Kernel, node: Node, roster: MemberRegistry) {
  function services(): readonly string[] {
    const current = node.configuration();
    if (Option.isNone(current)) return [];
    return current.value.value.sheet.services.filter((service) => service.registered).map((service) => service.service);
  }

  function lookAt(member: string): void {
    const entry = roster.recordOf(member);
    if (Option.isSome(entry) && !entry.value.gone)
      void kernel.services.find(livenessService).keepConnection(entry.value.service, member, entry.value.address, lookTimeoutMilliseconds);
  }

  function isTroubled(service: string, ownEpoch: number): boolean {
    const settled = node.electedPrimary(service);
    if (Option.isNone(settled)) return false;
    const entry = roster.recordOf(settled.value.primary);
    return ownEpoch > settled.value.epoch || Option.isNone(entry) || entry.value.down || entry.value.gone;
  }

  return {
    lookAt,
    /** Some service has no leader that is up and stands where all agree. */
    isAnyTroubled: function isAnyTroubled(): boolean {
      const epochs = node.epochs();
      return services().some((service) => isTroubled(service, epochs[service] ?? 0));
    },
    lookAtLeaders: function lookAtLeaders(): void {
      for (const service of services()) {
        const settled = node.electedPrimary(service);
        if (Option.isSome(settled)) lookAt(settled.value.primary);
      }
    },
  };
}

function create(kernel: Kernel, parts: MemberRegistrationParts): MemberRegistration {
  const { node } = parts;
  let stopped = false;
  let spreading = false;
  let keeping = false;
  /** The roster's number at the last write that was synced. */
  let writtenNumber = 0;
  const roster = rosters.create(kernel, onRosterChanged);
  const spreader = spreaders.create(kernel, node, roster);
  const leaders = leaderWatch(kernel, node, roster);
  const lessor = lessors.create(kernel, {
    ...parts.grantorContext,
    epochs: node.epochs,
    registry: roster,
    isLeaderMissing: leaders.isAnyTroubled,
    onConnectionRefused: leaders.lookAt,
  });
  kernel.services.offer(memberRegistryService, roster);
  kernel.services.offer(leaseGrantorService, lessor);
  // Where members were, until their beats tell: after a stop of everything nobody waits for these (design 4.7).
  if (message.matches(RosterSchema, parts.storedRoster)) roster.restore(parts.storedRoster);

  /** Beats taken here go to the other cores, several at a time; a change at once. */
  function spread(): void {
    if (!stopped) spreader.broadcast();
  }

  /** Resolves to true once the disk holds the roster as it stands. */
  async function write(): Promise<boolean> {
    const number = roster.version();
    if (number <= writtenNumber) return true;
    const written = await parts.disk.put(rosterKey, roster.changedSince(0));
    if (Either.isRight(written)) writtenNumber = Math.max(writtenNumber, number);
    return Either.isRight(written);
  }

  /** Where members are goes to the disk now and then: it saves time after a restart, and nothing leans on it. */
  function keep(): void {
    if (keeping || stopped) return;
    keeping = true;
    kernel.clock.startTimer(keepMilliseconds, function later() {
      keeping = false;
      if (!stopped) void write();
    });
  }

  /** Resolves to true once a majority of cores, this one included, has on its disk what a member said of its end (design 7.14). */
  async function confirm(member: string): Promise<boolean> {
    const [own, others] = await Promise.all([write(), spreader.confirm(member)]);
    return own && others;
  }

  function onRosterChanged(): void {
    lessor.notify();
    keep();
    if (spreading) return;
    spreading = true;
    kernel.clock.startTimer(gatherMilliseconds, function now() {
      spreading = false;
      spread();
    });
  }

  /** A leader that no beat has named yet is not gone: liveness tells whether it is DOWN (design 7.1). */
  function membersOf(service: string): readonly MemberPlacement[] {
    const members = roster.membersOf(service);
    const settled = node.electedPrimary(service);
    if (Option.isNone(settled) || Option.isSome(roster.recordOf(settled.value.primary))) return members;
    return [...members, { member: settled.value.primary, area: '-', address: '', state: 'serving' }];
  }

  return {
    lessor,
    membersOf,
    heartbeat: async function beat(registration) {
      roster.heartbeat(registration);
      return parts.inTouch() && (!registration.draining || confirm(registration.member));
    },
    leave: async function leave(member) {
      roster.leave(member);
      return parts.inTouch() && confirm(member);
    },
    mergeBeats: async function take(beats) {
      roster.merge(beats);
      return !beats.some(({ entry }) => entry.gone || entry.draining) || write();
    },
    start: function start() {
      function round(): void {
        roster.sweep();
        spread();
      }
      void kernels.every(kernel.clock, spreadMilliseconds, round, () => !stopped);
      void kernels.every(kernel.clock, lookMilliseconds, leaders.lookAtLeaders, () => !stopped);
    },
    stop: function stop() {
      stopped = true;
      lessor.stop();
    },
  };
}

export const memberRegistration = { create } as const;
