/** Queues statements until the routing steps find a member and a connection for them, then sends them (design 8.5, 8.10). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Runtime } from '@stallstall/kernel';
import type { StatementReply } from '@stallstall/session-protocol';
import { statementExecutions, type ExecutionParts } from './statement-execution.js';
import { routingSteps } from './routing-steps.js';
import { memberSelections } from './member-selection.js';
import { rejections } from './rejection.js';
import type { RequestParts } from './request-parts.js';
import { requestTables, type RequestTable } from './request-table.js';
import { responseTimes } from './response-times.js';
import type { RequestRecord, StatementRequest } from './statement-request.js';

export type Requests = Readonly<{
  /** Resolves once a member has replied, or the statement was rejected. */
  submit: (request: StatementRequest) => Promise<StatementReply>;
  /** Routes all waiting statements again; called when a connection, a lease or the placement has changed. */
  processWaiting: () => void;
  inFlight: () => number;
  /** Number of statements in flight to the leader of a service under an epoch below the given one. */
  countSentBelow: (service: string, epoch: number) => number;
  totals: () => Readonly<Record<string, number>>;
  /** From now on no statement is sent: each waiting or new one is rejected with a promise that nothing of it is kept. */
  end: () => void;
  hasEnded: () => boolean;
}>;

/** Interval at which waiting statements are routed again when nothing else triggers it. */
const retryMilliseconds = 20;
/** Share of the target latency that a statement waits when no leader or connection is expected soon. */
const waitShare = 0.24;
const minimumWaitMilliseconds = 20;
/** Share of the time limit that a statement waits for a connection being opened or for an expected new leader. */
const extendedWaitShare = 0.2;

function recordOf(runtime: Runtime, id: number, request: StatementRequest): RequestRecord {
  const now = runtime.clock.now();
  const { aimMilliseconds, horizonMilliseconds } = request.database;
  return {
    id,
    request,
    stage: 'waiting',
    arrivedAt: now,
    startedAt: Option.isSome(request.transaction) ? request.transaction.value.startedAt : now,
    deadline: identifiers.after(now, horizonMilliseconds),
    waitUntil: identifiers.after(now, Math.max(minimumWaitMilliseconds, aimMilliseconds * waitShare)),
    extendedWaitUntil: identifiers.after(now, horizonMilliseconds * extendedWaitShare),
    attempts: 0,
    excludedMembers: new Set(),
    openingMember: '',
    target: Option.none,
    connection: Option.none,
  };
}

type Scheduler = Readonly<{ run: (record: RequestRecord) => void; processWaiting: () => void }>;

/**
 * Runs `process` for one record or for all waiting ones, never nested: a call made meanwhile, such as for a released connection, starts
 * another run afterwards.
 */
function createScheduler(runtime: Runtime, table: RequestTable, process: (record: RequestRecord) => void): Scheduler {
  let isProcessing = false;
  let isRerunRequested = false;
  let isTimerSet = false;

  function setTimer(): void {
    if (isTimerSet) return;
    isTimerSet = true;
    runtime.clock.startTimer(retryMilliseconds, function onTimer() {
      isTimerSet = false;
      processWaiting();
    });
  }

  function processOne(record: RequestRecord): void {
    process(record);
    if (table.isWaiting(record.id)) setTimer();
  }

  function processAllWaiting(): void {
    for (const record of table.waiting()) if (table.isWaiting(record.id)) processOne(record);
  }

  function exclusively(action: () => void): void {
    if (isProcessing) {
      isRerunRequested = true;
      return;
    }
    isProcessing = true;
    action();
    while (isRerunRequested) {
      isRerunRequested = false;
      processAllWaiting();
    }
    isProcessing = false;
  }

  function processWaiting(): void {
    exclusively(processAllWaiting);
  }

  return { run: (record) => exclusively(() => processOne(record)), processWaiting };
}

function dispatch(execution: ExecutionParts, record: RequestRecord): void {
  if (Option.isNone(record.connection)) return;
  const sent: RequestRecord = { ...record, stage: 'sent', attempts: record.attempts + 1 };
  execution.table.update(sent);
  void statementExecutions.run(execution, sent, record.connection.value);
}

function create(parts: RequestParts): Requests {
  const { runtime } = parts;
  const table = requestTables.create();
  const rejection = rejections.create(parts, table);
  let isEnded = false;
  const steps = routingSteps.create({ parts, table, rejection, selection: memberSelections.create(parts), hasEnded: () => isEnded });
  const scheduler = createScheduler(runtime, table, process);
  const execution: ExecutionParts = {
    parts,
    table,
    rejection,
    times: responseTimes.create(),
    retry,
    processWaiting: scheduler.processWaiting,
  };

  function process(record: RequestRecord): void {
    let current: RequestRecord = { ...record, stage: 'routing' };
    for (const step of steps) {
      current = step(current);
      if (current.stage !== 'routing') break;
    }
    if (current.stage === 'routing') dispatch(execution, current);
    // A waiting record keeps no target: it is selected again at the next attempt.
    else if (current.stage === 'waiting') table.update({ ...current, target: Option.none, connection: Option.none });
  }

  function retry(record: RequestRecord, excluded: readonly string[]): void {
    table.update({
      ...record,
      stage: 'waiting',
      excludedMembers: new Set([...record.excludedMembers, ...excluded]),
      target: Option.none,
      connection: Option.none,
      openingMember: '',
    });
    scheduler.processWaiting();
  }

  function end(): void {
    isEnded = true;
    scheduler.processWaiting();
  }

  function submit(request: StatementRequest): Promise<StatementReply> {
    return new Promise(function wait(resolve) {
      const record = recordOf(runtime, table.nextId(), request);
      table.add(record, resolve);
      scheduler.run(record);
    });
  }

  return {
    submit,
    processWaiting: scheduler.processWaiting,
    inFlight: table.inFlight,
    countSentBelow: table.countSentBelow,
    totals: table.totals,
    end,
    hasEnded: () => isEnded,
  };
}

export const requests = { create } as const;
