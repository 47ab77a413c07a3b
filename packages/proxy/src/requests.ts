/** Requests wait in a table until the passes find a member and a connection for them; then they are sent (design 8.5). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Runtime } from '@stallstall/kernel';
import { confirmations } from './confirmations.js';
import { exchanges, type ExchangeParts } from './exchange.js';
import { fenceChecks } from './fence-check.js';
import { passes } from './passes.js';
import { requestParts, type RequestParts } from './request-parts.js';
import { requestTables } from './request-table.js';
import type { Outcome, RequestRecord, StatementRequest } from './statement-request.js';
import type { UsageWindow } from './usage-windows.js';

export type Requests = Readonly<{
  /** Resolves once the reply is durable, or the request was rejected. */
  submit: (request: StatementRequest) => Promise<Outcome>;
  /** Runs the passes over every record that waits: a connection was freed, the feed has changed, or time has passed. */
  sweep: () => void;
  inFlight: () => number;
  /** What was served, by window; what is not durable yet is reckoned to the window named. */
  counts: (window: number) => readonly UsageWindow[];
  totals: () => Readonly<Record<string, number>>;
}>;

function recordOf(runtime: Runtime, id: number, request: StatementRequest): RequestRecord {
  const now = runtime.clock.now();
  return {
    id,
    request,
    stage: 'arrived',
    arrivedAt: now,
    deadline: identifiers.after(now, request.timeLimitMilliseconds),
    attempts: 0,
    excludedMembers: new Set(),
    target: Option.none,
    connection: Option.none,
  };
}

type Exclusive = Readonly<{ run: (action: () => void) => void }>;

/** Runs one action at a time: one that is asked for within another is replaced by a sweep after it. */
function createExclusive(sweepOnce: () => void): Exclusive {
  let working = false;
  let again = false;

  function run(action: () => void): void {
    if (working) {
      again = true;
      return;
    }
    working = true;
    action();
    while (again) {
      again = false;
      sweepOnce();
    }
    working = false;
  }

  return { run };
}

/**
 * The last look before a request is sent: the fence, and whether the connection is still of the target's epoch. Returns the record in stage
 * `sent`, rejected, or waiting on.
 */
function dispatch(exchange: ExchangeParts, record: RequestRecord): RequestRecord {
  const { parts } = exchange;
  const { runtime, known, pool, table } = parts;
  const session = requestParts.sessionOf(parts, record);
  if (Option.isNone(record.connection) || Option.isNone(record.target)) return record;
  if (Option.isSome(session) && session.value.busy()) return { ...record, connection: Option.none };
  const connection = record.connection.value;
  const target = record.target.value;
  const fenced = fenceChecks.fault(known(), runtime.clock.now(), record.request.service, target.epoch, target.choice.isLeader);
  if (Option.isSome(fenced) || connection.epoch !== target.epoch) {
    if (requestParts.isPinned(record)) requestParts.endTransaction(parts, session);
    else pool.giveBack(connection, true);
    return Option.isSome(fenced) ? table.reject(record, fenced.value) : { ...record, connection: Option.none };
  }
  if (Option.isSome(session)) session.value.setBusy(true);
  const sent: RequestRecord = { ...record, stage: 'sent', attempts: record.attempts + 1 };
  table.update(sent);
  void exchanges.run(exchange, { record: sent, connection, target, session });
  return sent;
}

function create(outer: Omit<RequestParts, 'table'>): Requests {
  const table = requestTables.create();
  const parts: RequestParts = { ...outer, table };
  const confirming = confirmations.create(parts);
  const exclusive = createExclusive(sweepOnce);
  const exchange: ExchangeParts = { parts, confirmations: confirming, retry: (record) => exclusive.run(() => process(record)), sweep };
  const pipeline = [...passes.create(parts), (record: RequestRecord) => dispatch(exchange, record)];

  function process(record: RequestRecord): void {
    let current = record;
    for (const pass of pipeline) {
      if (current.stage !== 'arrived' && current.stage !== 'waiting') return;
      current = pass(current);
    }
    // What was not sent keeps no connection and no target: both are looked up afresh at the next sweep.
    if (current.stage === 'waiting') table.update({ ...current, target: Option.none, connection: Option.none });
  }

  function sweepOnce(): void {
    confirming.settle();
    for (const record of table.waiting()) if (table.has(record.id)) process(record);
  }

  function sweep(): void {
    exclusive.run(sweepOnce);
  }

  function submit(request: StatementRequest): Promise<Outcome> {
    return new Promise(function wait(resolve) {
      const record = recordOf(parts.runtime, table.nextId(), request);
      table.register(record.id, resolve);
      exclusive.run(() => process(record));
    });
  }

  return { submit, sweep, inFlight: table.inFlight, counts: confirming.counts, totals: table.totals };
}

export const requests = { create } as const;
