/** The nodes of a fleet: the membership table and the core set (design 4.2, 4.8). */
import { Type, type Static } from '@sinclair/typebox';
import { Count, Name, ServiceCounts } from './primitives.js';

export const NodeRoleSchema = Type.Union([Type.Literal('core'), Type.Literal('edge')]);

export type NodeRole = Static<typeof NodeRoleSchema>;

export const NodeRecordSchema = Type.Object({
  node: Name,
  role: NodeRoleSchema,
  area: Name,
  address: Name,
  /** The address for members and operators; `address` is the one for nodes. */
  outward: Name,
  draining: Type.Boolean(),
  /** The id of a core's disk, where cores are replaced automatically; absent in the first set until the disk is lost (design 4.8). */
  disk: Type.Optional(Type.String({ maxLength: 100 })),
});

export type NodeRecord = Readonly<Static<typeof NodeRecordSchema>>;

/** `epochs` is the barrier of design 4.2: the highest epochs voted for before this version of the table was created. */
export const MembershipSchema = Type.Object({ seats: Type.Array(NodeRecordSchema, { maxItems: 1000 }), epochs: ServiceCounts });

export type Membership = Readonly<{ seats: readonly NodeRecord[]; epochs: Readonly<Record<string, number>> }>;

/**
 * A core set. The first set has number 1; each later one has the next number and replaces one core (design 4.8). `epochs` is the barrier of
 * design 4.2. Number 0 denotes a fixed set.
 */
export const CoreSetSchema = Type.Object({ number: Count, seats: Type.Array(NodeRecordSchema, { maxItems: 100 }), epochs: ServiceCounts });

export type CoreSet = Readonly<Static<typeof CoreSetSchema>>;

/** The number of the sender's core set; absent in fleets with a fixed set. */
export const CoreSetNumber = Type.Optional(Count);

/** The sender's core set, if it is to inform the receiver of it. */
export const NewerCoreSet = Type.Optional(CoreSetSchema);
