/** Messages between nodes: greeting, founding, joining, heartbeats (design 3.3, 4). */
import { Type } from '@sinclair/typebox';
import { NewerCoreSet, NodeRoleSchema, NodeRecordSchema } from './membership.js';
import { Count, Name, ServiceCounts } from './primitives.js';

export const HelloRequest = Type.Object({ seat: NodeRecordSchema, incarnation: Count, fleet: Type.String({ maxLength: 200 }) });

export const HelloReply = Type.Object({
  node: Name,
  role: NodeRoleSchema,
  incarnation: Count,
  fleet: Type.String({ maxLength: 200 }),
  founding: Type.String({ maxLength: 200 }),
  cores: Type.Array(NodeRecordSchema, { maxItems: 100 }),
  /** The most puts this node has heard that the requesting core's disk had taken. */
  knownPuts: Count,
  superseded: Type.Boolean(),
  /** The set of cores that the sender is in, where it may change (design 4.8). */
  set: NewerCoreSet,
});

export const FormRequest = Type.Object({
  step: Type.Union([Type.Literal('propose'), Type.Literal('formed')]),
  fleet: Name,
  cores: Type.Array(NodeRecordSchema, { maxItems: 100 }),
});

export const FormReply = Type.Object({ agreed: Type.Boolean() });

/** Where the set of cores changes by itself, the reply tells the set that the requested core is in (design 4.8). */
export const JoinRequest = Type.Object({ seat: NodeRecordSchema });

export const JoinReply = Type.Object({ joined: Type.Boolean(), reason: Type.String({ maxLength: 300 }), set: NewerCoreSet });

export const BeatRequest = Type.Object({
  node: Name,
  incarnation: Count,
  epochs: ServiceCounts,
  caps: ServiceCounts,
  membership: Count,
});

export const BeatReply = Type.Object({ epochs: ServiceCounts, caps: ServiceCounts, membership: Count, superseded: Type.Boolean() });

export const StatusReply = Type.Object({ status: Type.Unknown() });

export const StatusRequest = Type.Object({});
