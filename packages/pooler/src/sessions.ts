/** A client's session: its values and prepared names are its own until it ends (design 8.2, 8.10). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Instant } from '@stallstall/kernel';
import type { DatabasePlacement } from '@stallstall/placement';
import { positions, type Dialect, type Position, type TransactionStatus } from '@stallstall/session-protocol';
import type { Image, PooledLine } from './connections.js';

/** A statement that a session prepared under a name of its own. */
export type PreparedStatement = Readonly<{ writes: boolean; text: string }>;

/** Where a transaction runs once its first statement has been placed: its connection, and the epoch it was placed under. */
export type Held = Readonly<{ pooled: PooledLine; epoch: number; leader: boolean }>;

export type Transaction = {
  readonly readOnly: boolean;
  readonly database: DatabasePlacement;
  readonly tenant: string;
  readonly startedAt: Instant;
  held: Option.Option<Held>;
  /** Only its end is accepted any more. */
  failed: boolean;
  /** The client has been told that it failed. */
  isFailureReported: boolean;
  /** A statement of it is under way. */
  busy: boolean;
  /** Since when no statement of it is under way. */
  idleSince: Instant;
};

export type Session = {
  readonly id: string;
  readonly database: string;
  /** The key that the client presented. */
  readonly key: string;
  readonly values: Map<string, string>;
  readonly prepared: Map<string, PreparedStatement>;
  /** The latest commit of the session on each service. */
  readonly commits: Map<string, Position>;
  /** The outcome of a commit of it is not known. */
  unsettled: boolean;
  transaction: Option.Option<Transaction>;
};

/** When a connection has more prepared statements than this, its state is cleared before it is used again. */
const mostPrepared = 200;

function create(id: string, database: string, key: string): Session {
  return { id, database, key, values: new Map(), prepared: new Map(), commits: new Map(), unsettled: false, transaction: Option.none };
}

/** The transaction status that the client is told after each statement. */
function transactionStatus(session: Session): TransactionStatus {
  if (Option.isNone(session.transaction)) return 'idle';
  return session.transaction.value.failed ? 'failed' : 'open';
}

/** Notes a commit of the session, so that its later reads see it. */
function committed(session: Session, service: string, position: Position): void {
  const known = session.commits.get(service);
  session.commits.set(service, known === undefined ? position : positions.later(known, position));
}

function preparedKey(prepared: PreparedStatement): string {
  return `${prepared.writes ? 'w' : 'r'} ${prepared.text}`;
}

/**
 * The settings to be sent on a connection before a statement of the session, so that exactly the session's values stand there, and the
 * needed prepared statement. The connection's image is changed at once: should they not be carried out, the connection must not be used.
 */
function prelude(dialect: Dialect, session: Session, image: Image, needed: Option.Option<PreparedStatement>): readonly string[] {
  const settings: string[] = [];
  const foreign = [...image.values.keys()].some((name) => !session.values.has(name));
  if (foreign || image.prepared.size > mostPrepared) {
    settings.push(dialect.texts.clear);
    image.values.clear();
    image.prepared.clear();
  }
  for (const [name, value] of session.values) {
    if (image.values.get(name) === value) continue;
    settings.push(dialect.texts.set(name, value));
    image.values.set(name, value);
  }
  if (Option.isSome(needed) && !image.prepared.has(preparedKey(needed.value))) {
    image.names += 1;
    const name = `p${image.names}`;
    settings.push(dialect.texts.prepare(name, needed.value.writes, needed.value.text));
    image.prepared.set(preparedKey(needed.value), name);
  }
  return settings;
}

/** The connection's name of a prepared statement; empty when it stands there under none. */
function preparedName(image: Image, prepared: PreparedStatement): string {
  return image.prepared.get(preparedKey(prepared)) ?? '';
}

export const sessions = { create, transactionStatus, committed, prelude, preparedName } as const;
