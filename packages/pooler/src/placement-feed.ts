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
  onFed: () => void;
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
const troubledHoldMilliseconds = 100;
const callMilliseconds = 1_200;
const pauseMilliseconds = 50;

function leadersOf(view: View): string {
  return [...view.leaders.values()].map((leader) => `${leader.primary} ${leader.epoch}`).join(' ');
}

function isTroubled(view: View, now: Instant, connections: Connections): boolean {
  return [...view.leaders.values()].some(
    (leader) =>
      leader.epoch > 0 && (leader.until <= now || view.members.get(leader.primary)?.down === true || connections.failing(leader.primary)),
  );
}

/** The view, and how far this process has followed its agent: `token` names the agent's process, `seen` and `serial` its numbers. */
type FeedState = { view: View; token: string; seen: number; serial: number };

function request(parts: FeedParts, state: FeedState, hold: number): Promise<Option.Option<Reply<'placement'>>> {
  const { agent, freshness, connections } = parts;
  const { released, demand, metrics } = parts.report();
  return agent.call(
    'placement',
    {
      token: state.token,
      seen: state.seen,
      serial: state.serial,
      hold,
      configuration: state.view.version,
      released: { ...released },
      positions: { ...freshness.commits() },
      marks: { ...freshness.marks() },
      notListening: [...connections.notListening()],
      demand,
      metrics: { ...metrics },
    },
    hold + callMilliseconds,
  );
}

/** Takes the reply to a request sent at `sentAt` into the state; returns whether the placement has changed. */
function accept(parts: FeedParts, state: FeedState, reply: Reply<'placement'>, sentAt: Instant): boolean {
  const { runtime, freshness } = parts;
  const isUpdate = reply.token !== state.token || reply.number > state.seen;
  const validFrom = identifiers.after(sentAt, subtractClockDrift(reply.held));
  state.view = views.fed(state.view, reply, validFrom, runtime.clock.now());
  for (const [service, mark] of Object.entries(reply.marks))
    freshness.learnt(service, identifiers.after(validFrom, -mark.ago), { term: mark.term, number: mark.number });
  state.token = reply.token;
  state.seen = reply.number;
  state.serial = reply.serial;
  return isUpdate;
}

function create(parts: FeedParts): PlacementFeed {
  const { runtime, agent, connections } = parts;
  const state: FeedState = { view: views.empty, token: '', seen: 0, serial: 0 };

  async function refresh(hold: number): Promise<boolean> {
    const sentAt = runtime.clock.now();
    const reply = await request(parts, state, hold);
    if (Option.isNone(reply)) return false;
    // Overtaken by a later reply.
    if (reply.value.token === state.token && reply.value.number < state.seen) return true;
    const leadersBefore = leadersOf(state.view);
    const isUpdate = accept(parts, state, reply.value, sentAt);
    if (isUpdate) parts.onUpdate(leadersBefore !== leadersOf(state.view));
    parts.onFed();
    return true;
  }

  async function run(): Promise<void> {
    while (!parts.stopped()) {
      const hold = isTroubled(state.view, runtime.clock.now(), connections) ? troubledHoldMilliseconds : holdMilliseconds;
      const fed = agent.isConnected() && (await refresh(hold));
      if (!fed) await runtime.clock.sleep(pauseMilliseconds);
    }
  }

  return { view: () => state.view, refresh, run };
}

export const placementFeeds = { create } as const;
