/** Acknowledges the changes that cores push and records the cores' confirmations that nothing newer exists (design 5.2, 7.14). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Instant } from '@stallstall/kernel';
import type { Change, CoreSet } from '@stallstall/message';
import type { Peer } from '@stallstall/peer';
import { quorum } from '@stallstall/quorum';
import type { AppliedState } from './applied-state.js';
import { coreConfirmations } from './core-confirmations.js';
import type { Incarnations } from './incarnations.js';
import { callTimeoutMilliseconds, type NodeContext } from './node-context.js';

/** @internal */
export type CoreWatch = Readonly<{
  /** The numbers of pushed changes start again on a new connection. */
  onConnected: (core: string) => void;
  onChange: (core: string, link: Peer, change: Change) => void;
  /** Acknowledges a core's pushed changes and records its confirmation. */
  watch: (core: string, link: Peer) => Promise<void>;
  /** Records that a node replied to a call sent at this time. */
  recordReply: (node: string, sentAt: Instant) => void;
  /** The latest time such that a majority of cores, including this node if it is one, replied to calls sent since (design 7.14). */
  majorityContactAt: () => Instant;
  /** One lease term after a majority of cores last confirmed that nothing newer than the applied versions is acknowledged. */
  configurationLeaseUntil: () => Instant;
  /** The highest put count that a core's disk has reported; 0 if it has reported none. */
  knownPuts: (core: string) => number;
  /** Drops the state of cores that are not in the new set or have another disk there. */
  onCoreSet: (next: CoreSet) => void;
}>;

/** @internal */
export type CoreWatchParts = Readonly<{
  applied: AppliedState;
  incarnations: Incarnations;
  linkTo: (node: string) => Peer | undefined;
  onSuperseded: () => void;
}>;

function create(context: NodeContext, { applied, incarnations, linkTo, onSuperseded }: CoreWatchParts): CoreWatch {
  const { runtime, settings, parts } = context;
  const acknowledgedChanges = new Map<string, number>();
  const confirmations = coreConfirmations.create(context, applied);
  const putCounts = new Map<string, number>();
  /** By node: when the newest call that it replied to was sent. */
  const repliedAt = new Map<string, Instant>();

  function recordReply(node: string, sentAt: Instant): void {
    if (sentAt > (repliedAt.get(node) ?? Number.NEGATIVE_INFINITY)) repliedAt.set(node, sentAt);
  }

  async function watch(core: string, link: Peer): Promise<void> {
    if (!link.isConnected()) return;
    const sentAt = runtime.clock.now();
    const reply = await link.call(
      'watch',
      {
        node: settings.node,
        incarnation: incarnations.own(),
        acknowledged: acknowledgedChanges.get(core) ?? 0,
        obeyed: applied.configurationVersion(),
        ...(Option.isSome(parts.localReplica) ? { content: false } : { holds: applied.contentBallot() }),
      },
      callTimeoutMilliseconds,
    );
    if (Option.isNone(reply) || linkTo(core) !== link) return;
    if (reply.value.superseded) return onSuperseded();
    putCounts.set(core, Math.max(reply.value.puts, putCounts.get(core) ?? 0));
    if (!reply.value.ready) return;
    recordReply(core, sentAt);
    confirmations.record(core, { sentAt, configuration: reply.value.configuration, membership: reply.value.membership });
  }

  function majorityContactAt(): Instant {
    const others = context.cores.filter((core) => core.node !== settings.node);
    const replyTimes = others.map((core) => repliedAt.get(core.node) ?? Number.NEGATIVE_INFINITY);
    const newest = quorum.latestReachedByMajority(replyTimes, context.cores.length, Option.isSome(parts.localReplica));
    return identifiers.instant(Math.min(newest, runtime.clock.now()));
  }

  function onCoreSet(next: CoreSet): void {
    for (const record of next.seats) {
      // A core with a new disk counts its puts from zero.
      const hasSameDisk = Option.isSome(context.coreSet) && quorum.findNode(context.coreSet.value, record.node)?.disk === record.disk;
      if (Option.isSome(context.coreSet) && !hasSameDisk) putCounts.delete(record.node);
    }
    confirmations.retain(next);
  }

  return {
    onConnected: (core) => void acknowledgedChanges.delete(core),
    onChange: function onChange(core, link, change) {
      acknowledgedChanges.set(core, change.number);
      applied.receive(core, Option.some(link), change);
    },
    watch,
    recordReply,
    majorityContactAt,
    configurationLeaseUntil: confirmations.leaseUntil,
    knownPuts: (core) => putCounts.get(core) ?? 0,
    onCoreSet,
  };
}

/** @internal */
export const coreWatch = { create } as const;
