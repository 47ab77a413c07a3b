/** The state that the faults of one simulated run share, and the draws that they make. */
import type { StatementKind } from '@stallstall/placement';
import type { SentConfiguration, EdgeDrain, PlannedEnd } from '../fleet-checks/check-records.js';
import type { Fleet } from '../fleet.js';
import type { Process } from '../world.js';

/** Who acts for a duty is struck as its next call reaches the platform. */
export type Hunt = Readonly<{ duty: 'promotion' | 'usage'; how: 'kill' | 'freeze' | 'cut'; calls: number }>;

export type Storm = {
  readonly sends: SentConfiguration[];
  readonly reported: string[];
  readonly peaks: Map<string, number>;
  readonly drains: EdgeDrain[];
  readonly ends: PlannedEnd[];
  /** When something else than a planned end last struck a process. */
  readonly struckAt: Map<Process, number>;
  blanking: boolean;
  /** Members that are to go, by name, until they are taken back or out. */
  readonly draining: Set<string>;
  crossings: number;
  second: Readonly<{ services: readonly string[]; kinds: readonly StatementKind[] }> | undefined;
  limit: number;
  readonly ownReads: Set<string>;
  readonly weightless: Set<string>;
  /** The senders' own key is out of the sheet. */
  keyless: boolean;
  hunt: Hunt | undefined;
  busy: boolean;
  replacing: boolean;
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
    blanking: false,
    draining: new Set(),
    crossings: 0,
    second: undefined,
    limit: fleet.deployment.connectionLimit,
    ownReads: new Set(),
    weightless: new Set(),
    keyless: false,
    hunt: undefined,
    busy: false,
    replacing: false,
  };
}

export function everyMachine(fleet: Fleet): readonly string[] {
  return [
    ...fleet.cores.map((slot) => slot.machine),
    ...fleet.edges.map((slot) => slot.machine),
    ...fleet.members.map((slot) => slot.machine),
    'platform-machine',
  ];
}

export function notePeaks(fleet: Fleet, storm: Storm): void {
  for (const slot of fleet.members) {
    if (slot.running !== undefined)
      storm.peaks.set(slot.place.member, Math.max(slot.running.peakConnections(), storm.peaks.get(slot.place.member) ?? 0));
  }
}
