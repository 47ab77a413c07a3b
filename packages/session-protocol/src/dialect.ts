/** What a session says and hears, whatever the words on the wire: a dialect puts these into words and back (design 8.10). */
import type * as Option from 'fp-ts/lib/Option.js';

/** A position in a member's log: its term, and the number within it. */
export type Position = Readonly<{ term: number; number: number }>;

/** Whether a session rests, is within a transaction, or within one that failed. */
export type TransactionStatus = 'idle' | 'open' | 'failed';

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

export type ClientMessage =
  | Readonly<{ kind: 'open'; database: string; key: string }>
  | Readonly<{ kind: 'query'; identifier: string; text: string; command: Option.Option<Command> }>
  | Readonly<{ kind: 'close' }>
  | Readonly<{ kind: 'unreadable' }>;

export type Completion = Readonly<{ kind: 'done'; stamp: string }> | Readonly<{ kind: 'fault'; condition: Condition; text: string }>;

/** What a member's connection says, piece by piece; rows are handed on as they came. */
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
  /** By the wall clock: it is no member's reply but a copy of one, held through an outage; a dialect may show it (design 8.13). */
  cachedAt?: number;
}>;

/** What a member says of itself when asked for its STATE. */
export type MemberStatus = Readonly<{ role: 'primary' | 'replica'; term: number; received: Position; lagMilliseconds: number }>;

/** Cuts what arrives into messages; `oversize` once one is longer than may be. */
export type Framer = Readonly<{ push: (chunk: string) => Readonly<{ messages: readonly string[]; oversize: boolean }> }>;

export type Dialect = Readonly<{
  framer: (maximumBytes: number) => Framer;
  // Towards senders.
  parseRequest: (message: string) => ClientMessage;
  reply: (reply: StatementReply) => string;
  ready: (status: TransactionStatus, position: Option.Option<Position>) => string;
  fault: (condition: Condition, text: string) => string;
  // Towards members.
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
    /** Runs the text only on a log that holds the position. */
    atPosition: (position: Position, text: string) => string;
    set: (name: string, value: string) => string;
    prepare: (name: string, writes: boolean, statement: string) => string;
    execute: (name: string, parameters: string) => string;
  }>;
  /** Statements of the pooler's own carry this. */
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
