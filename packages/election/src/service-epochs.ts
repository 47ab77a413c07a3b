/** Per service: the epochs known to this node, this node's vote, and the state of its own candidacy. */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Clock, Instant } from '@stallstall/kernel';
import type { ElectionContext } from './election-context.js';
import type { Vote, VoteStore } from './vote.js';

/** @internal */
export type ServiceState = {
  vote: Option.Option<Vote>;
  votedAt: Instant;
  /** Whether this node's stored vote has been read since the process started. */
  isVoteLoaded: boolean;
  isVoteLoading: boolean;
  /** When this node first looked at the service. For a grace period from then it starts no candidacy for want of a live primary. */
  trackedSince: Instant;
  /** When this node's next candidacy starts; none while no candidacy is due. */
  candidacyStartsAt: Option.Option<Instant>;
  isCandidate: boolean;
  /** Members that may hold the only copy of an acknowledged commit and did not reply to this node's last candidacy. */
  awaitedMembers: readonly string[];
  /** The outcome of this node's last candidacy, for operators. */
  lastOutcome: string;
};

/** @internal */
export type ServiceEpochs = Readonly<{
  stateOf: (service: string) => ServiceState;
  all: () => ReadonlyArray<readonly [string, ServiceState]>;
  /** Reads this node's stored vote, unless it has been read before. */
  load: (service: string) => Promise<void>;
  /** Records a vote in memory, then on disk. Resolves to whether the vote is durable. */
  vote: (service: string, vote: Vote) => Promise<boolean>;
  /** The epoch of the last elected primary; 0 if none was elected. */
  electedEpoch: (service: string) => number;
  /** The highest epoch that this node has voted for, or that was voted for before its membership table was written (design 4.2). */
  votedEpoch: (service: string) => number;
  /** The higher of the elected and the voted epoch: the epoch at which this node counts towards a lease. */
  currentEpoch: (service: string) => number;
  /** Whether a primary was elected at this or a later epoch, or this node has voted for a later one. */
  isSuperseded: (service: string, epoch: number) => boolean;
}>;

function initialState(now: Instant): ServiceState {
  return {
    vote: Option.none,
    votedAt: now,
    isVoteLoaded: false,
    isVoteLoading: false,
    trackedSince: now,
    candidacyStartsAt: Option.none,
    isCandidate: false,
    awaitedMembers: [],
    lastOutcome: 'none yet',
  };
}

function create(clock: Clock, context: ElectionContext, votes: VoteStore): ServiceEpochs {
  const states = new Map<string, ServiceState>();

  function stateOf(service: string): ServiceState {
    const existing = states.get(service);
    if (existing !== undefined) return existing;
    const created = initialState(clock.now());
    states.set(service, created);
    return created;
  }

  function electedEpoch(service: string): number {
    const elected = context.electedPrimary(service);
    return Option.isSome(elected) ? elected.value.epoch : 0;
  }

  function votedEpoch(service: string): number {
    const { vote } = stateOf(service);
    return Math.max(Option.isSome(vote) ? vote.value.epoch : 0, context.membership().epochs[service] ?? 0);
  }

  async function load(service: string): Promise<void> {
    const state = stateOf(service);
    if (state.isVoteLoaded || state.isVoteLoading) return;
    state.isVoteLoading = true;
    const loaded = await votes.load(service);
    state.isVoteLoading = false;
    if (Either.isLeft(loaded)) return;
    if (Option.isSome(loaded.right) && loaded.right.value.epoch > votedEpoch(service)) state.vote = loaded.right;
    state.votedAt = clock.now();
    state.isVoteLoaded = true;
  }

  function vote(service: string, newVote: Vote): Promise<boolean> {
    const state = stateOf(service);
    // Set in memory before the write starts, so that from now on this node counts towards no lease at an older epoch (design 7.3).
    state.vote = Option.some(newVote);
    state.votedAt = clock.now();
    context.onEpochRaised();
    return votes.record(service, newVote);
  }

  return {
    stateOf,
    all: () => [...states],
    load,
    vote,
    electedEpoch,
    votedEpoch,
    currentEpoch: (service) => Math.max(electedEpoch(service), votedEpoch(service)),
    isSuperseded: (service, epoch) => electedEpoch(service) >= epoch || votedEpoch(service) > epoch,
  };
}

/** @internal */
export const serviceEpochs = { create } as const;
