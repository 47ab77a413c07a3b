/** Changes that cores push, and how nodes acknowledge them (design 5.2, 5.6). */
import { Type, type Static } from '@sinclair/typebox';
import { BallotSchema, EntrySchema } from './ballots.js';
import { DifferenceSchema } from './differences.js';
import { CoreSetNumber } from './membership.js';
import { Count, Name } from './primitives.js';

/** The ballot of the newest configuration whose content the sender has; absent if it accepts only complete contents (design 5.6). */
export const HeldBallot = Type.Optional(BallotSchema);

export const WatchRequest = Type.Object({
  node: Name,
  incarnation: Count,
  acknowledged: Count,
  obeyed: Count,
  /** False if this core need not push contents, since the sender is a core and accepts them itself (design 5.6). */
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
  /** Replaces the content: its differences from the content under another ballot, which the receiver has reported to hold (design 5.6). */
  differs: Type.Optional(Type.Object({ from: BallotSchema, all: Type.Array(DifferenceSchema) })),
});

export type Change = Readonly<Static<typeof ChangeSchema>>;
