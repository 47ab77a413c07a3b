/** Cores that have greeted this one, or replied to its greeting, before there is a fleet (design 4.3). */
import type { Instant, Runtime } from '@stallstall/kernel';
import type { Seat } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import type { FleetRecord } from './fleet-record.js';

/** `fleet` is the fleet that it says it is of; empty if it is of none. @internal */
export type DiscoveredCore = Readonly<{ seat: Seat; fleet: string; seenAt: Instant }>;

/** @internal */
export type DiscoveredCores = Readonly<{
  observe: (seat: Seat, fleet: string) => void;
  /** Cores that were heard within the last seconds. */
  recent: () => readonly DiscoveredCore[];
  /** Whether this core and those that were heard of its fleet are a majority. */
  includesMajority: (known: FleetRecord) => boolean;
}>;

/** A core that was heard longer ago is not counted among those that found a fleet. */
const recentMilliseconds = 2_000;

function create(runtime: Runtime): DiscoveredCores {
  const known = new Map<string, DiscoveredCore>();

  function includesMajority({ fleet, cores }: FleetRecord): boolean {
    const names = new Set(cores.map((core) => core.node));
    const heard = [...known.values()].filter((core) => core.fleet === fleet && names.has(core.seat.node));
    return heard.length >= quorum.majority(cores.length) - 1;
  }

  return {
    observe: (seat, fleet) => void known.set(seat.node, { seat, fleet, seenAt: runtime.clock.now() }),
    recent: () => [...known.values()].filter((core) => runtime.clock.now() - core.seenAt < recentMilliseconds),
    includesMajority,
  };
}

/** @internal */
export const discoveredCores = { create } as const;
