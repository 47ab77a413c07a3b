/** The cache for one window of one announced outage: the reads of this edge's sessions and a cached reply to each (design 8.13). */
import * as Option from 'fp-ts/lib/Option.js';
import { LRUCache } from 'lru-cache';
import type { WallTime } from '@stallstall/kernel';
import type { OutageWindow, AnnouncedOutage } from '@stallstall/placement';
import { positions, type Completion, type Position, type StatementReply } from '@stallstall/session-protocol';
import { sessions } from './sessions.js';
import type { StatementRequest } from './statement-request.js';

/**
 * A recorded read as it is repeated to fill the cache. `isAttempted` is set once a member has replied to it, whether or not the reply is
 * still cached.
 */
export type RecordedRead = { readonly read: StatementRequest; isAttempted: boolean };

export type CachedReply = Readonly<{
  rows: readonly string[];
  completion: Completion;
  position: Option.Option<Position>;
  service: string;
  cachedAt: WallTime;
}>;

export type OutageCache = {
  readonly outage: AnnouncedOutage;
  /** The outage's configuration as JSON text; an outage with another text is a different outage. */
  readonly configuredText: string;
  readonly window: OutageWindow;
  readonly reads: LRUCache<string, RecordedRead>;
  readonly replies: LRUCache<string, CachedReply>;
  /** Every recorded read had been attempted before the window began. */
  isComplete: boolean;
  hasBegun: boolean;
  isFilling: boolean;
};

/** Cached replies are served for this long after the announced end, because the uplink may come back late. */
export const outageGraceMilliseconds = 30_000;
const maximumRecordedReads = 5_000;
/** Overhead counted for each entry in addition to its texts. */
const entryOverheadBytes = 256;

function create(outage: AnnouncedOutage, configuredText: string, window: OutageWindow): OutageCache {
  return {
    outage,
    configuredText,
    window,
    reads: new LRUCache({
      max: maximumRecordedReads,
      maxSize: outage.mostBytes,
      sizeCalculation: (_read, key) => key.length + entryOverheadBytes,
    }),
    replies: new LRUCache<string, CachedReply>({
      maxSize: outage.mostBytes,
      sizeCalculation: (cached, key) => key.length + entryOverheadBytes + cached.rows.reduce((sum, row) => sum + row.length, 0),
    }),
    isComplete: false,
    hasBegun: false,
    isFilling: false,
  };
}

/** The cache key: requests with the same database, tenant, session values and text have the same reply. */
function keyOf(request: StatementRequest): string {
  const values = [...request.session.values].sort(([left], [right]) => (left < right ? -1 : 1));
  const text = Option.isSome(request.prepared) ? [request.prepared.value.statement.text, request.prepared.value.parameters] : request.text;
  return JSON.stringify([request.database.database, request.tenant, values, text]);
}

/** Only single reads are cached: the replies of a transaction would come from different moments, and a commit cannot be cached. */
function covers({ outage }: OutageCache, request: StatementRequest): boolean {
  return (
    !request.writes &&
    Option.isNone(request.transaction) &&
    request.database.reads !== 'leader' &&
    outage.databases.includes(request.database.database)
  );
}

/** Whether a cached reply reflects all commits of the session; otherwise it must not be served to it. */
function reflectsOwnCommits(request: StatementRequest, cached: CachedReply): boolean {
  if (request.session.hasUnknownOutcome) return false;
  const ownCommit = request.session.commits.get(cached.service);
  return ownCommit === undefined || (Option.isSome(cached.position) && positions.compare(cached.position.value, ownCommit) >= 0);
}

/** The request that fills the cache with the reply to a read. */
function cacheFillRequest(
  session: StatementRequest['session'],
  from: Pick<StatementRequest, 'text' | 'prepared' | 'database' | 'tenant'>,
): StatementRequest {
  const { text, prepared, database, tenant } = from;
  return {
    session,
    identifier: 'copy',
    text,
    prepared,
    database,
    tenant,
    writes: false,
    commits: false,
    transaction: Option.none,
    fillsCache: true,
  };
}

/** Records a read that was served to a session, with its session values. */
function recordRead(cache: OutageCache, request: StatementRequest): void {
  const key = keyOf(request);
  if (cache.reads.get(key) !== undefined) return;
  const session = sessions.create('copy', request.session.database, request.session.key);
  for (const [name, value] of request.session.values) session.values.set(name, value);
  cache.reads.set(key, { read: cacheFillRequest(session, request), isAttempted: false });
}

/** Whether cached replies are served: from the beginning of the window until the grace period after its end. */
function isOpen({ window }: OutageCache, wall: WallTime): boolean {
  return wall >= window.from && wall < window.to + outageGraceMilliseconds;
}

/** Whether the cache may be filled: for the configured time before the window, not during it. */
function isFillTime({ outage, window }: OutageCache, wall: WallTime): boolean {
  return wall >= window.from - outage.holdMilliseconds && wall < window.from;
}

/** The cached reply to a request, if the cache is complete and the reply reflects the session's own commits. */
function reply(cache: OutageCache, request: StatementRequest, wall: WallTime): Option.Option<StatementReply> {
  if (!cache.isComplete || !isOpen(cache, wall) || !covers(cache, request)) return Option.none;
  const cached = cache.replies.get(keyOf(request));
  if (cached === undefined || cached.service !== request.database.service || !reflectsOwnCommits(request, cached)) return Option.none;
  const { rows, completion, position, cachedAt } = cached;
  return Option.some({ rows, completion, transactionStatus: 'idle', position, cachedAt });
}

export const outageCaches = { create, cacheFillRequest, covers, recordRead, isOpen, isFillTime, reply } as const;
