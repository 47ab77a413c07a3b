/** The nodes of a fleet: the membership table, and the set of cores (design 4.2, 4.8). */
import { Type, type Static } from '@sinclair/typebox';
import { Count, Name, ServiceCounts } from './primitives.js';

export const NodeRoleSchema = Type.Union([Type.Literal('core'), Type.Literal('edge')]);

export type NodeRole = Static<typeof NodeRoleSchema>;

export const NodeRecordSchema = Type.Object({
  node: Name,
  role: NodeRoleSchema,
  area: Name,
  address: Name,
  outward: Name,
  draining: Type.Boolean(),
  /** Which disk the core has, where the set of cores changes by itself; a core of the first set that never lost its disk has none (design 4.8). */
  disk: Type.Optional(Type.String({ maxLength: 100 })),
});

export type NodeRecord = Readonly<Static<typeof NodeRecordSchema>>;

/** `epochs` is the barrier of design 4.2: the highest epochs voted before this version of the table was made. */
export const MembershipSchema = Type.Object({ seats: Type.Array(NodeRecordSchema, { maxItems: 1000 }), epochs: ServiceCounts });

export type Membership = Readonly<{ seats: readonly NodeRecord[]; epochs: Readonly<Record<string, number>> }>;

/**
 * The set of cores, in its order of steps: the first has number 1, each step changes the occupant of one seat (design 4.8). `epochs` is the
 * barrier of design 4.2. Number 0 stands for a set that never changes.
 */
export const CoreSetSchema = Type.Object({ number: Count, seats: Type.Array(NodeRecordSchema, { maxItems: 100 }), epochs: ServiceCounts });

export type CoreSet = Readonly<Static<typeof CoreSetSchema>>;

export const CoreSetNumber = Type.Optional(Count);

export const NewerCoreSet = Type.Optional(CoreSetSchema);
