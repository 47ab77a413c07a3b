/** What this process knows of the placement, fed by its agent; terms count from this process's own send time (design 7.3, 8.1). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Clock, type Instant } from '@stallstall/kernel';
import type { Reply, ServiceFeed } from '@stallstall/message';
import type { MemberWish } from '@stallstall/pool';
import { placements, type PlacementConfiguration } from '@stallstall/placement';
import { routing, type ServiceStatus } from '@stallstall/routing';
import { handoverMilliseconds, lameDuckMilliseconds, openTransactionMilliseconds } from './settings.js';
import type { Known } from './statement-request.js';

/** What became of a reply of the agent. `ignored`: the agent knows less than this process. */
export type Accepted = 'ignored' | 'same-configuration' | 'new-configuration';

export type PlacementFeed = Readonly<{
  known: () => Known;
  /** Takes in the agent's reply to a request that was sent at `sentAt`. */
  accept: (reply: Reply<'feed'>, sentAt: Instant) => Accepted;
  /** The process is to end. */
  stop: () => void;
  /** Since when this edge is to drain, `never` when it was told so before this process began. */
  drainingSince: () => Option.Option<Instant>;
  /** `known().draining` follows the passing of time: to be called often. */
  refreshDraining: () => void;
  /** The connections that should stand. */
  wishes: () => readonly MemberWish[];
  /** Whether not even an open transaction goes on at the member, because it, or this edge, is overdue. */
  isGone: (member: string) => boolean;
}>;

type State = {
  readonly clock: Clock;
  known: Known;
  feed: Option.Option<Reply<'feed'>>;
  services: readonly ServiceStatus[];
  /** Members that are to go, draining or in no sheet any more, and since when this process has known. */
  readonly goingSince: Map<string, Instant>;
  drainingSince: Option.Option<Instant>;
  /** A term was told: the agent has caught up once. */
  termSeen: boolean;
  stopping: boolean;
};

const never = identifiers.instant(Number.NEGATIVE_INFINITY);

function later(left: Instant, right: Instant): Instant {
  return left > right ? left : right;
}

function isOverdue(state: State, member: string): boolean {
  const since = state.goingSince.get(member);
  return since !== undefined && state.clock.now() >= identifiers.after(since, handoverMilliseconds);
}

function isGone(state: State, member: string): boolean {
  if (isOverdue(state, member)) return true;
  const { drainingSince } = state;
  return Option.isSome(drainingSince) && state.clock.now() >= identifiers.after(drainingSince.value, openTransactionMilliseconds);
}

/** A term that was told stays valid to its end, also when a restarted agent knows of none yet (design 3.4). */
function fenceOf(state: State, service: ServiceStatus, reply: Reply<'feed'>, sentAt: Instant): Readonly<{ epoch: number; until: Instant }> {
  const before = state.known.fences.get(service.service);
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
  const before = state.known.sheet;
  const services = [...(Option.isSome(before) ? before.value.services : []), ...sheet.services];
  for (const { member } of services.flatMap((service) => service.members)) {
    if (placements.findMember(sheet, member)?.state === 'serving') state.goingSince.delete(member);
    else if (!state.goingSince.has(member)) state.goingSince.set(member, Option.isNone(before) ? never : state.clock.now());
  }
}

/** `known.draining` rejects new work; it follows the request to drain after a moment, unless that was no news to the edge. */
function refreshDraining(state: State, first: boolean): void {
  const isAsked = state.stopping || (Option.isSome(state.feed) && state.feed.value.draining);
  if (!isAsked) state.drainingSince = Option.none;
  else if (Option.isNone(state.drainingSince)) state.drainingSince = Option.some(first ? never : state.clock.now());
  const since = state.drainingSince;
  const draining = Option.isSome(since) && state.clock.now() >= identifiers.after(since.value, lameDuckMilliseconds);
  state.known = { ...state.known, draining };
}

function accept(state: State, reply: Reply<'feed'>, sentAt: Instant): Accepted {
  const { known } = state;
  const sheet: Option.Option<PlacementConfiguration> =
    reply.configuration === null ? known.sheet : Option.some(reply.configuration.sheet as PlacementConfiguration);
  const changed = reply.configurationVersion !== known.version;
  // A restarted agent has not caught up yet: what it does not know takes nothing back, the terms told before run on.
  if (reply.configurationVersion < known.version || (changed && reply.configuration === null)) return 'ignored';
  if (changed && Option.isSome(sheet)) noteGoing(state, sheet.value);
  state.services = reply.services.map((reported) => serviceOf(state, reported, sentAt));
  state.known = {
    ...known,
    sheet,
    version: reply.configurationVersion,
    area: reply.area,
    table: Option.isSome(sheet) ? routing.compile(sheet.value, state.services, reply.area) : new Map(),
    controlUntil: later(known.controlUntil, identifiers.after(sentAt, reply.term)),
    fences: new Map(state.services.map((service) => [service.service, fenceOf(state, service, reply, sentAt)])),
  };
  // Without a term the agent has not caught up with the membership table: what it says of this edge is not yet so.
  const caughtUp = reply.term > 0;
  const first = !state.termSeen && caughtUp;
  state.termSeen ||= caughtUp;
  state.feed = Option.some(caughtUp || Option.isNone(state.feed) ? reply : { ...reply, draining: state.feed.value.draining });
  refreshDraining(state, first);
  return changed ? 'new-configuration' : 'same-configuration';
}

function wishes({ known, feed }: State): readonly MemberWish[] {
  if (Option.isNone(known.sheet) || Option.isNone(feed)) return [];
  const { shares } = feed.value;
  return known.sheet.value.services.flatMap((service) =>
    service.members.map((member) => ({
      service: service.service,
      member: member.member,
      address: member.address,
      epoch: known.fences.get(service.service)?.epoch ?? 0,
      cap: shares[service.service] ?? 0,
    })),
  );
}

function create(clock: Clock): PlacementFeed {
  const state: State = {
    clock,
    known: {
      sheet: Option.none,
      version: 0,
      area: '',
      table: new Map(),
      controlUntil: never,
      fences: new Map(),
      draining: false,
      overdue: (member) => isGone(state, member),
    },
    feed: Option.none,
    services: [],
    goingSince: new Map(),
    drainingSince: Option.none,
    termSeen: false,
    stopping: false,
  };

  return {
    known: () => state.known,
    accept: (reply, sentAt) => accept(state, reply, sentAt),
    stop: function stop() {
      state.stopping = true;
      refreshDraining(state, false);
    },
    drainingSince: () => state.drainingSince,
    refreshDraining: () => refreshDraining(state, false),
    wishes: () => wishes(state),
    isGone: (member) => isGone(state, member),
  };
}

export const placementFeeds = { create } as const;
