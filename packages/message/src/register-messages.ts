/** Calls of the register (design 5.1, 5.7). */
import { Type, type Static } from '@sinclair/typebox';
import { BallotSchema, EntrySchema } from './ballots.js';
import { NewerCoreSet, CoreSetNumber } from './membership.js';
import { Name } from './primitives.js';

/** `set`: the number of the set that the proposer counts majorities of; an acceptor at another gives no answer (design 4.8). */
export const RegisterRequest = Type.Object({ key: Name, ballot: BallotSchema, set: CoreSetNumber, holds: Type.Optional(BallotSchema) });

/** `holds`: the ballot whose entry the asker has already; a reply leaves that entry out (design 5.7). */
export const LookRequest = Type.Object({ key: Name, set: CoreSetNumber, holds: Type.Optional(BallotSchema) });

/** What a value differs by from another: pieces of its text, compressed against the other's, and the digest of the whole. */
export const ValueDifferenceSchema = Type.Object({
  pieces: Type.Array(Type.String({ maxLength: 64 * 1024 }), { maxItems: 1_000 }),
  digest: Type.String({ maxLength: 100 }),
});

export type ValueDifference = Readonly<Static<typeof ValueDifferenceSchema>>;

/** With `base`, the entry's value is left out: it differs so from what the acceptor holds under that ballot (design 5.7). */
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
  /** Null as well in replies to `accept`, and where it is the entry that the asker holds. */
  accepted: Type.Union([EntrySchema, Type.Null()]),
  /** The accepted entry is the one that the asker holds. */
  held: Type.Optional(Type.Boolean()),
  /** The difference did not fit: the whole entry is asked for. */
  whole: Type.Optional(Type.Boolean()),
  newer: NewerCoreSet,
});
