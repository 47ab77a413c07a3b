/** The requests that have no response yet, who waits for them, and counters of what became of them. */
import * as Either from 'fp-ts/lib/Either.js';
import { fault, type Fault } from '@stallstall/kernel';
import type { Outcome, RequestRecord } from './statement-request.js';

export type RequestTable = Readonly<{
  nextId: () => number;
  /** Registers who waits; the record itself is stored by `update`, once it waits or was sent. */
  register: (id: number, resolve: (outcome: Outcome) => void) => void;
  update: (record: RequestRecord) => void;
  /** Removes the record and passes the outcome on. */
  resolve: (record: RequestRecord, outcome: Outcome) => RequestRecord;
  reject: (record: RequestRecord, error: Fault) => RequestRecord;
  /** In the order in which they arrived. */
  waiting: () => readonly RequestRecord[];
  has: (id: number) => boolean;
  waitingFor: (service: string) => number;
  inFlight: () => number;
  count: (name: string, by?: number) => void;
  totals: () => Readonly<Record<string, number>>;
}>;

function create(): RequestTable {
  const records = new Map<number, RequestRecord>();
  const resolvers = new Map<number, (outcome: Outcome) => void>();
  const totals = new Map<string, number>();
  let lastId = 0;

  function count(name: string, by = 1): void {
    totals.set(name, (totals.get(name) ?? 0) + by);
  }

  function resolve(record: RequestRecord, outcome: Outcome): RequestRecord {
    const resolver = resolvers.get(record.id);
    resolvers.delete(record.id);
    records.delete(record.id);
    count(Either.isRight(outcome) ? 'served' : fault.kind(outcome.left));
    resolver?.(outcome);
    return { ...record, stage: 'done' };
  }

  function waitingFor(service: string): number {
    let sum = 0;
    for (const record of records.values()) if (record.stage === 'waiting' && record.request.service === service) sum += 1;
    return sum;
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
    waitingFor,
    inFlight: () => resolvers.size,
    count,
    totals: () => Object.fromEntries([...totals].map(([name, total]) => [name, Math.round(total)])),
  };
}

export const requestTables = { create } as const;
