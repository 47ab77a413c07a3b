/** Lease requests for stories that simulate edges (design 7.12). */
import type { Request } from '@stallstall/message';

/** The first request of an edge to a core; it has released no epoch and reports no commits. */
export function leaseRequest(node: string, change: Partial<Request<'lease'>> = {}): Request<'lease'> {
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
