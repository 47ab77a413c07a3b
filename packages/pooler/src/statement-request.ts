/**
 * The types of a client's statement on its way through the pooler. Every module that handles statements imports these; this one imports
 * none of them (design 8.5, 8.10).
 */
import type * as Option from 'fp-ts/lib/Option.js';
import type { Instant } from '@stallstall/kernel';
import type { DatabasePlacement } from '@stallstall/placement';
import type { MemberAddress, Position } from '@stallstall/session-protocol';
import type { PooledConnection } from './connections.js';
import type { PreparedStatement, Session, Transaction } from './sessions.js';

/** The execution of a prepared statement: the statement, and the text that follows its name (its arguments). */
export type PreparedExecution = Readonly<{ statement: PreparedStatement; parameters: string }>;

/** One statement of a session, as it is given to the pooler to be run on a member. */
export type StatementRequest = Readonly<{
  session: Session;
  /** Chosen by the client; sent to the member with the statement. */
  identifier: string;
  text: string;
  prepared: Option.Option<PreparedExecution>;
  writes: boolean;
  /** The statement commits `transaction`, which is then present. */
  commits: boolean;
  transaction: Option.Option<Transaction>;
  database: DatabasePlacement;
  tenant: string;
  /** Read to fill an outage copy, not for a client: counted as nobody's usage (design 8.13). */
  fillsCache: boolean;
}>;

/** The member that a statement is to be run on. */
export type Target = Readonly<{
  memberAddress: MemberAddress;
  /** The leader's epoch, 0 for a read that any member may reply to. */
  epoch: number;
  leader: boolean;
  /** The member must hold the log up to this position before it runs the statement. */
  minimumPosition: Option.Option<Position>;
}>;

/** `arrived`: in the passes; `waiting`: for a leader or a connection; `sent`: on a connection; `done`: replied. */
export type RequestStage = 'arrived' | 'waiting' | 'sent' | 'done';

/** A statement request with the state of its handling. Records are replaced, never changed. */
export type RequestRecord = Readonly<{
  id: number;
  request: StatementRequest;
  stage: RequestStage;
  arrivedAt: Instant;
  /** When the statement, or the transaction that it belongs to, began: whatever was acknowledged before must be visible to it. */
  startedAt: Instant;
  /** After this it is not sent any more. */
  deadline: Instant;
  /** Until then it waits for a leader that nothing announces. */
  waitUntil: Instant;
  /** Until then it waits for a connection that is being opened, or for a leader that is being changed. */
  extendedWaitUntil: Instant;
  /** How many times it was given to a connection. */
  attempts: number;
  /** Members that failed it: no read of it goes there again. */
  excludedMembers: ReadonlySet<string>;
  /** The member to which a connection was opened on its behalf; empty when there is none. */
  openingMember: string;
  target: Option.Option<Target>;
  connection: Option.Option<PooledConnection>;
}>;
