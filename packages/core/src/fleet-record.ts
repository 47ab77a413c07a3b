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
export type Stage = 'founding' | 'copying' | 'joining' | 'copied' | 'formed' | 'out';

export type Fleet = Readonly<{
  format?: number;
  fleet: string;
  node: string;
  cores: readonly Seat[];
  stage: Stage;
  /** Of the set of cores, where it may change. */
  number?: number;
  epochs?: Readonly<Record<string, number>>;
  /** Names this disk as the occupant of a seat; none on one that has been there since the founding. */
  disk?: string;
}>;

/** The record as this core's disk holds it. */
export type FleetRecord = Readonly<{
  current: () => Option.Option<Fleet>;
  /** `blank` while the disk belongs to no fleet. */
  stage: () => 'blank' | Stage;
  /** Resolves to true once the record is synced; only then does `current` return it. */
  keep: (next: Fleet) => Promise<boolean>;
}>;

const fleetKey = 'fleet';

/** `stored` is what the disk held when the process started. */
function create(disk: Disk, stored: ReadonlyMap<string, unknown>): FleetRecord {
  let fleet: Option.Option<Fleet> = Option.fromNullable(stored.get(fleetKey) as Fleet | undefined);
  return {
    current: () => fleet,
    stage: () => (Option.isNone(fleet) ? 'blank' : fleet.value.stage),
    keep: async function keep(next) {
      const written: Fleet = { ...next, format: diskFormat };
      const kept = await disk.put(fleetKey, written);
      if (Either.isRight(kept)) fleet = Option.some(written);
      return Either.isRight(kept);
    },
  };
}

export const fleetRecord = { create } as const;

export function setOf(fleet: Fleet): CoreSet {
  return { number: fleet.number ?? 1, seats: [...fleet.cores], epochs: { ...fleet.epochs } };
}

/** Where this disk stands; at no set while it is between two, or of none. */
export function coreSetViewOf(fleet: () => Option.Option<Fleet>, between: () => boolean): CoreSetView {
  function number(): number {
    const known = fleet();
    return between() || Option.isNone(known) || known.value.stage !== 'formed' ? -1 : setOf(known.value).number;
  }
  return {
    number,
    newerThan: function newer(told) {
      const known = fleet();
      return number() > told && Option.isSome(known) ? setOf(known.value) : undefined;
    },
  };
}
