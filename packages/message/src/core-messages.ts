/** Messages between cores: state transfer, core sets, earlier versions (design 4.3, 4.8, 5.4). */
import { Type, type Static } from '@sinclair/typebox';
import { CoreSetSchema, NewerCoreSet, CoreSetNumber } from './membership.js';
import { Count, WallTimeMilliseconds, Name, ServiceCounts } from './primitives.js';
import { NoteRequest } from './usage-reports.js';

/** Requests the page of a disk's entries after the last key of the previous page; `next` is empty in the last reply (design 4.3). */
export const CopyRequest = Type.Object({ after: Type.String({ maxLength: 400 }) });

export const CopyReply = Type.Object({
  ready: Type.Boolean(),
  /** By service: the highest epoch that this core, or any edge with votes in the register, has voted for. */
  votes: ServiceCounts,
  notes: NoteRequest,
  entries: Type.Array(Type.Object({ key: Name, state: Type.Unknown() })),
  next: Type.String({ maxLength: 400 }),
  /** The number of the core set that this core was in before it read the page. */
  set: CoreSetNumber,
});

/** Asks a core to store and adopt a core set; a core in a later set replies with that (design 4.8). */
export const AdoptRequest = Type.Object({ fleet: Name, set: CoreSetSchema });

export const AdoptReply = Type.Object({
  adopted: Type.Boolean(),
  newer: NewerCoreSet,
  /** Cores of its set that have been silent for so long that they may be replaced. */
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

/** The requested versions that are still stored, as many as fit in a reply. */
export const EarlierReply = Type.Object({ found: Type.Array(EarlierVersionSchema, { maxItems: 100 }) });
