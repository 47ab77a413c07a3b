/** The state that each core has reported to an edge in its lease replies (design 7.12). */
import { identifiers, type Instant } from '@stallstall/kernel';
import type { CommitWatermarks, MemberRecord, Reply } from '@stallstall/message';
import type { CommitWatermark } from './commit-watermarks.js';

/** @internal */
export type ReportedState = {
  readonly members: Map<string, MemberRecord>;
  /** Identifies the core's process. */
  token: string;
  /** Number of the newest update received from that process. */
  seenUpdate: number;
  epochs: Readonly<Record<string, number>>;
  edgeCountByArea: Readonly<Record<string, number>>;
  statementRateByArea: Readonly<Record<string, number>>;
  commitWatermarks: ReadonlyMap<string, CommitWatermark>;
  /** Lower bound, on this process's clock, for the time at which the core read the state it reported. */
  asOf: Instant;
  /** The number of the newest change that the core pushed. */
  acknowledgedChange: number;
  /** Whether the core asks for this edge's commit positions, because a service has no leader. */
  wantsCommitReport: boolean;
  /** Whether the next request has to be sent as by a new process, because the edge's proxy restarted. */
  announcesRestart: boolean;
};

/** @internal */
export type CoreReplies = Readonly<{
  getOrCreate: (core: string) => ReportedState;
  find: (core: string) => ReportedState | undefined;
  forget: (core: string) => void;
  all: () => readonly ReportedState[];
}>;

function empty(): ReportedState {
  return {
    members: new Map(),
    token: '',
    seenUpdate: 0,
    epochs: {},
    edgeCountByArea: {},
    statementRateByArea: {},
    commitWatermarks: new Map(),
    asOf: identifiers.instant(Number.NEGATIVE_INFINITY),
    acknowledgedChange: 0,
    wantsCommitReport: false,
    announcesRestart: false,
  };
}

function create(): CoreReplies {
  const replies = new Map<string, ReportedState>();
  return {
    getOrCreate: function getOrCreate(core) {
      const existing = replies.get(core);
      if (existing !== undefined) return existing;
      const created = empty();
      replies.set(core, created);
      return created;
    },
    find: (core) => replies.get(core),
    forget: (core) => void replies.delete(core),
    all: () => [...replies.values()],
  };
}

/** Whether a later reply of the same process has already been applied. */
function isStale(reportedState: ReportedState, reply: Reply<'lease'>): boolean {
  return reportedState.token === reply.token && reply.number < reportedState.seenUpdate;
}

/** Stores a reply. Returns whether it carries changes of members. */
function apply(reportedState: ReportedState, reply: Reply<'lease'>, asOf: Instant): boolean {
  if (reply.whole) reportedState.members.clear();
  for (const record of reply.roster) reportedState.members.set(record.member, record);
  reportedState.token = reply.token;
  reportedState.seenUpdate = reply.number;
  reportedState.edgeCountByArea = reply.edges;
  reportedState.statementRateByArea = reply.demand;
  reportedState.asOf = asOf;
  // Stored even if the core is not ready: later replies carry only the epochs that changed since.
  reportedState.epochs = reply.whole ? reply.stances : { ...reportedState.epochs, ...reply.stances };
  reportedState.wantsCommitReport = reply.wants;
  return reply.whole || reply.roster.length > 0;
}

/**
 * Converts the ages in a reply to times on this process's clock. `asOf` is no later than the moment the reply was created, so each resulting
 * time is no later than the true one.
 */
function applyCommitWatermarks(reportedState: ReportedState, watermarks: CommitWatermarks, asOf: Instant): void {
  const rows = Object.entries(watermarks).map(function row([service, { term, number, ago }]) {
    return [service, { coveredUntil: identifiers.after(asOf, -ago), position: { term, number } }] as const;
  });
  reportedState.commitWatermarks = new Map(rows);
}

/** @internal */
export const coreReplies = { create, isStale, apply, applyCommitWatermarks } as const;
