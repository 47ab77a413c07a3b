/** Releases a leader's epoch when the cores ask for it: nothing new is sent under it, what is open ends, then they are told (design 7.12). */
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
  /** An epoch was released: to be reported at once. */
  onReleased: () => void;
}>;

export type EpochRelease = Readonly<{
  /** By service: epochs below this are released. */
  released: () => Readonly<Record<string, number>>;
  /** The placement has changed. */
  applyPlacement: () => void;
}>;

/** Open transactions go on for so long on a leader that is to release its epoch. */
const handoverMilliseconds = 300;
const pollMilliseconds = 5;

function create(parts: ReleaseParts): EpochRelease {
  const { runtime, view, clients, connections } = parts;
  const released: Record<string, number> = {};
  /** By service: since when its epoch is being released. */
  const releasing = new Map<string, Instant>();

  /** True once nothing runs under the epochs below the service's release. */
  function release(service: string, since: Instant): boolean {
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
    for (const [service, since] of [...releasing]) if (release(service, since)) anyReleased = true;
    if (anyReleased) parts.onReleased();
    if (releasing.size > 0) runtime.clock.startTimer(pollMilliseconds, releaseFinished);
  }

  function follow(): void {
    for (const [service, leader] of view().leaders) {
      if (leader.releaseBelow > leader.epoch && leader.releaseBelow > (released[service] ?? 0) && !releasing.has(service))
        releasing.set(service, runtime.clock.now());
    }
    releaseFinished();
  }

  return { released: () => released, applyPlacement: follow };
}

export const epochReleases = { create } as const;
