/** Records of members that register by heartbeat, and their replication between cores (design 4.7). */
import { Type, type Static } from '@sinclair/typebox';
import { Count, Name } from './primitives.js';

/** The state of a member that registers by heartbeat (design 4.7). */
export const MemberRecordSchema = Type.Object({
  member: Name,
  service: Name,
  address: Name,
  area: Name,
  /** Whether it counts as draining, which outlasts heartbeats that report it as in service (design 4.7). */
  draining: Type.Boolean(),
  /** It counted as draining, and the core that sends or stores this record has found since that it is in service (design 4.7). */
  returned: Type.Optional(Type.Boolean()),
  role: Type.Union([Type.Literal('primary'), Type.Literal('replica')]),
  /** How many statements it can run concurrently. */
  slots: Count,
  /** Increases with each heartbeat of this member, so that a late one is detected. */
  sequence: Count,
  /** It has left; its id is never used again. */
  gone: Type.Boolean(),
  /** Silent for long enough to be DOWN (design 7.1). */
  down: Type.Boolean(),
});

export type MemberRecord = Readonly<Static<typeof MemberRecordSchema>>;

export const MemberRecords = Type.Array(MemberRecordSchema, { maxItems: 20_000 });

/** Times are numbers of milliseconds before the message was sent. */
const ReceivedHeartbeatSchema = Type.Object({
  entry: MemberRecordSchema,
  /** When a core received the member's latest heartbeat. */
  ago: Type.Number(),
  /** When a core received the latest one that reports draining, if the record counts as draining; `ago` if left out. */
  drainingAgo: Type.Optional(Type.Number()),
  /** When a core received the latest one that reports the member as in service, if the record counts as draining. */
  inServiceAgo: Type.Optional(Type.Number()),
});

/** Between cores: heartbeats that the sender received directly, and how long ago (design 4.7). */
export const SpreadRequest = Type.Object({ beats: Type.Array(ReceivedHeartbeatSchema, { maxItems: 20_000 }) });

export const SpreadReply = Type.Object({ taken: Type.Boolean() });
