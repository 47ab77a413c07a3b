// A sender's session: its values and prepared names are its own until it ends (design 8.2, 8.10).
import * as Option from 'fp-ts/lib/Option.js';
import type { Instant } from '@stallstall/kernel';
import type { SheetDatabase } from '@stallstall/sheet';
import { positions, type Position, type Stance, type Dialect } from '@stallstall/statement';
import type { Image, PooledLine } from './connections.js';

export type Prepared = Readonly<{ writes: boolean; shape: string }>;

/** Where a transaction runs once its first statement has found a place. */
export type Held = Readonly<{ pooled: PooledLine; epoch: number; leader: boolean }>;

export type Transaction = {
  readonly readOnly: boolean;
  readonly database: SheetDatabase;
  readonly tenant: string;
  readonly startedAt: Instant;
  held: Option.Option<Held>;
  /** Nothing but its end is taken any more. */
  failed: boolean;
  /** The sender has been told so. */
  told: boolean;
  /** A statement of it is under way. */
  busy: boolean;
  restsSince: Instant;
};

export type Session = {
  readonly id: string;
  readonly database: string;
  readonly who: string;
  readonly values: Map<string, string>;
  readonly prepared: Map<string, Prepared>;
  readonly commits: Map<string, Position>;
  /** The outcome of a commit of it is not known. */
  unsettled: boolean;
  transaction: Option.Option<Transaction>;
};

function create(id: string, database: string, who: string): Session {
  return { id, database, who, values: new Map(), prepared: new Map(), commits: new Map(), unsettled: false, transaction: Option.none };
}

function stance(session: Session): Stance {
  if (Option.isNone(session.transaction)) return 'idle';
  return session.transaction.value.failed ? 'failed' : 'open';
}

function committed(session: Session, service: string, position: Position): void {
  const known = session.commits.get(service);
  session.commits.set(service, known === undefined ? position : positions.later(known, position));
}

const mostPrepared = 200;

function shapeKey(prepared: Prepared): string {
  return `${prepared.writes ? 'w' : 'r'} ${prepared.shape}`;
}

/** What must be said on a connection before a statement of the session, so that exactly its values stand there. */
function prelude(dialect: Dialect, session: Session, image: Image, needed: Option.Option<Prepared>): readonly string[] {
  const said: string[] = [];
  const foreign = [...image.values.keys()].some((name) => !session.values.has(name));
  if (foreign || image.prepared.size > mostPrepared) {
    said.push(dialect.texts.clear);
    image.values.clear();
    image.prepared.clear();
  }
  for (const [name, value] of session.values) {
    if (image.values.get(name) === value) continue;
    said.push(dialect.texts.set(name, value));
    image.values.set(name, value);
  }
  if (Option.isSome(needed) && !image.prepared.has(shapeKey(needed.value))) {
    image.names += 1;
    const name = `p${image.names}`;
    said.push(dialect.texts.prepare(name, needed.value.writes, needed.value.shape));
    image.prepared.set(shapeKey(needed.value), name);
  }
  return said;
}

function preparedName(image: Image, prepared: Prepared): string {
  return image.prepared.get(shapeKey(prepared)) ?? '';
}

export const sessions = { create, stance, committed, prelude, preparedName } as const;
