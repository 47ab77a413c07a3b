/** What an edge asks a core's half of the leases with, for stories that stand in for edges (design 7.12). */
import type { Request } from '@stallstall/message';

/** The ask of an edge that knows nothing of the core, has released nothing and has nothing to tell of commits. */
export function leaseAsk(node: string, change: Partial<Request<'lease'>> = {}): Request<'lease'> {
  return {
    node,
    area: 'north',
    token: '',
    seen: 0,
    hold: 0,
    acknowledged: 0,
    obeyed: 0,
    released: {},
    positions: {},
    marks: {},
    positionsAgo: 0,
    demand: 1,
    content: true,
    notListening: [],
    ...change,
  };
}
