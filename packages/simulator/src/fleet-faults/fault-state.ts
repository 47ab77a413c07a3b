/** The state that the faults of one simulated run share. */
import type { StatementKind } from '@stallstall/placement';
import type { SentConfiguration, EdgeDrain, PlannedEnd } from '../fleet-checks/check-records.js';
import type { Fleet } from '../fleet.js';
import type { Process } from '../world.js';

/** A pending fault: the node that acts in a singleton role is struck as soon as its next call reaches the platform. */
export type PendingStrike = Readonly<{ role: 'promotion' | 'usage'; how: 'kill' | 'freeze' | 'cut'; calls: number }>;

export type Storm = {
  readonly sends: SentConfiguration[];
  readonly reported: string[];
  /** The greatest number of connections of each member. */
  readonly peaks: Map<string, number>;
  readonly drains: EdgeDrain[];
  readonly ends: PlannedEnd[];
  /** When a fault last froze a process. */
  readonly struckAt: Map<Process, number>;
  /** A core restarted with an empty disk has not yet opened again. */
  isDiskLost: boolean;
  /** Names of the draining members, until they serve again or are removed. */
  readonly draining: Set<string>;
  crossings: number;
  /** The permissions of the second key; undefined while the configuration does not contain it. */
  secondKeyGrant: Readonly<{ services: readonly string[]; kinds: readonly StatementKind[] }> | undefined;
  /** The connection limit in the configuration. */
  limit: number;
  /** `service|area` of each row that serves own reads. */
  readonly ownReads: Set<string>;
  /** `member|area` of each read weight that is 0. */
  readonly zeroWeights: Set<string>;
  /** The configuration does not contain the key of the load-generating clients. */
  isClientKeyRemoved: boolean;
  pendingStrike: PendingStrike | undefined;
  isSpareEdgeUsed: boolean;
  isReplacing: boolean;
};

export const secondKey = 'second-key-0002';

export function create(fleet: Fleet): Storm {
  return {
    sends: [],
    reported: [],
    peaks: new Map(),
    drains: [],
    ends: [],
    struckAt: new Map(),
    isDiskLost: false,
    draining: new Set(),
    crossings: 0,
    secondKeyGrant: undefined,
    limit: fleet.deployment.connectionLimit,
    ownReads: new Set(),
    zeroWeights: new Set(),
    isClientKeyRemoved: false,
    pendingStrike: undefined,
    isSpareEdgeUsed: false,
    isReplacing: false,
  };
}

export function allMachines(fleet: Fleet): readonly string[] {
  return [
    ...fleet.cores.map((slot) => slot.machine),
    ...fleet.edges.map((slot) => slot.machine),
    ...fleet.members.map((slot) => slot.machine),
    'platform-machine',
  ];
}

export function recordPeakConnections(fleet: Fleet, storm: Storm): void {
  for (const slot of fleet.members) {
    if (slot.running !== undefined)
      storm.peaks.set(slot.place.member, Math.max(slot.running.peakConnections(), storm.peaks.get(slot.place.member) ?? 0));
  }
}
