/** Frames of a link (design 3.2, 3.5). */
import { Type, type Static } from '@sinclair/typebox';
import { ChangeSchema } from './change-messages.js';
import { Count, Name } from './primitives.js';

/** The first frame of each side: the range of protocol versions it supports. The highest common version is used (design 3.5). */
export const GreetSchema = Type.Object({ greet: Type.Object({ from: Count, to: Count }) });

export const FrameSchema = Type.Union([
  Type.Object({ call: Count, kind: Name, body: Type.Unknown() }),
  Type.Object({ reply: Count, body: Type.Unknown() }),
  Type.Object({ deny: Count, reason: Type.String() }),
  Type.Object({ change: ChangeSchema }),
]);

export type Frame = Readonly<Static<typeof FrameSchema>>;
