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
  /** Its place among the sessions that a shutdown closes one after the other: a share from 0 to 1. */
  readonly closingShare: number;
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
  /**
   * Closes those of this share of the sessions that have been idle outside a transaction for at least this long, and connections that never
   * opened a session.
   */
  closeIdle: (share: number, idleMilliseconds: number) => void;
  /** From now on this share of the sessions is closed with the next reply after which nothing of a session is open. */
  closeWithReply: (share: number) => void;
  /** Whether the session is to be closed with such a reply. */
  isClosedWithReply: (client: Client) => boolean;
  closeAll: () => void;
  /** Whether all that was written to clients has left this process. */
  isFlushed: () => boolean;
}>;

/** During shutdown, a connection without a session is closed after this time. */
const openingGraceMilliseconds = 400;
/** The golden ratio's fraction: multiples of it are spread evenly over 0 to 1, however many there are. */
const shareStep = 0.618_034;

function isPinnedBelow(transaction: Transaction, service: string, epoch: number): boolean {
  if (Option.isNone(transaction.pinned) || transaction.database.service !== service) return false;
  return transaction.pinned.value.leader && transaction.pinned.value.epoch < epoch;
}

function create(clock: Clock): Clients {
  const clients = new Map<Session, Client>();
  /** Streams of sessions that were closed before all that was written to them had left this process. */
  const unflushed = new Set<Stream>();
  let sessionsAdded = 0;
  let shareClosedWithReply = 0;
  /** Connections without a session, with the time at which each was accepted. */
  const unopened = new Map<Stream, Instant>();

  function addSession(stream: Stream, session: Session): Client {
    sessionsAdded += 1;
    const client: Client = {
      session,
      stream,
      awaitsReply: false,
      idleSince: clock.now(),
      closingShare: (sessionsAdded * shareStep) % 1,
    };
    clients.set(session, client);
    unopened.delete(stream);
    return client;
  }

  function dropFlushed(): void {
    for (const stream of unflushed) if (stream.isFlushed()) unflushed.delete(stream);
  }

  function closeIdle(share: number, idleMilliseconds: number): void {
    const now = clock.now();
    for (const { session, stream, awaitsReply, idleSince, closingShare } of clients.values()) {
      const isIdle = Option.isNone(session.transaction) && !awaitsReply && now - idleSince >= idleMilliseconds;
      if (isIdle && closingShare < share) stream.close();
    }
    for (const [stream, since] of unopened) if (now - since > openingGraceMilliseconds) stream.close();
  }

  return {
    addConnection: (stream) => void unopened.set(stream, clock.now()),
    addSession,
    remove: function remove(stream, client) {
      unopened.delete(stream);
      if (client !== undefined) clients.delete(client.session);
      dropFlushed();
      if (!stream.isFlushed()) unflushed.add(stream);
    },
    sessions: () => clients.keys(),
    sessionCount: () => clients.size,
    isEmpty: () => clients.size + unopened.size === 0,
    transactionsBelow: (service, epoch) =>
      [...clients.keys()].flatMap(({ transaction }) =>
        Option.isSome(transaction) && isPinnedBelow(transaction.value, service, epoch) ? [transaction.value] : [],
      ),
    closeIdle,
    closeWithReply: function closeWithReply(share) {
      shareClosedWithReply = share;
    },
    isClosedWithReply: (client) => client.closingShare < shareClosedWithReply,
    closeAll: function closeAll() {
      for (const { stream } of clients.values()) stream.close();
    },
    isFlushed: function isFlushed() {
      dropFlushed();
      return unflushed.size === 0 && [...clients.values()].every(({ stream }) => stream.isFlushed());
    },
  };
}

export const clientTables = { create } as const;
