/** Other cores that this one has exchanged hello messages with, for founding a fleet or returning to one (design 4.3). */
import type { Instant, Runtime } from '@stallstall/kernel';
import type { NodeRecord } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import type { FleetRecord } from './fleet-record.js';

/** `fleet` is the fleet that the core reported; empty if it belongs to none. @internal */
export type DiscoveredCore = Readonly<{ seat: NodeRecord; fleet: string; seenAt: Instant }>;

/** @internal */
export type DiscoveredCores = Readonly<{
  observe: (seat: NodeRecord, fleet: string) => void;
  /** Cores whose last hello is recent enough for founding a fleet. */
  recent: () => readonly DiscoveredCore[];
  /** Every core that has sent or answered a hello since this process started. */
  all: () => readonly DiscoveredCore[];
  /** Whether this core and the discovered cores of its fleet are a majority of the fleet's cores. */
  includesMajority: (record: FleetRecord) => boolean;
}>;

/** A core whose last hello is older than this takes no part in founding a fleet. */
const recentMilliseconds = 2_000;

function create(runtime: Runtime): DiscoveredCores {
  const coresByName = new Map<string, DiscoveredCore>();

  function includesMajority({ fleet, cores }: FleetRecord): boolean {
    const names = new Set(cores.map((core) => core.node));
    const discovered = [...coresByName.values()].filter((core) => core.fleet === fleet && names.has(core.seat.node));
    return discovered.length >= quorum.majority(cores.length) - 1;
  }

  return {
    observe: (seat, fleet) => void coresByName.set(seat.node, { seat, fleet, seenAt: runtime.clock.now() }),
    recent: () => [...coresByName.values()].filter((core) => runtime.clock.now() - core.seenAt < recentMilliseconds),
    all: () => [...coresByName.values()],
    includesMajority,
  };
}

/** @internal */
export const discoveredCores = { create } as const;
