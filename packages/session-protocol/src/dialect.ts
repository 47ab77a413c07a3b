/** The messages of a session, independent of the wire format: a dialect encodes and parses them (design 8.10). */
import type * as Option from 'fp-ts/lib/Option.js';

/** A position in a member's log: its term, and the number within it. */
export type Position = Readonly<{ term: number; number: number }>;

/** Whether a session is outside a transaction, in an open one, or in a failed one. */
export type TransactionStatus = 'idle' | 'open' | 'failed';

/** Why a statement or a session was rejected or failed. */
export type Condition =
  | 'saturated'
  | 'aborted'
  | 'lagging'
  | 'read-only'
  | 'wrong-member'
  | 'overloaded'
  | 'outcome-unknown'
  | 'expired'
  | 'failed'
  | 'undefined'
  | 'denied'
  | 'no-database'
  | 'oversize'
  | 'malformed';

/** A parsed statement of a client. */
export type Command =
  | Readonly<{ kind: 'begin'; readOnly: boolean }>
  | Readonly<{ kind: 'commit' }>
  | Readonly<{ kind: 'rollback' }>
  | Readonly<{ kind: 'read' }>
  | Readonly<{ kind: 'write' }>
  | Readonly<{ kind: 'set'; name: string; value: string }>
  | Readonly<{ kind: 'prepare'; name: string; writes: boolean; statement: string }>
  | Readonly<{ kind: 'execute'; name: string; parameters: string }>
  | Readonly<{ kind: 'forget'; name: string }>;

/** A parsed message of a client. */
export type ClientMessage =
  | Readonly<{ kind: 'open'; database: string; key: string }>
  | Readonly<{ kind: 'query'; identifier: string; text: string; command: Option.Option<Command> }>
  | Readonly<{ kind: 'close' }>
  | Readonly<{ kind: 'unreadable' }>;

/** The outcome of a statement; `stamp` is an opaque value that the member sends with success. */
export type Completion = Readonly<{ kind: 'done'; stamp: string }> | Readonly<{ kind: 'fault'; condition: Condition; text: string }>;

/** One message of a member. Rows are passed on unparsed; `ready` ends each reply. */
export type ReplyMessage =
  | Readonly<{ kind: 'row'; raw: string }>
  | Readonly<{ kind: 'completion'; completion: Completion }>
  | Readonly<{ kind: 'ready'; transactionStatus: TransactionStatus; position: Option.Option<Position> }>
  | Readonly<{ kind: 'unreadable' }>;

export type StatementReply = Readonly<{
  rows: readonly string[];
  completion: Completion;
  transactionStatus: TransactionStatus;
  position: Option.Option<Position>;
  /**
   * Wall-clock time in milliseconds, set only for a cached reply served during an outage; a dialect may show it to the client (design
   * 8.13).
   */
  cachedAt?: number;
}>;

/** A member's reply to a STATE query. */
export type MemberStatus = Readonly<{ role: 'primary' | 'replica'; term: number; received: Position; lagMilliseconds: number }>;

/** Splits the received data into messages; `oversize` is set when a message exceeds the maximum. */
export type Framer = Readonly<{
  push: (chunk: string) => Readonly<{ messages: readonly string[]; oversize: boolean }>;
  /** Whether the beginning of a message has arrived whose end has not. */
  hasPartial: () => boolean;
}>;

export type Dialect = Readonly<{
  framer: (maximumBytes: number) => Framer;
  // For connections to clients.
  parseRequest: (message: string) => ClientMessage;
  reply: (reply: StatementReply) => string;
  ready: (status: TransactionStatus, position: Option.Option<Position>) => string;
  fault: (condition: Condition, text: string) => string;
  // For connections to members.
  opening: (service: string, tenant: string, member: string) => string;
  query: (identifier: string, text: string) => string;
  closing: () => string;
  parseReply: (message: string) => ReplyMessage;
  statements: Readonly<{
    begin: (readOnly: boolean) => string;
    commit: string;
    rollback: string;
    clear: string;
    state: string;
    /** The member runs the text only if its log has reached the position. */
    atPosition: (position: Position, text: string) => string;
    set: (name: string, value: string) => string;
    prepare: (name: string, writes: boolean, statement: string) => string;
    execute: (name: string, parameters: string) => string;
  }>;
  /** The identifier of statements that the pooler itself sends. */
  internalIdentifier: string;
  memberStatus: (rows: readonly string[]) => Option.Option<MemberStatus>;
}>;

function compare(left: Position, right: Position): number {
  return left.term === right.term ? left.number - right.number : left.term - right.term;
}

function later(left: Position, right: Position): Position {
  return compare(left, right) >= 0 ? left : right;
}

export const positions = { compare, later } as const;
