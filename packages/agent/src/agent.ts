/** The agent that runs beside each proxy: maintains the links to the control plane and serves its proxy over loopback (design 3.4). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { livenessService } from '@stallstall/election';
import { fault, identifiers, runtimeUtilities, type Fault, type Runtime, type Listener } from '@stallstall/kernel';
import type { Reply, Request } from '@stallstall/message';
import { node as nodes, type Node } from '@stallstall/node';
import { peer } from '@stallstall/peer';
import { proxySilenceMilliseconds, type AgentContext, type AgentSettings } from './agent-context.js';
import { agentRoutes } from './agent-routes.js';
import { connectionCaps } from './connection-caps.js';
import { edgeVotes } from './edge-votes.js';
import { memberFreshness } from './member-freshness.js';
import { proxyFeed } from './proxy-feed.js';
import { proxyReports } from './proxy-reports.js';

export type { AgentSettings } from './agent-context.js';

export type Agent = Readonly<{
  node: Node;
  /** Stops once all pending reports are stored, or after a timeout. */
  drain: () => Promise<void>;
  /** Stops immediately. */
  stop: () => Promise<void>;
}>;

const probeIntervalMilliseconds = 250;
const drainTimeoutMilliseconds = 2_000;
const drainPollMilliseconds = 5;

function assemble(runtime: Runtime, settings: AgentSettings): AgentContext {
  const caps = connectionCaps.create(runtime.clock, () => node);
  const node: Node = nodes.create(runtime, settings, {
    role: 'edge',
    votes: (register) => edgeVotes.create(register, settings.node),
    localReplica: Option.none,
    connectionCaps: caps.reported,
    onApplied: function onApplied(key) {
      if (key === 'membership' || key === 'configuration') caps.onLayoutChanged();
    },
    onHelloReply: () => undefined,
  });
  return {
    runtime,
    settings,
    node,
    caps,
    freshness: memberFreshness.create(runtime.clock, node, runtime.services.find(livenessService)),
    reports: proxyReports.create(settings.node, node.durableReports),
    proxyReportedAt: undefined,
    proxyRequestedAt: undefined,
    proxyMetrics: {},
    isStopped: false,
  };
}

function storeReport(context: AgentContext, request: Request<'tell'>): Promise<Reply<'tell'>> {
  context.proxyReportedAt = context.runtime.clock.now();
  return context.reports.store(request);
}

/** Reports usage as complete on behalf of a silent proxy, which serves nothing more that could still be reported. */
function reportSilentProxy({ runtime, settings, node, proxyReportedAt }: AgentContext): void {
  const isSilent = proxyReportedAt === undefined || runtime.clock.now() - proxyReportedAt > proxySilenceMilliseconds;
  if (!isSilent || node.cores().length === 0) return;
  const through = runtime.clock.wall() - proxySilenceMilliseconds;
  void node.durableReports.report({ floors: {}, reports: [], through: { [settings.node]: through } });
}

async function listen(context: AgentContext): Promise<readonly Listener[]> {
  const { runtime, settings, node } = context;
  return [
    await peer.listen(runtime, identifiers.address(settings.address), { ...node.handlers }),
    await peer.listen(runtime, identifiers.address(settings.feed), {
      feed: (request) => proxyFeed.reply(context, request),
      tell: (request) => storeReport(context, request),
    }),
    await runtime.network.serve(identifiers.address(settings.outward), { routes: [...node.routes, ...agentRoutes.create(context)] }),
  ];
}

function startTasks(context: AgentContext): void {
  const { runtime, node, freshness } = context;
  function isRunning(): boolean {
    return !context.isStopped;
  }
  node.start();
  void runtimeUtilities.every(runtime.clock, probeIntervalMilliseconds, freshness.probeAll, isRunning);
  void runtimeUtilities.every(runtime.clock, proxySilenceMilliseconds, () => reportSilentProxy(context), isRunning);
}

/** Resolves to the agent once it listens. Errors: `bad-settings` without a node id. */
async function start(runtime: Runtime, settings: AgentSettings): Promise<Either.Either<Fault, Agent>> {
  if (settings.node === '') {
    return Either.left(fault.create({ kind: 'bad-settings', message: 'the agent has no node id', remedy: 'set one with --node' }));
  }
  const context = assemble(runtime, settings);
  const listening = await listen(context);
  startTasks(context);

  async function stop(): Promise<void> {
    context.isStopped = true;
    context.node.stop();
    for (const listener of listening) await listener.stop();
  }

  /** Waits until pending reports are stored before the process ends (design 7.10). */
  async function drain(): Promise<void> {
    const deadline = identifiers.after(runtime.clock.now(), drainTimeoutMilliseconds);
    while (runtime.clock.now() < deadline && context.reports.pendingCount() > 0) await runtime.clock.sleep(drainPollMilliseconds);
    await stop();
  }

  return Either.right({ node: context.node, stop, drain });
}

export const agent = { start } as const;
