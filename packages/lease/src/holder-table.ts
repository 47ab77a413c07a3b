/** What a core knows of the edges that ask it for leases (design 7.12). */
import type { Clock, Instant } from '@stallstall/kernel';
import type { Request } from '@stallstall/message';

/** @internal */
export type HolderTable = Readonly<{
  isKnown: (node: string) => boolean;
  /** Keeps what an edge said with its request. */
  record: (request: Request<'lease'>) => void;
  /** The lease runs from the reply: until then and a term beyond, the edge is one that holds leases. */
  renew: (node: string) => void;
  /** An edge that knows nothing of this core runs another process, if it has asked here before; the name given to the former process. */
  processRestarted: (node: string) => string | undefined;
  /** Edges that asked within so many milliseconds. */
  within: (milliseconds: number) => readonly string[];
  /** All that may have acknowledged commits lately, processes that have ended since among them, and when each asked last. */
  remembered: () => Readonly<{ edges: readonly string[]; askedAt: ReadonlyMap<string, Instant> }>;
  hasReleased: (service: string, epoch: number, nodes: readonly string[]) => boolean;
  /** How many of these edges stand in each area. */
  countByArea: (nodes: readonly string[]) => Record<string, number>;
  /** Statements a second that are asked of these edges, by area. */
  demandByArea: (nodes: readonly string[]) => Record<string, number>;
}>;

type Holder = Readonly<{ area: string; demand: number; released: Readonly<Record<string, number>> }>;

/** An edge may have acknowledged what nobody else knows of: it is remembered far beyond any time without a leader. */
const rememberMilliseconds = 900_000;

function create(clock: Clock): HolderTable {
  const holders = new Map<string, Holder>();
  const askedAt = new Map<string, Instant>();
  /** When edges' processes that have ended since asked last. */
  const endedAt = new Map<string, Instant>();

  function forgetOld(moments: Map<string, Instant>): void {
    const now = clock.now();
    for (const [name, at] of moments) if (now - at > rememberMilliseconds) moments.delete(name);
  }

  function within(milliseconds: number): readonly string[] {
    const now = clock.now();
    forgetOld(askedAt);
    return [...askedAt].filter(([, at]) => now - at <= milliseconds).map(([node]) => node);
  }

  function renew(node: string): void {
    askedAt.set(node, clock.now());
  }

  function record({ node, area, demand, released }: Request<'lease'>): void {
    renew(node);
    holders.set(node, { area, demand, released: { ...released } });
  }

  function processRestarted(node: string): string | undefined {
    const at = askedAt.get(node);
    if (at === undefined) return undefined;
    const former = `${node} until ${at}`;
    endedAt.set(former, at);
    return former;
  }

  function remembered(): Readonly<{ edges: readonly string[]; askedAt: ReadonlyMap<string, Instant> }> {
    forgetOld(endedAt);
    return { edges: [...within(rememberMilliseconds), ...endedAt.keys()], askedAt: new Map([...askedAt, ...endedAt]) };
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
    isKnown: (node) => askedAt.has(node),
    record,
    renew,
    processRestarted,
    within,
    remembered,
    hasReleased: (service, epoch, nodes) => nodes.every((node) => (holders.get(node)?.released[service] ?? 0) >= epoch),
    countByArea: (nodes) => sumByArea(nodes, () => 1),
    demandByArea: (nodes) => sumByArea(nodes, (holder) => holder?.demand ?? 0),
  };
}

/** @internal */
export const holderTable = { create } as const;
