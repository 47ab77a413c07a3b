/** Schemas used by several messages. */
import { Type } from '@sinclair/typebox';

export const Count = Type.Integer({ minimum: 0 });

export const Name = Type.String({ minLength: 1, maxLength: 200 });

/** Wall-clock time in milliseconds since 1970. */
export const WallTimeMilliseconds = Type.Number();

export const ServiceCounts = Type.Record(Type.String({ maxLength: 200 }), Count);
