/** What an edge holds for one window of one announced outage: the reads its sessions ask, and a copy of each reply (design 8.13). */
import * as Option from 'fp-ts/lib/Option.js';
import { LRUCache } from 'lru-cache';
import type { WallTime } from '@stallstall/kernel';
import type { OutageWindow, AnnouncedOutage } from '@stallstall/placement';
import { positions, type Completion, type Position, type StatementReply } from '@stallstall/session-protocol';
import { sessions } from './sessions.js';
import type { StatementRequest } from './statement-request.js';

/** A read that a session was served, as it is asked again; `tried` once a member replied to that, whether or not the copy is still held. */
export type RememberedRead = { readonly read: StatementRequest; tried: boolean };

export type CopiedReply = Readonly<{
  rows: readonly string[];
  completion: Completion;
  position: Option.Option<Position>;
  service: string;
  copiedAt: WallTime;
}>;

export type OutageCopies = {
  readonly outage: AnnouncedOutage;
  /** The outage as it was configured: another text is another outage. */
  readonly source: string;
  readonly window: OutageWindow;
  readonly reads: LRUCache<string, RememberedRead>;
  readonly copies: LRUCache<string, CopiedReply>;
  /** Everything remembered had been read again at some moment before the window. */
  complete: boolean;
  begun: boolean;
  filling: boolean;
};

/** An uplink may come back so much later than announced. */
export const outageGraceMilliseconds = 30_000;
const mostRemembered = 5_000;
/** Reckoned for each entry beside its texts. */
const entryBytes = 256;

function create(outage: AnnouncedOutage, source: string, window: OutageWindow): OutageCopies {
  return {
    outage,
    source,
    window,
    reads: new LRUCache({
      max: mostRemembered,
      maxSize: outage.mostBytes,
      sizeCalculation: (_remembered, key) => key.length + entryBytes,
    }),
    copies: new LRUCache<string, CopiedReply>({
      maxSize: outage.mostBytes,
      sizeCalculation: (copied, key) => key.length + entryBytes + copied.rows.reduce((sum, row) => sum + row.length, 0),
    }),
    complete: false,
    begun: false,
    filling: false,
  };
}

/** Requests with the same key read the same: same database, tenant, session values and text. */
function keyOf(request: StatementRequest): string {
  const values = [...request.session.values].sort(([left], [right]) => (left < right ? -1 : 1));
  const text = Option.isSome(request.prepared) ? [request.prepared.value.statement.text, request.prepared.value.rest] : request.text;
  return JSON.stringify([request.database.database, request.tenant, values, text]);
}

/** Single reads alone: a transaction's would come from different moments, and its commit from none. */
function covers({ outage }: OutageCopies, request: StatementRequest): boolean {
  return (
    !request.writes &&
    Option.isNone(request.transaction) &&
    request.database.reads !== 'leader' &&
    outage.databases.includes(request.database.database)
  );
}

/** A session sees its own commits, or no copy at all. */
function coversOwnCommits(request: StatementRequest, copied: CopiedReply): boolean {
  if (request.session.unsettled) return false;
  const own = request.session.commits.get(copied.service);
  return own === undefined || (Option.isSome(copied.position) && positions.compare(copied.position.value, own) >= 0);
}

/** A read to be sent to a member to fill a copy. */
function copyingRead(
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
    commit: false,
    transaction: Option.none,
    copying: true,
  };
}

/** Remembers a read that a session was served. */
function remember(held: OutageCopies, request: StatementRequest): void {
  const key = keyOf(request);
  if (held.reads.get(key) !== undefined) return;
  const session = sessions.create('copy', request.session.database, request.session.key);
  for (const [name, value] of request.session.values) session.values.set(name, value);
  held.reads.set(key, { read: copyingRead(session, request), tried: false });
}

/** Whether copies are served: from the window's beginning until the grace after its end; `wall` is the wall clock's time. */
function isOpen({ window }: OutageCopies, wall: WallTime): boolean {
  return wall >= window.from && wall < window.to + outageGraceMilliseconds;
}

/** Whether copies are made: for the configured time before the window, not in it. */
function isToBeFilled({ outage, window }: OutageCopies, wall: WallTime): boolean {
  return wall >= window.from - outage.holdMilliseconds && wall < window.from;
}

/** The copy for a request, when all are complete and it satisfies the session. */
function reply(held: OutageCopies, request: StatementRequest, wall: WallTime): Option.Option<StatementReply> {
  if (!held.complete || !isOpen(held, wall) || !covers(held, request)) return Option.none;
  const copied = held.copies.get(keyOf(request));
  if (copied === undefined || copied.service !== request.database.service || !coversOwnCommits(request, copied)) return Option.none;
  const { rows, completion, position, copiedAt } = copied;
  return Option.some({ rows, completion, transactionStatus: 'idle', position, copiedAt });
}

export const outageCopies = { create, copyingRead, covers, remember, isOpen, isToBeFilled, reply } as const;
