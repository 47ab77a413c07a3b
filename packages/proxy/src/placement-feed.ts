/** The placement that this process receives from its agent. Terms are counted from the time at which the request was sent (design 7.3, 8.1). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Clock, type Instant } from '@stallstall/kernel';
import type { Reply, ServiceFeed } from '@stallstall/message';
import type { MemberPoolTarget } from '@stallstall/pool';
import { placements, type PlacementConfiguration } from '@stallstall/placement';
import { routing, type ServiceStatus } from '@stallstall/routing';
import { handoverMilliseconds, lameDuckMilliseconds, openTransactionMilliseconds } from './settings.js';
import type { PlacementSnapshot } from './statement-request.js';

/** How a reply of the agent was handled. `ignored`: it is older than the state of this process. */
export type FeedOutcome = 'ignored' | 'same-configuration' | 'new-configuration';

export type PlacementFeed = Readonly<{
  placement: () => PlacementSnapshot;
  /** Applies the agent's reply to a request that was sent at `sentAt`. */
  accept: (reply: Reply<'feed'>, sentAt: Instant) => FeedOutcome;
  /** Starts draining because this process is shutting down. */
  stop: () => void;
  /** When this edge started draining; `never` if that was before this process started. */
  drainingSince: () => Option.Option<Instant>;
  /** Updates `placement().draining`, which changes a fixed time after draining was requested. To be called periodically. */
  refreshDraining: () => void;
  /** The desired connection pools. */
  poolTargets: () => readonly MemberPoolTarget[];
  /** Whether the member, or this edge, has been draining for so long that not even open transactions may continue. */
  isDrainOverdue: (member: string) => boolean;
}>;

type State = {
  readonly clock: Clock;
  placement: PlacementSnapshot;
  latestReply: Option.Option<Reply<'feed'>>;
  services: readonly ServiceStatus[];
  /** Members that are draining or no longer in the configuration, and when this process learnt of it. */
  readonly drainingMembersSince: Map<string, Instant>;
  drainingSince: Option.Option<Instant>;
  /** Whether the agent has reported a control term, which it does once it has caught up. */
  hasReceivedTerm: boolean;
  stopping: boolean;
};

const never = identifiers.instant(Number.NEGATIVE_INFINITY);

function later(left: Instant, right: Instant): Instant {
  return left > right ? left : right;
}

function isMemberOverdue(state: State, member: string): boolean {
  const since = state.drainingMembersSince.get(member);
  return since !== undefined && state.clock.now() >= identifiers.after(since, handoverMilliseconds);
}

function isDrainOverdue(state: State, member: string): boolean {
  if (isMemberOverdue(state, member)) return true;
  const { drainingSince } = state;
  return Option.isSome(drainingSince) && state.clock.now() >= identifiers.after(drainingSince.value, openTransactionMilliseconds);
}

/** A reported fence stays valid to its end, even if a restarted agent does not know of it yet (design 3.4). */
function mergedFence(
  state: State,
  service: ServiceStatus,
  reply: Reply<'feed'>,
  sentAt: Instant,
): Readonly<{ epoch: number; until: Instant }> {
  const before = state.placement.fences.get(service.service);
  const reported = reply.services.find((candidate) => candidate.service === service.service && candidate.epoch === service.epoch);
  const previousUntil = before?.epoch === service.epoch ? before.until : never;
  const reportedUntil = reported === undefined ? never : identifiers.after(sentAt, reported.fence);
  return { epoch: service.epoch, until: later(previousUntil, reportedUntil) };
}

/** The status of a service as reported, or the previous one if the report has an earlier epoch. */
function mergedStatus(state: State, reported: ServiceFeed, sentAt: Instant): ServiceStatus {
  const before = state.services.find((candidate) => candidate.service === reported.service);
  if (before !== undefined && before.epoch > reported.epoch) return before;
  return {
    service: reported.service,
    epoch: reported.epoch,
    primary: reported.primary,
    isHandoverOverdue: isMemberOverdue(state, reported.primary),
    targets: reported.targets.map((target) => ({
      member: target.member,
      isAlive: target.alive,
      appliedPosition: target.applied,
      followedEpoch: target.follows,
      freshAt: target.freshAgo < 0 ? never : identifiers.after(sentAt, -target.freshAgo),
    })),
  };
}

/**
 * Records which members are draining. Those in the first configuration of this process were draining before it started, so their time to
 * drain has already passed.
 */
function recordDrainingMembers(state: State, configuration: PlacementConfiguration): void {
  const before = state.placement.configuration;
  const services = [...(Option.isSome(before) ? before.value.services : []), ...configuration.services];
  for (const { member } of services.flatMap((service) => service.members)) {
    if (placements.findMember(configuration, member)?.state === 'serving') state.drainingMembersSince.delete(member);
    else if (!state.drainingMembersSince.has(member))
      state.drainingMembersSince.set(member, Option.isNone(before) ? never : state.clock.now());
  }
}

/**
 * Sets `placement.draining`, which rejects new work, a fixed time after draining was requested.
 *
 * @param isFirstReport - whether draining was requested before this process started, so that there is no delay
 */
function refreshDraining(state: State, isFirstReport: boolean): void {
  const isDrainRequested = state.stopping || (Option.isSome(state.latestReply) && state.latestReply.value.draining);
  if (!isDrainRequested) state.drainingSince = Option.none;
  else if (Option.isNone(state.drainingSince)) state.drainingSince = Option.some(isFirstReport ? never : state.clock.now());
  const since = state.drainingSince;
  const draining = Option.isSome(since) && state.clock.now() >= identifiers.after(since.value, lameDuckMilliseconds);
  state.placement = { ...state.placement, draining };
}

function accept(state: State, reply: Reply<'feed'>, sentAt: Instant): FeedOutcome {
  const { placement: previous } = state;
  const configuration: Option.Option<PlacementConfiguration> =
    reply.configuration === null ? previous.configuration : Option.some(reply.configuration.sheet as PlacementConfiguration);
  const isNewVersion = reply.configurationVersion !== previous.version;
  // A restarted agent that has not caught up yet does not replace newer state; the terms reported before remain valid.
  if (reply.configurationVersion < previous.version || (isNewVersion && reply.configuration === null)) return 'ignored';
  if (isNewVersion && Option.isSome(configuration)) recordDrainingMembers(state, configuration.value);
  state.services = reply.services.map((reported) => mergedStatus(state, reported, sentAt));
  state.placement = {
    ...previous,
    configuration,
    version: reply.configurationVersion,
    area: reply.area,
    routingTable: Option.isSome(configuration) ? routing.compile(configuration.value, state.services, reply.area) : new Map(),
    controlTermEnd: later(previous.controlTermEnd, identifiers.after(sentAt, reply.term)),
    fences: new Map(state.services.map((service) => [service.service, mergedFence(state, service, reply, sentAt)])),
  };
  // An agent without a term has not caught up with the membership table, so its draining flag for this edge may be wrong.
  const hasCaughtUp = reply.term > 0;
  const isFirstReport = !state.hasReceivedTerm && hasCaughtUp;
  state.hasReceivedTerm ||= hasCaughtUp;
  state.latestReply = Option.some(
    hasCaughtUp || Option.isNone(state.latestReply) ? reply : { ...reply, draining: state.latestReply.value.draining },
  );
  refreshDraining(state, isFirstReport);
  return isNewVersion ? 'new-configuration' : 'same-configuration';
}

function poolTargets({ placement, latestReply }: State): readonly MemberPoolTarget[] {
  if (Option.isNone(placement.configuration) || Option.isNone(latestReply)) return [];
  const { shares } = latestReply.value;
  return placement.configuration.value.services.flatMap((service) =>
    service.members.map((member) => ({
      service: service.service,
      member: member.member,
      address: member.address,
      epoch: placement.fences.get(service.service)?.epoch ?? 0,
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
