/** An edge's leases: one per service at its elected epoch, valid while a majority of cores grants it (design 7.12). */
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
  /** No new work may start below this epoch; 0 before any majority of cores has reported one. */
  releaseEpoch: (service: string) => number;
  /**
   * Records a core's grant at the epochs that it last reported.
   * @param sentAt - when the lease starts
   */
  recordGrant: (core: string, sentAt: Instant) => void;
  /** Updates the release epochs from the epochs that cores report. */
  observeEpochs: () => void;
  /** Called before the core set changes: leases granted by the current set stay valid until they expire (design 4.8). */
  carryOver: () => void;
}>;

const never = identifiers.instant(Number.NEGATIVE_INFINITY);

function create(context: HolderContext, state: HolderState, replies: CoreReplies): ServiceLeases {
  const grants = quorumLease.create();
  const releaseEpochs = new Map<string, number>();
  /** Leases granted by an earlier core set, by service. */
  const carriedOver = new Map<string, Readonly<{ epoch: number; until: Instant }>>();

  function releaseEpoch(service: string): number {
    return releaseEpochs.get(service) ?? 0;
  }

  function validUntil(service: string): Instant {
    const elected = state.electedPrimary(service);
    if (Option.isNone(elected) || elected.value.epoch < releaseEpoch(service)) return never;
    const { epoch } = elected.value;
    const peers = coreNames(context);
    const until = grants.validUntil({ service, epoch, peers, voterCount: peers.length, isVoter: false });
    const fromFormerSet = carriedOver.get(service);
    return fromFormerSet !== undefined && fromFormerSet.epoch === epoch && fromFormerSet.until > until ? fromFormerSet.until : until;
  }

  /** Once a majority of cores is beyond the elected epoch, its lease is released permanently. */
  function observeEpochs(): void {
    const cores = coreNames(context);
    for (const service of state.services()) {
      const epochs = cores.map((core) => replies.find(core)?.epochs[service] ?? 0);
      const majorityEpoch = quorum.latestReachedByMajority(epochs, cores.length, false);
      if (majorityEpoch > releaseEpoch(service)) releaseEpochs.set(service, majorityEpoch);
    }
  }

  function carryOver(): void {
    for (const service of state.services()) {
      const elected = state.electedPrimary(service);
      if (Option.isSome(elected)) carriedOver.set(service, { epoch: elected.value.epoch, until: validUntil(service) });
    }
  }

  return {
    validUntil,
    releaseEpoch,
    recordGrant: (core, sentAt) => grants.recordEcho(core, { sentAt, epochs: replies.getOrCreate(core).epochs }),
    observeEpochs,
    carryOver,
  };
}

/** @internal */
export const serviceLeases = { create } as const;
