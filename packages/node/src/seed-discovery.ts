/** Finds the fleet through the seed nodes in the settings (design 3.3). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, runtimeUtilities } from '@stallstall/kernel';
import type { NodeRecord } from '@stallstall/message';
import { peer, type Peer } from '@stallstall/peer';
import type { Incarnations } from './incarnations.js';
import { callTimeoutMilliseconds, heartbeatMilliseconds, type NodeContext } from './node-context.js';

/** @internal */
export type SeedDiscovery = Readonly<{
  /** Sends `hello` to every seed currently in the settings, until this node is part of a fleet. */
  contactSeeds: () => void;
}>;

/** @internal */
export type SeedDiscoveryParts = Readonly<{
  incarnations: Incarnations;
  hasJoined: () => boolean;
  setCores: (cores: readonly NodeRecord[]) => void;
  onSuperseded: () => void;
}>;

function create(context: NodeContext, { incarnations, hasJoined, setCores, onSuperseded }: SeedDiscoveryParts): SeedDiscovery {
  const { runtime, settings, parts } = context;
  const contacted = new Set<string>();

  function hasFoundFleet(): boolean {
    return context.cores.length > 0 && hasJoined();
  }

  async function sendHello(address: string, link: Peer): Promise<void> {
    const request = { seat: context.ownRecord, incarnation: incarnations.own(), fleet: context.fleet };
    const reply = await link.call('hello', request, callTimeoutMilliseconds);
    if (Option.isNone(reply)) return;
    if (reply.value.superseded) onSuperseded();
    parts.onHelloReply(reply.value, address);
    const { fleet, cores } = reply.value;
    if (parts.role === 'edge' && fleet !== '' && cores.length > 0 && context.cores.length === 0) {
      context.fleet = fleet;
      setCores(cores);
    }
  }

  async function contactUntilFound(address: string): Promise<void> {
    const link = peer.dial(runtime, identifiers.address(address), { onConnected: () => void sendHello(address, link) });
    await runtimeUtilities.every(
      runtime.clock,
      heartbeatMilliseconds,
      () => sendHello(address, link),
      () => !context.isStopped && settings.seeds().includes(address) && !hasFoundFleet(),
    );
    link.close();
    contacted.delete(address);
  }

  function contactSeeds(): void {
    if (hasFoundFleet()) return;
    for (const address of settings.seeds()) {
      if (address === settings.address || contacted.has(address)) continue;
      contacted.add(address);
      void contactUntilFound(address);
    }
  }

  return { contactSeeds };
}

/** @internal */
export const seedDiscovery = { create } as const;
