/** Rejects statements that were not run; during an announced outage, a cached reply may be served instead. */
import * as Option from 'fp-ts/lib/Option.js';
import type { Condition } from '@stallstall/session-protocol';
import { replies } from './replies.js';
import type { RequestParts } from './request-parts.js';
import type { RequestTable } from './request-table.js';
import type { RequestRecord } from './statement-request.js';
import { transactions } from './transactions.js';

export type Rejection = Readonly<{
  /** Rejects a statement that did not run. Within a transaction this also aborts the transaction. */
  reject: (record: RequestRecord, condition: Condition, text: string) => RequestRecord;
  /**
   * Like `reject`, for a statement that no member can run now: during an announced outage, a cached reply is served if there is one
   * (design 8.13).
   */
  rejectUnreachable: (record: RequestRecord, condition: Condition, text: string) => RequestRecord;
}>;

function create(parts: Pick<RequestParts, 'connections' | 'cachedReplies'>, table: RequestTable): Rejection {
  const { connections, cachedReplies } = parts;

  function reject(record: RequestRecord, condition: Condition, text: string): RequestRecord {
    table.count(`denied.${condition}`);
    if (Option.isSome(record.request.transaction)) transactions.abandon(connections, record.request.transaction.value);
    return table.resolve(record, replies.fault(condition, text));
  }

  function rejectUnreachable(record: RequestRecord, condition: Condition, text: string): RequestRecord {
    if (record.request.fillsCache || !cachedReplies.isOutageOpen(record.request)) return reject(record, condition, text);
    const cached = cachedReplies.reply(record.request);
    table.count(Option.isSome(cached) ? 'copy.served' : 'copy.missed');
    return Option.isSome(cached) ? table.resolve(record, cached.value) : reject(record, condition, text);
  }

  return { reject, rejectUnreachable };
}

export const rejections = { create } as const;
