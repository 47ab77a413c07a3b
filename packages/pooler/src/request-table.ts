/** The statements that have not been answered, the callbacks for their replies, and counters of their outcomes. */
import * as Option from 'fp-ts/lib/Option.js';
import type { StatementReply } from '@stallstall/session-protocol';
import type { RequestRecord } from './statement-request.js';

export type RequestTable = Readonly<{
  nextId: () => number;
  add: (record: RequestRecord, resolve: (reply: StatementReply) => void) => void;
  /** Replaces the record of the same id. */
  update: (record: RequestRecord) => void;
  /** Removes the record and delivers the reply to the caller that submitted it. */
  resolve: (record: RequestRecord, reply: StatementReply) => RequestRecord;
  /** Waiting records ordered by the rank of their database, then by arrival. */
  waiting: () => readonly RequestRecord[];
  isWaiting: (id: number) => boolean;
  inFlight: () => number;
  /** Number of statements in flight to the leader of a service under an epoch below the given one. */
  countSentBelow: (service: string, epoch: number) => number;
  count: (name: string) => void;
  totals: () => Readonly<Record<string, number>>;
}>;

function isSentBelow(record: RequestRecord, service: string, epoch: number): boolean {
  if (record.stage !== 'sent' || record.request.database.service !== service || Option.isNone(record.target)) return false;
  return record.target.value.leader && record.target.value.epoch < epoch;
}

function create(): RequestTable {
  const records = new Map<number, RequestRecord>();
  const resolvers = new Map<number, (reply: StatementReply) => void>();
  const totals = new Map<string, number>();
  let lastId = 0;

  return {
    nextId: function nextId() {
      lastId += 1;
      return lastId;
    },
    add: function add(record, resolve) {
      resolvers.set(record.id, resolve);
      records.set(record.id, record);
    },
    update: (record) => void records.set(record.id, record),
    resolve: function resolve(record, reply) {
      const resolver = resolvers.get(record.id);
      records.delete(record.id);
      resolvers.delete(record.id);
      resolver?.(reply);
      return { ...record, stage: 'done' };
    },
    waiting: () =>
      [...records.values()]
        .filter((record) => record.stage === 'waiting')
        .sort((left, right) => left.request.database.rank - right.request.database.rank || left.arrivedAt - right.arrivedAt),
    isWaiting: (id) => records.get(id)?.stage === 'waiting',
    inFlight: () => resolvers.size,
    countSentBelow: function countSentBelow(service, epoch) {
      let sum = 0;
      for (const record of records.values()) if (isSentBelow(record, service, epoch)) sum += 1;
      return sum;
    },
    count: (name) => void totals.set(name, (totals.get(name) ?? 0) + 1),
    totals: () => Object.fromEntries(totals),
  };
}

export const requestTables = { create } as const;
