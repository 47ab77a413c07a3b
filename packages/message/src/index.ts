/** Messages between this system's processes: TypeBox schemas for JSON, and operations on their values (design 3). */
import { compareBallots } from './ballots.js';
import { matches } from './matching.js';
import { isKind } from './messages.js';
import { compareWatermarks, covers, maxWatermarks } from './watermarks.js';

export { ballotZero, BallotSchema, EntrySchema, type Ballot, type Entry } from './ballots.js';
export { ChangeSchema, type Change } from './change-messages.js';
export { EarlierVersionSchema, type EarlierVersion } from './core-messages.js';
export { differences, type Difference } from './differences.js';
export { ElectedPrimarySchema, type ElectedPrimary } from './election-messages.js';
export type { Placement, ServiceFeed, Target } from './feed-messages.js';
export { FrameSchema, GreetSchema, type Frame } from './frames.js';
export { MemberRecordSchema, type MemberRecord } from './member-records.js';
export {
  CoreSetSchema,
  MembershipSchema,
  NodeRecordSchema,
  type CoreSet,
  type Membership,
  type NodeRole,
  type NodeRecord,
} from './membership.js';
export { messages, type MessageKind, type Reply, type Request } from './messages.js';
export type { ValueDifference } from './register-messages.js';
export { ReplicaSetSchema, type ReplicaSet, type ReplicaSetMember } from './replica-sets.js';
export type { UsageReport } from './usage-reports.js';
export {
  DurableWatermarkSchema,
  type CommitWatermarks,
  type DurableWatermark,
  type DurableWatermarks,
  type LogPosition,
} from './watermarks.js';

export const message = { matches, isKind, compareBallots, compareWatermarks, covers, maxWatermarks } as const;
