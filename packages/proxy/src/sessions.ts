/** The open sessions of this edge and their expiry. */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Runtime } from '@stallstall/kernel';
import type { Pool } from '@stallstall/pool';
import { session as sessionObjects, type Session } from './session.js';

export type { Session } from './session.js';

export type Sessions = Readonly<{
  open: (key: string, service: string) => Session;
  find: (id: string) => Option.Option<Session>;
  close: (session: Session) => void;
  /** Aborts the open transaction by closing its connection, unless one of its statements is being executed. */
  endTransaction: (session: Session) => void;
  all: () => readonly Session[];
  /** Closes idle sessions and aborts idle transactions. */
  expire: () => void;
}>;

/** A session without statements is closed after this time. */
const sessionIdleMilliseconds = 600_000;
/** An open transaction without statements is aborted after this time. */
const transactionIdleMilliseconds = 5_000;

function create(runtime: Runtime, pool: Pool): Sessions {
  const table = new Map<string, Session>();

  function open(key: string, service: string): Session {
    const opened = sessionObjects.create(runtime.clock, runtime.randomness.token(), key, service);
    table.set(opened.id, opened);
    return opened;
  }

  function endTransaction(session: Session): void {
    const pinned = session.pinned();
    if (Option.isNone(pinned) || session.busy()) return;
    session.unpin();
    pool.release(pinned.value.connection, false);
  }

  function close(session: Session): void {
    session.end();
    endTransaction(session);
    table.delete(session.id);
  }

  function expire(): void {
    const now = runtime.clock.now();
    for (const session of [...table.values()]) {
      if (session.busy()) continue;
      if (now >= identifiers.after(session.lastUsedAt(), sessionIdleMilliseconds)) close(session);
      else if (now >= identifiers.after(session.lastUsedAt(), transactionIdleMilliseconds)) endTransaction(session);
    }
  }

  return {
    open,
    close,
    endTransaction,
    expire,
    find: (id) => Option.fromNullable(table.get(id)),
    all: () => [...table.values()],
  };
}

export const sessions = { create } as const;
