/** Election proposals and the elected primary (design 7). */
import { Type, type Static } from '@sinclair/typebox';
import { Count, WallTimeMilliseconds, Name } from './primitives.js';

export const ElectedPrimarySchema = Type.Object({
  epoch: Count,
  primary: Name,
  wonBy: Name,
  position: Count,
  settledAt: WallTimeMilliseconds,
});

export type ElectedPrimary = Readonly<Static<typeof ElectedPrimarySchema>>;

export const ProposeRequest = Type.Object({
  service: Name,
  epoch: Count,
  candidate: Name,
  position: Count,
  node: Name,
  membership: Count,
});

/** `lessees`: edges to which this node granted a lease within the last lease term plus its margin. */
export const ProposeReply = Type.Object({
  accepted: Type.Boolean(),
  reason: Type.String({ maxLength: 300 }),
  epoch: Count,
  lessees: Type.Optional(Type.Array(Name, { maxItems: 20_000 })),
});
