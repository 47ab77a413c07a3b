/**
 * Ends open transactions that a newer configuration no longer allows: their key, tenant or database was taken away, the key was given to
 * another tenant, or the database became keyed (design 6.4). How a transaction is routed does not change while it is open.
 */
import * as Option from 'fp-ts/lib/Option.js';
import type { Clock } from '@stallstall/kernel';
import { admissions } from './admission.js';
import type { Clients } from './client-table.js';
import type { Connections } from './connections.js';
import type { Session } from './sessions.js';
import { transactions } from './transactions.js';
import type { View } from './view.js';

export type Revocation = Readonly<{
  /** To be called after each placement update. */
  applyConfiguration: () => void;
}>;

export type RevocationParts = Readonly<{
  clock: Clock;
  view: () => View;
  clients: Pick<Clients, 'sessions'>;
  connections: Connections;
}>;

/** A transaction may still end by itself for this long: less than a configuration may take effect late beside a newer one. */
const graceMilliseconds = 220;

/** Whether the current configuration allows the session's open transaction, under the tenant it began with. */
function isAllowed(view: View, session: Session): boolean {
  if (Option.isNone(session.transaction)) return true;
  const admission = admissions.admit(view, session.database, session.key);
  return admission.admitted && admission.tenant === session.transaction.value.tenant;
}

function create({ clock, view, clients, connections }: RevocationParts): Revocation {
  let configurationVersion = 0;

  function endRevoked(): void {
    for (const session of clients.sessions())
      if (Option.isSome(session.transaction) && !isAllowed(view(), session)) transactions.revoke(connections, session.transaction.value);
  }

  return {
    applyConfiguration: function applyConfiguration() {
      const current = view();
      if (current.configurationVersion === configurationVersion) return;
      configurationVersion = current.configurationVersion;
      const isAnyRevoked = [...clients.sessions()].some((session) => !isAllowed(current, session));
      if (isAnyRevoked) clock.startTimer(graceMilliseconds, endRevoked);
    },
  };
}

export const revocations = { create } as const;
