/** Ballots, and the register entries accepted under them (design 5.1). */
import { Type, type Static } from '@sinclair/typebox';
import { Count } from './primitives.js';

export const BallotSchema = Type.Readonly(Type.Object({ counter: Count, node: Type.String({ maxLength: 200 }) }));

export type Ballot = Readonly<Static<typeof BallotSchema>>;

/** `after`: the ballot of the previous entry, for keys whose earlier versions are kept (design 5.4). */
export const EntrySchema = Type.Object({ ballot: BallotSchema, version: Count, value: Type.Unknown(), after: Type.Optional(BallotSchema) });

export type Entry = Readonly<Static<typeof EntrySchema>>;

export const ballotZero: Ballot = { counter: 0, node: '' };

/** Orders ballots by counter, then by the proposer's name. */
export function compareBallots(left: Ballot, right: Ballot): number {
  if (left.counter !== right.counter) return left.counter - right.counter;
  return left.node === right.node ? 0 : left.node < right.node ? -1 : 1;
}
