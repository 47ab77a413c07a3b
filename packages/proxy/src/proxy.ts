/** The HTTP proxy of an edge: routes clients' statements to members by the placement that its agent reports (design 8). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, runtimeUtilities, type HttpRoute, type Instant, type Runtime, type Listener } from '@stallstall/kernel';
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
  /** Shuts down gracefully: fails readiness at once, accepts work for a short time, waits for requests in flight, then stops. */
  drain: () => Promise<void>;
  /** Stops at once. */
  stop: () => Promise<void>;
  inFlight: () => number;
  placement: () => PlacementSnapshot;
  connections: () => ReturnType<Pool['describe']>;
}>;

/** The components of a running proxy. */
type Assembly = Readonly<{
  runtime: Runtime;
  agent: Peer;
  feed: PlacementFeed;
  pool: Pool;
  sessions: Sessions;
  reports: DurableReports;
  requests: RequestQueue;
  /** Open client connections that have sent a request. */
  clientConnections: Set<string>;
}>;

const feedIntervalMilliseconds = 100;
const feedTimeoutMilliseconds = 800;
const tickIntervalMilliseconds = 25;
/** Reserved at the end of the grace period for answering what is still in flight. */
const endingMilliseconds = 400;

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
  return { runtime, agent, feed, pool, sessions, reports, requests, clientConnections: new Set() };
}

function counters({ requests, reports, sessions }: Assembly): Readonly<Record<string, number>> {
  return { ...requests.totals(), ...reports.totals(), inFlight: requests.inFlight(), sessions: sessions.all().length };
}

/** Closes the sessions of withdrawn keys, which aborts their transactions (design 6.4). */
function closeSessionsOfWithdrawnKeys({ feed, sessions }: Assembly): void {
  for (const session of sessions.all())
    if (!clientApi.mayUseService(feed.placement(), session.key, session.service)) sessions.close(session);
}

/** Requests the placement from the agent and applies it. */
async function refreshPlacement(assembly: Assembly): Promise<void> {
  const { runtime, agent, feed, pool, requests } = assembly;
  const sentAt = runtime.clock.now();
  const reply = await agent.call(
    'feed',
    { configuration: feed.placement().version, open: { ...pool.openConnections() }, metrics: { ...counters(assembly) } },
    feedTimeoutMilliseconds,
  );
  if (Option.isNone(reply)) return;
  const outcome = feed.accept(reply.value, sentAt);
  if (outcome === 'ignored') return;
  if (outcome === 'new-configuration') closeSessionsOfWithdrawnKeys(assembly);
  pool.configure(feed.poolTargets());
  requests.processWaiting();
}

function abortOverdueTransactions({ feed, sessions }: Assembly): void {
  for (const session of sessions.all()) {
    const pinned = session.pinned();
    if (Option.isSome(pinned) && feed.isDrainOverdue(pinned.value.choice.member)) sessions.endTransaction(session);
  }
}

function tick(assembly: Assembly): void {
  assembly.feed.refreshDraining();
  abortOverdueTransactions(assembly);
  assembly.sessions.expire();
  assembly.reports.tick();
  assembly.requests.processWaiting();
}

function isReady({ runtime, feed }: Assembly): boolean {
  const { controlTermEnd, configuration } = feed.placement();
  return Option.isNone(feed.drainingSince()) && controlTermEnd > runtime.clock.now() && Option.isSome(configuration);
}

/** The routes that the platform and the operators use to check this process. */
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

/** Tracks client connections: a graceful shutdown waits until each client was told to close its connection (design 7.10). */
function trackConnection({ clientConnections, feed }: Assembly, route: HttpRoute): HttpRoute {
  return {
    ...route,
    handle: async function handle(request) {
      clientConnections.add(request.connection);
      const reply = await route.handle(request);
      return feed.placement().draining ? { ...reply, headers: { ...reply.headers, connection: 'close' } } : reply;
    },
  };
}

function isBusy({ clientConnections, requests, sessions }: Assembly): boolean {
  return clientConnections.size > 0 || requests.inFlight() > 0 || sessions.all().some((session) => Option.isSome(session.pinned()));
}

/** Drains this process. Resolves when no work is left or the grace period is over. */
async function waitUntilDrained(assembly: Assembly): Promise<void> {
  const { runtime, feed, reports } = assembly;
  feed.stop();
  const deadline = identifiers.after(runtime.clock.now(), graceMilliseconds);
  await runtime.clock.sleep(lameDuckMilliseconds);
  const endingAt = identifiers.after(deadline, -endingMilliseconds);
  while (runtime.clock.now() < endingAt && isBusy(assembly)) await runtime.clock.sleep(tickIntervalMilliseconds);
  await answerPending(assembly, deadline);
  await reports.flush();
}

/** Answers the requests that are still in flight with the outcome that is known, so that none of them is cut. */
async function answerPending({ runtime, requests, pool }: Assembly, deadline: Instant): Promise<void> {
  if (requests.inFlight() === 0) return;
  requests.end();
  pool.closeAll();
  while (runtime.clock.now() < deadline && requests.inFlight() > 0) await runtime.clock.sleep(tickIntervalMilliseconds);
}

/** Starts listening and refreshing the placement; resolves once clients can connect. */
async function start(runtime: Runtime, settings: ProxySettings): Promise<Proxy> {
  const assembly = assemble(runtime, settings);
  const { agent, feed, pool, sessions, requests, clientConnections } = assembly;
  const routes = [...clientApi.routes({ clock: runtime.clock, placement: feed.placement, sessions, requests }), ...statusRoutes(assembly)];
  let isStopped = false;

  const listening: Listener = await runtime.network.serve(identifiers.address(settings.address), {
    routes: routes.map((route) => trackConnection(assembly, route)),
    connectionClosed: (connection) => void clientConnections.delete(connection),
  });
  void runtimeUtilities.every(
    runtime.clock,
    feedIntervalMilliseconds,
    () => refreshPlacement(assembly),
    () => !isStopped,
  );
  void runtimeUtilities.every(
    runtime.clock,
    tickIntervalMilliseconds,
    () => tick(assembly),
    () => !isStopped,
  );

  async function stop(): Promise<void> {
    isStopped = true;
    agent.close();
    await listening.stop();
    pool.closeAll();
  }

  async function drain(): Promise<void> {
    await waitUntilDrained(assembly);
    await stop();
  }

  return { drain, stop, inFlight: requests.inFlight, placement: feed.placement, connections: pool.describe };
}

export const proxy = { start } as const;
