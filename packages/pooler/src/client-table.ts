/** The connections that clients have open to this pooler, and the sessions on them. */
import * as Option from 'fp-ts/lib/Option.js';
import type { Clock, Instant, Stream } from '@stallstall/kernel';
import type { Session, Transaction } from './sessions.js';

export type Client = {
  readonly session: Session;
  readonly stream: Stream;
  /** Waits for a reply. */
  awaitsReply: boolean;
  /** When the session was opened or last replied to. */
  idleSince: Instant;
};

export type Clients = Readonly<{
  /** A connection that has not opened its session yet. */
  addConnection: (stream: Stream) => void;
  addSession: (stream: Stream, session: Session) => Client;
  /** The connection, and its session if there was one, have ended. */
  remove: (stream: Stream, client: Client | undefined) => void;
  sessions: () => IterableIterator<Session>;
  sessionCount: () => number;
  isEmpty: () => boolean;
  /** Open transactions that began on a leader of the service under an epoch below this one. */
  transactionsBelow: (service: string, epoch: number) => readonly Transaction[];
  /** Closes whoever has been idle for so long outside a transaction, and whoever connected and says nothing. */
  closeIdle: (idleMilliseconds: number) => void;
  closeAll: () => void;
}>;

/** A connection that opens no session within this time is not waited for when the process ends. */
const openingGraceMilliseconds = 400;

function isPinnedBelow(transaction: Transaction, service: string, epoch: number): boolean {
  if (Option.isNone(transaction.pinned) || transaction.database.service !== service) return false;
  return transaction.pinned.value.leader && transaction.pinned.value.epoch < epoch;
}

function create(clock: Clock): Clients {
  const clients = new Map<Session, Client>();
  /** Connections without a session, and since when. */
  const unopened = new Map<Stream, Instant>();

  function addSession(stream: Stream, session: Session): Client {
    const client: Client = { session, stream, awaitsReply: false, idleSince: clock.now() };
    clients.set(session, client);
    unopened.delete(stream);
    return client;
  }

  function closeIdle(idleMilliseconds: number): void {
    const now = clock.now();
    for (const { session, stream, awaitsReply, idleSince } of clients.values())
      if (Option.isNone(session.transaction) && !awaitsReply && now - idleSince >= idleMilliseconds) stream.close();
    for (const [stream, since] of unopened) if (now - since > openingGraceMilliseconds) stream.close();
  }

  return {
    addConnection: (stream) => void unopened.set(stream, clock.now()),
    addSession,
    remove: function remove(stream, client) {
      unopened.delete(stream);
      if (client !== undefined) clients.delete(client.session);
    },
    sessions: () => clients.keys(),
    sessionCount: () => clients.size,
    isEmpty: () => clients.size + unopened.size === 0,
    transactionsBelow: (service, epoch) =>
      [...clients.keys()].flatMap(({ transaction }) =>
        Option.isSome(transaction) && isPinnedBelow(transaction.value, service, epoch) ? [transaction.value] : [],
      ),
    closeIdle,
    closeAll: function closeAll() {
      for (const { stream } of clients.values()) stream.close();
    },
  };
}

export const clientTables = { create } as const;
