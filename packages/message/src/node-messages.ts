/** Messages between nodes: discovery, bootstrap, joining, heartbeats (design 3.3, 4). */
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
  /** The highest put count that this node knows of the requesting core's disk. */
  knownPuts: Count,
  superseded: Type.Boolean(),
  /** The sender's core set, in fleets that replace cores automatically (design 4.8). */
  set: NewerCoreSet,
});

export const FormRequest = Type.Object({
  step: Type.Union([Type.Literal('propose'), Type.Literal('formed')]),
  fleet: Name,
  cores: Type.Array(NodeRecordSchema, { maxItems: 100 }),
});

export const FormReply = Type.Object({ agreed: Type.Boolean() });

/** In fleets that replace cores automatically, the reply contains the core set of the core that was asked (design 4.8). */
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
