/** The HTTP proxy of an edge: clients' statements in, verdicts looked up, members' replies out; fed by its agent (design 8). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, runtimeUtilities, type HttpRoute, type Runtime, type Listener } from '@stallstall/kernel';
import { peer, type Peer } from '@stallstall/peer';
import { pools, type Pool } from '@stallstall/pool';
import { clientApi } from './client-api.js';
import { durableReports, type DurableReports } from './durable-reports.js';
import { placementFeeds, type PlacementFeed } from './placement-feed.js';
import { requestQueues, type RequestQueue } from './request-queue.js';
import { sessions as sessionTables, type Sessions } from './sessions.js';
import { graceMilliseconds, lameDuckMilliseconds, type ProxySettings } from './settings.js';
import type { PlacementSnapshot } from './statement-request.js';

export type Proxy = Readonly<{
  /** Fails readiness at once, takes work for a moment more, lets what is in flight end, then stops. */
  drain: () => Promise<void>;
  /** Ends at once. */
  stop: () => Promise<void>;
  inFlight: () => number;
  placement: () => PlacementSnapshot;
  connections: () => ReturnType<Pool['describe']>;
}>;

/** The parts of a running proxy. */
type Assembly = Readonly<{
  runtime: Runtime;
  agent: Peer;
  feed: PlacementFeed;
  pool: Pool;
  sessions: Sessions;
  reports: DurableReports;
  requests: RequestQueue;
  /** Client connections that have sent a request and are still open. */
  connected: Set<string>;
}>;

const feedMilliseconds = 100;
const feedCallMilliseconds = 800;
const sweepMilliseconds = 25;

function assemble(runtime: Runtime, settings: ProxySettings): Assembly {
  const incarnation = runtime.randomness.token();
  const feed = placementFeeds.create(runtime.clock);
  const pool = pools.create(runtime, () => requests.processWaiting());
  const sessions = sessionTables.create(runtime, pool);
  const agent = peer.dial(runtime, identifiers.address(settings.feed));
  const reports = durableReports.create(runtime, agent, incarnation, {
    counts: (window) => requests.counts(window),
    onDurable: () => requests.processWaiting(),
  });
  const requests: RequestQueue = requestQueues.create({ runtime, placement: feed.placement, pool, sessions, reports });
  return { runtime, agent, feed, pool, sessions, reports, requests, connected: new Set() };
}

function counters({ requests, reports, sessions }: Assembly): Readonly<Record<string, number>> {
  return { ...requests.totals(), ...reports.totals(), inFlight: requests.inFlight(), sessions: sessions.all().length };
}

/** A withdrawn key ends its sessions, and with them any transaction under it (design 6.4). */
function closeWithdrawn({ feed, sessions }: Assembly): void {
  for (const session of sessions.all()) if (!clientApi.mayUse(feed.placement(), session.key, session.service)) sessions.close(session);
}

async function follow(assembly: Assembly): Promise<void> {
  const { runtime, agent, feed, pool, requests } = assembly;
  const sentAt = runtime.clock.now();
  const reply = await agent.call(
    'feed',
    { configuration: feed.placement().version, open: { ...pool.openConnections() }, metrics: { ...counters(assembly) } },
    feedCallMilliseconds,
  );
  if (Option.isNone(reply)) return;
  const accepted = feed.accept(reply.value, sentAt);
  if (accepted === 'ignored') return;
  if (accepted === 'new-configuration') closeWithdrawn(assembly);
  pool.configure(feed.poolTargets());
  requests.processWaiting();
}

function endOverdueTransactions({ feed, sessions }: Assembly): void {
  for (const session of sessions.all()) {
    const pinned = session.pinned();
    if (Option.isSome(pinned) && feed.isDrainOverdue(pinned.value.choice.member)) sessions.endTransaction(session);
  }
}

function tick(assembly: Assembly): void {
  assembly.feed.refreshDraining();
  endOverdueTransactions(assembly);
  assembly.sessions.expire();
  assembly.reports.tick();
  assembly.requests.processWaiting();
}

function isReady({ runtime, feed }: Assembly): boolean {
  const { controlTermEnd: controlUntil, configuration: sheet } = feed.placement();
  return Option.isNone(feed.drainingSince()) && controlUntil > runtime.clock.now() && Option.isSome(sheet);
}

/** What the platform and the operators ask of this process itself. */
function statusRoutes(assembly: Assembly): readonly HttpRoute[] {
  const { feed, requests, pool } = assembly;
  return [
    { method: 'GET', path: '/live', handle: async () => ({ status: 200, body: { live: true } }) },
    {
      method: 'GET',
      path: '/ready',
      handle: async function handle() {
        const ready = isReady(assembly);
        return { status: ready ? 200 : 503, body: { ready, configuration: feed.placement().version } };
      },
    },
    {
      method: 'GET',
      path: '/v1/state',
      handle: async () => ({
        status: 200,
        body: {
          configuration: feed.placement().version,
          inFlight: requests.inFlight(),
          connections: pool.describe(),
          totals: counters(assembly),
        },
      }),
    },
  ];
}

/** DurableReports who is connected: a planned end waits until each has been told to close its connection (design 7.10). */
function noteConnection({ connected, feed }: Assembly, route: HttpRoute): HttpRoute {
  return {
    ...route,
    handle: async function handle(request) {
      connected.add(request.connection);
      const reply = await route.handle(request);
      return feed.placement().draining ? { ...reply, headers: { ...reply.headers, connection: 'close' } } : reply;
    },
  };
}

function isBusy({ connected, requests, sessions }: Assembly): boolean {
  return connected.size > 0 || requests.inFlight() > 0 || sessions.all().some((session) => Option.isSome(session.pinned()));
}

/** Resolves once nothing is under way any more, or the grace is over. */
async function awaitEnd(assembly: Assembly): Promise<void> {
  const { runtime, feed, reports } = assembly;
  feed.stop();
  const deadline = identifiers.after(runtime.clock.now(), graceMilliseconds);
  await runtime.clock.sleep(lameDuckMilliseconds);
  while (runtime.clock.now() < deadline && isBusy(assembly)) await runtime.clock.sleep(sweepMilliseconds);
  await reports.flush();
}

/** Starts listening and following the agent; resolves once clients can connect. */
async function start(runtime: Runtime, settings: ProxySettings): Promise<Proxy> {
  const assembly = assemble(runtime, settings);
  const { agent, feed, pool, sessions, requests, connected } = assembly;
  const routes = [...clientApi.routes({ clock: runtime.clock, placement: feed.placement, sessions, requests }), ...statusRoutes(assembly)];
  let stopped = false;

  const listening: Listener = await runtime.network.serve(identifiers.address(settings.address), {
    routes: routes.map((route) => noteConnection(assembly, route)),
    connectionClosed: (connection) => void connected.delete(connection),
  });
  void runtimeUtilities.every(
    runtime.clock,
    feedMilliseconds,
    () => follow(assembly),
    () => !stopped,
  );
  void runtimeUtilities.every(
    runtime.clock,
    sweepMilliseconds,
    () => tick(assembly),
    () => !stopped,
  );

  async function stop(): Promise<void> {
    stopped = true;
    agent.close();
    await listening.stop();
    pool.closeAll();
  }

  async function drain(): Promise<void> {
    await awaitEnd(assembly);
    await stop();
  }

  return { drain, stop, inFlight: requests.inFlight, placement: feed.placement, connections: pool.describe };
}

export const proxy = { start } as const;
