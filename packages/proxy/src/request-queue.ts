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
  /** Resolves when the reply is durable or the request was rejected. */
  submit: (request: StatementRequest) => Promise<Outcome>;
  /** Runs the pipeline over all waiting records: after a connection became available, the feed changed, or time passed. */
  processWaiting: () => void;
  inFlight: () => number;
  /** Requests served, by window; replies that are not durable yet are counted in the given window. */
  counts: (window: number) => readonly UsageWindow[];
  totals: () => Readonly<Record<string, number>>;
  /** From now on nothing is sent and no reply is awaited: each request that waits gets the outcome that is known. */
  end: () => void;
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

type Serializer = Readonly<{ run: (action: () => void) => void }>;

/** Runs one action at a time: an action requested during another one is replaced by processing all waiting records afterwards. */
function createSerializer(processAll: () => void): Serializer {
  let isRunning = false;
  let isRerunRequested = false;

  function run(action: () => void): void {
    if (isRunning) {
      isRerunRequested = true;
      return;
    }
    isRunning = true;
    action();
    while (isRerunRequested) {
      isRerunRequested = false;
      processAll();
    }
    isRunning = false;
  }

  return { run };
}

/**
 * Sends a request that has a connection, after a last check that the fence is valid and that the connection belongs to the epoch of the
 * target. Returns the record in stage `sent`, rejected, or still waiting.
 */
function dispatch(execution: ExecutionContext, record: RequestRecord): RequestRecord {
  const { context } = execution;
  const { runtime, placement, pool, table } = context;
  const session = requestContext.sessionOf(context, record);
  if (Option.isNone(record.connection) || Option.isNone(record.target)) return record;
  if (Option.isSome(session) && session.value.busy()) return { ...record, connection: Option.none };
  const connection = record.connection.value;
  const target = record.target.value;
  const fenced = fenceChecks.fault(placement(), runtime.clock.now(), record.request.service, target.epoch, target.choice.isLeader);
  if (Option.isSome(fenced) || connection.epoch !== target.epoch) {
    if (requestContext.isPinned(record)) requestContext.endTransaction(context, session);
    else pool.release(connection, true);
    return Option.isSome(fenced) ? table.reject(record, fenced.value) : { ...record, connection: Option.none };
  }
  if (Option.isSome(session)) session.value.setBusy(true);
  const sent: RequestRecord = { ...record, stage: 'sent', attempts: record.attempts + 1 };
  table.update(sent);
  void requestExecution.run(execution, { record: sent, connection, target, session });
  return sent;
}

function create(outerContext: Omit<RequestContext, 'table'>): RequestQueue {
  const table = requestTables.create();
  const context: RequestContext = { ...outerContext, table };
  let isEnded = false;
  const pendingReplies = confirmations.create(context, () => isEnded);
  const serializer = createSerializer(processAll);
  const execution: ExecutionContext = {
    context,
    confirmations: pendingReplies,
    retry: (record) => serializer.run(() => process(record)),
    processWaiting,
  };
  const pipeline = [...requestPipeline.create(context, () => isEnded), (record: RequestRecord) => dispatch(execution, record)];

  function process(record: RequestRecord): void {
    let current = record;
    for (const step of pipeline) {
      if (current.stage !== 'arrived' && current.stage !== 'waiting') return;
      current = step(current);
    }
    // A record that was not sent keeps no connection and no target: both are chosen again in the next run.
    if (current.stage === 'waiting') table.update({ ...current, target: Option.none, connection: Option.none });
  }

  function processAll(): void {
    pendingReplies.resolveReady();
    for (const record of table.waiting()) if (table.has(record.id)) process(record);
  }

  function processWaiting(): void {
    serializer.run(processAll);
  }

  function submit(request: StatementRequest): Promise<Outcome> {
    return new Promise(function wait(resolve) {
      const record = recordOf(context.runtime, table.nextId(), request);
      table.register(record.id, resolve);
      serializer.run(() => process(record));
    });
  }

  function end(): void {
    isEnded = true;
    processWaiting();
  }

  return { submit, processWaiting, inFlight: table.inFlight, counts: pendingReplies.counts, totals: table.totals, end };
}

export const requestQueues = { create } as const;
