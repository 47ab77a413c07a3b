/** The planned end of the process: readiness fails first; whoever waits is served, whoever is idle is closed (design 7.10). */
import { identifiers, type Clock, type Instant, type Listener } from '@stallstall/kernel';
import type { Clients } from './client-table.js';
import { never } from './view.js';

export type Draining = Readonly<{
  hasBegun: () => boolean;
  /** Whether open transactions have had their part of the grace. */
  mustEndTransactions: () => boolean;
  /** Resolves once no client is left, or the grace is over but for the time that stopping takes. */
  run: (listener: Listener) => Promise<void>;
}>;

/** New sessions still arrive for so long after SIGTERM; nobody is admitted later, so that clients can only become fewer. */
const acceptingMilliseconds = 2_300;
/** Who was replied to a moment ago is about to go on; who has been idle for this long is not. */
const idleMilliseconds = 150;
const pollMilliseconds = 20;
/** Kept of the grace for stopping, and of its half for rolling transactions back. */
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
      // While new sessions are accepted nobody is closed: who is closed would only come back.
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
