/**
 * Usage reporting. Edges report their counts to every core, and the holder of the usage role finalizes each window in the register before
 * it first sends it to the platform (design 8.6).
 */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { singletonRole, type PlatformCall, type PlatformCalls, type RoleLease } from '@stallstall/election';
import { identifiers, type Fault, type Runtime } from '@stallstall/kernel';
import type { Reply } from '@stallstall/message';
import type { Node } from '@stallstall/node';
import { quorum } from '@stallstall/quorum';
import {
  registerService,
  reportStore,
  usageWindowMilliseconds,
  retainedUsageWindows,
  type Register,
  type ReportStore,
} from '@stallstall/register';
import { usageWindows, type UsageWindow } from './usage-windows.js';

export type UsageReporting = Readonly<{
  start: () => void;
  /** Resolves once the role has been released. */
  stop: () => Promise<void>;
  /** The finalized windows, oldest first. */
  windows: () => Promise<Either.Either<Fault, readonly UsageWindow[]>>;
}>;

/** Used where edges hold leases and an external platform defines the format of its calls (design 9.6). */
export type LeasedUsageParts = Readonly<{
  calls: PlatformCalls;
  /** Edges that may still have counts to report. */
  edges: () => readonly string[];
}>;

type ReportingState = {
  readonly runtime: Runtime;
  readonly node: Node;
  readonly reports: ReportStore;
  readonly leased: Option.Option<LeasedUsageParts>;
  readonly register: Register;
  /** Windows that are being sent to the platform. They are sent independently, so that a slow call does not delay the others. */
  readonly sending: Set<number>;
  isStopped: boolean;
};

/**
 * A window is finalized once every edge has reported all of it, or this long after its end. Statements are not answered before they are
 * reported, so an unreachable edge can only add the statements that it had in flight.
 */
const graceMilliseconds = 2_500;
/**
 * Where clients hold sessions, replies do not wait for reports: an unreachable edge serves until its lease ends, and its counts arrive once
 * it is reachable again. The holder waits for them as long as the window can then still be sent in time.
 */
const sessionGraceMilliseconds = 6_000;
/** The most by which the machines' wall clocks may differ. */
const clockSkewMilliseconds = 200;
/** The platform may be slow; the role's lease is renewed while a call is in progress. */
const sendTimeoutMilliseconds = 4_000;
/** A window that has not been sent this long after its end would arrive too late: it is listed for operators but never sent. */
const sendDeadlineMilliseconds = 9_000;
const readTimeoutMilliseconds = 500;
const roundIntervalMilliseconds = 400;
const acquireIntervalMilliseconds = 500;

function endOf(window: number): number {
  return (window + 1) * usageWindowMilliseconds;
}

/** The reports that a core has for a window; none if it does not reply. */
async function readUsage({ node, reports }: ReportingState, core: string, window: number): Promise<Option.Option<Reply<'usageLook'>>> {
  if (core === node.settings.node) return Option.some(reports.usageOf(window));
  const link = node.peerOf(core);
  return Option.isNone(link) ? Option.none : link.value.call('usageLook', { window }, readTimeoutMilliseconds);
}

function reportingEdges({ node, leased }: ReportingState): readonly string[] {
  if (Option.isSome(leased)) return leased.value.edges();
  return quorum.nodesWithRole(node.membership().value, 'edge').map((edge) => edge.node);
}

/** The counts of a window from a majority of core disks; none without a majority, or while an edge may still have counts to report. */
async function collectCounts(state: ReportingState, window: number): Promise<Option.Option<Readonly<Record<string, number>>>> {
  const { runtime, node, leased } = state;
  const cores = node.cores();
  const responses = await Promise.all(cores.map((core) => readUsage(state, core.node, window)));
  const replies = responses.flatMap((response) => (Option.isSome(response) && response.value.ready ? [response.value] : []));
  if (replies.length < quorum.majority(cores.length)) return Option.none;
  const end = endOf(window);
  const isComplete = reportingEdges(state).every(function hasReported(edge) {
    const through = Math.max(...replies.map((reply) => reply.through[edge] ?? 0));
    return through >= end + clockSkewMilliseconds;
  });
  const grace = Option.isSome(leased) ? sessionGraceMilliseconds : graceMilliseconds;
  if (!isComplete && runtime.clock.wall() < end + grace) return Option.none;
  return Option.some(reportStore.sumUsageReports(replies.flatMap((reply) => reply.reports)));
}

async function finalizeWindow(
  { runtime, register }: ReportingState,
  window: number,
  counts: Readonly<Record<string, number>>,
): Promise<void> {
  const finalized = await usageWindows.finalize(register, window, counts);
  if (Option.isNone(finalized) || !finalized.value.isNew) return;
  const counted = Object.values(counts).reduce((sum, count) => sum + count, 0);
  runtime.log('usage.fixed', { window, counted });
}

function requestOf({ node, leased }: ReportingState, { window, counts }: UsageWindow, fencingToken: number): PlatformCall {
  const holder = node.settings.node;
  if (Option.isSome(leased)) return leased.value.calls.usage({ window, counts, fencingToken, holder });
  return {
    retrySafety: 'deduplicated',
    method: 'POST',
    path: '/v1/usage',
    body: { window, endsAt: endOf(window), counts, turn: fencingToken, holder },
  };
}

async function send(state: ReportingState, window: UsageWindow, role: RoleLease): Promise<void> {
  const { node, register, sending } = state;
  if (sending.has(window.window)) return;
  sending.add(window.window);
  const platform = identifiers.address(node.settings.platform());
  const reply = await role.call(platform, requestOf(state, window, role.fencingToken), sendTimeoutMilliseconds);
  sending.delete(window.window);
  if (Either.isRight(reply) && reply.right.status === 200) await usageWindows.markSent(register, window.window);
}

/** Finalizes every window that has ended, including those that are too late to send. */
async function finalizeEnded(state: ReportingState, stored: readonly UsageWindow[]): Promise<void> {
  const last = Math.floor((state.runtime.clock.wall() - clockSkewMilliseconds) / usageWindowMilliseconds) - 1;
  const newest = stored.at(-1)?.window ?? last - 1;
  const first = Math.max(newest + 1, last - retainedUsageWindows + 2);
  for (let window = first; window <= last; window += 1) {
    const counts = await collectCounts(state, window);
    if (Option.isNone(counts)) return;
    await finalizeWindow(state, window, counts.value);
  }
}

/** One round of the role's holder: finalizes the windows that have ended, then sends those that can still arrive in time. */
async function runRound(state: ReportingState, role: RoleLease): Promise<void> {
  const { runtime, register } = state;
  const stored = await usageWindows.read(register);
  if (Either.isLeft(stored)) return;
  await finalizeEnded(state, stored.right);
  const finalized = await usageWindows.read(register);
  if (Either.isLeft(finalized)) return;
  for (const window of finalized.right) {
    const isPastDeadline = endOf(window.window) + sendDeadlineMilliseconds < runtime.clock.wall();
    if (!window.sent && !isPastDeadline && !state.isStopped) void send(state, window, role);
  }
}

async function runAsHolder(state: ReportingState, role: RoleLease): Promise<void> {
  const { runtime } = state;
  runtime.log('usage.holding', { fencingToken: role.fencingToken });
  while (!state.isStopped && (await role.renew())) {
    await runRound(state, role);
    await runtime.clock.sleep(roundIntervalMilliseconds);
  }
  runtime.log('usage.ended', { fencingToken: role.fencingToken });
}

async function run(state: ReportingState): Promise<void> {
  const { runtime, node, leased } = state;
  const handoverDelay = Option.isSome(leased) ? leased.value.calls.handoverDelayMilliseconds : 0;
  const role = singletonRole.create(runtime, 'usage', node.settings.node, handoverDelay);
  while (!state.isStopped) {
    const lease = node.incarnation() > 0 ? await role.tryAcquire() : Option.none;
    if (Option.isSome(lease)) {
      await runAsHolder(state, lease.value);
      if (state.isStopped) await lease.value.release();
    }
    await runtime.clock.sleep(acquireIntervalMilliseconds);
  }
}

/** @param leased - none where operators list the members and edges in the configuration */
function create(runtime: Runtime, node: Node, reports: ReportStore, leased: Option.Option<LeasedUsageParts> = Option.none): UsageReporting {
  const register = runtime.services.find(registerService);
  const state: ReportingState = { runtime, node, reports, leased, register, sending: new Set(), isStopped: false };
  let ended: Promise<void> = Promise.resolve();
  return {
    start: function start() {
      ended = run(state);
    },
    stop: function stop() {
      state.isStopped = true;
      return ended;
    },
    windows: () => usageWindows.read(register),
  };
}

export const usageReporting = { create } as const;
