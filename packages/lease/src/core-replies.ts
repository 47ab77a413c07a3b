/** What each core told an edge with its lease replies (design 7.12). */
import { identifiers, type Instant } from '@stallstall/kernel';
import type { CommitWatermarks, MemberRecord, Reply } from '@stallstall/message';
import type { CommitWatermark } from './commit-watermarks.js';

/** @internal */
export type CoreReply = {
  readonly members: Map<string, MemberRecord>;
  /** Names the core's process, and the newest update seen of it. */
  token: string;
  seen: number;
  epochs: Readonly<Record<string, number>>;
  edges: Readonly<Record<string, number>>;
  demand: Readonly<Record<string, number>>;
  commitWatermarks: ReadonlyMap<string, CommitWatermark>;
  /** What the core says was so at this moment or later. */
  saidAt: Instant;
  /** The newest change that the core pushed. */
  acknowledgedChange: number;
  /** A leader is missing: the core wants to know what this edge has seen of commits. */
  wantsCommits: boolean;
  /** The next request is that of an edge whose process has just begun. */
  isRestarted: boolean;
};

/** @internal */
export type CoreReplies = Readonly<{
  of: (core: string) => CoreReply;
  find: (core: string) => CoreReply | undefined;
  forget: (core: string) => void;
  all: () => readonly CoreReply[];
}>;

function empty(): CoreReply {
  return {
    members: new Map(),
    token: '',
    seen: 0,
    epochs: {},
    edges: {},
    demand: {},
    commitWatermarks: new Map(),
    saidAt: identifiers.instant(Number.NEGATIVE_INFINITY),
    acknowledgedChange: 0,
    wantsCommits: false,
    isRestarted: false,
  };
}

function create(): CoreReplies {
  const replies = new Map<string, CoreReply>();
  return {
    of: function of(core) {
      const known = replies.get(core);
      if (known !== undefined) return known;
      const created = empty();
      replies.set(core, created);
      return created;
    },
    find: (core) => replies.get(core),
    forget: (core) => void replies.delete(core),
    all: () => [...replies.values()],
  };
}

/** Whether a reply was overtaken by a later one of the same process: it tells nothing new then. */
function isOvertaken(known: CoreReply, reply: Reply<'lease'>): boolean {
  return known.token === reply.token && reply.number < known.seen;
}

/** Keeps what a reply says; true when it says anything new of members. */
function apply(known: CoreReply, reply: Reply<'lease'>, saidAt: Instant): boolean {
  if (reply.whole) known.members.clear();
  for (const record of reply.roster) known.members.set(record.member, record);
  known.token = reply.token;
  known.seen = reply.number;
  known.edges = reply.edges;
  known.demand = reply.demand;
  known.saidAt = saidAt;
  // Kept whatever else the reply says: later replies carry only what has changed since.
  known.epochs = reply.whole ? reply.stances : { ...known.epochs, ...reply.stances };
  known.wantsCommits = reply.wants;
  return reply.whole || reply.roster.length > 0;
}

/** `saidAt` is no later than the reply was made, so what held so long before the reply held later than so long before that. */
function applyCommitWatermarks(known: CoreReply, reported: CommitWatermarks, saidAt: Instant): void {
  const rows = Object.entries(reported).map(function row([service, { term, number, ago }]) {
    return [service, { coveredUntil: identifiers.after(saidAt, -ago), position: { term, number } }] as const;
  });
  known.commitWatermarks = new Map(rows);
}

/** @internal */
export const coreReplies = { create, isOvertaken, apply, applyCommitWatermarks } as const;
