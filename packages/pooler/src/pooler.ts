/** The pooler process: accepts client sessions, routes their statements to members and returns the members' replies (design 8.10). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, runtimeUtilities, type HttpRoute, type Instant, type Runtime, type Listener } from '@stallstall/kernel';
import { peer, type Peer } from '@stallstall/peer';
import type { Dialect } from '@stallstall/session-protocol';
import { admissions } from './admission.js';
import { clientConnections, type ClientConnections } from './client-connection.js';
import { clientTables, type Clients } from './client-table.js';
import { connectionLimiters, type ConnectionLimiter } from './connection-limits.js';
import { connections as connectionTables, type Connections } from './connections.js';
import { cachedReplies as cachedReplyTables, type CachedReplies } from './cached-replies.js';
import { draining, type Draining } from './draining.js';
import { epochReleases, type EpochRelease } from './epoch-release.js';
import { freshness as freshnessTables } from './freshness.js';
import { placementFeeds, type PlacementFeed } from './placement-feed.js';
import { requests as requestTables, type Requests } from './requests.js';
import { revocations, type Revocation } from './revocation.js';
import { transactions } from './transactions.js';
import { usage as usageTables, type Usage } from './usage.js';
import type { View } from './view.js';
import { warmUps } from './warm-up.js';

export type PoolerSettings = Readonly<{
  /** Listener address for clients. */
  clientAddress: string;
  /** Listener address of the HTTP readiness probe. */
  readinessAddress: string;
  /** Address of the agent on this machine. */
  agentAddress: string;
  /** Time limit of a graceful shutdown; open transactions may run for the first half of it. */
  graceMilliseconds: number;
}>;

export type PoolerParts = Readonly<{
  dialect: Dialect;
  /** The readiness routes in the format that the platform expects. */
  readinessRoutes: (ready: () => boolean) => readonly HttpRoute[];
}>;

export type Pooler = Readonly<{
  /** Shuts down within the configured grace period without losing a statement. */
  drain: () => Promise<void>;
  /** Stops immediately. */
  stop: () => Promise<void>;
  view: () => View;
  /** Whether this process should receive clients: at least one leader's lease is valid and no shutdown is in progress. */
  ready: () => boolean;
  /** Counters of statement outcomes. */
  totals: () => Readonly<Record<string, number>>;
  /** Counts of the reads recorded and replies cached for announced outages. */
  cachedReplies: () => ReturnType<CachedReplies['describe']>;
}>;

/** The components of a running pooler. */
type Assembly = Readonly<{
  runtime: Runtime;
  agent: Peer;
  clients: Clients;
  connections: Connections;
  limiter: ConnectionLimiter;
  cachedReplies: CachedReplies;
  requests: Requests;
  feed: PlacementFeed;
  usage: Usage;
  draining: Draining;
  serving: ClientConnections;
  lifecycle: Lifecycle;
}>;

type Lifecycle = { stopped: boolean };

const maintenanceMilliseconds = 250;
/** Usage counted since the last report is lost when the process crashes. */
const reportUsageMilliseconds = 300;
const maximumReportUsageMilliseconds = 1_000;
/** The pause between reports grows with the number of edges, because every report reaches all cores. */
const reportUsageEdgeMilliseconds = 20;
/** Interval at which the counters are logged. */
const countsMilliseconds = 10_000;
/** Idle limit of transactions before a configuration sets one. */
const defaultIdleMilliseconds = 1_800;
/** A transaction that has sent no statement holds nothing at a member, and may be idle longer. */
const unpinnedIdleFactor = 2;

function assemble(runtime: Runtime, settings: PoolerSettings, dialect: Dialect): Assembly {
  const lifecycle: Lifecycle = { stopped: false };
  const agent = peer.dial(runtime, identifiers.address(settings.agentAddress));
  const freshness = freshnessTables.create(runtime.clock.now);
  const usage = usageTables.create(runtime, agent);
  const clients = clientTables.create(runtime.clock);
  const limiter = connectionLimiters.create(runtime.clock, view);
  const connections = connectionTables.create(runtime, dialect, limiter.limitsFor, () => requests.processWaiting());
  const cachedReplies = cachedReplyTables.create(runtime, view, (request) => requests.submit(request));
  const requests: Requests = requestTables.create({ runtime, dialect, view, connections, freshness, usage, cachedReplies });
  const release: EpochRelease = epochReleases.create({
    runtime,
    view,
    clients,
    connections,
    countSentBelow: requests.countSentBelow,
    onReleased: () => void feed.refresh(0),
  });
  const revocation: Revocation = revocations.create({ clock: runtime.clock, view, clients, connections });
  const feed: PlacementFeed = placementFeeds.create({
    runtime,
    agent,
    connections,
    freshness,
    report: () => ({
      released: release.released(),
      demand: limiter.demand(),
      metrics: { ...requests.totals(), ...connections.describe(), sessions: clients.sessionCount() },
    }),
    onUpdate: function onUpdate(leadersChanged) {
      cachedReplies.applyConfiguration();
      release.applyPlacement();
      revocation.applyConfiguration();
      if (leadersChanged) warmUpSessions(clients, connections, feed.view());
      connections.closeStale(feed.view().members);
    },
    onReply: requests.processWaiting,
    stopped: () => lifecycle.stopped,
  });
  const commands = { clock: runtime.clock, dialect, view, connections, requests, cachedReplies };
  const serving = clientConnections.create({ commands, clients, stopped: () => lifecycle.stopped });
  const shutdown = draining.create({
    clock: runtime.clock,
    graceMilliseconds: settings.graceMilliseconds,
    clients,
    requests,
    connections,
  });

  function view(): View {
    return feed.view();
  }

  return { runtime, agent, clients, connections, limiter, cachedReplies, requests, feed, usage, draining: shutdown, serving, lifecycle };
}

/** Opens connections to a new leader ahead of need: every session will soon use it. */
function warmUpSessions(clients: Clients, connections: Connections, view: View): void {
  for (const session of clients.sessions()) {
    const admission = admissions.admit(view, session.database, session.key);
    if (admission.admitted) warmUps.warmUp(connections, view, admission.database, admission.tenant);
  }
}

/** Closes stale connections, and ends transactions that exceed the idle limit or would delay the shutdown. */
function maintain({ runtime, clients, connections, limiter, requests, feed, draining: shutdown }: Assembly): void {
  limiter.recordSent(requests.totals()['sent'] ?? 0);
  const now: Instant = runtime.clock.now();
  const { members, configuration } = feed.view();
  connections.closeStale(members);
  const maximumIdle = Option.isSome(configuration) ? configuration.value.bounds.restMilliseconds : defaultIdleMilliseconds;
  const endsTransactions = shutdown.mustEndTransactions();
  for (const session of clients.sessions()) {
    if (Option.isNone(session.transaction)) continue;
    const transaction = session.transaction.value;
    const idleLimit = Option.isSome(transaction.pinned) ? maximumIdle : maximumIdle * unpinnedIdleFactor;
    const isIdleTooLong = now - transaction.idleSince >= idleLimit;
    if (isIdleTooLong || endsTransactions) transactions.abandonIdle(connections, transaction);
  }
}

function isReady({ runtime, feed, draining: shutdown, lifecycle }: Assembly): boolean {
  const view = feed.view();
  if (shutdown.hasBegun() || lifecycle.stopped || Option.isNone(view.configuration)) return false;
  const now = runtime.clock.now();
  return [...view.leaders.values()].some((leader) => leader.leaseEnd > now);
}

async function reportUsage({ runtime, agent, usage, feed, lifecycle }: Assembly): Promise<void> {
  while (!lifecycle.stopped) {
    if (agent.isConnected()) await usage.report();
    const edges = Object.values(feed.view().edgesByArea).reduce((sum, count) => sum + count, 0);
    const pause = Math.max(reportUsageMilliseconds, edges * reportUsageEdgeMilliseconds);
    await runtime.clock.sleep(Math.min(maximumReportUsageMilliseconds, pause));
  }
}

function logCounts({ runtime, clients, connections, requests }: Assembly): void {
  runtime.log('pooler.counts', {
    sessions: clients.sessionCount(),
    inFlight: requests.inFlight(),
    ...connections.describe(),
    ...requests.totals(),
  });
}

function startTasks(assembly: Assembly): void {
  const { runtime, feed, lifecycle } = assembly;
  void feed.run();
  void runtimeUtilities.every(
    runtime.clock,
    maintenanceMilliseconds,
    () => maintain(assembly),
    () => !lifecycle.stopped,
  );
  void runtimeUtilities.every(
    runtime.clock,
    countsMilliseconds,
    () => logCounts(assembly),
    () => !lifecycle.stopped,
  );
  void reportUsage(assembly);
}

async function stopAll({ lifecycle, cachedReplies, connections, agent, clients }: Assembly, listeners: readonly Listener[]): Promise<void> {
  lifecycle.stopped = true;
  cachedReplies.stop();
  connections.closeAll();
  agent.close();
  clients.closeAll();
  for (const listener of listeners) await listener.stop();
}

/** Starts listening and polling the agent for placement updates; resolves once clients can connect. */
async function start(runtime: Runtime, settings: PoolerSettings, parts: PoolerParts): Promise<Pooler> {
  const assembly = assemble(runtime, settings, parts.dialect);

  function ready(): boolean {
    return isReady(assembly);
  }

  function stop(): Promise<void> {
    return stopAll(assembly, [clientListener, readinessListener]);
  }

  async function drain(): Promise<void> {
    await assembly.draining.run(clientListener);
    await assembly.usage.report();
    await stop();
  }

  const clientListener = await runtime.network.listenStream(
    identifiers.address(settings.clientAddress),
    (stream) => void assembly.serving.serve(stream),
  );
  const readinessListener = await runtime.network.serve(identifiers.address(settings.readinessAddress), {
    routes: parts.readinessRoutes(ready),
  });
  startTasks(assembly);
  const { feed, requests, cachedReplies } = assembly;
  return { drain, stop, view: feed.view, ready, totals: requests.totals, cachedReplies: cachedReplies.describe };
}

export const pooler = { start } as const;
