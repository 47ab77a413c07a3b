// A request is a record in a table that passes are run over (design 8.5).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, identifiers, type Fault, type HttpReply, type Instant, type Kernel } from '@stallstall/kernel';
import { sheets, type Sheet, type StatementKind } from '@stallstall/sheet';
import { verdicts, type Choice, type VerdictTable } from '@stallstall/verdict';
import type { MemberConnection, Pool } from '@stallstall/pool';
import type { Notes } from './notes.js';
import type { Session, Sessions } from './sessions.js';

export type Statement = Readonly<{ text: string; parameters: readonly unknown[] }>;
export type TransactionStep = 'none' | 'begin' | 'within' | 'commit' | 'rollback';

export type Ask = Readonly<{
  service: string;
  kind: StatementKind;
  key: string;
  statements: readonly Statement[];
  transaction: TransactionStep;
  session: Option.Option<string>;
  atLeast: number;
  horizonMilliseconds: number;
}>;

export type RequestRecord = Readonly<{
  id: number;
  ask: Ask;
  stage: 'arrived' | 'waiting' | 'sent' | 'noting' | 'replied';
  arrivedAt: Instant;
  horizon: Instant;
  shots: number;
  without: ReadonlySet<string>;
  target: Option.Option<Readonly<{ choice: Choice; epoch: number }>>;
  connection: Option.Option<MemberConnection>;
}>;

export type Outcome = Either.Either<Fault, HttpReply['body']>;

/** What the feed tells, in this process's own moments (design 8.1). */
export type Known = Readonly<{
  sheet: Option.Option<Sheet>;
  version: number;
  area: string;
  table: VerdictTable;
  controlUntil: Instant;
  fences: ReadonlyMap<string, Readonly<{ epoch: number; until: Instant }>>;
  draining: boolean;
  /** A member, or this whole edge, that has been told to go so long ago that nothing more may be sent. */
  overdue: (member: string) => boolean;
}>;

/** A reply that has come and waits for its note. */
type Noting = Readonly<{
  record: RequestRecord;
  choice: Choice;
  epoch: number;
  session: Option.Option<Session>;
  number: number;
  since: Instant;
  outcome: Outcome;
}>;

/** What a member says of a statement that it ran; anything else of status 200 is no reply at all. */
type Told = Readonly<{ results: readonly unknown[]; position: number }>;

export type Requests = Readonly<{
  ask: (ask: Ask) => Promise<Outcome>;
  /** Runs the passes over every record; called when a connection is freed, the feed changes, or time has passed. */
  sweep: () => void;
  inFlight: () => number;
  /** What was served, by window; what waits for its note is reckoned to the window named. */
  counts: (window: number) => ReadonlyArray<Readonly<{ window: number; counts: Readonly<Record<string, number>> }>>;
  totals: () => Readonly<Record<string, number>>;
}>;

const mostShots = 3;
const windowsKept = 4;
const retryAfterSeconds = 1;

function outcomeUnknown(message: string): Fault {
  return fault.create({
    kind: 'outcome-unknown',
    message,
    remedy: 'read back whether it took effect before asking again',
    retryAfterSeconds,
  });
}

function bodyOf(reply: HttpReply): Readonly<Record<string, unknown>> {
  return typeof reply.body === 'object' && reply.body !== null ? (reply.body as Record<string, unknown>) : {};
}

function isPosition(value: unknown): value is number {
  return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;
}

function toldOf(reply: HttpReply): Option.Option<Told> {
  const { results, position } = bodyOf(reply);
  return reply.status === 200 && Array.isArray(results) && isPosition(position) ? Option.some({ results, position }) : Option.none;
}

/** A member's own denial is 409 or 503 with a text and its position: then nothing was kept (design 8.2). Whatever else came is not certain. */
function isDenial(reply: HttpReply): boolean {
  const { message, position } = bodyOf(reply);
  return (reply.status === 409 || reply.status === 503) && typeof message === 'string' && isPosition(position);
}

function create(kernel: Kernel, known: () => Known, pool: Pool, sessions: Sessions, notes: Notes): Requests {
  const table = new Map<number, RequestRecord>();
  const repliers = new Map<number, (outcome: Outcome) => void>();
  const noting = new Map<number, Noting>();
  const usage = new Map<number, Map<string, number>>();
  const totals = new Map<string, number>();
  let lastId = 0;
  let working = false;
  let again = false;

  function count(name: string, by = 1): void {
    totals.set(name, (totals.get(name) ?? 0) + by);
  }

  function reply(record: RequestRecord, outcome: Outcome): RequestRecord {
    const replier = repliers.get(record.id);
    repliers.delete(record.id);
    table.delete(record.id);
    count(Either.isRight(outcome) ? 'served' : fault.kind(outcome.left));
    replier?.(outcome);
    return { ...record, stage: 'replied' };
  }

  function deny(record: RequestRecord, error: Fault): RequestRecord {
    return reply(record, Either.left(error));
  }

  function sessionOf(record: RequestRecord): Option.Option<Session> {
    return Option.isSome(record.ask.session) ? sessions.find(record.ask.session.value) : Option.none;
  }

  /** The local epoch-and-fence check of the ordinary path: two comparisons (design 7.3). */
  function fenceFault(service: string, epoch: number, leader: boolean): Option.Option<Fault> {
    const now = kernel.clock.now();
    const current = known();
    if (current.controlUntil <= now) {
      return Option.some(
        fault.create({
          kind: 'stale-configuration',
          message: 'this edge has not heard from a majority of cores within its term',
          remedy: 'try another edge, or again shortly',
          retryAfterSeconds,
        }),
      );
    }
    const fence = current.fences.get(service);
    if (leader && (fence === undefined || fence.epoch !== epoch || fence.until <= now)) {
      return Option.some(
        fault.create({
          kind: 'read-only',
          message: `READONLY: this edge is fenced for ${service}`,
          remedy: 'try another edge, or again when it sees a majority',
          retryAfterSeconds,
        }),
      );
    }
    return Option.none;
  }

  // -- The passes, in their order. Each takes a record and returns what became of it.

  function expire(record: RequestRecord): RequestRecord {
    if (kernel.clock.now() < record.horizon) return record;
    if (record.stage === 'sent') return record;
    return deny(
      record,
      fault.create({
        kind: 'given-up',
        message: 'no connection to a fitting member came free in time; nothing was sent',
        remedy: 'try again later',
        retryAfterSeconds,
      }),
    );
  }

  function letIn(record: RequestRecord): RequestRecord {
    const { ask } = record;
    const current = known();
    const stale = fenceFault(ask.service, 0, false);
    if (Option.isSome(stale)) return deny(record, stale.value);
    if (Option.isNone(current.sheet) || sheets.service(current.sheet.value, ask.service) === undefined) {
      return deny(
        record,
        fault.create({ kind: 'not-found', message: `no sheet names a service ${ask.service}`, remedy: 'check the name' }),
      );
    }
    if (!sheets.allows(current.sheet.value, ask.key, ask.service, ask.kind)) {
      return deny(
        record,
        fault.create({
          kind: 'key-denied',
          message: `this key may not send ${ask.kind} to ${ask.service}`,
          remedy: 'ask the operators for a key that may',
        }),
      );
    }
    if (record.stage !== 'arrived') return record;
    if (current.draining && (ask.transaction === 'none' || ask.transaction === 'begin')) {
      return deny(
        record,
        fault.create({ kind: 'draining', message: 'this edge is draining', remedy: 'send it to another edge', retryAfterSeconds }),
      );
    }
    const row = sheets.row(current.sheet.value, ask.service, current.area);
    let waiting = 0;
    for (const other of table.values()) if (other.stage === 'waiting' && other.ask.service === ask.service) waiting += 1;
    if (row !== undefined && waiting >= row.mostWaiting) {
      return deny(
        record,
        fault.create({
          kind: 'overloaded',
          message: `${waiting} requests for ${ask.service} wait here already`,
          remedy: 'try again later',
          retryAfterSeconds,
        }),
      );
    }
    return { ...record, stage: 'waiting' };
  }

  function judge(record: RequestRecord): RequestRecord {
    const { ask } = record;
    if (isPinned(record)) return judgePinned(record);
    const session = sessionOf(record);
    const atLeast = ask.kind === 'own-read' ? Math.max(ask.atLeast, Option.isSome(session) ? session.value.lastCommit(ask.service) : 0) : 0;
    let without = record.without;
    for (;;) {
      const judged = verdicts.judge(
        known().table,
        ask.service,
        ask.kind,
        kernel.clock.now(),
        kernel.randomness.fraction(),
        atLeast,
        without,
      );
      if (Either.isLeft(judged)) return deny(record, judged.left);
      if (!pool.unreachable(judged.right.choice.member)) return { ...record, target: Option.some(judged.right) };
      without = new Set([...without, judged.right.choice.member]);
    }
  }

  /** A statement of an open transaction goes where the transaction is, or nowhere. */
  function judgePinned(record: RequestRecord): RequestRecord {
    const session = sessionOf(record);
    const pinned = Option.isSome(session) ? session.value.pinned() : Option.none;
    if (Option.isSome(pinned) && known().overdue(pinned.value.choice.member)) {
      endTransaction(session);
      return deny(
        record,
        fault.create({
          kind: 'transaction-ended',
          message: `${pinned.value.choice.member} or this edge is to go and waits no longer; nothing of the transaction was kept`,
          remedy: 'begin it again from its first statement',
          retryAfterSeconds,
        }),
      );
    }
    if (Option.isNone(pinned)) {
      return deny(
        record,
        fault.create({
          kind: 'transaction-ended',
          message: 'no transaction is open in this session; nothing of it was kept',
          remedy: 'begin it again from its first statement',
          retryAfterSeconds,
        }),
      );
    }
    return {
      ...record,
      target: Option.some({ choice: pinned.value.choice, epoch: pinned.value.connection.epoch }),
      connection: Option.some(pinned.value.connection),
    };
  }

  function place(record: RequestRecord): RequestRecord {
    const session = sessionOf(record);
    if (Option.isSome(session) && session.value.busy()) return record;
    if (Option.isNone(record.target)) return record;
    // While the agent is away nothing could be noted, so nothing is sent: it waits, or the term runs out.
    if (!notes.sound()) return { ...record, connection: Option.none };
    if (Option.isSome(record.connection)) return record;
    return { ...record, connection: pool.take(record.target.value.choice.member) };
  }

  function dispatch(record: RequestRecord): RequestRecord {
    const session = sessionOf(record);
    if (Option.isNone(record.connection) || Option.isNone(record.target)) return record;
    if (Option.isSome(session) && session.value.busy()) return { ...record, connection: Option.none };
    const { choice, epoch } = record.target.value;
    const fenced = fenceFault(record.ask.service, epoch, choice.leader);
    if (Option.isSome(fenced) || record.connection.value.epoch !== epoch) {
      if (!isPinned(record)) pool.giveBack(record.connection.value, true);
      else endTransaction(session);
      return Option.isSome(fenced) ? deny(record, fenced.value) : { ...record, connection: Option.none };
    }
    if (Option.isSome(session)) session.value.setBusy(true);
    const sent: RequestRecord = { ...record, stage: 'sent', shots: record.shots + 1 };
    table.set(record.id, sent);
    void exchange(sent, record.connection.value, choice, epoch, session);
    return sent;
  }

  const passes = [expire, letIn, judge, place, dispatch] as const;

  /** One sweep or one record at a time: what frees a connection on the way asks for another sweep, not for one inside. */
  function alone(action: () => void): void {
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

  function run(record: RequestRecord): void {
    let current = record;
    for (const pass of passes) {
      if (current.stage !== 'arrived' && current.stage !== 'waiting') return;
      current = pass(current);
    }
    // What was not sent keeps no connection and no verdict: both are looked up afresh at the next sweep.
    if (current.stage === 'waiting') {
      table.set(current.id, { ...current, target: Option.none, connection: Option.none });
    }
  }

  function sweepOnce(): void {
    for (const one of [...noting.values()]) finish(one);
    for (const record of [...table.values()]) if (record.stage === 'waiting' && table.has(record.id)) run(record);
  }

  function sweep(): void {
    alone(sweepOnce);
  }

  // -- After the passes: one task carries the exchange and settles it.

  function isPinned(record: RequestRecord): boolean {
    return record.ask.transaction === 'within' || record.ask.transaction === 'commit' || record.ask.transaction === 'rollback';
  }

  function endTransaction(session: Option.Option<Session>): void {
    if (Option.isNone(session)) return;
    const pinned = session.value.pinned();
    if (Option.isNone(pinned)) return;
    session.value.unpin();
    pool.giveBack(pinned.value.connection, false);
  }

  async function exchange(
    record: RequestRecord,
    connection: MemberConnection,
    choice: Choice,
    epoch: number,
    session: Option.Option<Session>,
  ): Promise<void> {
    const { ask } = record;
    const sentAt = kernel.clock.now();
    count('exchanges');
    count('waitMilliseconds', sentAt - record.arrivedAt);
    const left = Math.max(1, record.horizon - sentAt);
    const result = await connection.exchange(
      {
        method: 'POST',
        path: '/run',
        body: {
          readOnly: ask.kind !== 'write',
          transaction: ask.transaction,
          // The member forgets what an earlier session left on this connection before anything runs (design 8.2).
          reset: !isPinned(record),
          values: Option.isSome(session) ? session.value.values() : {},
          shapes: Option.isSome(session) ? session.value.shapes() : {},
          statements: ask.statements,
        },
      },
      left,
    );
    count('exchangeMilliseconds', kernel.clock.now() - sentAt);
    if (Option.isSome(session)) session.value.setBusy(false);
    settle(record, connection, choice, epoch, session, result);
    // Its key may have been withdrawn while the statement was under way (design 6.4).
    if (Option.isSome(session) && session.value.ended()) endTransaction(session);
    sweep();
  }

  function settle(
    record: RequestRecord,
    connection: MemberConnection,
    choice: Choice,
    epoch: number,
    session: Option.Option<Session>,
    result: Either.Either<Fault, HttpReply>,
  ): void {
    if (Either.isLeft(result)) return settleLost(record, connection, choice, session, result.left);
    const told = toldOf(result.right);
    if (Option.isSome(told)) return settleSound(record, connection, choice, epoch, session, told.value);
    if (isDenial(result.right)) return settleDenied(record, connection, session, result.right);
    settleLost(
      record,
      connection,
      choice,
      session,
      fault.create({
        kind: 'reply-lost',
        message: `${choice.member} answered ${result.right.status} with nothing that can be read`,
        remedy: 'see what stands between this edge and the member',
      }),
    );
  }

  function commits(record: RequestRecord): boolean {
    return record.ask.kind === 'write' && (record.ask.transaction === 'none' || record.ask.transaction === 'commit');
  }

  function settleLost(
    record: RequestRecord,
    connection: MemberConnection,
    choice: Choice,
    session: Option.Option<Session>,
    error: Fault,
  ): void {
    if (isPinned(record)) endTransaction(session);
    else pool.giveBack(connection, false);
    const nothingLeft = fault.kind(error) === 'unreachable';
    if (commits(record) && !nothingLeft) {
      deny(record, outcomeUnknown(`the reply of ${choice.member} was lost`));
      return;
    }
    if (isPinned(record) || record.ask.transaction === 'begin') {
      deny(
        record,
        fault.create({
          kind: 'transaction-ended',
          message: `the connection to ${choice.member} broke; nothing of the transaction was kept`,
          remedy: 'begin it again from its first statement',
          retryAfterSeconds,
        }),
      );
      return;
    }
    if (record.shots >= mostShots || kernel.clock.now() >= record.horizon) {
      deny(
        record,
        fault.create({
          kind: 'given-up',
          message: `${record.shots} shots at ${record.ask.kind} failed; nothing was kept`,
          remedy: 'try again later',
          retryAfterSeconds,
        }),
      );
      return;
    }
    const without = new Set([...record.without, ...(choice.leader ? [] : [choice.member])]);
    alone(() => run({ ...record, stage: 'waiting', without, target: Option.none, connection: Option.none }));
  }

  /** The member itself said no: nothing was kept, and an open transaction is over. */
  function settleDenied(record: RequestRecord, connection: MemberConnection, session: Option.Option<Session>, reply: HttpReply): void {
    const { status } = reply;
    if (isPinned(record)) endTransaction(session);
    else pool.giveBack(connection, status === 409);
    deny(
      record,
      fault.create({
        kind: status === 503 ? 'read-only' : 'statement-denied',
        message: `the member denied it: ${String(bodyOf(reply)['message']).slice(0, 300)}`,
        remedy: status === 503 ? 'try again shortly' : 'mend the statement',
        ...(status === 503 ? { retryAfterSeconds } : {}),
      }),
    );
  }

  function settleSound(
    record: RequestRecord,
    connection: MemberConnection,
    choice: Choice,
    epoch: number,
    session: Option.Option<Session>,
    told: Told,
  ): void {
    const { ask } = record;
    const { position, results } = told;
    if (ask.transaction === 'begin' && Option.isSome(session)) {
      if (session.value.ended()) {
        pool.giveBack(connection, false);
        deny(
          record,
          fault.create({
            kind: 'session-lost',
            message: 'the session was closed meanwhile; nothing was kept',
            remedy: 'open another session',
          }),
        );
        return;
      }
      session.value.pin({ connection, choice });
    } else if (isPinned(record)) {
      if (ask.transaction !== 'within' && Option.isSome(session)) {
        session.value.unpin();
        pool.giveBack(connection, true);
      }
    } else pool.giveBack(connection, true);
    if (commits(record) && Option.isSome(session)) session.value.committed(ask.service, position);
    const waits: Noting = {
      record: { ...record, stage: 'noting' },
      choice,
      epoch,
      session,
      since: kernel.clock.now(),
      number: notes.next(),
      outcome: Either.right({ results, position, member: choice.member, verdict: choice.here ? 'run' : 'relay' }),
    };
    // Counted first, so that the telling which lets it go holds it.
    noting.set(record.id, waits);
    table.set(record.id, waits.record);
    notes.note(ask.service, choice.leader ? Option.some({ epoch, position }) : Option.none);
  }

  /**
   * The reply leaves once it is noted how far it reaches (design 7.5) and that it was served (design 8.6), and after the second
   * check: what a fenced edge was told by an older primary is not passed on (7.3). What cannot come any more is not waited for.
   */
  function finish(waits: Noting): void {
    const { record, choice, epoch, session, number, outcome } = waits;
    const fenced = fenceFault(record.ask.service, epoch, choice.leader);
    const late = kernel.clock.now() >= record.horizon;
    if (Option.isNone(fenced) && !late && !notes.noted(number)) return;
    noting.delete(record.id);
    if (Option.isNone(fenced) && notes.noted(number)) {
      countUsage(record.ask.service, notes.window());
      count('notingMilliseconds', kernel.clock.now() - waits.since);
      reply(record, outcome);
      return;
    }
    if (record.ask.transaction === 'begin' || record.ask.transaction === 'within') endTransaction(session);
    if (commits(record))
      deny(
        record,
        outcomeUnknown(
          Option.isSome(fenced)
            ? 'this edge was fenced before the reply could be passed on'
            : 'the cores did not note in time how far it reaches',
        ),
      );
    else
      deny(
        record,
        Option.isSome(fenced)
          ? fenced.value
          : fault.create({
              kind: 'given-up',
              message: 'the cores did not note in time what was read',
              remedy: 'try again shortly',
              retryAfterSeconds,
            }),
      );
  }

  function countUsage(service: string, window: number): void {
    const counts = usage.get(window) ?? new Map<string, number>();
    usage.set(window, counts);
    counts.set(service, (counts.get(service) ?? 0) + 1);
    for (const old of usage.keys()) if (old <= window - windowsKept) usage.delete(old);
  }

  function counts(window: number): ReadonlyArray<Readonly<{ window: number; counts: Readonly<Record<string, number>> }>> {
    const all = new Map([...usage].map(([known, services]) => [known, new Map(services)]));
    const current = all.get(window) ?? new Map<string, number>();
    all.set(window, current);
    for (const { record } of noting.values()) current.set(record.ask.service, (current.get(record.ask.service) ?? 0) + 1);
    return [...all].map(([known, services]) => ({ window: known, counts: Object.fromEntries(services) }));
  }

  function ask(asked: Ask): Promise<Outcome> {
    return new Promise(function wait(resolve) {
      lastId += 1;
      repliers.set(lastId, resolve);
      const record: RequestRecord = {
        id: lastId,
        ask: asked,
        stage: 'arrived',
        arrivedAt: kernel.clock.now(),
        horizon: identifiers.after(kernel.clock.now(), asked.horizonMilliseconds),
        shots: 0,
        without: new Set(),
        target: Option.none,
        connection: Option.none,
      };
      alone(() => run(record));
    });
  }

  return {
    ask,
    sweep,
    inFlight: () => repliers.size,
    counts,
    totals: () => Object.fromEntries([...totals].map(([name, total]) => [name, Math.round(total)])),
  };
}

export const requests = { create } as const;
