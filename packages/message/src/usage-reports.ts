/** Usage as edges report it, and durable reports (design 5.5, 8.6). */
import { Type, type Static } from '@sinclair/typebox';
import { NewerCoreSet, CoreSetNumber } from './membership.js';
import { Count, WallTimeMilliseconds, Name, ServiceCounts } from './primitives.js';
import { DurableWatermarks } from './watermarks.js';

export const UsageReportSchema = Type.Object({
  node: Name,
  /** The proxy process that counted: a restart counts from nothing, under another name. */
  incarnation: Name,
  /** Of two reports of one process the later counts. */
  number: Count,
  window: Count,
  counts: ServiceCounts,
});

export type UsageReport = Readonly<Static<typeof UsageReportSchema>>;

/**
 * What an edge has a core's disk store before it replies (design 7.5, 8.6). `floors` are durable watermarks by service; `through`: up to
 * which wall time, in milliseconds since 1970, each edge has reported all it counted.
 */
export const NoteRequest = Type.Object({
  floors: DurableWatermarks,
  reports: Type.Array(UsageReportSchema, { maxItems: 10_000 }),
  through: Type.Record(Type.String({ maxLength: 200 }), WallTimeMilliseconds),
  set: CoreSetNumber,
});

export const NoteReply = Type.Object({ ready: Type.Boolean(), floors: DurableWatermarks, newer: NewerCoreSet });

export const UsageLookRequest = Type.Object({ window: Count });

export const UsageLookReply = Type.Object({
  ready: Type.Boolean(),
  reports: NoteRequest.properties.reports,
  through: NoteRequest.properties.through,
});
