/** For each service: the epochs this node knows of, its own vote, and whether a candidacy of its own is under way. */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Clock, Instant } from '@stallstall/kernel';
import type { ElectionContext } from './election-context.js';
import type { Vote, VoteStore } from './vote.js';

/** @internal */
export type ServiceState = {
  vote: Option.Option<Vote>;
  votedAt: Instant;
  /** Whether this node's vote was read back since it started. */
  loaded: boolean;
  loading: boolean;
  knownSince: Instant;
  /** When this node's next candidacy begins; none while none is wanted. */
  startsAt: Option.Option<Instant>;
  isCandidate: boolean;
  /** Of this node's last candidacy, for operators. */
  lastOutcome: string;
};

/** @internal */
export type ServiceEpochs = Readonly<{
  stateOf: (service: string) => ServiceState;
  all: () => ReadonlyArray<readonly [string, ServiceState]>;
  /** Reads this node's vote back, once. */
  load: (service: string) => Promise<void>;
  /** Votes in memory, then on disk; resolves to whether the vote is durable. */
  vote: (service: string, vote: Vote) => Promise<boolean>;
  /** The epoch of the primary elected last; 0 if there was none. */
  electedEpoch: (service: string) => number;
  /** The highest epoch this node has voted for, or that was voted before its membership table was made (design 4.2). */
  votedEpoch: (service: string) => number;
  /** The later of both: what this node counts for. */
  currentEpoch: (service: string) => number;
  /** Whether an election has overtaken an epoch. */
  isOvertaken: (service: string, epoch: number) => boolean;
}>;

function initialState(now: Instant): ServiceState {
  return {
    vote: Option.none,
    votedAt: now,
    loaded: false,
    loading: false,
    knownSince: now,
    startsAt: Option.none,
    isCandidate: false,
    lastOutcome: 'none yet',
  };
}

function create(clock: Clock, context: ElectionContext, votes: VoteStore): ServiceEpochs {
  const states = new Map<string, ServiceState>();

  function stateOf(service: string): ServiceState {
    const known = states.get(service);
    if (known !== undefined) return known;
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
    if (state.loaded || state.loading) return;
    state.loading = true;
    const loaded = await votes.load(service);
    state.loading = false;
    if (Either.isLeft(loaded)) return;
    if (Option.isSome(loaded.right) && loaded.right.value.epoch > votedEpoch(service)) state.vote = loaded.right;
    state.votedAt = clock.now();
    state.loaded = true;
  }

  function vote(service: string, cast: Vote): Promise<boolean> {
    const state = stateOf(service);
    // Raised in memory before the write begins: from here on this node no longer counts for the older epoch (design 7.3).
    state.vote = Option.some(cast);
    state.votedAt = clock.now();
    context.onEpochRaised();
    return votes.record(service, cast);
  }

  return {
    stateOf,
    all: () => [...states],
    load,
    vote,
    electedEpoch,
    votedEpoch,
    currentEpoch: (service) => Math.max(electedEpoch(service), votedEpoch(service)),
    isOvertaken: (service, epoch) => electedEpoch(service) >= epoch || votedEpoch(service) > epoch,
  };
}

/** @internal */
export const serviceEpochs = { create } as const;
