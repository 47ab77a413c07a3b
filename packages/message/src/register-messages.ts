/** Calls to the acceptors of the register (design 5.1, 5.7). */
import { Type, type Static } from '@sinclair/typebox';
import { BallotSchema, EntrySchema } from './ballots.js';
import { NewerCoreSet, CoreSetNumber } from './membership.js';
import { Name } from './primitives.js';

/** `set`: the number of the core set that the proposer uses for majorities; an acceptor in another set does not answer (design 4.8). */
export const RegisterRequest = Type.Object({ key: Name, ballot: BallotSchema, set: CoreSetNumber, holds: Type.Optional(BallotSchema) });

/** `holds`: the ballot of the entry that the caller already has; the reply omits that entry (design 5.7). */
export const LookRequest = Type.Object({ key: Name, set: CoreSetNumber, holds: Type.Optional(BallotSchema) });

/** The difference between two values: parts of the text of one, compressed against the other's text, and the digest of the whole text. */
export const ValueDifferenceSchema = Type.Object({
  pieces: Type.Array(Type.String({ maxLength: 64 * 1024 }), { maxItems: 1_000 }),
  digest: Type.String({ maxLength: 100 }),
});

export type ValueDifference = Readonly<Static<typeof ValueDifferenceSchema>>;

/** With `base`, the entry's value is replaced by its difference from the value that the acceptor holds under that ballot (design 5.7). */
export const AcceptRequest = Type.Object({
  key: Name,
  entry: EntrySchema,
  set: CoreSetNumber,
  base: Type.Optional(Type.Object({ ballot: BallotSchema, difference: ValueDifferenceSchema })),
});

export const RegisterReply = Type.Object({
  ready: Type.Boolean(),
  agreed: Type.Boolean(),
  promised: BallotSchema,
  /** Null if there is none, in replies to `accept`, and if the caller already has the entry. */
  accepted: Type.Union([EntrySchema, Type.Null()]),
  /** The accepted entry is the one that the caller already has. */
  held: Type.Optional(Type.Boolean()),
  /** The difference could not be applied: the caller must send the whole entry. */
  whole: Type.Optional(Type.Boolean()),
  newer: NewerCoreSet,
});
