/** Finds the cores through the seeds that the settings name (design 3.3). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers } from '@stallstall/kernel';
import type { CoreSet } from '@stallstall/message';
import { peer, type Peer } from '@stallstall/peer';
import { callMilliseconds, reconnectPollMilliseconds, type HolderContext } from './holder-context.js';

/** @internal */
export type FleetSearch = Readonly<{
  /** While no core grants, greets every seed that the settings name by now. */
  greetSeeds: () => void;
}>;

const greetMilliseconds = 50;
/** After so long without a grant the seeds are asked as well: all known cores may have been replaced (design 4.8). */
const lostMilliseconds = 5_000;

/** @param follow - called with the set of cores that a core of this fleet reports */
function create(context: HolderContext, follow: (set: CoreSet) => void): FleetSearch {
  const { runtime, settings } = context;
  const greeting = new Set<string>();

  function isLost(): boolean {
    return context.cores.length === 0 || runtime.clock.now() - context.grantedAt > lostMilliseconds;
  }

  async function greet(link: Peer): Promise<void> {
    const reply = await link.call('hello', { seat: context.ownSeat, incarnation: 0, fleet: context.fleet }, callMilliseconds);
    if (Option.isNone(reply)) return;
    const { fleet, set } = reply.value;
    const isOwnFleet = fleet !== '' && (context.fleet === '' || fleet === context.fleet);
    if (!isOwnFleet || set === undefined) return;
    if (context.fleet === '') runtime.log('lease-holder.found', { fleet, cores: set.seats.length });
    context.fleet = fleet;
    follow(set);
  }

  async function greetUntilFound(address: string): Promise<void> {
    const link = peer.dial(runtime, identifiers.address(address));
    while (!context.isStopped && isLost() && settings.seeds().includes(address)) {
      await greet(link);
      await runtime.clock.sleep(link.connected() ? greetMilliseconds : reconnectPollMilliseconds);
    }
    link.close();
    greeting.delete(address);
  }

  function greetSeeds(): void {
    if (!isLost()) return;
    for (const address of settings.seeds()) {
      if (greeting.has(address)) continue;
      greeting.add(address);
      void greetUntilFound(address);
    }
  }

  return { greetSeeds };
}

/** @internal */
export const fleetSearch = { create } as const;
