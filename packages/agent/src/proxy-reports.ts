/** Stores the watermarks and usage that a proxy must have on a majority of core disks before it replies to clients (design 7.5, 8.6). */
import * as Either from 'fp-ts/lib/Either.js';
import type { Reply, Request } from '@stallstall/message';
import type { DurableReports } from '@stallstall/register';

/** @internal */
export type ProxyReports = Readonly<{
  /** The reply says whether a majority of disks has synced the report. */
  store: (request: Request<'tell'>) => Promise<Reply<'tell'>>;
  /** The number of reports being stored. */
  pendingCount: () => number;
}>;

function noteRequest(node: string, { floors, through, usage, incarnation, number }: Request<'tell'>): Request<'note'> {
  return {
    floors,
    through: { [node]: through },
    reports: usage.map(({ window, counts }) => ({ node, incarnation, number, window, counts: { ...counts } })),
  };
}

/** @param node - this node's id */
function create(node: string, reports: DurableReports): ProxyReports {
  let pendingCount = 0;
  return {
    store: async function tell(request) {
      pendingCount += 1;
      const stored = await reports.report(noteRequest(node, request));
      pendingCount -= 1;
      return { kept: Either.isRight(stored) };
    },
    pendingCount: () => pendingCount,
  };
}

/** @internal */
export const proxyReports = { create } as const;
