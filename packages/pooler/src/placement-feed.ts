/**
 * Keeps the placement view up to date by long polling the agent on this machine; leases count from the time this process sent its request
 * (design 7.3).
 */
import * as Option from 'fp-ts/lib/Option.js';
import { subtractClockDrift } from '@stallstall/quorum-lease';
import { identifiers, type Instant, type Runtime } from '@stallstall/kernel';
import type { Reply } from '@stallstall/message';
import type { Peer } from '@stallstall/peer';
import type { Connections } from './connections.js';
import type { Freshness } from './freshness.js';
import { views, type View } from './view.js';

/** What this edge reports with each placement request. */
export type FeedReport = Readonly<{
  /** By service: all epochs below this number are released by this edge. */
  released: Readonly<Record<string, number>>;
  /** Statements per second. */
  demand: number;
  metrics: Readonly<Record<string, number>>;
}>;

export type FeedParts = Readonly<{
  runtime: Runtime;
  agent: Peer;
  connections: Connections;
  freshness: Freshness;
  report: () => FeedReport;
  /** Called when the placement has changed. */
  onUpdate: (leadersChanged: boolean) => void;
  /** Called after each reply of the agent, even without a placement change: leases may have been renewed. */
  onReply: () => void;
  stopped: () => boolean;
}>;

export type PlacementFeed = Readonly<{
  view: () => View;
  /** Sends one request, which the agent holds for up to the given time until the placement changes; false when no reply came. */
  refresh: (holdMilliseconds: number) => Promise<boolean>;
  /** Polls until the process stops. */
  run: () => Promise<void>;
}>;

/** How long the agent holds a request while the placement does not change. */
const holdMilliseconds = 400;
/** Shorter hold time while a service has no usable leader. */
const leaderlessHoldMilliseconds = 100;
/** Time allowed for the reply in addition to the hold time. */
const replyTimeoutMilliseconds = 1_200;
/** Pause after a failed request. */
const retryMilliseconds = 50;

function leaderSummary(view: View): string {
  return [...view.leaders.values()].map((leader) => `${leader.primary} ${leader.epoch}`).join(' ');
}

function isLeaderMissing(view: View, now: Instant, connections: Connections): boolean {
  return [...view.leaders.values()].some(
    (leader) =>
      leader.epoch > 0 &&
      (leader.leaseEnd <= now || view.members.get(leader.primary)?.down === true || connections.isFailing(leader.primary)),
  );
}

/** The view and its version: `token` identifies the agent's process, `lastNumber` and `serial` its last update received. */
type FeedState = { view: View; token: string; lastNumber: number; serial: number };

function request(parts: FeedParts, state: FeedState, hold: number): Promise<Option.Option<Reply<'placement'>>> {
  const { agent, freshness, connections } = parts;
  const { released, demand, metrics } = parts.report();
  return agent.call(
    'placement',
    {
      token: state.token,
      seen: state.lastNumber,
      serial: state.serial,
      hold,
      configuration: state.view.configurationVersion,
      released: { ...released },
      positions: { ...freshness.commitPositions() },
      marks: { ...freshness.latestPositions() },
      notListening: [...connections.notListening()],
      demand,
      metrics: { ...metrics },
    },
    hold + replyTimeoutMilliseconds,
  );
}

/** Logs each member that has turned to draining, or back, in this edge's view. */
function logPhases(runtime: Runtime, before: View, after: View): void {
  for (const { member, sequence, draining } of after.members.values()) {
    const wasDraining = before.members.get(member)?.draining ?? false;
    if (draining !== wasDraining) runtime.log(draining ? 'member.draining' : 'member.in-service', { member, sequence });
  }
}

/** Applies the reply to a request sent at `sentAt`; returns whether the placement has changed. */
function accept(parts: FeedParts, state: FeedState, reply: Reply<'placement'>, sentAt: Instant): boolean {
  const { runtime, freshness } = parts;
  const isUpdate = reply.token !== state.token || reply.number > state.lastNumber;
  const validFrom = identifiers.after(sentAt, subtractClockDrift(reply.held));
  const before = state.view;
  state.view = views.update(before, reply, validFrom, runtime.clock.now());
  if (state.view.members !== before.members) logPhases(runtime, before, state.view);
  for (const [service, mark] of Object.entries(reply.marks))
    freshness.recordLeaderPosition(service, identifiers.after(validFrom, -mark.ago), { term: mark.term, number: mark.number });
  state.token = reply.token;
  state.lastNumber = reply.number;
  state.serial = reply.serial;
  return isUpdate;
}

function create(parts: FeedParts): PlacementFeed {
  const { runtime, agent, connections } = parts;
  const state: FeedState = { view: views.empty, token: '', lastNumber: 0, serial: 0 };

  async function refresh(hold: number): Promise<boolean> {
    const sentAt = runtime.clock.now();
    const reply = await request(parts, state, hold);
    if (Option.isNone(reply)) return false;
    // A later reply has already been applied.
    if (reply.value.token === state.token && reply.value.number < state.lastNumber) return true;
    const leadersBefore = leaderSummary(state.view);
    const isUpdate = accept(parts, state, reply.value, sentAt);
    if (isUpdate) parts.onUpdate(leadersBefore !== leaderSummary(state.view));
    parts.onReply();
    return true;
  }

  async function run(): Promise<void> {
    while (!parts.stopped()) {
      const hold = isLeaderMissing(state.view, runtime.clock.now(), connections) ? leaderlessHoldMilliseconds : holdMilliseconds;
      const isUpdated = agent.isConnected() && (await refresh(hold));
      if (!isUpdated) await runtime.clock.sleep(retryMilliseconds);
    }
  }

  return { view: () => state.view, refresh, run };
}

export const placementFeeds = { create } as const;
