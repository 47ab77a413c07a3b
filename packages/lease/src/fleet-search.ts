/** Discovers the cores through the seed addresses in the settings (design 3.3). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers } from '@stallstall/kernel';
import type { CoreSet } from '@stallstall/message';
import { peer, type Peer } from '@stallstall/peer';
import { callMilliseconds, reconnectPollMilliseconds, type HolderContext } from './holder-context.js';

/** @internal */
export type FleetSearch = Readonly<{
  /** While no core grants leases, connects to every seed address that the settings currently contain. */
  contactSeeds: () => void;
}>;

const helloIntervalMilliseconds = 50;
/** After this long without a grant the seeds are contacted again, since all known cores may have been replaced (design 4.8). */
const noGrantMilliseconds = 5_000;

/** @param follow - called with the core set that a core of this fleet reports */
function create(context: HolderContext, follow: (set: CoreSet) => void): FleetSearch {
  const { runtime, settings } = context;
  /** Seed addresses with a connection loop in progress. */
  const contacted = new Set<string>();

  function hasNoGrantingCore(): boolean {
    return context.cores.length === 0 || runtime.clock.now() - context.lastGrantAt > noGrantMilliseconds;
  }

  async function sendHello(link: Peer): Promise<void> {
    const reply = await link.call('hello', { seat: context.ownSeat, incarnation: 0, fleet: context.fleet }, callMilliseconds);
    if (Option.isNone(reply)) return;
    const { fleet, set } = reply.value;
    const isOwnFleet = fleet !== '' && (context.fleet === '' || fleet === context.fleet);
    if (!isOwnFleet || set === undefined) return;
    if (context.fleet === '') runtime.log('lease-holder.found', { fleet, cores: set.seats.length });
    context.fleet = fleet;
    follow(set);
  }

  async function contactUntilFound(address: string): Promise<void> {
    const link = peer.dial(runtime, identifiers.address(address));
    while (!context.isStopped && hasNoGrantingCore() && settings.seeds().includes(address)) {
      await sendHello(link);
      await runtime.clock.sleep(link.isConnected() ? helloIntervalMilliseconds : reconnectPollMilliseconds);
    }
    link.close();
    contacted.delete(address);
  }

  function contactSeeds(): void {
    if (!hasNoGrantingCore()) return;
    for (const address of settings.seeds()) {
      if (contacted.has(address)) continue;
      contacted.add(address);
      void contactUntilFound(address);
    }
  }

  return { contactSeeds };
}

/** @internal */
export const fleetSearch = { create } as const;
