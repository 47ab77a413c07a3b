/** Statements wait in a table until the passes find a member and a connection for them; then they are sent (design 8.5, 8.10). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Runtime } from '@stallstall/kernel';
import type { StatementReply } from '@stallstall/session-protocol';
import { exchanges, type ExchangeParts } from './exchange.js';
import { passes } from './passes.js';
import { placements } from './placement.js';
import { rejections } from './rejection.js';
import type { RequestParts } from './request-parts.js';
import { requestTables, type RequestTable } from './request-table.js';
import { responseTimes } from './response-times.js';
import type { RequestRecord, StatementRequest } from './statement-request.js';

export type Requests = Readonly<{
  /** Resolves once a member has replied, or the statement was rejected. */
  submit: (request: StatementRequest) => Promise<StatementReply>;
  /** Something has changed: the passes run over whoever waits. */
  sweep: () => void;
  inFlight: () => number;
  /** Statements sent to the leader of a service under an epoch below this one. */
  sentBelow: (service: string, epoch: number) => number;
  totals: () => Readonly<Record<string, number>>;
}>;

/** Those that wait are looked at so often when nothing else wakes them. */
const sweepMilliseconds = 20;
/** Share of the latency aim that a statement waits while nothing says that it can be placed soon. */
const holdShare = 0.24;
const leastHoldMilliseconds = 20;
/** Share of its time limit that it waits for a connection that is being opened, or for a leader that is about to follow. */
const patientShare = 0.2;

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
    holdUntil: identifiers.after(now, Math.max(leastHoldMilliseconds, aimMilliseconds * holdShare)),
    patientUntil: identifiers.after(now, horizonMilliseconds * patientShare),
    attempts: 0,
    excludedMembers: new Set(),
    openingMember: '',
    target: Option.none,
    connection: Option.none,
  };
}

type Scheduler = Readonly<{ run: (record: RequestRecord) => void; sweep: () => void }>;

/** Runs `process` over one record or over all that wait, one at a time: what frees a connection on the way asks for another sweep. */
function createScheduler(runtime: Runtime, table: RequestTable, process: (record: RequestRecord) => void): Scheduler {
  let working = false;
  let sweepAgain = false;
  let timerSet = false;

  function setTimer(): void {
    if (timerSet) return;
    timerSet = true;
    runtime.clock.startTimer(sweepMilliseconds, function due() {
      timerSet = false;
      sweep();
    });
  }

  function processOne(record: RequestRecord): void {
    process(record);
    if (table.isWaiting(record.id)) setTimer();
  }

  function sweepOnce(): void {
    for (const record of table.waiting()) if (table.isWaiting(record.id)) processOne(record);
  }

  function exclusively(action: () => void): void {
    if (working) {
      sweepAgain = true;
      return;
    }
    working = true;
    action();
    while (sweepAgain) {
      sweepAgain = false;
      sweepOnce();
    }
    working = false;
  }

  function sweep(): void {
    exclusively(sweepOnce);
  }

  return { run: (record) => exclusively(() => processOne(record)), sweep };
}

function create(parts: RequestParts): Requests {
  const { runtime } = parts;
  const table = requestTables.create();
  const rejection = rejections.create(parts, table);
  const pipeline = passes.create({ parts, table, rejection, placement: placements.create(parts) });
  const scheduler = createScheduler(runtime, table, process);
  const exchange: ExchangeParts = { parts, table, rejection, times: responseTimes.create(), retry, sweep: scheduler.sweep };

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
    void exchanges.run(exchange, sent, record.connection.value);
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
    scheduler.sweep();
  }

  function submit(request: StatementRequest): Promise<StatementReply> {
    return new Promise(function wait(resolve) {
      const record = recordOf(runtime, table.nextId(), request);
      table.add(record, resolve);
      scheduler.run(record);
    });
  }

  return { submit, sweep: scheduler.sweep, inFlight: table.inFlight, sentBelow: table.sentBelow, totals: table.totals };
}

export const requests = { create } as const;
