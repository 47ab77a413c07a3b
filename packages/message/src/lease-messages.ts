/** Leases of edges (design 7.12). */
import { Type } from '@sinclair/typebox';
import { HeldBallot } from './change-messages.js';
import { MemberRecords } from './member-records.js';
import { NewerCoreSet, CoreSetNumber } from './membership.js';
import { Count, Name, ServiceCounts } from './primitives.js';
import { CommitWatermarks, LogPositions } from './watermarks.js';

/** An edge asks each core for its lease; the core replies at once with an update, or at the latest after `hold` (design 7.12). */
export const LeaseRequest = Type.Object({
  node: Name,
  area: Name,
  /** Of the updates of this core: the process it ran as, and the number reached. */
  token: Type.String({ maxLength: 100 }),
  seen: Count,
  hold: Type.Number({ minimum: 0, maximum: 10_000 }),
  acknowledged: Count,
  obeyed: Count,
  /** By service: below this epoch the edge has nothing in flight and takes no lease any more. */
  released: ServiceCounts,
  /** How far this edge has seen each leader's log reach, and as of when; `positions` are the commits its clients were told of. */
  marks: CommitWatermarks,
  positions: LogPositions,
  /** How long ago, at the most, `positions` was all there was to report. */
  positionsAgo: Type.Number({ minimum: 0 }),
  /** Members whose machines refused a connection of this edge. */
  notListening: Type.Array(Name, { maxItems: 1_000 }),
  set: CoreSetNumber,
  /** Statements a second, smoothed. */
  demand: Type.Number({ minimum: 0 }),
  /** Whether this core is to push configurations with their content; the others push that there is one (design 5.6). */
  content: Type.Boolean(),
  holds: HeldBallot,
});

export const LeaseReply = Type.Object({
  set: CoreSetNumber,
  newer: NewerCoreSet,
  ready: Type.Boolean(),
  /** For how long this core held the request: what it says was so at least this much after the request left. Unit: milliseconds. */
  held: Type.Number({ minimum: 0 }),
  token: Type.String({ maxLength: 100 }),
  number: Count,
  /** The epoch this core counts for, by service, where it has changed since `seen`; all of them when `whole`. */
  stances: ServiceCounts,
  configuration: Count,
  membership: Count,
  puts: Count,
  /** Members whose record has changed since `seen`; all of them when `whole`. */
  roster: MemberRecords,
  whole: Type.Boolean(),
  /** How many edges hold leases here, by area. */
  edges: Type.Record(Type.String({ maxLength: 200 }), Count),
  /** Statements a second that are asked of all of them, by area. */
  demand: Type.Record(Type.String({ maxLength: 200 }), Type.Number({ minimum: 0 })),
  /** A leader is missing somewhere: edges are to report `marks` and `positions`, which nobody needs otherwise. */
  wants: Type.Boolean(),
  /** How far commits reach, as all edges together have seen it. */
  marks: CommitWatermarks,
});
