/** The open client connections of this pooler and their sessions. */
import * as Option from 'fp-ts/lib/Option.js';
import type { Clock, Instant, Stream } from '@stallstall/kernel';
import type { Session, Transaction } from './sessions.js';

export type Client = {
  readonly session: Session;
  readonly stream: Stream;
  /** A query of the client has not been answered yet. */
  awaitsReply: boolean;
  /** When the session was opened or last received a reply. */
  idleSince: Instant;
};

export type Clients = Readonly<{
  /** Adds a connection that has not opened a session yet. */
  addConnection: (stream: Stream) => void;
  /** Moves a connection to those with a session. */
  addSession: (stream: Stream, session: Session) => Client;
  /** Removes a closed connection and its session, if it had one. */
  remove: (stream: Stream, client: Client | undefined) => void;
  sessions: () => IterableIterator<Session>;
  sessionCount: () => number;
  isEmpty: () => boolean;
  /** Open transactions that run on a leader of the service under an epoch below the given one. */
  transactionsBelow: (service: string, epoch: number) => readonly Transaction[];
  /** Closes sessions that have been idle outside a transaction for at least this long, and connections that never opened a session. */
  closeIdle: (idleMilliseconds: number) => void;
  closeAll: () => void;
}>;

/** During shutdown, a connection without a session is closed after this time. */
const openingGraceMilliseconds = 400;

function isPinnedBelow(transaction: Transaction, service: string, epoch: number): boolean {
  if (Option.isNone(transaction.pinned) || transaction.database.service !== service) return false;
  return transaction.pinned.value.leader && transaction.pinned.value.epoch < epoch;
}

function create(clock: Clock): Clients {
  const clients = new Map<Session, Client>();
  /** Connections without a session, with the time at which each was accepted. */
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
