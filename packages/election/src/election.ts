/** The election that runs inside every node and decides each service's primary (design 7). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, runtimeUtilities, type Instant, type Runtime } from '@stallstall/kernel';
import type { Reply, Request } from '@stallstall/message';
import type { ServicePlacement } from '@stallstall/placement';
import { quorum } from '@stallstall/quorum';
import { leaseMarginMilliseconds, leaseTermMilliseconds, quorumLeaseService, type QuorumLease } from '@stallstall/quorum-lease';
import { durableReportsService, registerService } from '@stallstall/register';
import { candidacies, type Candidacies } from './candidacy.js';
import type { ElectionContext } from './election-context.js';
import { primaryOf, type ElectionServices } from './election-services.js';
import { downAfterMilliseconds, livenessService } from './liveness.js';
import { proposals } from './proposals.js';
import { serviceEpochs, type ServiceState } from './service-epochs.js';
import { electionTimeoutMilliseconds } from './vote-collection.js';
import type { VoteStore } from './vote.js';

export type Election = Readonly<{
  /** Votes on another node's proposal, or on this node's own. */
  handleProposal: (request: Request<'propose'>) => Promise<Reply<'propose'>>;
  /** The epoch that this node counts for; none while its own vote is not yet read back. */
  epochOf: (service: string) => Option.Option<number>;
  /** Looks at every service and begins a candidacy where one is due. */
  tick: () => void;
  /** A row for each service, for operators. */
  describe: () => ReadonlyArray<Readonly<Record<string, string | number>>>;
}>;

type ElectionSchedule = Readonly<{ services: ElectionServices; lease: QuorumLease; runs: Candidacies }>;

/** How long a vote without an elected primary is given before another candidacy. Unit: milliseconds. */
const pendingTimeoutMilliseconds = leaseTermMilliseconds + leaseMarginMilliseconds + electionTimeoutMilliseconds;
/** Nodes become candidates one after the other, further apart than they look for elections: the second sees the vote of the first. */
const randomizedRankDelayMilliseconds = 120;
const rankDelayMilliseconds = 450;

/** Whether a service has no primary that could go on: none was elected, or it is down or is taken out of service. */
function lacksPrimary({ runtime, context, liveness }: ElectionServices, service: ServicePlacement, state: ServiceState): boolean {
  const isPastGracePeriod = runtime.clock.now() - state.knownSince >= downAfterMilliseconds;
  if (Option.isNone(context.electedPrimary(service.service))) return isPastGracePeriod;
  const primary = primaryOf(context, service);
  if (primary === undefined || primary.state === 'draining') return true;
  return !liveness.isAlive(primary.member) && isPastGracePeriod;
}

/** The place of this node among the voters; the first where it is none. */
function rankOf({ context }: ElectionServices): number {
  const place = context.membership().seats.findIndex((seat) => seat.node === context.self);
  return Math.max(0, place);
}

function startDelay(services: ElectionServices): number {
  const { runtime, context } = services;
  const rank = rankOf(services);
  if (Option.isSome(context.platformCalls)) return rank * rankDelayMilliseconds;
  return (rank + runtime.randomness.fraction()) * randomizedRankDelayMilliseconds;
}

function isDue(services: ElectionServices, service: ServicePlacement, state: ServiceState): boolean {
  const { runtime, epochs } = services;
  const isPending = epochs.votedEpoch(service.service) > epochs.electedEpoch(service.service);
  if (isPending) return runtime.clock.now() - state.votedAt >= pendingTimeoutMilliseconds;
  return lacksPrimary(services, service, state);
}

/** A node that sees no majority is no candidate: it would only raise its own epoch out of step with the rest. */
function mayBeCandidate({ services, lease }: ElectionSchedule, now: Instant): boolean {
  const { context } = services;
  const { seats } = context.membership();
  const peers = seats.map((seat) => seat.node).filter((node) => node !== context.self);
  const isVoter = peers.length < seats.length;
  return isVoter && lease.reachableCount(now, peers) >= quorum.majority(seats.length);
}

async function runCandidacy({ services, runs }: ElectionSchedule, service: ServicePlacement, state: ServiceState): Promise<void> {
  state.isCandidate = true;
  state.lastOutcome = await runs.run(service);
  services.runtime.log('election.outcome', { service: service.service, outcome: state.lastOutcome });
  state.isCandidate = false;
  state.startsAt = Option.none;
}

function tickService(schedule: ElectionSchedule, service: ServicePlacement): void {
  const { services } = schedule;
  const state = services.epochs.stateOf(service.service);
  if (!state.loaded) {
    void services.epochs.load(service.service);
    return;
  }
  if (state.isCandidate) return;
  if (!isDue(services, service, state)) {
    state.startsAt = Option.none;
    return;
  }
  const now = services.runtime.clock.now();
  const startsAt = Option.isSome(state.startsAt) ? state.startsAt.value : identifiers.after(now, startDelay(services));
  state.startsAt = Option.some(startsAt);
  if (now < startsAt || !mayBeCandidate(schedule, now)) return;
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
    runs: candidacies.create(services),
  };
  return {
    handleProposal: (request) => proposals.handle(services, request),
    epochOf: function epochOf(service) {
      return services.epochs.stateOf(service).loaded ? Option.some(services.epochs.currentEpoch(service)) : Option.none;
    },
    tick: function tick() {
      const placement = context.placement();
      if (Option.isNone(placement)) return;
      for (const service of placement.value.services) tickService(schedule, service);
    },
    describe: () => describe(services),
  };
}

/** The name under which a process's other services find its election. */
export const electionService = runtimeUtilities.serviceName<Election>('election');

export const election = { create } as const;
