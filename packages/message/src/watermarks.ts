/** How far a service's acknowledged commits reach (design 7.5, 8.11). */
import { Type, type Static } from '@sinclair/typebox';
import { Count } from './primitives.js';

/** The latest acknowledged commit of a service, ordered by epoch and then by position (design 7.5). */
export const DurableWatermarkSchema = Type.Object({ epoch: Count, position: Count });

export type DurableWatermark = Readonly<Static<typeof DurableWatermarkSchema>>;

export const DurableWatermarks = Type.Record(Type.String({ maxLength: 200 }), DurableWatermarkSchema);

export type DurableWatermarks = Readonly<Record<string, DurableWatermark>>;

/** Orders watermarks by epoch, then by position. */
export function compareWatermarks(left: DurableWatermark, right: DurableWatermark): number {
  return left.epoch === right.epoch ? left.position - right.position : left.epoch - right.epoch;
}

/** Whether `known` is at or above each of the other watermarks. */
export function covers(known: DurableWatermarks, others: DurableWatermarks): boolean {
  return Object.entries(others).every(function isReached([service, watermark]) {
    const own = known[service];
    return own !== undefined && compareWatermarks(own, watermark) >= 0;
  });
}

/** By service: the higher of the two watermarks. */
export function maxWatermarks(left: DurableWatermarks, right: DurableWatermarks): DurableWatermarks {
  const merged: Record<string, DurableWatermark> = { ...left };
  for (const [service, watermark] of Object.entries(right)) {
    const known = merged[service];
    if (known === undefined || compareWatermarks(known, watermark) < 0) merged[service] = watermark;
  }
  return merged;
}

/** A position in a member's log: the term of the log and the number of the entry. */
export const LogPositionSchema = Type.Object({ term: Count, number: Count });

export type LogPosition = Readonly<Static<typeof LogPositionSchema>>;

export const LogPositions = Type.Record(Type.String({ maxLength: 200 }), LogPositionSchema);

/** By service: a position at or after every commit acknowledged more than `ago` milliseconds ago (design 8.11). */
export const CommitWatermarks = Type.Record(
  Type.String({ maxLength: 200 }),
  Type.Object({ term: Count, number: Count, ago: Type.Number({ minimum: 0 }) }),
);

export type CommitWatermarks = Readonly<Static<typeof CommitWatermarks>>;
