/** Statements wait in a table until the passes find a member and a connection for them; then they are sent (design 8.5, 8.10). */
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
  /** Something has changed: the passes run over whoever waits. */
  processWaiting: () => void;
  inFlight: () => number;
  /** Statements sent to the leader of a service under an epoch below this one. */
  countSentBelow: (service: string, epoch: number) => number;
  totals: () => Readonly<Record<string, number>>;
}>;

/** Those that wait are looked at so often when nothing else wakes them. */
const retryMilliseconds = 20;
/** Share of the latency aim that a statement waits while nothing says that it can be placed soon. */
const waitShare = 0.24;
const minimumWaitMilliseconds = 20;
/** Share of its time limit that it waits for a connection that is being opened, or for a leader that is about to follow. */
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

/** Runs `process` over one record or over all that wait, one at a time: what frees a connection on the way asks for another sweep. */
function createScheduler(runtime: Runtime, table: RequestTable, process: (record: RequestRecord) => void): Scheduler {
  let isProcessing = false;
  let isRetryRequested = false;
  let isTimerSet = false;

  function setTimer(): void {
    if (isTimerSet) return;
    isTimerSet = true;
    runtime.clock.startTimer(retryMilliseconds, function due() {
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
      isRetryRequested = true;
      return;
    }
    isProcessing = true;
    action();
    while (isRetryRequested) {
      isRetryRequested = false;
      processAllWaiting();
    }
    isProcessing = false;
  }

  function processWaiting(): void {
    exclusively(processAllWaiting);
  }

  return { run: (record) => exclusively(() => processOne(record)), processWaiting };
}

function create(parts: RequestParts): Requests {
  const { runtime } = parts;
  const table = requestTables.create();
  const rejection = rejections.create(parts, table);
  const pipeline = routingSteps.create({ parts, table, rejection, selection: memberSelections.create(parts) });
  const scheduler = createScheduler(runtime, table, process);
  const exchange: ExecutionParts = {
    parts,
    table,
    rejection,
    times: responseTimes.create(),
    retry,
    processWaiting: scheduler.processWaiting,
  };

  function process(record: RequestRecord): void {
    let current: RequestRecord = { ...record, stage: 'arrived' };
    for (const pass of pipeline) {
      current = pass(current);
      if (current.stage !== 'arrived') break;
    }
    if (current.stage === 'arrived') dispatch(current);
    // What was not sent keeps no target: it is looked up afresh at the next sweep.
    else if (current.stage === 'waiting') table.update({ ...current, target: Option.none, connection: Option.none });
  }

  function dispatch(record: RequestRecord): void {
    if (Option.isNone(record.connection)) return;
    const sent: RequestRecord = { ...record, stage: 'sent', attempts: record.attempts + 1 };
    table.update(sent);
    void statementExecutions.run(exchange, sent, record.connection.value);
  }

  function retry(record: RequestRecord, without: readonly string[]): void {
    table.update({
      ...record,
      stage: 'waiting',
      excludedMembers: new Set([...record.excludedMembers, ...without]),
      target: Option.none,
      connection: Option.none,
      openingMember: '',
    });
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
  };
}

export const requests = { create } as const;
