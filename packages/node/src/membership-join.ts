/** Joins this node to the membership table of an operator-run fleet (design 4.2). */
import * as Option from 'fp-ts/lib/Option.js';
import { quorum } from '@stallstall/quorum';
import type { AppliedState } from './applied-state.js';
import type { Incarnations } from './incarnations.js';
import { heartbeatMilliseconds, type NodeContext } from './node-context.js';
import type { PeerLinks } from './peer-links.js';

const joinTimeoutMilliseconds = 2_000;
const checkIntervalMilliseconds = heartbeatMilliseconds / 2;

/** Sends `join` to one core after another until one has added this node; resolves to the last reason why a core declined. */
async function requestJoin(context: NodeContext, links: PeerLinks, lastReason: string): Promise<string> {
  let reason = lastReason;
  for (const core of context.cores) {
    const reply = (await links.linkTo(core.node)?.call('join', { seat: context.ownRecord }, joinTimeoutMilliseconds)) ?? Option.none;
    if (Option.isNone(reply)) continue;
    if (reply.value.joined) return reason;
    if (reply.value.reason === reason) continue;
    reason = reply.value.reason;
    context.runtime.log('node.join-waits', { reason });
  }
  return reason;
}

/** Runs until the node stops. A node whose entry has an outdated address joins again. */
async function keepJoined(context: NodeContext, links: PeerLinks, applied: AppliedState, incarnations: Incarnations): Promise<void> {
  const { runtime, settings, registration } = context;
  let lastReason = '';
  while (!context.isStopped) {
    await runtime.clock.sleep(checkIntervalMilliseconds);
    // In fleets that replace cores automatically, a core joins before it is part of the fleet, by another path (design 4.8).
    if (Option.isSome(registration) || incarnations.own() === 0) continue;
    const listed = quorum.findNode(applied.membership().value, settings.node);
    const isListed = listed !== undefined && listed.address === settings.address && listed.outward === settings.outward;
    if (!isListed) lastReason = await requestJoin(context, links, lastReason);
  }
}

/** @internal */
export const membershipJoin = { keepJoined } as const;
