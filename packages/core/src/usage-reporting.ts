/** Usage: counts are reported to every core, and one holder fixes a window in the register before it is first sent (design 8.6). */
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
  /** Resolves when the role is handed on. */
  stop: () => Promise<void>;
  /** The windows that are fixed, the oldest first. */
  windows: () => Promise<Either.Either<Fault, readonly UsageWindow[]>>;
}>;

/** Where edges hold leases, and the platform has words of its own (design 9.6). */
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
  /** Windows on their way to the platform: one that it is slow over holds up none of the others. */
  readonly sending: Set<number>;
  isStopped: boolean;
};

/**
 * A window is fixed once every edge has reported all of it, or so long after its end. Nothing is served without its report, so all
 * that an edge out of reach can still add is what it had in flight.
 */
const graceMilliseconds = 2_500;
/**
 * Where clients hold sessions, replies wait for no report: an edge out of reach serves until its lease ends, and its counts arrive when it
 * is back. They are waited for as long as a window can then still be sent in time.
 */
const sessionGraceMilliseconds = 6_000;
/** How far the machines' wall clocks may differ. */
const clockSkewMilliseconds = 200;
/** A platform may be slow: the role is renewed beside the call. */
const sendMilliseconds = 4_000;
/** A window that has not left by then would arrive too late: it is shown to operators and never sent. */
const latestSendMilliseconds = 9_000;
const lookMilliseconds = 500;
const roundMilliseconds = 400;
const acquireMilliseconds = 500;

function endOf(window: number): number {
  return (window + 1) * usageWindowMilliseconds;
}

/** What a core holds of a window; none when it does not reply or does not count. */
async function lookAt({ node, reports }: ReportingState, core: string, window: number): Promise<Option.Option<Reply<'usageLook'>>> {
  if (core === node.settings.node) return Option.some(reports.usageOf(window));
  const link = node.peerOf(core);
  return Option.isNone(link) ? Option.none : link.value.call('usageLook', { window }, lookMilliseconds);
}

function reportingEdges({ node, leased }: ReportingState): readonly string[] {
  if (Option.isSome(leased)) return leased.value.edges();
  return quorum.nodesWithRole(node.membership().value, 'edge').map((edge) => edge.node);
}

/** The counts of a window as a majority of disks holds them; none while an edge may still have some to report. */
async function collectCounts(state: ReportingState, window: number): Promise<Option.Option<Readonly<Record<string, number>>>> {
  const { runtime, node, leased } = state;
  const cores = node.cores();
  const looks = await Promise.all(cores.map((core) => lookAt(state, core.node, window)));
  const replies = looks.flatMap((look) => (Option.isSome(look) && look.value.ready ? [look.value] : []));
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

async function fixWindow({ runtime, register }: ReportingState, window: number, counts: Readonly<Record<string, number>>): Promise<void> {
  const fixed = await usageWindows.fix(register, window, counts);
  if (Option.isNone(fixed) || !fixed.value.isNew) return;
  const counted = Object.values(counts).reduce((sum, count) => sum + count, 0);
  runtime.log('usage.fixed', { window, counted });
}

function requestOf({ node, leased }: ReportingState, { window, counts }: UsageWindow, fencingToken: number): PlatformCall {
  const holder = node.settings.node;
  if (Option.isSome(leased)) return leased.value.calls.usage({ window, counts, fencingToken, holder });
  return {
    repeatable: 'unchanged',
    method: 'POST',
    path: '/v1/usage',
    body: { window, endsAt: endOf(window), counts, turn: fencingToken, holder },
  };
}

async function send(state: ReportingState, fixed: UsageWindow, role: RoleLease): Promise<void> {
  const { node, register, sending } = state;
  if (sending.has(fixed.window)) return;
  sending.add(fixed.window);
  const platform = identifiers.address(node.settings.platform());
  const reply = await role.call(platform, requestOf(state, fixed, role.fencingToken), sendMilliseconds);
  sending.delete(fixed.window);
  if (Either.isRight(reply) && reply.right.status === 200) await usageWindows.markSent(register, fixed.window);
}

/** Fixes every window that has ended, also one that is too late to send. */
async function fixEnded(state: ReportingState, known: readonly UsageWindow[]): Promise<void> {
  const last = Math.floor((state.runtime.clock.wall() - clockSkewMilliseconds) / usageWindowMilliseconds) - 1;
  const newest = known.at(-1)?.window ?? last - 1;
  const first = Math.max(newest + 1, last - retainedUsageWindows + 2);
  for (let window = first; window <= last; window += 1) {
    const counts = await collectCounts(state, window);
    if (Option.isNone(counts)) return;
    await fixWindow(state, window, counts.value);
  }
}

/** One round of the holder: fixes what has ended, then sends what can still arrive in time. */
async function runRound(state: ReportingState, role: RoleLease): Promise<void> {
  const { runtime, register } = state;
  const known = await usageWindows.read(register);
  if (Either.isLeft(known)) return;
  await fixEnded(state, known.right);
  const fixed = await usageWindows.read(register);
  if (Either.isLeft(fixed)) return;
  for (const window of fixed.right) {
    const isTooLate = endOf(window.window) + latestSendMilliseconds < runtime.clock.wall();
    if (!window.sent && !isTooLate && !state.isStopped) void send(state, window, role);
  }
}

async function hold(state: ReportingState, role: RoleLease): Promise<void> {
  const { runtime } = state;
  runtime.log('usage.holding', { fencingToken: role.fencingToken });
  while (!state.isStopped && (await role.renew())) {
    await runRound(state, role);
    await runtime.clock.sleep(roundMilliseconds);
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
      await hold(state, lease.value);
      if (state.isStopped) await lease.value.release();
    }
    await runtime.clock.sleep(acquireMilliseconds);
  }
}

/** @param leased - none where members and edges are named by an operator */
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
