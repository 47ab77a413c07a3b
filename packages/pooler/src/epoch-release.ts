/**
 * Releases a leader's epoch at the cores' request: no new statement is sent under it, open transactions end, then the release is reported
 * (design 7.12).
 */
import type { Instant, Runtime } from '@stallstall/kernel';
import type { Clients } from './client-table.js';
import type { Connections } from './connections.js';
import type { Requests } from './requests.js';
import { transactions } from './transactions.js';
import type { View } from './view.js';

export type ReleaseParts = Readonly<{
  runtime: Runtime;
  view: () => View;
  clients: Clients;
  connections: Connections;
  countSentBelow: Requests['countSentBelow'];
  /** Called when an epoch was released, so that it is reported at once. */
  onReleased: () => void;
}>;

export type EpochRelease = Readonly<{
  /** By service: all epochs below this number are released. */
  released: () => Readonly<Record<string, number>>;
  /** To be called after each placement update: starts the releases that it requests. */
  applyPlacement: () => void;
}>;

/** How long open transactions may continue under an epoch that is to be released. */
const handoverMilliseconds = 300;
const pollMilliseconds = 5;

function create(parts: ReleaseParts): EpochRelease {
  const { runtime, view, clients, connections } = parts;
  const released: Record<string, number> = {};
  /** By service: when the release of its epoch began. */
  const releasing = new Map<string, Instant>();

  /** Returns true, and records the release, once nothing runs under the service's epochs to be released. */
  function tryRelease(service: string, since: Instant): boolean {
    const below = view().leaders.get(service)?.releaseBelow ?? 0;
    if (runtime.clock.now() - since >= handoverMilliseconds)
      for (const transaction of clients.transactionsBelow(service, below)) transactions.abandonIdle(connections, transaction);
    if (parts.countSentBelow(service, below) > 0 || clients.transactionsBelow(service, below).length > 0) return false;
    releasing.delete(service);
    released[service] = below;
    runtime.log('lease.released', { service, below });
    return true;
  }

  function releaseFinished(): void {
    let anyReleased = false;
    for (const [service, since] of [...releasing]) if (tryRelease(service, since)) anyReleased = true;
    if (anyReleased) parts.onReleased();
    if (releasing.size > 0) runtime.clock.startTimer(pollMilliseconds, releaseFinished);
  }

  function applyPlacement(): void {
    for (const [service, leader] of view().leaders) {
      if (leader.releaseBelow > leader.epoch && leader.releaseBelow > (released[service] ?? 0) && !releasing.has(service))
        releasing.set(service, runtime.clock.now());
    }
    releaseFinished();
  }

  return { released: () => released, applyPlacement };
}

export const epochReleases = { create } as const;
