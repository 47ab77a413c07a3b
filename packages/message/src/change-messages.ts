/** Changes that cores push, and how nodes acknowledge them (design 5.2, 5.6). */
import { Type, type Static } from '@sinclair/typebox';
import { BallotSchema, EntrySchema } from './ballots.js';
import { DifferenceSchema } from './differences.js';
import { CoreSetNumber } from './membership.js';
import { Count, Name } from './primitives.js';

/** The ballot of the newest configuration whose content is known here; left out by whoever takes complete contents alone (design 5.6). */
export const HeldBallot = Type.Optional(BallotSchema);

export const WatchRequest = Type.Object({
  node: Name,
  incarnation: Count,
  acknowledged: Count,
  obeyed: Count,
  /** False where contents are known without this core's pushing them: for another core (design 5.6). */
  content: Type.Optional(Type.Boolean()),
  holds: HeldBallot,
});

export const WatchReply = Type.Object({
  ready: Type.Boolean(),
  number: Count,
  configuration: Count,
  membership: Count,
  puts: Count,
  superseded: Type.Boolean(),
});

/** A numbered change that a core pushes over a link (design 5.2). */
export const ChangeSchema = Type.Object({
  number: Count,
  key: Name,
  entry: EntrySchema,
  set: CoreSetNumber,
  /** In place of the content: its differences from the one under another ballot, which the receiver said it holds (design 5.6). */
  differs: Type.Optional(Type.Object({ from: BallotSchema, all: Type.Array(DifferenceSchema) })),
});

export type Change = Readonly<Static<typeof ChangeSchema>>;
