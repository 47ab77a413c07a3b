/** What the modules that handle a request have in common. */
import * as Option from 'fp-ts/lib/Option.js';
import type { Runtime } from '@stallstall/kernel';
import type { Pool } from '@stallstall/pool';
import type { DurableReports } from './durable-reports.js';
import type { RequestTable } from './request-table.js';
import type { Session, Sessions } from './sessions.js';
import type { PlacementSnapshot, RequestRecord } from './statement-request.js';

export type RequestContext = Readonly<{
  runtime: Runtime;
  /** The latest placement received from the agent. */
  placement: () => PlacementSnapshot;
  pool: Pool;
  sessions: Sessions;
  reports: DurableReports;
  table: RequestTable;
}>;

/** The session of a request; none if it has no session or the session was closed. */
function sessionOf({ sessions }: RequestContext, { request }: RequestRecord): Option.Option<Session> {
  return Option.isSome(request.session) ? sessions.find(request.session.value) : Option.none;
}

/** Whether the request belongs to an open transaction and must run on that transaction's connection. */
function isPinned({ request }: RequestRecord): boolean {
  return request.transaction === 'within' || request.transaction === 'commit' || request.transaction === 'rollback';
}

/** Whether the request commits a write. If its reply is lost, its outcome is unknown and it must not be retried. */
function isCommittingWrite({ request }: RequestRecord): boolean {
  return request.kind === 'write' && (request.transaction === 'none' || request.transaction === 'commit');
}

/** Aborts the open transaction of a session by closing its connection. */
function endTransaction({ pool }: RequestContext, session: Option.Option<Session>): void {
  if (Option.isNone(session)) return;
  const pinned = session.value.pinned();
  if (Option.isNone(pinned)) return;
  session.value.unpin();
  pool.release(pinned.value.connection, false);
}

export const requestContext = { sessionOf, isPinned, isCommittingWrite, endTransaction } as const;
