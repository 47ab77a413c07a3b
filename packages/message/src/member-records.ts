/** Members that register by their heartbeats, and how cores tell one another of them (design 4.7). */
import { Type, type Static } from '@sinclair/typebox';
import { Count, Name } from './primitives.js';

/** What is known of a member that registers by its beats (design 4.7). */
export const MemberRecordSchema = Type.Object({
  member: Name,
  service: Name,
  address: Name,
  area: Name,
  draining: Type.Boolean(),
  role: Type.Union([Type.Literal('primary'), Type.Literal('replica')]),
  /** How many statements it runs at once. */
  slots: Count,
  /** Rises with each beat of this member, so that a late one is known. */
  sequence: Count,
  /** It has left; the id never comes back. */
  gone: Type.Boolean(),
  /** Unheard for so long as to be DOWN (design 7.1). */
  down: Type.Boolean(),
});

export type MemberRecord = Readonly<Static<typeof MemberRecordSchema>>;

export const MemberRecords = Type.Array(MemberRecordSchema, { maxItems: 20_000 });

/** Between cores: beats that the sender took itself, and how long ago (design 4.7). */
export const SpreadRequest = Type.Object({
  beats: Type.Array(Type.Object({ entry: MemberRecordSchema, ago: Type.Number() }), { maxItems: 20_000 }),
});

export const SpreadReply = Type.Object({ taken: Type.Boolean() });
