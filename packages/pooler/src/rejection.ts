/** Replies to statements that were not run, or whose outcome is told by the pooler. */
import * as Option from 'fp-ts/lib/Option.js';
import type { Condition } from '@stallstall/session-protocol';
import { replies } from './replies.js';
import type { RequestParts } from './request-parts.js';
import type { RequestTable } from './request-table.js';
import type { RequestRecord } from './statement-request.js';
import { transactions } from './transactions.js';

export type Rejection = Readonly<{
  /** The statement did not run. A rejection within a transaction ends the transaction. */
  reject: (record: RequestRecord, condition: Condition, text: string) => RequestRecord;
  /** As `reject`, because no member can be reached: during an announced outage the reply is a copy, if one is held (design 8.13). */
  rejectUnplaced: (record: RequestRecord, condition: Condition, text: string) => RequestRecord;
}>;

function create(parts: Pick<RequestParts, 'connections' | 'copies'>, table: RequestTable): Rejection {
  const { connections, copies } = parts;

  function reject(record: RequestRecord, condition: Condition, text: string): RequestRecord {
    table.count(`denied.${condition}`);
    if (Option.isSome(record.request.transaction)) transactions.abandon(connections, record.request.transaction.value);
    return table.resolve(record, replies.fault(condition, text));
  }

  function rejectUnplaced(record: RequestRecord, condition: Condition, text: string): RequestRecord {
    if (record.request.copying || !copies.open(record.request)) return reject(record, condition, text);
    const copied = copies.reply(record.request);
    table.count(Option.isSome(copied) ? 'copy.served' : 'copy.missed');
    return Option.isSome(copied) ? table.resolve(record, copied.value) : reject(record, condition, text);
  }

  return { reject, rejectUnplaced };
}

export const rejections = { create } as const;
