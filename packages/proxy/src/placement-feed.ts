/** What this process knows of the placement, fed by its agent; terms count from this process's own send time (design 7.3, 8.1). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Clock, type Instant } from '@stallstall/kernel';
import type { Reply, ServiceFeed } from '@stallstall/message';
import type { MemberPoolTarget } from '@stallstall/pool';
import { placements, type PlacementConfiguration } from '@stallstall/placement';
import { routing, type ServiceStatus } from '@stallstall/routing';
import { handoverMilliseconds, lameDuckMilliseconds, openTransactionMilliseconds } from './settings.js';
import type { PlacementSnapshot } from './statement-request.js';

/** What became of a reply of the agent. `ignored`: the agent knows less than this process. */
export type FeedOutcome = 'ignored' | 'same-configuration' | 'new-configuration';

export type PlacementFeed = Readonly<{
  placement: () => PlacementSnapshot;
  /** Takes in the agent's reply to a request that was sent at `sentAt`. */
  accept: (reply: Reply<'feed'>, sentAt: Instant) => FeedOutcome;
  /** The process is to end. */
  stop: () => void;
  /** Since when this edge is to drain, `never` when it was told so before this process began. */
  drainingSince: () => Option.Option<Instant>;
  /** `known().draining` follows the passing of time: to be called often. */
  refreshDraining: () => void;
  /** The connections that should stand. */
  poolTargets: () => readonly MemberPoolTarget[];
  /** Whether not even an open transaction goes on at the member, because it, or this edge, is overdue. */
  isDrainOverdue: (member: string) => boolean;
}>;

type State = {
  readonly clock: Clock;
  placement: PlacementSnapshot;
  latestReply: Option.Option<Reply<'feed'>>;
  services: readonly ServiceStatus[];
  /** Members that are to go, draining or in no sheet any more, and since when this process has known. */
  readonly drainingMembersSince: Map<string, Instant>;
  drainingSince: Option.Option<Instant>;
  /** A term was told: the agent has caught up once. */
  hasReceivedTerm: boolean;
  stopping: boolean;
};

const never = identifiers.instant(Number.NEGATIVE_INFINITY);

function later(left: Instant, right: Instant): Instant {
  return left > right ? left : right;
}

function isOverdue(state: State, member: string): boolean {
  const since = state.drainingMembersSince.get(member);
  return since !== undefined && state.clock.now() >= identifiers.after(since, handoverMilliseconds);
}

function isDrainOverdue(state: State, member: string): boolean {
  if (isOverdue(state, member)) return true;
  const { drainingSince } = state;
  return Option.isSome(drainingSince) && state.clock.now() >= identifiers.after(drainingSince.value, openTransactionMilliseconds);
}

/** A term that was told stays valid to its end, also when a restarted agent knows of none yet (design 3.4). */
function fenceOf(state: State, service: ServiceStatus, reply: Reply<'feed'>, sentAt: Instant): Readonly<{ epoch: number; until: Instant }> {
  const before = state.placement.fences.get(service.service);
  const reported = reply.services.find((one) => one.service === service.service && one.epoch === service.epoch);
  const knownUntil = before?.epoch === service.epoch ? before.until : never;
  const reportedUntil = reported === undefined ? never : identifiers.after(sentAt, reported.fence);
  return { epoch: service.epoch, until: later(knownUntil, reportedUntil) };
}

/** An epoch is never taken back. */
function serviceOf(state: State, reported: ServiceFeed, sentAt: Instant): ServiceStatus {
  const before = state.services.find((one) => one.service === reported.service);
  if (before !== undefined && before.epoch > reported.epoch) return before;
  return {
    service: reported.service,
    epoch: reported.epoch,
    primary: reported.primary,
    isHandoverOverdue: isOverdue(state, reported.primary),
    targets: reported.targets.map((target) => ({
      member: target.member,
      isAlive: target.alive,
      appliedPosition: target.applied,
      followedEpoch: target.follows,
      freshAt: target.freshAgo < 0 ? never : identifiers.after(sentAt, -target.freshAgo),
    })),
  };
}

/** What the first sheet of this process says is no news to its edge: those members have had their time. */
function noteGoing(state: State, sheet: PlacementConfiguration): void {
  const before = state.placement.configuration;
  const services = [...(Option.isSome(before) ? before.value.services : []), ...sheet.services];
  for (const { member } of services.flatMap((service) => service.members)) {
    if (placements.findMember(sheet, member)?.state === 'serving') state.drainingMembersSince.delete(member);
    else if (!state.drainingMembersSince.has(member))
      state.drainingMembersSince.set(member, Option.isNone(before) ? never : state.clock.now());
  }
}

/** `known.draining` rejects new work; it follows the request to drain after a moment, unless that was no news to the edge. */
function refreshDraining(state: State, first: boolean): void {
  const isAsked = state.stopping || (Option.isSome(state.latestReply) && state.latestReply.value.draining);
  if (!isAsked) state.drainingSince = Option.none;
  else if (Option.isNone(state.drainingSince)) state.drainingSince = Option.some(first ? never : state.clock.now());
  const since = state.drainingSince;
  const draining = Option.isSome(since) && state.clock.now() >= identifiers.after(since.value, lameDuckMilliseconds);
  state.placement = { ...state.placement, draining };
}

function accept(state: State, reply: Reply<'feed'>, sentAt: Instant): FeedOutcome {
  const { placement: known } = state;
  const sheet: Option.Option<PlacementConfiguration> =
    reply.configuration === null ? known.configuration : Option.some(reply.configuration.sheet as PlacementConfiguration);
  const changed = reply.configurationVersion !== known.version;
  // A restarted agent has not caught up yet: what it does not know takes nothing back, the terms told before run on.
  if (reply.configurationVersion < known.version || (changed && reply.configuration === null)) return 'ignored';
  if (changed && Option.isSome(sheet)) noteGoing(state, sheet.value);
  state.services = reply.services.map((reported) => serviceOf(state, reported, sentAt));
  state.placement = {
    ...known,
    configuration: sheet,
    version: reply.configurationVersion,
    area: reply.area,
    routingTable: Option.isSome(sheet) ? routing.compile(sheet.value, state.services, reply.area) : new Map(),
    controlTermEnd: later(known.controlTermEnd, identifiers.after(sentAt, reply.term)),
    fences: new Map(state.services.map((service) => [service.service, fenceOf(state, service, reply, sentAt)])),
  };
  // Without a term the agent has not caught up with the membership table: what it says of this edge is not yet so.
  const caughtUp = reply.term > 0;
  const first = !state.hasReceivedTerm && caughtUp;
  state.hasReceivedTerm ||= caughtUp;
  state.latestReply = Option.some(
    caughtUp || Option.isNone(state.latestReply) ? reply : { ...reply, draining: state.latestReply.value.draining },
  );
  refreshDraining(state, first);
  return changed ? 'new-configuration' : 'same-configuration';
}

function poolTargets({ placement: known, latestReply: feed }: State): readonly MemberPoolTarget[] {
  if (Option.isNone(known.configuration) || Option.isNone(feed)) return [];
  const { shares } = feed.value;
  return known.configuration.value.services.flatMap((service) =>
    service.members.map((member) => ({
      service: service.service,
      member: member.member,
      address: member.address,
      epoch: known.fences.get(service.service)?.epoch ?? 0,
      maxConnections: shares[service.service] ?? 0,
    })),
  );
}

function create(clock: Clock): PlacementFeed {
  const state: State = {
    clock,
    placement: {
      configuration: Option.none,
      version: 0,
      area: '',
      routingTable: new Map(),
      controlTermEnd: never,
      fences: new Map(),
      draining: false,
      isDrainOverdue: (member) => isDrainOverdue(state, member),
    },
    latestReply: Option.none,
    services: [],
    drainingMembersSince: new Map(),
    drainingSince: Option.none,
    hasReceivedTerm: false,
    stopping: false,
  };

  return {
    placement: () => state.placement,
    accept: (reply, sentAt) => accept(state, reply, sentAt),
    stop: function stop() {
      state.stopping = true;
      refreshDraining(state, false);
    },
    drainingSince: () => state.drainingSince,
    refreshDraining: () => refreshDraining(state, false),
    poolTargets: () => poolTargets(state),
    isDrainOverdue: (member) => isDrainOverdue(state, member),
  };
}

export const placementFeeds = { create } as const;
