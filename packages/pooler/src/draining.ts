/**
 * Graceful shutdown: readiness fails first, waiting clients are served, and sessions are closed one after the other. Every statement that was
 * read gets a reply (design 7.10).
 */
import { identifiers, type Clock, type Instant, type Listener } from '@stallstall/kernel';
import type { Clients } from './client-table.js';
import type { Connections } from './connections.js';
import type { Requests } from './requests.js';
import { never } from './view.js';

export type Draining = Readonly<{
  hasBegun: () => boolean;
  /** Whether open transactions have used up their part of the grace period. */
  mustEndTransactions: () => boolean;
  /** Resolves once no client is left, or when the grace period is over except for the time reserved for stopping. */
  run: (listener: Listener) => Promise<void>;
}>;

export type DrainingParts = Readonly<{
  clock: Clock;
  graceMilliseconds: number;
  clients: Clients;
  requests: Pick<Requests, 'end' | 'inFlight'>;
  connections: Pick<Connections, 'resetBusy'>;
}>;

/**
 * New sessions are accepted for this long after SIGTERM, because clients may still be sent here; after that the number of clients can
 * only fall.
 */
const acceptingMilliseconds = 2_300;
/** The sessions are closed over this time, so that their clients do not all reconnect at once. */
const closingMilliseconds = 1_500;
/** A session idle for less than this is probably about to send its next query and is not closed. */
const idleMilliseconds = 150;
/** A session that has not been idle for this long after its turn is in steady use, and is closed with a reply. */
const steadyUseMilliseconds = 800;
const pollMilliseconds = 20;
/** Reserved at the end of the grace period: statements are no longer sent, then no reply is awaited, then nothing is written any more. */
const endingMilliseconds = 800;
const stoppingMilliseconds = 500;
const flushingMilliseconds = 100;
/** Reserved at the end of the first half of the grace period for rolling back transactions. */
const rollbackMilliseconds = 200;

function create({ clock, graceMilliseconds, clients, requests, connections }: DrainingParts): Draining {
  let beganAt: Instant = never;

  /** Polls until the condition holds or so much of the grace period is left; true if the condition holds. */
  async function waitFor(condition: () => boolean, reservedMilliseconds: number): Promise<boolean> {
    while (!condition() && clock.now() - beganAt < graceMilliseconds - reservedMilliseconds) await clock.sleep(pollMilliseconds);
    return condition();
  }

  /** Closes sessions as they become idle; true once no client is left. */
  function closeSessions(): boolean {
    const share = (clock.now() - beganAt - acceptingMilliseconds) / closingMilliseconds;
    clients.closeIdle(share, idleMilliseconds);
    clients.closeWithReply(share - steadyUseMilliseconds / closingMilliseconds);
    return clients.isEmpty();
  }

  /** Answers what the clients that are left have asked, and closes their sessions. */
  async function endStatements(): Promise<void> {
    requests.end();
    await waitFor(closeSessions, stoppingMilliseconds);
    connections.resetBusy();
    await waitFor(() => requests.inFlight() === 0, flushingMilliseconds);
    clients.closeAll();
  }

  async function run(listener: Listener): Promise<void> {
    beganAt = clock.now();
    const acceptingUntil = identifiers.after(beganAt, acceptingMilliseconds);
    await waitFor(() => clock.now() >= acceptingUntil, endingMilliseconds);
    listener.stopAccepting();
    // No session is closed while new ones are accepted: its client would only reconnect here.
    if (!(await waitFor(closeSessions, endingMilliseconds))) await endStatements();
    await waitFor(clients.isFlushed, flushingMilliseconds);
  }

  return {
    hasBegun: () => beganAt !== never,
    mustEndTransactions: () => beganAt !== never && clock.now() - beganAt >= graceMilliseconds / 2 - rollbackMilliseconds,
    run,
  };
}

export const draining = { create } as const;
