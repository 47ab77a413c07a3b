/** The ledger of all that clients of the session wire asked and were told; the checkers read it (design 10.3). */
import type * as Option from 'fp-ts/lib/Option.js';
import type { Condition, Completion } from '@stallstall/session-protocol';

/** A statement as it was asked, and what came of it. */
export type SessionAsk = {
  readonly identifier: string;
  readonly kind: 'get' | 'put' | 'commit' | 'rollback';
  /** What a member must see after the verb, a prepared statement put in its place. */
  readonly rest: string;
  readonly prepared: boolean;
  readonly values: string;
  readonly sentAt: number;
  endedAt: number;
  /** None: cut, or silence. */
  ending: Option.Option<Completion>;
  rows: readonly string[];
};

/** One try of an operation: a single statement or a transaction. */
export type SessionTry = {
  readonly name: string;
  readonly session: string;
  readonly database: string;
  readonly who: string;
  readonly edge: string;
  readonly transaction: boolean;
  readonly readOnly: boolean;
  /** When its first byte left: of the statement, or of the beginning of its transaction. */
  readonly startedAt: number;
  readonly asks: SessionAsk[];
  /** What the beginning of its transaction met, where that failed. */
  begun: Option.Option<Condition>;
  /** Its client left midway. */
  left: boolean;
  /** When its connection was cut from the other side, while a reply was awaited. */
  cutAt: Option.Option<number>;
};

/** An attempt to open a session. */
export type SessionOpening = Readonly<{
  at: number;
  endedAt: number;
  edge: string;
  database: string;
  who: string;
  outcome: 'open' | Condition | 'cut' | 'silent';
}>;

export type SessionLedger = { readonly tries: SessionTry[]; readonly openings: SessionOpening[] };

function empty(): SessionLedger {
  return { tries: [], openings: [] };
}

export const sessionLedger = { empty } as const;
