/** A core's table of the edges that request leases from it (design 7.12). */
import type { Clock, Instant } from '@stallstall/kernel';
import type { Request } from '@stallstall/message';

/** @internal */
export type HolderTable = Readonly<{
  /** Whether an edge has sent a request before. */
  isKnown: (node: string) => boolean;
  /** Stores what an edge reported with its request. */
  record: (request: Request<'lease'>) => void;
  /** Called on each reply, since the lease runs from there: the edge counts as a holder until a term after it. */
  renew: (node: string) => void;
  /**
   * Called for a request with an empty token, which is the first request of a new process of the edge or of its proxy.
   * @returns the name under which the former process is kept; undefined when the edge had sent no request before
   */
  processRestarted: (node: string) => string | undefined;
  /** Edges whose last request is no older than this. */
  activeWithin: (milliseconds: number) => readonly string[];
  /** All edges that may have acknowledged commits, including former processes, and when each last requested a lease. */
  acknowledgers: () => Readonly<{ edges: readonly string[]; lastRequestAt: ReadonlyMap<string, Instant> }>;
  /** Whether all of these edges have reported that they have nothing in flight below an epoch. */
  hasReleased: (service: string, epoch: number, nodes: readonly string[]) => boolean;
  /** Number of these edges in each area. */
  countByArea: (nodes: readonly string[]) => Record<string, number>;
  /** Statements per second sent to these edges, by area. */
  statementRateByArea: (nodes: readonly string[]) => Record<string, number>;
}>;

type Holder = Readonly<{ area: string; statementRate: number; released: Readonly<Record<string, number>> }>;

/** An edge may have acknowledged commits that only it knows of, so it is kept for much longer than a service is ever without a leader. */
const retentionMilliseconds = 900_000;

function create(clock: Clock): HolderTable {
  const holders = new Map<string, Holder>();
  const lastRequestAt = new Map<string, Instant>();
  /** When processes of edges that have since been replaced last requested a lease, by the name given to them. */
  const formerLastRequestAt = new Map<string, Instant>();

  function removeExpired(times: Map<string, Instant>): void {
    const now = clock.now();
    for (const [name, at] of times) if (now - at > retentionMilliseconds) times.delete(name);
  }

  function activeWithin(milliseconds: number): readonly string[] {
    const now = clock.now();
    removeExpired(lastRequestAt);
    return [...lastRequestAt].filter(([, at]) => now - at <= milliseconds).map(([node]) => node);
  }

  function renew(node: string): void {
    lastRequestAt.set(node, clock.now());
  }

  function record({ node, area, demand, released }: Request<'lease'>): void {
    renew(node);
    holders.set(node, { area, statementRate: demand, released: { ...released } });
  }

  function processRestarted(node: string): string | undefined {
    const at = lastRequestAt.get(node);
    if (at === undefined) return undefined;
    const formerName = `${node} until ${at}`;
    formerLastRequestAt.set(formerName, at);
    return formerName;
  }

  function acknowledgers(): Readonly<{ edges: readonly string[]; lastRequestAt: ReadonlyMap<string, Instant> }> {
    removeExpired(formerLastRequestAt);
    return {
      edges: [...activeWithin(retentionMilliseconds), ...formerLastRequestAt.keys()],
      lastRequestAt: new Map([...lastRequestAt, ...formerLastRequestAt]),
    };
  }

  function sumByArea(nodes: readonly string[], valueOf: (holder: Holder | undefined) => number): Record<string, number> {
    const sums: Record<string, number> = {};
    for (const node of nodes) {
      const holder = holders.get(node);
      const area = holder?.area ?? '';
      sums[area] = (sums[area] ?? 0) + valueOf(holder);
    }
    return sums;
  }

  return {
    isKnown: (node) => lastRequestAt.has(node),
    record,
    renew,
    processRestarted,
    activeWithin,
    acknowledgers,
    hasReleased: (service, epoch, nodes) => nodes.every((node) => (holders.get(node)?.released[service] ?? 0) >= epoch),
    countByArea: (nodes) => sumByArea(nodes, () => 1),
    statementRateByArea: (nodes) => sumByArea(nodes, (holder) => holder?.statementRate ?? 0),
  };
}

/** @internal */
export const holderTable = { create } as const;
