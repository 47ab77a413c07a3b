/** Messages between a proxy and the agent beside it (design 3.4, 8.10). */
import { Type, type Static } from '@sinclair/typebox';
import { MemberRecords } from './member-records.js';
import { Count, WallTimeMilliseconds, Name, ServiceCounts } from './primitives.js';
import { CommitWatermarks, DurableWatermarks, LogPositions } from './watermarks.js';

/** Where a service is placed, as a proxy is told (design 8.10). */
export const PlacementSchema = Type.Object({
  service: Name,
  epoch: Count,
  primary: Type.String({ maxLength: 200 }),
  /** Milliseconds of lease left when the agent replied. */
  left: Type.Number(),
  /** Below this epoch nothing may be in flight any more: above `epoch` while a change of primary is under way. */
  release: Count,
});

export type Placement = Readonly<Static<typeof PlacementSchema>>;

export const PlacementRequest = Type.Object({
  token: Type.String({ maxLength: 100 }),
  seen: Count,
  /** Of the latest reply that had arrived before this request was made: what it reports is no older than that reply. */
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
  /** For how long the agent held the request. Unit: milliseconds. */
  held: Type.Number({ minimum: 0 }),
  configuration: Type.Union([Type.Object({ version: Count, sheet: Type.Unknown() }), Type.Null()]),
  configurationVersion: Count,
  services: Type.Array(PlacementSchema, { maxItems: 20_000 }),
  /** All members, or null where they are as they were at `seen`. */
  roster: Type.Union([MemberRecords, Type.Null()]),
  /** How many edges hold leases, by area. */
  edges: Type.Record(Type.String({ maxLength: 200 }), Count),
  demand: Type.Record(Type.String({ maxLength: 200 }), Type.Number({ minimum: 0 })),
  marks: CommitWatermarks,
  area: Name,
  node: Name,
});

export const TargetSchema = Type.Object({
  member: Name,
  alive: Type.Boolean(),
  /** How long ago, at the least, the state this member has applied was the primary's; -1: not known. */
  freshAgo: Type.Number(),
  applied: Count,
  follows: Count,
});

export type Target = Readonly<Static<typeof TargetSchema>>;

export const ServiceFeedSchema = Type.Object({
  service: Name,
  epoch: Count,
  primary: Type.String({ maxLength: 200 }),
  /** Milliseconds of the service's lease left when the agent replied. */
  fence: Type.Number(),
  targets: Type.Array(TargetSchema, { maxItems: 1000 }),
});

export type ServiceFeed = Readonly<Static<typeof ServiceFeedSchema>>;

export const FeedRequest = Type.Object({
  configuration: Count,
  /** The most connections this proxy holds to any one member of a service. */
  open: ServiceCounts,
  /** What this proxy has counted since it began, for whoever asks its agent. */
  metrics: Type.Record(Type.String({ maxLength: 100 }), Type.Number()),
});

export const FeedReply = Type.Object({
  configuration: Type.Union([Type.Object({ version: Count, sheet: Type.Unknown() }), Type.Null()]),
  configurationVersion: Count,
  /** Milliseconds of configuration term left when the agent replied. */
  term: Type.Number(),
  services: Type.Array(ServiceFeedSchema, { maxItems: 1000 }),
  /** The most connections this proxy may hold to each member of a service. */
  shares: ServiceCounts,
  draining: Type.Boolean(),
  area: Name,
  node: Name,
});

/** What a proxy has its agent report to the core disks; the reply's `kept` is true once a majority of them has synced it. */
export const TellRequest = Type.Object({
  number: Count,
  floors: DurableWatermarks,
  usage: Type.Array(Type.Object({ window: Count, counts: ServiceCounts }), { maxItems: 20 }),
  /** The wall time of this machine at which `usage` held all that was counted. */
  through: WallTimeMilliseconds,
  incarnation: Name,
});

export const TellReply = Type.Object({ kept: Type.Boolean() });
