/** The requests in progress, the callbacks that receive their outcomes, and counters of outcomes. */
import * as Either from 'fp-ts/lib/Either.js';
import { fault, type Fault } from '@stallstall/kernel';
import type { Outcome, RequestRecord } from './statement-request.js';

export type RequestTable = Readonly<{
  nextId: () => number;
  /** Registers the callback for a request's outcome. The record itself is stored by `update`, once it is waiting or sent. */
  register: (id: number, resolve: (outcome: Outcome) => void) => void;
  update: (record: RequestRecord) => void;
  /** Removes the record and passes the outcome to its callback. */
  resolve: (record: RequestRecord, outcome: Outcome) => RequestRecord;
  reject: (record: RequestRecord, error: Fault) => RequestRecord;
  /** Records in stage `waiting`, in order of arrival. */
  waiting: () => readonly RequestRecord[];
  has: (id: number) => boolean;
  countWaiting: (service: string) => number;
  inFlight: () => number;
  count: (name: string, amount?: number) => void;
  totals: () => Readonly<Record<string, number>>;
}>;

function create(): RequestTable {
  const records = new Map<number, RequestRecord>();
  const resolvers = new Map<number, (outcome: Outcome) => void>();
  const totals = new Map<string, number>();
  let lastId = 0;

  function count(name: string, amount = 1): void {
    totals.set(name, (totals.get(name) ?? 0) + amount);
  }

  function resolve(record: RequestRecord, outcome: Outcome): RequestRecord {
    const resolver = resolvers.get(record.id);
    resolvers.delete(record.id);
    records.delete(record.id);
    count(Either.isRight(outcome) ? 'served' : fault.kind(outcome.left));
    resolver?.(outcome);
    return { ...record, stage: 'done' };
  }

  function countWaiting(service: string): number {
    let waiting = 0;
    for (const record of records.values()) if (record.stage === 'waiting' && record.request.service === service) waiting += 1;
    return waiting;
  }

  return {
    nextId: function nextId() {
      lastId += 1;
      return lastId;
    },
    register: (id, resolver) => void resolvers.set(id, resolver),
    update: (record) => void records.set(record.id, record),
    resolve,
    reject: (record, error) => resolve(record, Either.left(error)),
    waiting: () => [...records.values()].filter((record) => record.stage === 'waiting'),
    has: (id) => records.has(id),
    countWaiting,
    inFlight: () => resolvers.size,
    count,
    totals: () => Object.fromEntries([...totals].map(([name, total]) => [name, Math.round(total)])),
  };
}

export const requestTables = { create } as const;
