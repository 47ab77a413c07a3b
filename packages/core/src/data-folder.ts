// What lies in a core's data folder, and what a core says of a folder that it cannot use (design 4.3, 4.6).
import * as Option from 'fp-ts/lib/Option.js';
import { Type } from '@sinclair/typebox';
import { fault, type Fault } from '@stallstall/kernel';
import { message, SeatSchema } from '@stallstall/message';
import { acceptor } from '@stallstall/register';

/** Of what lies in a data folder. 1: the sheet's history inside its cell, no notes; 2: an archive and notes (design 4.6). */
export const diskFormat = 2;

const FleetSchema = Type.Object({
  format: Type.Optional(Type.Integer({ minimum: 1 })),
  fleet: Type.String({ minLength: 1 }),
  node: Type.String({ minLength: 1 }),
  cores: Type.Array(SeatSchema),
  /** founding: agreed to, not yet formed; copying: a blank disk in a formed fleet; formed: answers ballots. */
  stage: Type.Union((['founding', 'copying', 'joining', 'copied', 'formed', 'out'] as const).map((stage) => Type.Literal(stage))),
  number: Type.Optional(Type.Integer({ minimum: 1 })),
  disk: Type.Optional(Type.String({ maxLength: 100 })),
  epochs: Type.Optional(Type.Record(Type.String(), Type.Integer({ minimum: 0 }))),
});

/** The roster's entry in the folder: it saves time after a restart, and nothing leans on it. */
export const rosterKey = 'roster';

/** Why this folder cannot be used by this node; none when it can. */
export function diskFault(stored: ReadonlyMap<string, unknown>, node: string): Option.Option<Fault> {
  const fleet = stored.get('fleet');
  if (fleet === undefined && [...stored.keys()].some((key) => key !== rosterKey)) {
    return Option.some(
      fault.create({
        kind: 'foreign-disk',
        message: 'the data folder holds entries but no fleet',
        remedy: 'the folder is damaged: move it away and start with an empty one, so that this core copies the others',
      }),
    );
  }
  if (fleet === undefined) return Option.none;
  if (!message.fits(FleetSchema, fleet) || fleet.node !== node) {
    return Option.some(
      fault.create({
        kind: 'foreign-disk',
        message: 'the data folder belongs to another node or is damaged',
        remedy: `point --data at the folder of ${node}, or start with an empty one`,
      }),
    );
  }
  if ((fleet.format ?? 1) > diskFormat) {
    return Option.some(
      fault.create({
        kind: 'foreign-disk',
        message: `the data folder has format ${fleet.format}, this version knows ${diskFormat} and those before it`,
        remedy: 'run the version that wrote it or a later one, or start with an empty folder, so that this core copies the others',
      }),
    );
  }
  for (const [key, value] of stored) {
    if (key.startsWith('register/') && !acceptor.isCellState(value)) {
      return Option.some(
        fault.create({
          kind: 'foreign-disk',
          message: `the entry ${key} in the data folder cannot be read`,
          remedy: 'move the folder away and start with an empty one, so that this core copies the others',
        }),
      );
    }
  }
  return Option.none;
}
