/** Has this node listed in the membership table, where an operator runs the fleet (design 4.2). */
import * as Option from 'fp-ts/lib/Option.js';
import { quorum } from '@stallstall/quorum';
import type { AppliedState } from './applied-state.js';
import type { Incarnations } from './incarnations.js';
import { heartbeatMilliseconds, type NodeContext } from './node-context.js';
import type { PeerLinks } from './peer-links.js';

const joinMilliseconds = 2_000;
const lookMilliseconds = heartbeatMilliseconds / 2;

/** Asks one core after the other until one has listed this node; resolves to the last reason why none did. */
async function askCores(context: NodeContext, links: PeerLinks, lastReason: string): Promise<string> {
  let reason = lastReason;
  for (const core of context.cores) {
    const reply = (await links.of(core.node)?.call('join', { seat: context.ownRecord }, joinMilliseconds)) ?? Option.none;
    if (Option.isNone(reply)) continue;
    if (reply.value.joined) return reason;
    if (reply.value.reason === reason) continue;
    reason = reply.value.reason;
    context.runtime.log('node.join-waits', { reason });
  }
  return reason;
}

/** Runs until the node stops; a node that is listed with another address than its own asks again. */
async function keepJoined(context: NodeContext, links: PeerLinks, applied: AppliedState, incarnations: Incarnations): Promise<void> {
  const { runtime, settings, registration } = context;
  let lastReason = '';
  while (!context.isStopped) {
    await runtime.clock.sleep(lookMilliseconds);
    // Where the set of cores changes by itself, a core asks to be taken in before it is of the fleet (design 4.8).
    if (Option.isSome(registration) || incarnations.own() === 0) continue;
    const listed = quorum.findNode(applied.membership().value, settings.node);
    const isListed = listed !== undefined && listed.address === settings.address && listed.outward === settings.outward;
    if (!isListed) lastReason = await askCores(context, links, lastReason);
  }
}

/** @internal */
export const membershipJoin = { keepJoined } as const;
