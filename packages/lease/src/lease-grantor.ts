/** The core's side of the leases: grants them to edges, and reports its epochs at once when they change (design 7.12). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, runtimeUtilities, type Instant, type Runtime } from '@stallstall/kernel';
import type { MemberRegistry } from '@stallstall/member-registry';
import type { CommitWatermarks, Reply, Request } from '@stallstall/message';
import { leaseMarginMilliseconds, leaseTermMilliseconds } from '@stallstall/quorum-lease';
import { commitWatermarkTable, laterOf, type CommitWatermarkTable } from './commit-watermarks.js';
import { holderTable, type HolderTable } from './holder-table.js';
import { updateNumbers, type UpdateNumbers } from './update-numbers.js';

/** What a grantor reads from the core it runs in. */
export type LeaseGrantorContext = Readonly<{
  /** Whether this core is an active voter of the core set. */
  isReady: () => boolean;
  /** When this core last became an active voter of the core set. */
  servingSince: () => Instant;
  /** The epoch at which this core grants leases, by service. */
  epochs: () => Readonly<Record<string, number>>;
  /** The version of the configuration on this core's disk. */
  configurationVersion: () => number;
  /** The version of the membership table on this core's disk. */
  membershipVersion: () => number;
  /** Number of writes to this core's disk. A disk with fewer writes than other nodes have seen is an outdated copy. */
  putCount: () => number;
  registry: MemberRegistry;
  /** Whether a service has no leader or is about to change it; edges are then asked for their commit positions. */
  isLeaderMissing: () => boolean;
  /** Called when an edge reports that a member refused its connection, so that this core checks the member itself. */
  onConnectionRefused: (member: string) => void;
}>;

export type LeaseGrantor = Readonly<{
  /** Replies as soon as there is an update, at the latest after the request's `hold`. */
  grant: (request: Request<'lease'>) => Promise<Reply<'lease'>>;
  /** Called when a reported value has changed; replies to the waiting requests. */
  notify: () => void;
  /**
   * Edges whose lease from this core may not have expired yet. None (unknown) while leases may still be valid that a previous process of this
   * core granted, or the core that it replaced.
   */
  leaseHolders: () => Option.Option<readonly string[]>;
  /** Edges whose last request is no older than this. */
  recentHolders: (milliseconds: number) => readonly string[];
  /** Whether all of these edges have reported that they have nothing in flight below an epoch. */
  hasReleased: (service: string, epoch: number, leaseHolders: readonly string[]) => boolean;
  stop: () => void;
}>;

type GrantorState = {
  readonly runtime: Runtime;
  readonly context: LeaseGrantorContext;
  /** Identifies this process; an edge that sends another token has seen none of its updates. */
  readonly token: string;
  readonly startedAt: Instant;
  readonly holders: HolderTable;
  readonly watermarks: CommitWatermarkTable;
  readonly updates: UpdateNumbers;
  wasReady: boolean;
};

/** An edge may hold a lease for this long after the reply that granted it. */
const maximumLeaseMilliseconds = leaseTermMilliseconds + leaseMarginMilliseconds;
/** An edge that has not been asked for its commit positions reports them as this old, or older. */
const noReportAgeMilliseconds = 600_000;

/**
 * When the last lease has expired that a previous process of this core, or the core it replaced, may have granted. The holders of those leases
 * are not known here.
 */
function unknownHoldersUntil({ context, startedAt }: GrantorState): Instant {
  return identifiers.after(laterOf(startedAt, context.servingSince()), maximumLeaseMilliseconds);
}

/** The commit watermarks, computed from the reports of all edges that may have acknowledged a commit (design 8.11). */
function commitWatermarks(state: GrantorState): CommitWatermarks {
  return state.watermarks.current({ ...state.holders.acknowledgers(), unknownHoldersUntil: unknownHoldersUntil(state) });
}

/** Called for a request without a token. If the edge sent requests before, its process is new and the former one sends no more reports. */
function observeRestart({ holders, watermarks }: GrantorState, node: string): void {
  const formerName = holders.processRestarted(node);
  if (formerName !== undefined) watermarks.processRestarted(node, formerName);
}

function recordRequest(state: GrantorState, request: Request<'lease'>): void {
  const { runtime, context, holders, watermarks } = state;
  if (request.token === '') observeRestart(state, request.node);
  if (!holders.isKnown(request.node)) runtime.log('lease.asked', { node: request.node, area: request.area });
  holders.record(request);
  // An older value means that the edge has not been asked for its positions, so they say nothing.
  if (request.positionsAgo < noReportAgeMilliseconds) {
    watermarks.report({
      node: request.node,
      leaderPositions: request.marks,
      acknowledgedPositions: request.positions,
      ageMilliseconds: request.positionsAgo,
    });
  }
  for (const member of request.notListening) context.onConnectionRefused(member);
}

/** Whether this core is ready. When it becomes ready, every epoch counts as changed, so that nothing reported earlier is relied on. */
function observeReadiness(state: GrantorState): boolean {
  const isReady = state.context.isReady();
  if (isReady && !state.wasReady) state.updates.forgetEpochs();
  state.wasReady = isReady;
  return isReady;
}

async function grant(state: GrantorState, request: Request<'lease'>): Promise<Reply<'lease'>> {
  const { runtime, context, token, holders, updates } = state;
  const arrivedAt = runtime.clock.now();
  recordRequest(state, request);
  const isUpToDate = request.token === token && request.seen === updates.current();
  if (isUpToDate && request.hold > 0) await updates.wait(request.hold);
  const ready = observeReadiness(state);
  const whole = request.token !== token;
  holders.renew(request.node);
  const activeEdges = holders.activeWithin(maximumLeaseMilliseconds);
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
    edges: holders.countByArea(activeEdges),
    demand: holders.statementRateByArea(activeEdges),
    wants: isLeaderMissing,
    marks: isLeaderMissing ? commitWatermarks(state) : {},
  };
}

function leaseHolders(state: GrantorState): Option.Option<readonly string[]> {
  const isUnknown = state.runtime.clock.now() < unknownHoldersUntil(state);
  return isUnknown ? Option.none : Option.some(state.holders.activeWithin(maximumLeaseMilliseconds));
}

function create(runtime: Runtime, context: LeaseGrantorContext): LeaseGrantor {
  const state: GrantorState = {
    runtime,
    context,
    token: runtime.randomness.token(),
    startedAt: runtime.clock.now(),
    holders: holderTable.create(runtime.clock),
    watermarks: commitWatermarkTable.create(runtime.clock),
    updates: updateNumbers.create(runtime.clock, context.registry.version),
    wasReady: false,
  };
  return {
    grant: (request) => grant(state, request),
    notify: state.updates.notify,
    leaseHolders: () => leaseHolders(state),
    recentHolders: state.holders.activeWithin,
    hasReleased: state.holders.hasReleased,
    stop: state.updates.stop,
  };
}

/** The name under which other services of the process look up its grantor. */
export const leaseGrantorService = runtimeUtilities.serviceName<LeaseGrantor>('lease-grantor');

export const leaseGrantor = { create } as const;
