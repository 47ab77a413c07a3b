/** The members of a service whose logs may hold acknowledged commits, as stored in the register (design 7.15). */
import { Type, type Static } from '@sinclair/typebox';
import { Count, Name } from './primitives.js';

export const ReplicaSetMemberSchema = Type.Object({
  member: Name,
  /** Empty while no heartbeat has reported it. */
  address: Type.String({ maxLength: 200 }),
  /** The member announced its departure; it may serve on for a while, and then ends for good. */
  hasLeft: Type.Boolean(),
});

export type ReplicaSetMember = Readonly<Static<typeof ReplicaSetMemberSchema>>;

export const ReplicaSetSchema = Type.Object({
  /** How many replicas have received a commit of these members before it is acknowledged. */
  synchronousReplicas: Count,
  members: Type.Array(ReplicaSetMemberSchema, { maxItems: 1000 }),
});

export type ReplicaSet = Readonly<{ synchronousReplicas: number; members: readonly ReplicaSetMember[] }>;
