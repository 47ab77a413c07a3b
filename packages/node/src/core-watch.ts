/** What each core confirms to this node: that nothing newer is acknowledged than what is applied here (design 5.2, 7.14). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Instant } from '@stallstall/kernel';
import type { Change, CoreSet } from '@stallstall/message';
import type { Peer } from '@stallstall/peer';
import { quorum } from '@stallstall/quorum';
import type { AppliedState } from './applied-state.js';
import { coreConfirmations } from './core-confirmations.js';
import type { Incarnations } from './incarnations.js';
import { callMilliseconds, type NodeContext } from './node-context.js';

/** @internal */
export type CoreWatch = Readonly<{
  /** A new connection begins to count its changes anew. */
  onConnected: (core: string) => void;
  onChange: (core: string, link: Peer, change: Change) => void;
  /** Acknowledges what a core pushed, and takes its confirmation. */
  watch: (core: string, link: Peer) => Promise<void>;
  /** A node replied to a call that was sent then. */
  recordReply: (node: string, sentAt: Instant) => void;
  /** The latest moment after which a majority of cores, this node included where it is one, was asked and has replied (design 7.14). */
  majorityContactAt: () => Instant;
  /** When a majority of cores last confirmed that nothing newer than what is applied here is acknowledged, plus a term. */
  configurationLeaseUntil: () => Instant;
  /** The most puts that a core's disk is known to have taken; 0 when nothing is known. */
  knownPuts: (core: string) => number;
  /** Forgets what does not hold of the cores of a new set. */
  onCoreSet: (next: CoreSet) => void;
}>;

/** @internal */
export type CoreWatchParts = Readonly<{
  applied: AppliedState;
  incarnations: Incarnations;
  linkOf: (node: string) => Peer | undefined;
  onSuperseded: () => void;
}>;

function create(context: NodeContext, { applied, incarnations, linkOf, onSuperseded }: CoreWatchParts): CoreWatch {
  const { runtime, settings, parts } = context;
  const acknowledged = new Map<string, number>();
  const confirmations = coreConfirmations.create(context, applied);
  const puts = new Map<string, number>();
  /** When the newest call that a node replied to was sent. */
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
        acknowledged: acknowledged.get(core) ?? 0,
        obeyed: applied.configurationVersion(),
        ...(Option.isSome(parts.localReplica) ? { content: false } : { holds: applied.contentBallot() }),
      },
      callMilliseconds,
    );
    if (Option.isNone(reply) || linkOf(core) !== link) return;
    if (reply.value.superseded) return onSuperseded();
    puts.set(core, Math.max(reply.value.puts, puts.get(core) ?? 0));
    if (!reply.value.ready) return;
    recordReply(core, sentAt);
    confirmations.record(core, { sentAt, configuration: reply.value.configuration, membership: reply.value.membership });
  }

  function majorityContactAt(): Instant {
    const others = context.cores.filter((core) => core.node !== settings.node);
    const moments = others.map((core) => repliedAt.get(core.node) ?? Number.NEGATIVE_INFINITY);
    const newest = quorum.latestReachedByMajority(moments, context.cores.length, Option.isSome(parts.localReplica));
    return identifiers.instant(Math.min(newest, runtime.clock.now()));
  }

  function onCoreSet(next: CoreSet): void {
    for (const seat of next.seats) {
      // A core with another disk than before counts its puts anew.
      const isKnown = Option.isSome(context.coreSet) && quorum.findNode(context.coreSet.value, seat.node)?.disk === seat.disk;
      if (Option.isSome(context.coreSet) && !isKnown) puts.delete(seat.node);
    }
    confirmations.retain(next);
  }

  return {
    onConnected: (core) => void acknowledged.delete(core),
    onChange: function onChange(core, link, change) {
      acknowledged.set(core, change.number);
      applied.receive(core, Option.some(link), change);
    },
    watch,
    recordReply,
    majorityContactAt,
    configurationLeaseUntil: confirmations.leaseUntil,
    knownPuts: (core) => puts.get(core) ?? 0,
    onCoreSet,
  };
}

/** @internal */
export const coreWatch = { create } as const;
