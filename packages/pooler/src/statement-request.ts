/**
 * The types that describe a client's statement while the pooler handles it. They are separate from the modules that handle statements to
 * avoid import cycles (design 8.5, 8.10).
 */
import type * as Option from 'fp-ts/lib/Option.js';
import type { Instant } from '@stallstall/kernel';
import type { DatabasePlacement } from '@stallstall/placement';
import type { MemberAddress, Position } from '@stallstall/session-protocol';
import type { PooledConnection } from './connections.js';
import type { PreparedStatement, Session, Transaction } from './sessions.js';

/** The execution of a prepared statement with its parameters. */
export type PreparedExecution = Readonly<{ statement: PreparedStatement; parameters: string }>;

/** One statement of a session that is to be run on a member. */
export type StatementRequest = Readonly<{
  session: Session;
  /** Chosen by the client; sent to the member with the statement. */
  identifier: string;
  text: string;
  prepared: Option.Option<PreparedExecution>;
  writes: boolean;
  /** The statement commits `transaction`, which is present in this case. */
  commits: boolean;
  transaction: Option.Option<Transaction>;
  database: DatabasePlacement;
  tenant: string;
  /** A read that fills the outage cache rather than serving a client: not counted as any tenant's usage (design 8.13). */
  fillsCache: boolean;
}>;

/** The member that a statement is to be run on. */
export type Target = Readonly<{
  memberAddress: MemberAddress;
  /** The leader's epoch; 0 for a read that any member may serve. */
  epoch: number;
  leader: boolean;
  /** The member must have applied the log up to this position before it runs the statement. */
  minimumPosition: Option.Option<Position>;
}>;

/** `routing`: in the routing steps; `waiting`: for a leader or a connection; `sent`: on a connection; `done`: answered. */
export type RequestStage = 'routing' | 'waiting' | 'sent' | 'done';

/** A statement request and the state of its handling. Records are immutable; an updated copy replaces the previous one. */
export type RequestRecord = Readonly<{
  id: number;
  request: StatementRequest;
  stage: RequestStage;
  arrivedAt: Instant;
  /** When the statement or its transaction began: the staleness bound is measured from this time. */
  startedAt: Instant;
  /** The statement is not sent after this time. */
  deadline: Instant;
  /** How long it waits for a leader when no new one is expected soon. */
  waitUntil: Instant;
  /** How long it waits for a connection that is being opened, or for an expected new leader. */
  extendedWaitUntil: Instant;
  /** How many times it has been dispatched to a connection. */
  attempts: number;
  /** Members that failed to run it; a read is not sent to them again. */
  excludedMembers: ReadonlySet<string>;
  /** The member that a connection is being opened to on its behalf; empty when there is none. */
  openingMember: string;
  target: Option.Option<Target>;
  connection: Option.Option<PooledConnection>;
}>;
