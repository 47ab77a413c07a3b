/** The election of each service's primary, run by every node (design 7). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, runtimeUtilities, type Instant, type Runtime } from '@stallstall/kernel';
import type { Reply, Request } from '@stallstall/message';
import type { ServicePlacement } from '@stallstall/placement';
import { quorum } from '@stallstall/quorum';
import { leaseMarginMilliseconds, leaseTermMilliseconds, quorumLeaseService, type QuorumLease } from '@stallstall/quorum-lease';
import { durableReportsService, registerService } from '@stallstall/register';
import { candidacyRunner, type CandidacyRunner } from './candidacy.js';
import type { ElectionContext } from './election-context.js';
import { primaryOf, type ElectionServices } from './election-services.js';
import { downAfterMilliseconds, livenessService } from './liveness.js';
import { proposals } from './proposals.js';
import { replicaSetKeeper, type ReplicaSetKeeper } from './replica-set-keeper.js';
import { serviceEpochs, type ServiceState } from './service-epochs.js';
import { electionTimeoutMilliseconds } from './vote-collection.js';
import type { VoteStore } from './vote.js';

export type Election = Readonly<{
  /** Votes on a proposal of another node. */
  handleProposal: (request: Request<'propose'>) => Promise<Reply<'propose'>>;
  /** The highest epoch that this node has voted for or seen elected; none until its own stored vote is loaded. */
  epochOf: (service: string) => Option.Option<number>;
  /** Checks every service, and starts a candidacy where one is due. Called periodically. */
  tick: () => void;
  /** One row per service, for operators. */
  describe: () => ReadonlyArray<Readonly<Record<string, string | number>>>;
}>;

type ElectionSchedule = Readonly<{
  services: ElectionServices;
  lease: QuorumLease;
  runner: CandidacyRunner;
  keeper: ReplicaSetKeeper;
}>;

/** How long after a vote no new candidacy starts while no primary has been elected for its epoch. Unit: milliseconds. */
const pendingTimeoutMilliseconds = leaseTermMilliseconds + leaseMarginMilliseconds + electionTimeoutMilliseconds;
/** Without `platformCalls`, a node delays its candidacy by a partly random time that rises with its rank. */
const randomizedRankDelayMilliseconds = 120;
/**
 * With `platformCalls`, nodes become candidates one after the other by rank. The step is longer than the interval of `tick`, so that the
 * second node has received the first one's proposal by then.
 */
const rankDelayMilliseconds = 450;

/** Whether a service has no usable primary: none was elected, or it is down, draining or no longer a member. */
function lacksPrimary({ runtime, context, liveness }: ElectionServices, service: ServicePlacement, state: ServiceState): boolean {
  const isPastGracePeriod = runtime.clock.now() - state.trackedSince >= downAfterMilliseconds;
  if (Option.isNone(context.electedPrimary(service.service))) return isPastGracePeriod;
  const primary = primaryOf(context, service);
  if (primary === undefined || primary.state === 'draining') return true;
  return !liveness.isAlive(primary.member) && isPastGracePeriod;
}

/** The index of this node among the voters; 0 if it is not a voter. */
function rankOf({ context }: ElectionServices): number {
  const index = context.membership().seats.findIndex((seat) => seat.node === context.self);
  return Math.max(0, index);
}

function candidacyDelay(services: ElectionServices): number {
  const { runtime, context } = services;
  const rank = rankOf(services);
  if (Option.isSome(context.platformCalls)) return rank * rankDelayMilliseconds;
  return (rank + runtime.randomness.fraction()) * randomizedRankDelayMilliseconds;
}

function isCandidacyDue(services: ElectionServices, service: ServicePlacement, state: ServiceState): boolean {
  const { runtime, epochs } = services;
  const hasPendingVote = epochs.votedEpoch(service.service) > epochs.electedEpoch(service.service);
  if (hasPendingVote) return runtime.clock.now() - state.votedAt >= pendingTimeoutMilliseconds;
  return lacksPrimary(services, service, state);
}

/** A node that does not reach a majority must not be a candidate: it could not win, and would only raise its own epoch above the others'. */
function mayBeCandidate({ services, lease }: ElectionSchedule, now: Instant): boolean {
  const { context } = services;
  const { seats } = context.membership();
  const peers = seats.map((seat) => seat.node).filter((node) => node !== context.self);
  const isVoter = peers.length < seats.length;
  return isVoter && lease.reachableCount(now, peers) >= quorum.majority(seats.length);
}

async function runCandidacy({ services, runner }: ElectionSchedule, service: ServicePlacement, state: ServiceState): Promise<void> {
  state.isCandidate = true;
  state.lastOutcome = await runner.run(service);
  services.runtime.log('election.outcome', { service: service.service, outcome: state.lastOutcome });
  state.isCandidate = false;
  state.candidacyStartsAt = Option.none;
}

function tickService(schedule: ElectionSchedule, service: ServicePlacement): void {
  const { services } = schedule;
  const state = services.epochs.stateOf(service.service);
  if (!state.isVoteLoaded) {
    void services.epochs.load(service.service);
    return;
  }
  if (state.isCandidate) return;
  if (!isCandidacyDue(services, service, state)) {
    state.candidacyStartsAt = Option.none;
    state.awaitedMembers = [];
    return;
  }
  const now = services.runtime.clock.now();
  const candidacyStartsAt = Option.isSome(state.candidacyStartsAt)
    ? state.candidacyStartsAt.value
    : identifiers.after(now, candidacyDelay(services));
  state.candidacyStartsAt = Option.some(candidacyStartsAt);
  if (now < candidacyStartsAt || !mayBeCandidate(schedule, now)) return;
  void runCandidacy(schedule, service, state);
}

function describe({ context, epochs }: ElectionServices): ReadonlyArray<Readonly<Record<string, string | number>>> {
  return epochs.all().map(([service, state]) => {
    const elected = context.electedPrimary(service);
    return {
      service,
      epoch: epochs.electedEpoch(service),
      primary: Option.isSome(elected) ? elected.value.primary : '',
      voted: epochs.votedEpoch(service),
      outcome: state.lastOutcome,
      awaited: state.awaitedMembers.join(' '),
    };
  });
}

function create(runtime: Runtime, context: ElectionContext, votes: VoteStore): Election {
  const services: ElectionServices = {
    runtime,
    context,
    register: runtime.services.find(registerService),
    durableReports: runtime.services.find(durableReportsService),
    liveness: runtime.services.find(livenessService),
    epochs: serviceEpochs.create(runtime.clock, context, votes),
  };
  const schedule: ElectionSchedule = {
    services,
    lease: runtime.services.find(quorumLeaseService),
    runner: candidacyRunner.create(services),
    keeper: replicaSetKeeper.create(services),
  };
  return {
    handleProposal: (request) => proposals.handle(services, request),
    epochOf: function epochOf(service) {
      return services.epochs.stateOf(service).isVoteLoaded ? Option.some(services.epochs.currentEpoch(service)) : Option.none;
    },
    tick: function tick() {
      const placement = context.placement();
      if (Option.isNone(placement)) return;
      for (const service of placement.value.services) {
        schedule.keeper.tick(service);
        tickService(schedule, service);
      }
    },
    describe: () => describe(services),
  };
}

/** The name under which other services of the process find its election. */
export const electionService = runtimeUtilities.serviceName<Election>('election');

export const election = { create } as const;
