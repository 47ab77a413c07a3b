// What a core's disk says of the fleet it belongs to and of the set of cores it stands at (design 4.3, 4.8).
import * as Option from 'fp-ts/lib/Option.js';
import type { CoreSet, Seat } from '@stallstall/message';
import type { Standing } from '@stallstall/register';

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

export function setOf(fleet: Fleet): CoreSet {
  return { number: fleet.number ?? 1, seats: [...fleet.cores], epochs: { ...fleet.epochs } };
}

/** Where this disk stands; at no set while it is between two, or of none. */
export function standingOf(fleet: () => Option.Option<Fleet>, between: () => boolean): Standing {
  function number(): number {
    const known = fleet();
    return between() || Option.isNone(known) || known.value.stage !== 'formed' ? -1 : setOf(known.value).number;
  }
  return {
    number,
    newer: function newer(told) {
      const known = fleet();
      return number() > told && Option.isSome(known) ? setOf(known.value) : undefined;
    },
  };
}
