/** The stored record of the fleet and the core set that a core's disk belongs to (design 4.3, 4.8). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Disk } from '@stallstall/kernel';
import type { CoreSet, NodeRecord } from '@stallstall/message';
import type { CoreSetView } from '@stallstall/register';
import { diskFormat } from './data-folder.js';

/**
 * founding: this core has agreed to a proposed fleet that is not formed yet; copying: a lost disk is being rebuilt in a fleet whose core
 * set an operator changes; joining: a learner, which serves nothing until a set lists it and it has caught up; formed: serves ballots.
 * `copied` and `out` are stages of learners that earlier versions wrote.
 */
export type FleetStage = 'founding' | 'copying' | 'joining' | 'copied' | 'formed' | 'out';

export type FleetRecord = Readonly<{
  format?: number;
  fleet: string;
  node: string;
  cores: readonly NodeRecord[];
  stage: FleetStage;
  /** The number of the core set, in a fleet whose core set changes without an operator; 1 if absent. */
  number?: number;
  epochs?: Readonly<Record<string, number>>;
  /** Identifies this disk in a core set, so that a replaced disk counts as another core; absent on the disk of a founder. */
  disk?: string;
}>;

/** Reads and writes the record on this core's disk. */
export type FleetRecordStore = Readonly<{
  current: () => Option.Option<FleetRecord>;
  /** `blank` while the disk belongs to no fleet. */
  stage: () => 'blank' | FleetStage;
  /** Resolves to true once the record is synced; only then does `current` return it. */
  save: (next: FleetRecord) => Promise<boolean>;
}>;

const fleetKey = 'fleet';

/** @param stored - what the disk held when the process started */
function create(disk: Disk, stored: ReadonlyMap<string, unknown>): FleetRecordStore {
  let record: Option.Option<FleetRecord> = Option.fromNullable(stored.get(fleetKey) as FleetRecord | undefined);
  return {
    current: () => record,
    stage: () => (Option.isNone(record) ? 'blank' : record.value.stage),
    save: async function save(next) {
      const written: FleetRecord = { ...next, format: diskFormat };
      const put = await disk.put(fleetKey, written);
      if (Either.isRight(put)) record = Option.some(written);
      return Either.isRight(put);
    },
  };
}

export const fleetRecordStore = { create } as const;

export function coreSetOf(record: FleetRecord): CoreSet {
  return { number: record.number ?? 1, seats: [...record.cores], epochs: { ...record.epochs } };
}

/**
 * The core set that this disk is in, for the register. Its number is -1 while the disk is in no set or is moving to the next one.
 *
 * @param isInTransition - whether the disk is moving from one set to the next
 */
export function createCoreSetView(currentRecord: () => Option.Option<FleetRecord>, isInTransition: () => boolean): CoreSetView {
  function number(): number {
    const record = currentRecord();
    return isInTransition() || Option.isNone(record) || record.value.stage !== 'formed' ? -1 : coreSetOf(record.value).number;
  }
  return {
    number,
    newerThan: function newerThan(setNumber) {
      const record = currentRecord();
      return number() > setNumber && Option.isSome(record) ? coreSetOf(record.value) : undefined;
    },
  };
}
