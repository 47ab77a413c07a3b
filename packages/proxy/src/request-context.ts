/** What the modules that handle a request share. */
import * as Option from 'fp-ts/lib/Option.js';
import type { Runtime } from '@stallstall/kernel';
import type { Pool } from '@stallstall/pool';
import type { DurableReports } from './durable-reports.js';
import type { RequestTable } from './request-table.js';
import type { Session, Sessions } from './sessions.js';
import type { PlacementSnapshot, RequestRecord } from './statement-request.js';

export type RequestContext = Readonly<{
  runtime: Runtime;
  /** The placement as it is known now. */
  placement: () => PlacementSnapshot;
  pool: Pool;
  sessions: Sessions;
  reports: DurableReports;
  table: RequestTable;
}>;

/** The session of a request, if it names one that is still open. */
function sessionOf({ sessions }: RequestContext, { request }: RequestRecord): Option.Option<Session> {
  return Option.isSome(request.session) ? sessions.find(request.session.value) : Option.none;
}

/** A statement of an open transaction goes where the transaction is, or nowhere. */
function isPinned({ request }: RequestRecord): boolean {
  return request.transaction === 'within' || request.transaction === 'commit' || request.transaction === 'rollback';
}

/** Whether the request makes writes last: afterwards it is either known to be kept, or its outcome is unknown. */
function isCommittingWrite({ request }: RequestRecord): boolean {
  return request.kind === 'write' && (request.transaction === 'none' || request.transaction === 'commit');
}

/** Breaks off the connection that a session's transaction is open on. */
function endTransaction({ pool }: RequestContext, session: Option.Option<Session>): void {
  if (Option.isNone(session)) return;
  const pinned = session.value.pinned();
  if (Option.isNone(pinned)) return;
  session.value.unpin();
  pool.release(pinned.value.connection, false);
}

export const requestContext = { sessionOf, isPinned, isCommittingWrite, endTransaction } as const;
