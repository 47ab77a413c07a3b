/** Clients of the HTTP wire, and the ledger that they keep (design 10.3). */
import type { Kernel } from '@stallstall/kernel';
import { senderLedger, type Ledger } from './sender-ledger.js';
import { senderSessions, type SenderSettings, type SessionParts } from './sender-session.js';

export type { ExchangeRecord, Ledger, ReadRecord, SharedMark, WriteRecord } from './sender-ledger.js';
export type { SenderSettings } from './sender-session.js';

/** Starts as many sessions as the settings say, each a task of its own. */
function start(kernel: Kernel, settings: SenderSettings, ledger: Ledger): Readonly<{ stop: () => void }> {
  const sequences = new Map<string, number>();
  let stopped = false;

  function nextSequence(service: string): number {
    const next = (sequences.get(service) ?? 0) + 1;
    sequences.set(service, next);
    return next;
  }

  const parts: SessionParts = { kernel, settings, ledger, nextSequence, stopped: () => stopped };
  for (let index = 0; index < settings.sessions; index += 1) void senderSessions.run(parts, index);
  return {
    stop: function stop() {
      stopped = true;
    },
  };
}

export const sender = { start, emptyLedger: senderLedger.empty } as const;
