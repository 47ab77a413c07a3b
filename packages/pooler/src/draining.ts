/** Graceful shutdown: readiness fails first, waiting clients are served, and idle sessions are closed (design 7.10). */
import { identifiers, type Clock, type Instant, type Listener } from '@stallstall/kernel';
import type { Clients } from './client-table.js';
import { never } from './view.js';

export type Draining = Readonly<{
  hasBegun: () => boolean;
  /** Whether open transactions have used up their part of the grace period. */
  mustEndTransactions: () => boolean;
  /** Resolves once no client is left, or when the grace period is over except for the time reserved for stopping. */
  run: (listener: Listener) => Promise<void>;
}>;

/**
 * New sessions are accepted for this long after SIGTERM, because clients may still be sent here; after that the number of clients can
 * only fall.
 */
const acceptingMilliseconds = 2_300;
/** A session idle for less than this is probably about to send its next query and is not closed. */
const idleMilliseconds = 150;
const pollMilliseconds = 20;
/** Reserved at the end of the grace period for stopping, and at the end of its first half for rolling back transactions. */
const stoppingMilliseconds = 500;
const rollbackMilliseconds = 200;

function create(clock: Clock, graceMilliseconds: number, clients: Clients): Draining {
  let beganAt: Instant = never;

  async function run(listener: Listener): Promise<void> {
    beganAt = clock.now();
    const deadline = identifiers.after(beganAt, graceMilliseconds - stoppingMilliseconds);
    let accepting = true;
    while (clock.now() < deadline) {
      if (accepting && clock.now() - beganAt >= acceptingMilliseconds) {
        accepting = false;
        listener.stopAccepting();
      }
      // No session is closed while new ones are accepted: its client would only reconnect here.
      if (!accepting) clients.closeIdle(idleMilliseconds);
      if (!accepting && clients.isEmpty()) return;
      await clock.sleep(pollMilliseconds);
    }
  }

  return {
    hasBegun: () => beganAt !== never,
    mustEndTransactions: () => beganAt !== never && clock.now() - beganAt >= graceMilliseconds / 2 - rollbackMilliseconds,
    run,
  };
}

export const draining = { create } as const;
