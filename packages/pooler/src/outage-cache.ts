/** What an edge holds for one window of one announced outage: the reads its sessions ask, and a copy of each reply (design 8.13). */
import * as Option from 'fp-ts/lib/Option.js';
import { LRUCache } from 'lru-cache';
import type { WallTime } from '@stallstall/kernel';
import type { OutageWindow, AnnouncedOutage } from '@stallstall/placement';
import { positions, type Completion, type Position, type StatementReply } from '@stallstall/session-protocol';
import { sessions } from './sessions.js';
import type { StatementRequest } from './statement-request.js';

/** A read that a session was served, as it is asked again; `tried` once a member replied to that, whether or not the copy is still cache. */
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
  /** The outage as it was configured: another text is another outage. */
  readonly configuredText: string;
  readonly window: OutageWindow;
  readonly reads: LRUCache<string, RecordedRead>;
  readonly replies: LRUCache<string, CachedReply>;
  /** Everything remembered had been read again at some moment before the window. */
  isComplete: boolean;
  hasBegun: boolean;
  isFilling: boolean;
};

/** An uplink may come back so much later than announced. */
export const outageGraceMilliseconds = 30_000;
const maximumRecordedReads = 5_000;
/** Reckoned for each entry beside its texts. */
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

/** Requests with the same key read the same: same database, tenant, session values and text. */
function keyOf(request: StatementRequest): string {
  const values = [...request.session.values].sort(([left], [right]) => (left < right ? -1 : 1));
  const text = Option.isSome(request.prepared) ? [request.prepared.value.statement.text, request.prepared.value.parameters] : request.text;
  return JSON.stringify([request.database.database, request.tenant, values, text]);
}

/** Single reads alone: a transaction's would come from different moments, and its commit from none. */
function covers({ outage }: OutageCache, request: StatementRequest): boolean {
  return (
    !request.writes &&
    Option.isNone(request.transaction) &&
    request.database.reads !== 'leader' &&
    outage.databases.includes(request.database.database)
  );
}

/** A session sees its own commits, or no copy at all. */
function reflectsOwnCommits(request: StatementRequest, cached: CachedReply): boolean {
  if (request.session.hasUnknownOutcome) return false;
  const ownCommit = request.session.commits.get(cached.service);
  return ownCommit === undefined || (Option.isSome(cached.position) && positions.compare(cached.position.value, ownCommit) >= 0);
}

/** A read to be sent to a member to fill a copy. */
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

/** Remembers a read that a session was served. */
function recordRead(cache: OutageCache, request: StatementRequest): void {
  const key = keyOf(request);
  if (cache.reads.get(key) !== undefined) return;
  const session = sessions.create('copy', request.session.database, request.session.key);
  for (const [name, value] of request.session.values) session.values.set(name, value);
  cache.reads.set(key, { read: cacheFillRequest(session, request), isAttempted: false });
}

/** Whether copies are served: from the window's beginning until the grace after its end; `wall` is the wall clock's time. */
function isOpen({ window }: OutageCache, wall: WallTime): boolean {
  return wall >= window.from && wall < window.to + outageGraceMilliseconds;
}

/** Whether copies are made: for the configured time before the window, not in it. */
function isFillTime({ outage, window }: OutageCache, wall: WallTime): boolean {
  return wall >= window.from - outage.holdMilliseconds && wall < window.from;
}

/** The copy for a request, when all are complete and it satisfies the session. */
function reply(cache: OutageCache, request: StatementRequest, wall: WallTime): Option.Option<StatementReply> {
  if (!cache.isComplete || !isOpen(cache, wall) || !covers(cache, request)) return Option.none;
  const cached = cache.replies.get(keyOf(request));
  if (cached === undefined || cached.service !== request.database.service || !reflectsOwnCommits(request, cached)) return Option.none;
  const { rows, completion, position, cachedAt } = cached;
  return Option.some({ rows, completion, transactionStatus: 'idle', position, cachedAt });
}

export const outageCaches = { create, cacheFillRequest, covers, recordRead, isOpen, isFillTime, reply } as const;
