/** Clients of a soak: sessions that stay on their edge until its process is gone; new ones go to edges that answer as ready. */
import { runtimeUtilities, type Runtime } from '@stallstall/kernel';
import { sessionClient, type SessionLedger } from '@stallstall/fakes';
import type { PooledSheet } from '@stallstall/simulator';
import { restMilliseconds } from './soak-sheet.js';

export type ClientEdge = Readonly<{ edge: string; address: string; isReady: () => Promise<boolean> }>;

export type SoakClientParts = Readonly<{
  runtime: Runtime;
  ledger: SessionLedger;
  edges: readonly ClientEdge[];
  /** The configuration that clients have been told of. */
  known: () => PooledSheet;
}>;

const readinessMilliseconds = 1_000;
/** An edge that misses so many readings in a row gets no new sessions until it answers again. */
const missedMost = 2;
const thinkMilliseconds = 500;
/** Sessions that are never idle for long, and their pause between two operations. */
const steady = { sessions: 6, thinkMilliseconds: 30 } as const;

function start({ runtime, ledger, edges, known }: SoakClientParts, sessions: number): Readonly<{ stop: () => void }> {
  const missed = new Map<ClientEdge, number>();
  let isStopped = false;

  async function look(edge: ClientEdge): Promise<void> {
    missed.set(edge, (await edge.isReady()) ? 0 : (missed.get(edge) ?? 0) + 1);
  }

  for (const edge of edges)
    void runtimeUtilities.every(
      runtime.clock,
      readinessMilliseconds,
      () => look(edge),
      () => !isStopped,
    );
  const clients = sessionClient.start(
    runtime,
    {
      sessions,
      thinkMilliseconds,
      steady,
      longRestMilliseconds: restMilliseconds + 1_200,
      edges: function chosen() {
        const ready = edges.filter((edge) => (missed.get(edge) ?? 0) < missedMost);
        return ready.length > 0 ? ready : edges;
      },
      databases: () => known().databases,
      keys: () => known().tenants.flatMap((tenant) => tenant.keys),
    },
    ledger,
  );
  return {
    stop: function stop() {
      isStopped = true;
      clients.stop();
    },
  };
}

export const soakClients = { start } as const;
