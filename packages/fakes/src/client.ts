/** Clients of the HTTP wire, and the ledger that they keep (design 10.3). */
import type { Runtime } from '@stallstall/kernel';
import { clientLedger, type Ledger } from './client-ledger.js';
import { clientSessions, type ClientSettings, type SessionParts } from './client-session.js';

export type { ExchangeRecord, Ledger, ReadRecord, SharedMark, WriteRecord } from './client-ledger.js';
export type { ClientSettings as SenderSettings } from './client-session.js';

/** Starts as many sessions as the settings say, each a task of its own. */
function start(runtime: Runtime, settings: ClientSettings, ledger: Ledger): Readonly<{ stop: () => void }> {
  const sequences = new Map<string, number>();
  let stopped = false;

  function nextSequence(service: string): number {
    const next = (sequences.get(service) ?? 0) + 1;
    sequences.set(service, next);
    return next;
  }

  const parts: SessionParts = { runtime, settings, ledger, nextSequence, stopped: () => stopped };
  for (let index = 0; index < settings.sessions; index += 1) void clientSessions.run(parts, index);
  return {
    stop: function stop() {
      stopped = true;
    },
  };
}

export const client = { start, emptyLedger: clientLedger.empty } as const;
