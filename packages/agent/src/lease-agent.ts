/** The agent of an edge that holds leases: it has no vote or membership, and sends placement to its proxy (design 7.12, 8.10). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Runtime, type Listener } from '@stallstall/kernel';
import { leaseHolder, type LeaseHolder } from '@stallstall/lease';
import type { CommitWatermarks, Placement, Reply, Request } from '@stallstall/message';
import { peer, type Caller } from '@stallstall/peer';
import { leaseTermMilliseconds } from '@stallstall/quorum-lease';
import { placementUpdates, type PlacementUpdates } from './placement-updates.js';
import { proxyReports, type ProxyReports } from './proxy-reports.js';
import { proxyStates, type ProxyState } from './proxy-state.js';

export type LeaseAgentSettings = Readonly<{
  node: string;
  /** The failure domain of this edge. */
  area: string;
  /** The address on which this machine's proxy requests placement. */
  feed: string;
  /** Read each time seeds are contacted, since the settings file may change while the process runs. */
  seeds: () => readonly string[];
}>;

export type LeaseAgent = Readonly<{
  /** Stops once the proxy has exited, or after a timeout. */
  drain: () => Promise<void>;
  /** Stops immediately. */
  stop: () => Promise<void>;
}>;

type AgentState = {
  readonly runtime: Runtime;
  readonly settings: LeaseAgentSettings;
  /** Identifies this process: a proxy that reports another token has received no update from it. */
  readonly token: string;
  readonly proxy: ProxyState;
  readonly holder: LeaseHolder;
  readonly updates: PlacementUpdates;
  readonly reports: ProxyReports;
  /** The link of the proxy's latest request. */
  proxyLink: Caller | undefined;
  isDraining: boolean;
};

const drainTimeoutMilliseconds = 5_600;
/** The longest time a draining agent holds a request, so that it soon notices that the proxy has exited. */
const maxDrainingHoldMilliseconds = 50;
const drainPollMilliseconds = 10;
/** A proxy that has just started has this long to send its first request. */
const minimumDrainMilliseconds = 300;

function placementsOf(runtime: Runtime, holder: LeaseHolder): readonly Placement[] {
  const now = runtime.clock.now();
  return holder.services().map(function placementOf(service): Placement {
    const elected = holder.electedPrimary(service);
    return {
      service,
      epoch: Option.isSome(elected) ? elected.value.epoch : 0,
      primary: Option.isSome(elected) ? elected.value.primary : '',
      left: Math.max(0, Math.min(holder.leaseUntil(service) - now, leaseTermMilliseconds)),
      release: holder.releaseEpoch(service),
    };
  });
}

function commitWatermarksOf({ runtime, holder }: AgentState): CommitWatermarks {
  const now = runtime.clock.now();
  const watermarks = [...holder.commitWatermarks()].map(
    ([service, { position, coveredUntil }]) => [service, { ...position, ago: Math.max(0, now - coveredUntil) }] as const,
  );
  return Object.fromEntries(watermarks);
}

/** Records the proxy's report; released epochs and members that refuse connections are reported to the cores at once. */
function processReport({ proxy, holder }: AgentState, request: Request<'placement'>): void {
  const { isRestarted, isChanged } = proxy.update(request);
  if (isRestarted) holder.onProxyRestarted();
  if (isChanged) holder.reportNow();
}

async function waitForUpdate(
  { token, updates, isDraining }: AgentState,
  { token: seenToken, seen, hold }: Request<'placement'>,
): Promise<void> {
  const isUpToDate = seenToken === token && seen === updates.current();
  if (isUpToDate && hold > 0) await updates.wait(isDraining ? Math.min(hold, maxDrainingHoldMilliseconds) : hold);
}

/** Replies at once if there is an update, otherwise at the next update or after the request's `hold`. */
async function placement(state: AgentState, request: Request<'placement'>, caller: Caller): Promise<Reply<'placement'>> {
  const { runtime, settings, token, proxy, holder, updates } = state;
  state.proxyLink = caller;
  const arrivedAt = runtime.clock.now();
  processReport(state, request);
  await waitForUpdate(state, request);
  const configuration = holder.configuration();
  const version = Option.isSome(configuration) ? configuration.value.version : 0;
  const hasCurrentMembers = request.token === token && updates.areMembersUnchangedSince(request.seen);
  return {
    token,
    number: updates.current(),
    serial: proxy.recordReply(),
    held: Math.max(0, runtime.clock.now() - arrivedAt),
    configuration:
      Option.isSome(configuration) && version !== request.configuration ? { version, sheet: configuration.value.value.sheet } : null,
    configurationVersion: version,
    services: [...placementsOf(runtime, holder)],
    roster: hasCurrentMembers ? null : [...holder.members()],
    edges: { ...holder.edgeCountByArea() },
    demand: { ...holder.statementRateByArea() },
    marks: commitWatermarksOf(state),
    area: settings.area,
    node: settings.node,
  };
}

/** Waits for the proxy, which needs its leases for in-flight transactions; the next proxy has an agent of its own (design 7.10). */
async function waitForProxyExit(state: AgentState): Promise<void> {
  const { clock } = state.runtime;
  state.isDraining = true;
  const startedAt = clock.now();
  const deadline = identifiers.after(startedAt, drainTimeoutMilliseconds);
  function isNeeded(): boolean {
    return state.reports.pendingCount() > 0 || state.proxyLink?.isOpen() === true || clock.now() - startedAt < minimumDrainMilliseconds;
  }
  while (clock.now() < deadline && isNeeded()) await clock.sleep(drainPollMilliseconds);
}

function assemble(runtime: Runtime, settings: LeaseAgentSettings): AgentState {
  const { node, area, seeds } = settings;
  const token = runtime.randomness.token();
  const proxy = proxyStates.create(runtime.clock, token);
  const updates: PlacementUpdates = placementUpdates.create(
    runtime.clock,
    () => holder,
    () => placementsOf(runtime, holder),
  );
  const holder: LeaseHolder = leaseHolder.create(runtime, { node, area, seeds }, { ...proxy, onChange: updates.observe });
  const reports = proxyReports.create(node, holder.durableReports);
  return { runtime, settings, token, proxy, holder, updates, reports, proxyLink: undefined, isDraining: false };
}

/** Resolves once the agent accepts connections from the proxy. */
async function start(runtime: Runtime, settings: LeaseAgentSettings): Promise<LeaseAgent> {
  const state = assemble(runtime, settings);
  const listening: Listener = await peer.listen(runtime, identifiers.address(settings.feed), {
    placement: (request, caller) => placement(state, request, caller),
    tell: state.reports.store,
  });
  state.holder.start();

  async function stop(): Promise<void> {
    state.holder.stop();
    await listening.stop();
  }

  return {
    drain: async function drain() {
      await waitForProxyExit(state);
      await stop();
    },
    stop,
  };
}

export const leaseAgent = { start } as const;
