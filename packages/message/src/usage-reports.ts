/** Usage reports of edges, and the durable reports that contain them (design 5.5, 8.6). */
import { Type, type Static } from '@sinclair/typebox';
import { NewerCoreSet, CoreSetNumber } from './membership.js';
import { Count, WallTimeMilliseconds, Name, ServiceCounts } from './primitives.js';
import { DurableWatermarks } from './watermarks.js';

export const UsageReportSchema = Type.Object({
  node: Name,
  /** Identifies the proxy process that counted; a restarted proxy counts from zero under another name. */
  incarnation: Name,
  /** Orders the reports of one process: the highest number is valid. */
  number: Count,
  window: Count,
  counts: ServiceCounts,
});

export type UsageReport = Readonly<Static<typeof UsageReportSchema>>;

/**
 * What an edge stores on the cores' disks before it replies to clients (design 7.5, 8.6). `floors` are durable watermarks by service;
 * `through` is, by edge, the wall time up to which it has reported all its usage.
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
