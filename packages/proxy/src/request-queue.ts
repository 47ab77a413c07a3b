/** RequestQueue wait in a table until the passes find a member and a connection for them; then they are sent (design 8.5). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Runtime } from '@stallstall/kernel';
import { confirmations } from './confirmations.js';
import { requestExecution, type ExecutionContext } from './request-execution.js';
import { fenceChecks } from './fence-check.js';
import { requestPipeline } from './request-pipeline.js';
import { requestContext, type RequestContext } from './request-context.js';
import { requestTables } from './request-table.js';
import type { Outcome, RequestRecord, StatementRequest } from './statement-request.js';
import type { UsageWindow } from './usage-windows.js';

export type RequestQueue = Readonly<{
  /** Resolves once the reply is durable, or the request was rejected. */
  submit: (request: StatementRequest) => Promise<Outcome>;
  /** Runs the passes over every record that waits: a connection was freed, the feed has changed, or time has passed. */
  processWaiting: () => void;
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

/** Runs one action at a time: one that is asked for within another is replaced by a processWaiting after it. */
function createExclusive(processAllOnce: () => void): Exclusive {
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
      processAllOnce();
    }
    working = false;
  }

  return { run };
}

/**
 * The last look before a request is sent: the fence, and whether the connection is still of the target's epoch. Returns the record in stage
 * `sent`, rejected, or waiting on.
 */
function dispatch(exchange: ExecutionContext, record: RequestRecord): RequestRecord {
  const { parts } = exchange;
  const { runtime, placement: known, pool, table } = parts;
  const session = requestContext.sessionOf(parts, record);
  if (Option.isNone(record.connection) || Option.isNone(record.target)) return record;
  if (Option.isSome(session) && session.value.busy()) return { ...record, connection: Option.none };
  const connection = record.connection.value;
  const target = record.target.value;
  const fenced = fenceChecks.fault(known(), runtime.clock.now(), record.request.service, target.epoch, target.choice.isLeader);
  if (Option.isSome(fenced) || connection.epoch !== target.epoch) {
    if (requestContext.isPinned(record)) requestContext.endTransaction(parts, session);
    else pool.release(connection, true);
    return Option.isSome(fenced) ? table.reject(record, fenced.value) : { ...record, connection: Option.none };
  }
  if (Option.isSome(session)) session.value.setBusy(true);
  const sent: RequestRecord = { ...record, stage: 'sent', attempts: record.attempts + 1 };
  table.update(sent);
  void requestExecution.run(exchange, { record: sent, connection, target, session });
  return sent;
}

function create(outer: Omit<RequestContext, 'table'>): RequestQueue {
  const table = requestTables.create();
  const parts: RequestContext = { ...outer, table };
  const confirming = confirmations.create(parts);
  const exclusive = createExclusive(processAllOnce);
  const exchange: ExecutionContext = {
    parts,
    confirmations: confirming,
    retry: (record) => exclusive.run(() => process(record)),
    processWaiting,
  };
  const pipeline = [...requestPipeline.create(parts), (record: RequestRecord) => dispatch(exchange, record)];

  function process(record: RequestRecord): void {
    let current = record;
    for (const pass of pipeline) {
      if (current.stage !== 'arrived' && current.stage !== 'waiting') return;
      current = pass(current);
    }
    // What was not sent keeps no connection and no target: both are looked up afresh at the next processWaiting.
    if (current.stage === 'waiting') table.update({ ...current, target: Option.none, connection: Option.none });
  }

  function processAllOnce(): void {
    confirming.resolveReady();
    for (const record of table.waiting()) if (table.has(record.id)) process(record);
  }

  function processWaiting(): void {
    exclusive.run(processAllOnce);
  }

  function submit(request: StatementRequest): Promise<Outcome> {
    return new Promise(function wait(resolve) {
      const record = recordOf(parts.runtime, table.nextId(), request);
      table.register(record.id, resolve);
      exclusive.run(() => process(record));
    });
  }

  return { submit, processWaiting, inFlight: table.inFlight, counts: confirming.counts, totals: table.totals };
}

export const requestQueues = { create } as const;
