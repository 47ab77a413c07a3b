/** The leases that a majority of cores grants an edge, one for each service at its elected epoch (design 7.12). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Instant } from '@stallstall/kernel';
import { quorum } from '@stallstall/quorum';
import { quorumLease } from '@stallstall/quorum-lease';
import type { CoreReplies } from './core-replies.js';
import { coreNames, type HolderContext } from './holder-context.js';
import type { HolderState } from './holder-state.js';

/** @internal */
export type ServiceLeases = Readonly<{
  /** When the lease for a service at its elected epoch ends; in the past when no majority of cores grants it. */
  validUntil: (service: string) => Instant;
  /** Below this epoch nothing is begun any more; 0 while no majority of cores is beyond the elected epoch. */
  releaseEpoch: (service: string) => number;
  /** A core granted: what it said was so at this moment. */
  recordGrant: (core: string, sentAt: Instant) => void;
  /** Looks whether a majority of cores is beyond an epoch by now. */
  observeEpochs: () => void;
  /** A lease that the current set of cores granted runs to its end, also once the set is another (design 4.8). */
  carryOver: () => void;
}>;

const never = identifiers.instant(Number.NEGATIVE_INFINITY);

function create(context: HolderContext, state: HolderState, replies: CoreReplies): ServiceLeases {
  const grants = quorumLease.create();
  const releaseEpochs = new Map<string, number>();
  const carried = new Map<string, Readonly<{ epoch: number; until: Instant }>>();

  function releaseEpoch(service: string): number {
    return releaseEpochs.get(service) ?? 0;
  }

  function validUntil(service: string): Instant {
    const elected = state.electedPrimary(service);
    if (Option.isNone(elected) || elected.value.epoch < releaseEpoch(service)) return never;
    const { epoch } = elected.value;
    const peers = coreNames(context);
    const until = grants.validUntil({ service, epoch, peers, voterCount: peers.length, isVoter: false });
    const earlier = carried.get(service);
    return earlier !== undefined && earlier.epoch === epoch && earlier.until > until ? earlier.until : until;
  }

  /** Once a majority is beyond the elected epoch the lease is gone for good: it is released, and not taken up again. */
  function observeEpochs(): void {
    const cores = coreNames(context);
    for (const service of state.services()) {
      const epochs = cores.map((core) => replies.find(core)?.epochs[service] ?? 0);
      const reached = quorum.latestReachedByMajority(epochs, cores.length, false);
      if (reached > releaseEpoch(service)) releaseEpochs.set(service, reached);
    }
  }

  function carryOver(): void {
    for (const service of state.services()) {
      const elected = state.electedPrimary(service);
      if (Option.isSome(elected)) carried.set(service, { epoch: elected.value.epoch, until: validUntil(service) });
    }
  }

  return {
    validUntil,
    releaseEpoch,
    recordGrant: (core, sentAt) => grants.recordEcho(core, { sentAt, epochs: replies.of(core).epochs }),
    observeEpochs,
    carryOver,
  };
}

/** @internal */
export const serviceLeases = { create } as const;
