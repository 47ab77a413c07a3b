/** The types of the stand-in for a database member that speaks the session wire (design 10.1). */
import type * as Option from 'fp-ts/lib/Option.js';
import type { Runtime } from '@stallstall/kernel';
import type { Position } from '@stallstall/session-protocol';

/** A write of one statement: what its checker looks for is `identifier`. */
export type SessionWrite = Readonly<{ identifier: string; thing: string; data: string }>;
/** An entry of a member's log. */
export type SessionCommit = Readonly<{ term: number; number: number; writes: readonly SessionWrite[] }>;

/** What a member ran, for the checkers. `ends`: the last number of each term that its log held, applied, at that moment. */
export type SessionRun = Readonly<{
  at: number;
  service: string;
  member: string;
  connection: number;
  /** 0 outside any. */
  transaction: number;
  /** A single statement, or the first within its transaction. */
  first: boolean;
  tenant: string;
  identifier: string;
  kind: 'get' | 'put' | 'commit' | 'rollback';
  /** What came after the verb, a prepared statement put in its place. */
  rest: string;
  prepared: boolean;
  values: string;
  ends: Readonly<Record<number, number>>;
  row: string;
  stamp: string;
  /** Kept: the commit that holds it. */
  committed: Option.Option<SessionCommit>;
}>;

export type SessionMemberSettings = Readonly<{
  service: string;
  member: string;
  area: string;
  address: string;
  /** Where its fellows and the platform reach it. */
  control: string;
  /** Outward addresses of the cores, which take heartbeats. */
  doors: readonly string[];
  /** A process that delivers the member's delayed heartbeats also after the member's own has ended; its own by default. */
  carrier?: Runtime;
  connectionLimit: number;
  slots: number;
  workMilliseconds: number;
  openMilliseconds: number;
  /** How much later a replica applies what it has received. */
  applyMilliseconds: number;
  synchronousReplicas: number;
  drainMilliseconds: number;
}>;

/** What outlives the process. */
export type SessionMemberStore = { term: number; role: 'primary' | 'replica'; primary: string; log: SessionCommit[] };

export type SessionMemberKnobs = {
  /** Receives nothing. */
  deaf: boolean;
  /** How much later than usual it applies. */
  behindMilliseconds: number;
  /** Runs statements and tells nobody: so many more times. */
  loseReplies: number;
  /** The same for commits and single writes alone. */
  loseCommits: number;
  /** Sends no heartbeats. */
  silent: boolean;
  /** The share of its heartbeats and leaves that arrive up to 10 s late. */
  delayedHeartbeatShare: number;
  /** How much longer it serves on than it has to once its draining is acknowledged. */
  drainSpareMilliseconds: number;
};

export type SessionMember = Readonly<{
  stop: () => Promise<void>;
  knobs: SessionMemberKnobs;
  store: SessionMemberStore;
  lead: (term: number) => void;
  follow: (term: number, primary: string) => void;
  connections: () => number;
  /** The most connections that stood at once. */
  peak: () => number;
  /** How many are open. */
  transactions: () => number;
  applied: () => Position;
  /** Says that it drains, serves on for its time, leaves and ends. */
  drain: () => Promise<void>;
  /** When a core acknowledged that it drains. */
  drainingSince: () => Option.Option<number>;
}>;
