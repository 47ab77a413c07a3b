/** Messages between a proxy and the agent beside it (design 3.4, 8.10). */
import { Type, type Static } from '@sinclair/typebox';
import { MemberRecords } from './member-records.js';
import { Count, WallTimeMilliseconds, Name, ServiceCounts } from './primitives.js';
import { CommitWatermarks, DurableWatermarks, LogPositions } from './watermarks.js';

/** The placement of a service, as sent to a proxy (design 8.10). */
export const PlacementSchema = Type.Object({
  service: Name,
  epoch: Count,
  primary: Type.String({ maxLength: 200 }),
  /** The remaining time of the lease when the agent replied. Unit: milliseconds. */
  left: Type.Number(),
  /** Nothing below this epoch may be in flight; higher than `epoch` during a change of primary. */
  release: Count,
});

export type Placement = Readonly<Static<typeof PlacementSchema>>;

export const PlacementRequest = Type.Object({
  token: Type.String({ maxLength: 100 }),
  seen: Count,
  /** The serial of the latest reply received before this request was created: the request's report is no older than that reply. */
  serial: Count,
  hold: Type.Number({ minimum: 0, maximum: 10_000 }),
  configuration: Count,
  released: ServiceCounts,
  positions: LogPositions,
  marks: CommitWatermarks,
  notListening: Type.Array(Name, { maxItems: 1_000 }),
  demand: Type.Number({ minimum: 0 }),
  metrics: Type.Record(Type.String({ maxLength: 100 }), Type.Number()),
});

export const PlacementReply = Type.Object({
  token: Type.String({ maxLength: 100 }),
  number: Count,
  serial: Count,
  /** How long the agent held the request. Unit: milliseconds. */
  held: Type.Number({ minimum: 0 }),
  configuration: Type.Union([Type.Object({ version: Count, sheet: Type.Unknown() }), Type.Null()]),
  configurationVersion: Count,
  services: Type.Array(PlacementSchema, { maxItems: 20_000 }),
  /** All members, or null if none has changed since `seen`. */
  roster: Type.Union([MemberRecords, Type.Null()]),
  /** By area: the number of edges that hold leases. */
  edges: Type.Record(Type.String({ maxLength: 200 }), Count),
  demand: Type.Record(Type.String({ maxLength: 200 }), Type.Number({ minimum: 0 })),
  marks: CommitWatermarks,
  area: Name,
  node: Name,
});

export const TargetSchema = Type.Object({
  member: Name,
  alive: Type.Boolean(),
  /** A bound on the staleness: how long ago the primary was last known to be in the state this member has applied; -1 if not known. */
  freshAgo: Type.Number(),
  applied: Count,
  follows: Count,
});

export type Target = Readonly<Static<typeof TargetSchema>>;

export const ServiceFeedSchema = Type.Object({
  service: Name,
  epoch: Count,
  primary: Type.String({ maxLength: 200 }),
  /** The remaining time of the service's lease when the agent replied. Unit: milliseconds. */
  fence: Type.Number(),
  targets: Type.Array(TargetSchema, { maxItems: 1000 }),
});

export type ServiceFeed = Readonly<Static<typeof ServiceFeedSchema>>;

export const FeedRequest = Type.Object({
  configuration: Count,
  /** By service: the most connections that this proxy has to any one member. */
  open: ServiceCounts,
  /** The proxy's counters since it started, which its agent includes in its own metrics. */
  metrics: Type.Record(Type.String({ maxLength: 100 }), Type.Number()),
});

export const FeedReply = Type.Object({
  configuration: Type.Union([Type.Object({ version: Count, sheet: Type.Unknown() }), Type.Null()]),
  configurationVersion: Count,
  /** The remaining time for which the configuration is valid when the agent replied. Unit: milliseconds. */
  term: Type.Number(),
  services: Type.Array(ServiceFeedSchema, { maxItems: 1000 }),
  /** By service: the most connections that this proxy may have to each member. */
  shares: ServiceCounts,
  draining: Type.Boolean(),
  area: Name,
  node: Name,
});

/** A report for the agent to store on the core disks; `kept` in the reply is true if a majority of them has synced it. */
export const TellRequest = Type.Object({
  number: Count,
  floors: DurableWatermarks,
  usage: Type.Array(Type.Object({ window: Count, counts: ServiceCounts }), { maxItems: 20 }),
  /** The wall time of this machine up to which `usage` is complete. */
  through: WallTimeMilliseconds,
  incarnation: Name,
});

export const TellReply = Type.Object({ kept: Type.Boolean() });
