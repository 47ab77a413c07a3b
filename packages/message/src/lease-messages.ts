/** Lease requests of edges and the cores' replies (design 7.12). */
import { Type } from '@sinclair/typebox';
import { HeldBallot } from './change-messages.js';
import { MemberRecords } from './member-records.js';
import { NewerCoreSet, CoreSetNumber } from './membership.js';
import { Count, Name, ServiceCounts } from './primitives.js';
import { CommitWatermarks, LogPositions } from './watermarks.js';

/** A lease request of an edge; the core replies at once if it has an update, else at the next one or after `hold` (design 7.12). */
export const LeaseRequest = Type.Object({
  node: Name,
  area: Name,
  /** The core process whose update the edge received last; `seen` is the number of that update. */
  token: Type.String({ maxLength: 100 }),
  seen: Count,
  hold: Type.Number({ minimum: 0, maximum: 10_000 }),
  acknowledged: Count,
  obeyed: Count,
  /** By service: the edge has nothing in flight below this epoch and obtains no lease below it again. */
  released: ServiceCounts,
  /** How far each leader's log reached when last seen, with the age; `positions` are the commits acknowledged to this edge's clients. */
  marks: CommitWatermarks,
  positions: LogPositions,
  /** An upper bound on the time since `positions` was complete. Unit: milliseconds. */
  positionsAgo: Type.Number({ minimum: 0 }),
  /** Members whose machines refused a connection from this edge. */
  notListening: Type.Array(Name, { maxItems: 1_000 }),
  set: CoreSetNumber,
  /** Smoothed statement rate, per second. */
  demand: Type.Number({ minimum: 0 }),
  /** Whether this core is to push configurations with their content; other cores push them without (design 5.6). */
  content: Type.Boolean(),
  holds: HeldBallot,
});

export const LeaseReply = Type.Object({
  set: CoreSetNumber,
  newer: NewerCoreSet,
  ready: Type.Boolean(),
  /** How long this core held the request: its reply describes a time at least this long after the request was sent. Unit: milliseconds. */
  held: Type.Number({ minimum: 0 }),
  token: Type.String({ maxLength: 100 }),
  number: Count,
  /** By service: the epoch that this core supports, if it has changed since `seen`; all of them if `whole` is set. */
  stances: ServiceCounts,
  configuration: Count,
  membership: Count,
  puts: Count,
  /** Members whose records have changed since `seen`; all members if `whole` is set. */
  roster: MemberRecords,
  whole: Type.Boolean(),
  /** By area: the number of edges that hold leases from this core. */
  edges: Type.Record(Type.String({ maxLength: 200 }), Count),
  /** By area: the total statement rate of these edges, per second. */
  demand: Type.Record(Type.String({ maxLength: 200 }), Type.Number({ minimum: 0 })),
  /** Set if a service has no leader: edges are to report `marks` and `positions`, which are needed only then. */
  wants: Type.Boolean(),
  /** How far commits reach, combined from the reports of all edges. */
  marks: CommitWatermarks,
});
