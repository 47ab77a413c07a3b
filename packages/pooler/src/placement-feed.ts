/** Keeps the view of the placement up to date by asking the agent of this machine; leases count from this process's send time (design 7.3). */
import * as Option from 'fp-ts/lib/Option.js';
import { subtractClockDrift } from '@stallstall/quorum-lease';
import { identifiers, type Instant, type Runtime } from '@stallstall/kernel';
import type { Reply } from '@stallstall/message';
import type { Peer } from '@stallstall/peer';
import type { Connections } from './connections.js';
import type { Freshness } from './freshness.js';
import { views, type View } from './view.js';

/** What this edge reports with each request for news. */
export type FeedReport = Readonly<{
  /** By service: epochs below this are released here. */
  released: Readonly<Record<string, number>>;
  /** Statements a second. */
  demand: number;
  metrics: Readonly<Record<string, number>>;
}>;

export type FeedParts = Readonly<{
  runtime: Runtime;
  agent: Peer;
  connections: Connections;
  freshness: Freshness;
  report: () => FeedReport;
  /** The placement has changed. */
  onUpdate: (leadersChanged: boolean) => void;
  /** The agent has replied, with news or without: leases may have been renewed. */
  onReply: () => void;
  stopped: () => boolean;
}>;

export type PlacementFeed = Readonly<{
  view: () => View;
  /** Asks once, held by the agent for so long while there is no news; false when no reply came. */
  refresh: (holdMilliseconds: number) => Promise<boolean>;
  /** Asks until the process stops. */
  run: () => Promise<void>;
}>;

const holdMilliseconds = 400;
/** Held shorter while a leader is missing somewhere. */
const leaderlessHoldMilliseconds = 100;
const replyTimeoutMilliseconds = 1_200;
const retryMilliseconds = 50;

function leadersOf(view: View): string {
  return [...view.leaders.values()].map((leader) => `${leader.primary} ${leader.epoch}`).join(' ');
}

function isLeaderMissing(view: View, now: Instant, connections: Connections): boolean {
  return [...view.leaders.values()].some(
    (leader) =>
      leader.epoch > 0 &&
      (leader.leaseEnd <= now || view.members.get(leader.primary)?.down === true || connections.isFailing(leader.primary)),
  );
}

/** The view, and how far this process has followed its agent: `token` names the agent's process, `seen` and `serial` its numbers. */
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

/** Takes the reply to a request sent at `sentAt` into the state; returns whether the placement has changed. */
function accept(parts: FeedParts, state: FeedState, reply: Reply<'placement'>, sentAt: Instant): boolean {
  const { runtime, freshness } = parts;
  const isUpdate = reply.token !== state.token || reply.number > state.lastNumber;
  const validFrom = identifiers.after(sentAt, subtractClockDrift(reply.held));
  state.view = views.update(state.view, reply, validFrom, runtime.clock.now());
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
    // Overtaken by a later reply.
    if (reply.value.token === state.token && reply.value.number < state.lastNumber) return true;
    const leadersBefore = leadersOf(state.view);
    const isUpdate = accept(parts, state, reply.value, sentAt);
    if (isUpdate) parts.onUpdate(leadersBefore !== leadersOf(state.view));
    parts.onReply();
    return true;
  }

  async function run(): Promise<void> {
    while (!parts.stopped()) {
      const hold = isLeaderMissing(state.view, runtime.clock.now(), connections) ? leaderlessHoldMilliseconds : holdMilliseconds;
      const fed = agent.isConnected() && (await refresh(hold));
      if (!fed) await runtime.clock.sleep(retryMilliseconds);
    }
  }

  return { view: () => state.view, refresh, run };
}

export const placementFeeds = { create } as const;
