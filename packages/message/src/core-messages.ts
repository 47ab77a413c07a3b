/** Messages between cores: copies, sets of cores, earlier versions (design 4.3, 4.8, 5.4). */
import { Type, type Static } from '@sinclair/typebox';
import { CoreSetSchema, NewerCoreSet, CoreSetNumber } from './membership.js';
import { Count, WallTimeMilliseconds, Name, ServiceCounts } from './primitives.js';
import { NoteRequest } from './usage-reports.js';

/** A page of what a disk holds, after the key that ended the page before it; `next` is empty on the last (design 4.3). */
export const CopyRequest = Type.Object({ after: Type.String({ maxLength: 400 }) });

export const CopyReply = Type.Object({
  ready: Type.Boolean(),
  /** The highest epoch for each service that this core, or any edge by its cells, has voted for. */
  votes: ServiceCounts,
  notes: NoteRequest,
  entries: Type.Array(Type.Object({ key: Name, state: Type.Unknown() })),
  next: Type.String({ maxLength: 400 }),
  /** The set that this core was in before the page was read. */
  set: CoreSetNumber,
});

/** Asks a core to adopt a set, on its disk; one that is in a later set replies with it (design 4.8). */
export const AdoptRequest = Type.Object({ fleet: Name, set: CoreSetSchema });

export const AdoptReply = Type.Object({
  adopted: Type.Boolean(),
  newer: NewerCoreSet,
  /** Cores of its set that it has not heard for so long that their seats are vacant. */
  silent: Type.Array(Name, { maxItems: 100 }),
});

/** An earlier version of the configuration, its content compressed (design 5.4). */
export const EarlierVersionSchema = Type.Object({
  version: Count,
  sentBy: Type.String({ maxLength: 200 }),
  sentAt: WallTimeMilliseconds,
  content: Type.String(),
});

export type EarlierVersion = Readonly<Static<typeof EarlierVersionSchema>>;

export const EarlierRequest = Type.Object({ versions: Type.Array(Count, { maxItems: 100 }) });

/** As many of the versions asked for as are kept and a reply may hold. */
export const EarlierReply = Type.Object({ found: Type.Array(EarlierVersionSchema, { maxItems: 100 }) });
