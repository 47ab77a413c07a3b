// Sessions: values, prepared shapes, the last commit and an open transaction belong to one sender alone (design 8.2).
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Instant, type Kernel } from '@stallstall/kernel';
import type { Choice } from '@stallstall/verdict';
import type { MemberConnection, Pool } from '@stallstall/pool';

export type Pinned = Readonly<{ connection: MemberConnection; choice: Choice }>;

export type Session = Readonly<{
  id: string;
  key: string;
  service: string;
  values: () => Readonly<Record<string, unknown>>;
  shapes: () => Readonly<Record<string, string>>;
  setValue: (name: string, value: unknown) => void;
  setShape: (name: string, text: string) => void;
  lastCommit: (service: string) => number;
  committed: (service: string, position: number) => void;
  pinned: () => Option.Option<Pinned>;
  pin: (pinned: Pinned) => void;
  unpin: () => void;
  busy: () => boolean;
  setBusy: (busy: boolean) => void;
  touchedAt: () => Instant;
  touch: () => void;
  ended: () => boolean;
  end: () => void;
}>;

export type Sessions = Readonly<{
  open: (key: string, service: string) => Session;
  find: (id: string) => Option.Option<Session>;
  close: (session: Session) => void;
  /** Lets go of an open transaction, unless a statement of it is under way. */
  endTransaction: (session: Session) => void;
  all: () => readonly Session[];
  /** Ends idle sessions, and transactions whose sender has gone quiet. */
  expire: () => void;
}>;

const idleMilliseconds = 600_000;
const quietTransactionMilliseconds = 5_000;

function create(kernel: Kernel, pool: Pool): Sessions {
  const table = new Map<string, Session>();

  function open(key: string, service: string): Session {
    const values: Record<string, unknown> = {};
    const shapes: Record<string, string> = {};
    const commits = new Map<string, number>();
    let pinned: Option.Option<Pinned> = Option.none;
    let busy = false;
    let ended = false;
    let touchedAt = kernel.clock.now();
    const session: Session = {
      id: kernel.randomness.token(),
      key,
      service,
      values: () => values,
      shapes: () => shapes,
      setValue: function setValue(name, value) {
        values[name] = value;
      },
      setShape: function setShape(name, text) {
        shapes[name] = text;
      },
      lastCommit: (named) => commits.get(named) ?? 0,
      committed: function committed(named, position) {
        commits.set(named, Math.max(position, commits.get(named) ?? 0));
      },
      pinned: () => pinned,
      pin: function pin(to) {
        pinned = Option.some(to);
        touchedAt = kernel.clock.now();
      },
      unpin: function unpin() {
        pinned = Option.none;
      },
      busy: () => busy,
      setBusy: function setBusy(now) {
        busy = now;
        touchedAt = kernel.clock.now();
      },
      touchedAt: () => touchedAt,
      touch: function touch() {
        touchedAt = kernel.clock.now();
      },
      ended: () => ended,
      end: function end() {
        ended = true;
      },
    };
    table.set(session.id, session);
    return session;
  }

  function endTransaction(session: Session): void {
    const pinned = session.pinned();
    if (Option.isNone(pinned) || session.busy()) return;
    session.unpin();
    pool.giveBack(pinned.value.connection, false);
  }

  function close(session: Session): void {
    session.end();
    endTransaction(session);
    table.delete(session.id);
  }

  function expire(): void {
    const now = kernel.clock.now();
    for (const session of [...table.values()]) {
      if (session.busy()) continue;
      if (now >= identifiers.after(session.touchedAt(), idleMilliseconds)) close(session);
      else if (now >= identifiers.after(session.touchedAt(), quietTransactionMilliseconds)) endTransaction(session);
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
