/** What a core's disk says of the fleet it belongs to and of the set of cores it stands at (design 4.3, 4.8). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Disk } from '@stallstall/kernel';
import type { CoreSet, Seat } from '@stallstall/message';
import type { CoreSetView } from '@stallstall/register';
import { diskFormat } from './data-folder.js';

/**
 * founding: agreed to, not yet formed; copying: a blank disk of a set that never changes; joining: a learner, which answers
 * nothing until it is seated and level; formed: answers. `copied` and `out` were written by earlier versions, for learners.
 */
export type FleetStage = 'founding' | 'copying' | 'joining' | 'copied' | 'formed' | 'out';

export type FleetRecord = Readonly<{
  format?: number;
  fleet: string;
  node: string;
  cores: readonly Seat[];
  stage: FleetStage;
  /** Of the set of cores, where it may change. */
  number?: number;
  epochs?: Readonly<Record<string, number>>;
  /** Names this disk as the occupant of a seat; none on one that has been there since the founding. */
  disk?: string;
}>;

/** The record as this core's disk holds it. */
export type FleetRecordStore = Readonly<{
  current: () => Option.Option<FleetRecord>;
  /** `blank` while the disk belongs to no fleet. */
  stage: () => 'blank' | FleetStage;
  /** Resolves to true once the record is synced; only then does `current` return it. */
  save: (next: FleetRecord) => Promise<boolean>;
}>;

const fleetKey = 'fleet';

/** `stored` is what the disk held when the process started. */
function create(disk: Disk, stored: ReadonlyMap<string, unknown>): FleetRecordStore {
  let fleet: Option.Option<FleetRecord> = Option.fromNullable(stored.get(fleetKey) as FleetRecord | undefined);
  return {
    current: () => fleet,
    stage: () => (Option.isNone(fleet) ? 'blank' : fleet.value.stage),
    save: async function keep(next) {
      const written: FleetRecord = { ...next, format: diskFormat };
      const kept = await disk.put(fleetKey, written);
      if (Either.isRight(kept)) fleet = Option.some(written);
      return Either.isRight(kept);
    },
  };
}

export const fleetRecordStore = { create } as const;

export function coreSetOf(fleet: FleetRecord): CoreSet {
  return { number: fleet.number ?? 1, seats: [...fleet.cores], epochs: { ...fleet.epochs } };
}

/** Where this disk stands; at no set while it is between two, or of none. */
export function createCoreSetView(fleet: () => Option.Option<FleetRecord>, between: () => boolean): CoreSetView {
  function number(): number {
    const known = fleet();
    return between() || Option.isNone(known) || known.value.stage !== 'formed' ? -1 : coreSetOf(known.value).number;
  }
  return {
    number,
    newerThan: function newer(told) {
      const known = fleet();
      return number() > told && Option.isSome(known) ? coreSetOf(known.value) : undefined;
    },
  };
}
