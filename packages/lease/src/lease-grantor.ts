/** The core's half of the leases: reports its epochs to edges, at once when they change (design 7.12). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, runtimeUtilities, type Instant, type Runtime } from '@stallstall/kernel';
import type { MemberRegistry } from '@stallstall/member-registry';
import type { CommitWatermarks, Reply, Request } from '@stallstall/message';
import { leaseMarginMilliseconds, leaseTermMilliseconds } from '@stallstall/quorum-lease';
import { commitWatermarkTable, laterOf, type CommitWatermarkTable } from './commit-watermarks.js';
import { holderTable, type HolderTable } from './holder-table.js';
import { updateNumbers, type UpdateNumbers } from './update-numbers.js';

/** What a grantor needs of the core it runs in. */
export type LeaseGrantorContext = Readonly<{
  /** Whether this core answers as an occupant of its seat. */
  isReady: () => boolean;
  /** When this core began to answer as an occupant of its seat. */
  servingSince: () => Instant;
  /** The epoch that this core counts for, by service. */
  epochs: () => Readonly<Record<string, number>>;
  /** Versions on this core's disk. */
  configurationVersion: () => number;
  membershipVersion: () => number;
  putCount: () => number;
  registry: MemberRegistry;
  /** A leader is missing, or about to change: edges are to report what they have seen of commits. */
  isLeaderMissing: () => boolean;
  /** A member's machine refused an edge's connection: worth a look of this core's own. */
  onConnectionRefused: (member: string) => void;
}>;

export type LeaseGrantor = Readonly<{
  /** Replies at once with an update, or at the latest after the request's `hold`. */
  grant: (request: Request<'lease'>) => Promise<Reply<'lease'>>;
  /** Something has changed: edges that wait are told. */
  notify: () => void;
  /**
   * Edges that were granted a lease here within a term and its margin, so that theirs may still run; none while one that an earlier process
   * or occupant of this seat granted may.
   */
  leaseHolders: () => Option.Option<readonly string[]>;
  /** Edges that asked within so many milliseconds. */
  recentHolders: (milliseconds: number) => readonly string[];
  /** Whether all of these edges have reported that nothing of theirs is in flight below an epoch. */
  hasReleased: (service: string, epoch: number, leaseHolders: readonly string[]) => boolean;
  stop: () => void;
}>;

type GrantorState = {
  readonly runtime: Runtime;
  readonly context: LeaseGrantorContext;
  /** Names this process: an edge that reports another token has seen nothing of it. */
  readonly token: string;
  readonly startedAt: Instant;
  readonly holders: HolderTable;
  readonly commits: CommitWatermarkTable;
  readonly updates: UpdateNumbers;
  wasReady: boolean;
};

const holderMilliseconds = leaseTermMilliseconds + leaseMarginMilliseconds;
/** An edge that was never asked for its positions says that they are this old, or older. */
const unreportedMilliseconds = 600_000;

/** Leases that an earlier process or occupant of this seat granted have ended by then; whom it granted them to is not known here. */
function unknownHoldersUntil({ context, startedAt }: GrantorState): Instant {
  return identifiers.after(laterOf(startedAt, context.servingSince()), holderMilliseconds);
}

/** How far commits reach, as all edges have reported that may have acknowledged one (design 8.11). */
function commitWatermarks(state: GrantorState): CommitWatermarks {
  return state.commits.all({ ...state.holders.remembered(), unknownHoldersUntil: unknownHoldersUntil(state) });
}

/** An edge that knows nothing of this core runs another process, if it has asked before: the former one reports nothing more. */
function observeRestart({ holders, commits }: GrantorState, node: string): void {
  const former = holders.processRestarted(node);
  if (former !== undefined) commits.processRestarted(node, former);
}

function record(state: GrantorState, request: Request<'lease'>): void {
  const { runtime, context, holders, commits } = state;
  if (request.token === '') observeRestart(state, request.node);
  if (!holders.isKnown(request.node)) runtime.log('lease.asked', { node: request.node, area: request.area });
  holders.record(request);
  // One that reports no positions has not been asked to: nothing is known of it then.
  if (request.positionsAgo < unreportedMilliseconds) {
    commits.report({ node: request.node, seen: request.marks, commits: request.positions, agoMilliseconds: request.positionsAgo });
  }
  for (const member of request.notListening) context.onConnectionRefused(member);
}

/** Whether this core is ready; nothing that was reported before it became ready is built on. */
function observeReadiness(state: GrantorState): boolean {
  const isReady = state.context.isReady();
  if (isReady && !state.wasReady) state.updates.forgetEpochs();
  state.wasReady = isReady;
  return isReady;
}

async function grant(state: GrantorState, request: Request<'lease'>): Promise<Reply<'lease'>> {
  const { runtime, context, token, holders, updates } = state;
  const arrivedAt = runtime.clock.now();
  record(state, request);
  const isUpToDate = request.token === token && request.seen === updates.current();
  if (isUpToDate && request.hold > 0) await updates.wait(request.hold);
  const ready = observeReadiness(state);
  const whole = request.token !== token;
  holders.renew(request.node);
  const current = holders.within(holderMilliseconds);
  const isLeaderMissing = context.isLeaderMissing();
  return {
    ready,
    held: Math.max(0, runtime.clock.now() - arrivedAt),
    token,
    number: updates.current(),
    stances: ready ? updates.changedEpochs(context.epochs(), whole ? 0 : request.seen) : {},
    configuration: context.configurationVersion(),
    membership: context.membershipVersion(),
    puts: context.putCount(),
    roster: [...context.registry.changedSince(whole ? 0 : updates.registryVersionAt(request.seen))],
    whole,
    edges: holders.countByArea(current),
    demand: holders.demandByArea(current),
    wants: isLeaderMissing,
    marks: isLeaderMissing ? commitWatermarks(state) : {},
  };
}

function leaseHolders(state: GrantorState): Option.Option<readonly string[]> {
  const isUnknown = state.runtime.clock.now() < unknownHoldersUntil(state);
  return isUnknown ? Option.none : Option.some(state.holders.within(holderMilliseconds));
}

function create(runtime: Runtime, context: LeaseGrantorContext): LeaseGrantor {
  const state: GrantorState = {
    runtime,
    context,
    token: runtime.randomness.token(),
    startedAt: runtime.clock.now(),
    holders: holderTable.create(runtime.clock),
    commits: commitWatermarkTable.create(runtime.clock),
    updates: updateNumbers.create(runtime.clock, context.registry.version),
    wasReady: false,
  };
  return {
    grant: (request) => grant(state, request),
    notify: state.updates.notify,
    leaseHolders: () => leaseHolders(state),
    recentHolders: state.holders.within,
    hasReleased: state.holders.hasReleased,
    stop: state.updates.stop,
  };
}

/** The name under which a process's other services find its grantor. */
export const leaseGrantorService = runtimeUtilities.serviceName<LeaseGrantor>('lease-grantor');

export const leaseGrantor = { create } as const;
