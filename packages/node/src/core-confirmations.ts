/** Tracks how long the applied configuration is valid: a majority of cores must confirm that no newer one is acknowledged (design 5.2). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Instant } from '@stallstall/kernel';
import type { CoreSet } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import { leaseTermMilliseconds } from '@stallstall/quorum-lease';
import type { AppliedState } from './applied-state.js';
import type { NodeContext } from './node-context.js';

/** `sentAt`: when the confirmed call was sent. The versions are those on the core's disk. @internal */
export type CoreConfirmation = Readonly<{ sentAt: Instant; configuration: number; membership: number }>;

/** @internal */
export type CoreConfirmations = Readonly<{
  record: (core: string, confirmation: CoreConfirmation) => void;
  /** Removes the confirmations of cores outside this set. */
  retain: (set: CoreSet) => void;
  /** One lease term after a majority last confirmed that nothing newer than the applied versions is acknowledged. */
  leaseUntil: () => Instant;
}>;

function create(context: NodeContext, applied: AppliedState): CoreConfirmations {
  const confirmations = new Map<string, CoreConfirmation>();

  /** The version of a key on this core's own disk; 0 if there is none or this node is an edge. */
  function localVersion(key: string): number {
    const { localReplica } = context.parts;
    const entry = Option.isSome(localReplica) ? localReplica.value.acceptedEntry(key) : Option.none;
    return Option.isSome(entry) ? entry.value.version : 0;
  }

  /** When each core last confirmed, for cores that hold nothing newer than these versions. */
  function confirmedAt(configuration: number, membership: number): readonly Instant[] {
    const remote = context.cores.flatMap(function confirmed(core) {
      const confirmation = confirmations.get(core.node);
      if (confirmation === undefined) return [];
      const isCurrent = confirmation.configuration <= configuration && confirmation.membership <= membership;
      return isCurrent ? [confirmation.sentAt] : [];
    });
    if (Option.isNone(context.parts.localReplica)) return remote;
    const isLocalCurrent = localVersion('configuration') <= configuration && localVersion('membership') <= membership;
    return isLocalCurrent ? [...remote, context.runtime.clock.now()] : remote;
  }

  function leaseUntil(): Instant {
    if (context.cores.length === 0) return identifiers.instant(Number.NEGATIVE_INFINITY);
    const confirmationTimes = confirmedAt(applied.configurationVersion(), applied.membership().version);
    const majorityAt = identifiers.instant(quorum.latestReachedByMajority(confirmationTimes, context.cores.length, false));
    return identifiers.after(majorityAt, leaseTermMilliseconds);
  }

  function retain(set: CoreSet): void {
    for (const core of confirmations.keys()) if (quorum.findNode(set, core) === undefined) confirmations.delete(core);
  }

  return { record: (core, confirmation) => void confirmations.set(core, confirmation), retain, leaseUntil };
}

/** @internal */
export const coreConfirmations = { create } as const;
