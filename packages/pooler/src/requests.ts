// A statement is a record in a table that passes run over: expire, let in, judge, place, dispatch (design 8.5, 8.10).
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Instant, type Kernel } from '@stallstall/kernel';
import type { RosterEntry } from '@stallstall/message';
import type { SheetDatabase } from '@stallstall/sheet';
import { positions, type Condition, type Dialect, type MemberPlace, type Position, type StatementReply } from '@stallstall/statement';
import type { Connections, PooledLine } from './connections.js';
import type { Copies } from './copies.js';
import type { Freshness } from './freshness.js';
import { sessions, type Prepared, type Session, type Transaction } from './sessions.js';
import type { Usage } from './usage.js';
import type { View } from './view.js';

export type Ask = Readonly<{
  session: Session;
  identifier: string;
  text: string;
  /** A prepared shape to be run, and what follows its name. */
  prepared: Option.Option<Readonly<{ shape: Prepared; rest: string }>>;
  writes: boolean;
  commit: boolean;
  transaction: Option.Option<Transaction>;
  database: SheetDatabase;
  tenant: string;
  /** Read for a copy, not for a sender: nobody's usage (design 8.13). */
  copying: boolean;
}>;

type Target = Readonly<{ place: MemberPlace; epoch: number; leader: boolean; since: Option.Option<Position> }>;

type RequestRecord = Readonly<{
  id: number;
  ask: Ask;
  stage: 'arrived' | 'waiting' | 'sent' | 'done';
  arrivedAt: Instant;
  /** The first byte of the statement or of its transaction: what had been acknowledged before it must be seen. */
  startedAt: Instant;
  horizon: Instant;
  /** Until then it may wait without having been offered to a member: the first for what is not known to pass soon, the second for what is. */
  holdUntil: Instant;
  patientUntil: Instant;
  shots: number;
  without: ReadonlySet<string>;
  /** The member a connection was asked to be opened to on its behalf. */
  wanted: string;
  target: Option.Option<Target>;
  connection: Option.Option<PooledLine>;
}>;

export type Requests = Readonly<{
  ask: (asked: Ask) => Promise<StatementReply>;
  /** Something has changed: whoever waits is looked at again. */
  sweep: () => void;
  inFlight: () => number;
  /** Statements and open transactions on a leader of a service at an epoch below this one. */
  underWay: (service: string, below: number) => number;
  totals: () => Readonly<Record<string, number>>;
}>;

const mostShots = 3;
const sweepMilliseconds = 20;
/** What is left of the allowance for the statement to reach its member and be read there. */
const stalenessMarginMilliseconds = 150;
/** Share of the aim that a statement may wait without having been offered to a member, while nothing says that it will be soon. */
const holdShare = 0.24;
/** Share of its time that it may wait for a connection that is being opened, or for a leader that is about to follow. */
const patientShare = 0.2;
/** So long a planned change of leader is taken for about to end. */
const changeMilliseconds = 2_000;
/** A process that has just begun will know its leaders soon. */
const beginningMilliseconds = 1_500;
const leastHoldMilliseconds = 20;
/** A draining member takes nothing new for longer than this after the news (design 7.9). */
const drainMilliseconds = 4_500;
/** A reply is not taken for lost before this. */
const leastPatienceMilliseconds = 60;
/** How a member far away weighs against one in this area, in statements under way. */
const farWeight = 3;
const leaderWeight = 1;

function create(
  kernel: Kernel,
  dialect: Dialect,
  view: () => View,
  connections: Connections,
  freshness: Freshness,
  usage: Usage,
  copies: Copies,
): Requests {
  const table = new Map<number, RequestRecord>();
  const repliers = new Map<number, (reply: StatementReply) => void>();
  const totals = new Map<string, number>();
  const beganAt = kernel.clock.now();
  const changes = new Map<string, Readonly<{ release: number; since: Instant }>>();
  let lastId = 0;
  let working = false;
  let again = false;
  let alarmed = false;

  function count(name: string): void {
    totals.set(name, (totals.get(name) ?? 0) + 1);
  }

  function reply(record: RequestRecord, replied: StatementReply): RequestRecord {
    const resolve = repliers.get(record.id);
    table.delete(record.id);
    repliers.delete(record.id);
    resolve?.(replied);
    return { ...record, stage: 'done' };
  }

  /** Within a transaction a denial ends it: what was open on a member is rolled back there. */
  function deny(record: RequestRecord, condition: Condition, text: string): RequestRecord {
    count(`denied.${condition}`);
    if (Option.isSome(record.ask.transaction)) abandon(record.ask.transaction.value);
    return reply(record, { rows: [], ending: { kind: 'fault', condition, text }, stance: 'idle', position: Option.none });
  }

  /** No member can be reached for it: within an announced outage a read is replied from the copy made for it, if there is one (design 8.13). */
  function denyUnplaced(record: RequestRecord, condition: Condition, text: string): RequestRecord {
    if (record.ask.copying || !copies.open(record.ask)) return deny(record, condition, text);
    const copied = copies.reply(record.ask);
    count(Option.isSome(copied) ? 'copy.served' : 'copy.missed');
    return Option.isSome(copied) ? reply(record, copied.value) : deny(record, condition, text);
  }

  function abandon(transaction: Transaction): void {
    transaction.failed = true;
    if (Option.isNone(transaction.held)) return;
    const { pooled } = transaction.held.value;
    transaction.held = Option.none;
    connections.giveBack(pooled, false);
  }

  // -- The passes.

  function expire(record: RequestRecord): RequestRecord {
    if (kernel.clock.now() < record.horizon) return record;
    return deny(record, 'aborted', 'it did not run in its time; begin it again');
  }

  /** Keys and databases may be withdrawn while a statement waits; an open transaction keeps what it began with (design 6.4). */
  function letIn(record: RequestRecord): RequestRecord {
    if (Option.isSome(record.ask.transaction)) return record;
    const known = view();
    const database = known.databases.get(record.ask.session.database);
    if (database === undefined) return deny(record, 'no-database', 'there is no such database');
    if (!database.open && known.tenants.get(record.ask.session.who)?.tenant !== record.ask.tenant)
      return deny(record, 'denied', 'the key is not known');
    // Moved, or with other bounds: what waits goes where the newest configuration sends it.
    return database === record.ask.database ? record : { ...record, ask: { ...record.ask, database } };
  }

  function retryText(milliseconds: number): string {
    return `not run; come back in ${milliseconds} ms`;
  }

  function isDrained(entry: RosterEntry): boolean {
    const since = view().drainingSince.get(entry.member);
    return since !== undefined && kernel.clock.now() - since > drainMilliseconds;
  }

  function placeOf(entry: RosterEntry): MemberPlace {
    return { service: entry.service, member: entry.member, address: entry.address };
  }

  function leaderTarget(service: string): Option.Option<Target> {
    const known = view();
    const leader = known.leaders.get(service);
    if (leader === undefined || leader.epoch === 0 || leader.release > leader.epoch || kernel.clock.now() >= leader.until)
      return Option.none;
    const entry = known.members.get(leader.primary);
    if (entry === undefined || isDrained(entry)) return Option.none;
    return Option.some({ place: placeOf(entry), epoch: leader.epoch, leader: true, since: Option.none });
  }

  function cost(entry: RosterEntry, primary: string, area: string): number {
    return (
      connections.busy(entry.member) +
      (entry.area === area ? 0 : farWeight) +
      (entry.member === primary ? leaderWeight : 0) +
      kernel.randomness.fraction() / 2
    );
  }

  /** A read of bounded age goes to whoever can show that it holds all that was acknowledged before the bound; else to the leader. */
  function readTarget(record: RequestRecord): Option.Option<Target> {
    const { database, session } = record.ask;
    const known = view();
    const bound = identifiers.after(record.startedAt, -Math.max(0, database.staleMilliseconds - stalenessMarginMilliseconds));
    const covering = database.staleMilliseconds > stalenessMarginMilliseconds ? freshness.covering(database.service, bound) : Option.none;
    const own = database.reads === 'own' ? Option.fromNullable(session.commits.get(database.service)) : Option.none;
    if (Option.isNone(covering)) return leaderTarget(database.service);
    const since = Option.isSome(own) ? positions.later(covering.value, own.value) : covering.value;
    const primary = known.leaders.get(database.service)?.primary ?? '';
    const able = (known.byService.get(database.service) ?? []).filter(
      (entry) => !entry.draining && !entry.down && !record.without.has(entry.member) && !connections.failing(entry.member),
    );
    const [best] = able.map((entry) => ({ entry, cost: cost(entry, primary, known.area) })).sort((left, right) => left.cost - right.cost);
    if (best === undefined) return leaderTarget(database.service);
    return Option.some({ place: placeOf(best.entry), epoch: 0, leader: false, since: Option.some(since) });
  }

  function needsLeader(ask: Ask): boolean {
    if (ask.database.reads === 'leader') return true;
    return Option.isSome(ask.transaction) ? !ask.transaction.value.readOnly : ask.writes;
  }

  function judge(record: RequestRecord): RequestRecord {
    const { transaction } = record.ask;
    if (Option.isSome(transaction) && Option.isSome(transaction.value.held)) return record;
    const target = needsLeader(record.ask) ? leaderTarget(record.ask.database.service) : readTarget(record);
    if (Option.isSome(target)) return { ...record, target };
    if (kernel.clock.now() < (isHandedOver(record.ask.database.service) ? record.patientUntil : record.holdUntil)) {
      count('waits.leader');
      return { ...record, stage: 'waiting' };
    }
    return denyUnplaced(record, 'read-only', retryText(300));
  }

  /** A leader that still runs was asked to let go a moment ago: another follows soon. */
  function isHandedOver(service: string): boolean {
    if (kernel.clock.now() - beganAt < beginningMilliseconds) return true;
    const leader = view().leaders.get(service);
    const entry = view().members.get(leader?.primary ?? '');
    if (leader === undefined || leader.release <= leader.epoch || entry === undefined || entry.down || connections.failing(entry.member))
      return false;
    const known = changes.get(service);
    if (known !== undefined && known.release === leader.release) return kernel.clock.now() - known.since < changeMilliseconds;
    changes.set(service, { release: leader.release, since: kernel.clock.now() });
    return true;
  }

  function place(record: RequestRecord): RequestRecord {
    const { transaction, session, tenant } = record.ask;
    if (Option.isSome(transaction) && Option.isSome(transaction.value.held)) {
      return { ...record, connection: Option.some(transaction.value.held.value.pooled) };
    }
    if (Option.isNone(record.target)) return record;
    const { place: member, leader } = record.target.value;
    const taken = connections.take(member, tenant, session.id);
    if (Option.isSome(taken)) return { ...record, connection: taken };
    // Asked for once, and again should the opening have come to nothing.
    const asked = record.wanted === member.member && connections.opening(member.member, tenant);
    const wanted = asked || connections.want(member, tenant) ? member.member : '';
    const waits: RequestRecord = { ...record, stage: 'waiting', wanted };
    count('waits.line');
    const now = kernel.clock.now();
    if (!connections.failing(member.member)) {
      if (now < record.patientUntil) return waits;
      // With nothing under way there it is no crowd that is in the way: it doesn't open.
      return connections.busy(member.member) === 0
        ? denyUnplaced(record, 'saturated', retryText(200))
        : deny(record, 'saturated', retryText(200));
    }
    // Nothing is open to it and the last opening failed: a read goes elsewhere, what needs the leader is not kept waiting.
    if (!leader && record.without.size < 8) return { ...waits, without: new Set([...record.without, member.member]) };
    return now < record.holdUntil ? waits : denyUnplaced(record, 'read-only', retryText(300));
  }

  function dispatch(record: RequestRecord): RequestRecord {
    if (Option.isNone(record.connection)) return record;
    const sent: RequestRecord = { ...record, stage: 'sent', shots: record.shots + 1 };
    table.set(record.id, sent);
    void exchange(sent, record.connection.value);
    return sent;
  }

  const passes = [expire, letIn, judge, place, dispatch] as const;

  function run(record: RequestRecord): void {
    let current: RequestRecord = { ...record, stage: 'arrived' };
    for (const pass of passes) {
      current = pass(current);
      if (current.stage !== 'arrived') break;
    }
    // What was not sent keeps no verdict: it is looked up afresh at the next sweep.
    if (current.stage === 'waiting') {
      table.set(current.id, { ...current, target: Option.none, connection: Option.none });
      alarm();
    }
  }

  function alarm(): void {
    if (alarmed) return;
    alarmed = true;
    kernel.clock.alarm(sweepMilliseconds, function due() {
      alarmed = false;
      sweep();
    });
  }

  function sweepOnce(): void {
    const waiting = [...table.values()].filter((record) => record.stage === 'waiting');
    waiting.sort((left, right) => left.ask.database.rank - right.ask.database.rank || left.arrivedAt - right.arrivedAt);
    for (const record of waiting) if (table.get(record.id)?.stage === 'waiting') run(record);
  }

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

  function sweep(): void {
    alone(sweepOnce);
  }

  function retry(record: RequestRecord, without: readonly string[]): void {
    const next: RequestRecord = {
      ...record,
      stage: 'waiting',
      without: new Set([...record.without, ...without]),
      target: Option.none,
      connection: Option.none,
      wanted: '',
    };
    table.set(record.id, next);
    sweep();
  }

  // -- After the passes: one task carries the statement and settles it.

  /** What must stand on the connection first, and then the beginning of the transaction; the statement leaves only after both are replied. */
  async function prepare(record: RequestRecord, pooled: PooledLine): Promise<'ready' | 'lost' | StatementReply> {
    const { session, prepared, transaction } = record.ask;
    const needed = Option.map((one: Readonly<{ shape: Prepared }>) => one.shape)(prepared);
    const said = sessions.prelude(dialect, session, pooled.image, needed);
    const begins = Option.isSome(transaction) && Option.isNone(transaction.value.held);
    const texts = [...said];
    if (begins && Option.isSome(transaction)) {
      const begin = dialect.texts.begin(transaction.value.readOnly);
      const since = Option.isSome(record.target) ? record.target.value.since : Option.none;
      texts.push(Option.isSome(since) ? dialect.texts.since(since.value, begin) : begin);
    }
    if (texts.length === 0) return 'ready';
    const ran = await pooled.line.run(
      texts.map((text) => dialect.query(dialect.ownIdentifier, text)),
      record.horizon - kernel.clock.now(),
    );
    if (!ran.whole) return 'lost';
    if (ran.replies.slice(0, said.length).some((one) => one.ending.kind !== 'done')) return 'lost';
    const last = ran.replies.at(-1);
    return begins && last !== undefined && last.ending.kind === 'fault' ? last : 'ready';
  }

  function textOf(record: RequestRecord, pooled: PooledLine): string {
    const { prepared, text, transaction } = record.ask;
    const said = Option.isSome(prepared)
      ? dialect.texts.execute(sessions.preparedName(pooled.image, prepared.value.shape), prepared.value.rest)
      : text;
    const since = Option.isSome(transaction) || Option.isNone(record.target) ? Option.none : record.target.value.since;
    return Option.isSome(since) && !record.ask.writes ? dialect.texts.since(since.value, said) : said;
  }

  function mayRepeat(record: RequestRecord): boolean {
    return record.shots < mostShots && kernel.clock.now() < record.horizon;
  }

  /**
   * A statement that can be begun again elsewhere, or whose transaction can be told to be begun again: nothing of it is kept once its
   * connection is broken off. A write and a commit are waited for to the end.
   */
  function mayBreakOff(record: RequestRecord): boolean {
    if (record.ask.commit || kernel.clock.now() >= record.horizon) return false;
    return Option.isSome(record.ask.transaction) || (!record.ask.writes && mayRepeat(record));
  }

  const spans = new Map<string, Readonly<{ mean: number; deviation: number }>>();

  /** How long statements of a kind take, smoothed as round-trip times are. */
  function noteSpan(database: SheetDatabase, span: number): void {
    const key = `${database.service} ${database.reads}`;
    const known = spans.get(key);
    spans.set(
      key,
      known === undefined
        ? { mean: span, deviation: span / 2 }
        : { mean: known.mean + (span - known.mean) / 8, deviation: known.deviation + (Math.abs(span - known.mean) - known.deviation) / 4 },
    );
  }

  /** Silence beyond this is taken for a lost reply: far beyond what such statements take by now. */
  function patience(database: SheetDatabase): number {
    const known = spans.get(`${database.service} ${database.reads}`);
    const most = database.horizonMilliseconds * 0.6;
    return known === undefined ? most : Math.max(leastPatienceMilliseconds, Math.min(4 * known.mean + 8 * known.deviation, most));
  }

  function isHeld(record: RequestRecord): boolean {
    return Option.isSome(record.ask.transaction) && Option.isSome(record.ask.transaction.value.held);
  }

  async function exchange(record: RequestRecord, pooled: PooledLine): Promise<void> {
    const { ask } = record;
    const ready = await prepare(record, pooled);
    if (ready === 'lost') {
      settleUnsent(record, pooled, Option.none);
      return;
    }
    if (ready !== 'ready') {
      settleUnsent(record, pooled, Option.some(ready));
      return;
    }
    const begins = !isHeld(record);
    if (Option.isSome(ask.transaction) && begins && Option.isSome(record.target)) {
      if (ask.transaction.value.failed) {
        // Given up while it began: its sender has gone, or this edge lets the epoch go.
        connections.giveBack(pooled, false);
        deny(record, 'aborted', retryText(100));
        return;
      }
      ask.transaction.value.held = Option.some({ pooled, epoch: record.target.value.epoch, leader: record.target.value.leader });
    }
    const sentAt = kernel.clock.now();
    count('sent');
    // An operation is one request, however many statements its transaction holds (design 8.6).
    if (begins && record.shots === 1 && !ask.copying) usage.count(ask.tenant);
    const left = record.horizon - sentAt;
    const ran = await pooled.line.run(
      [dialect.query(ask.copying ? dialect.ownIdentifier : ask.identifier, textOf(record, pooled))],
      mayBreakOff(record) ? Math.min(left, patience(ask.database)) : left,
    );
    const replied = ran.replies[0];
    // Also of one that was given up: should they all take longer by now, the next is waited for longer.
    noteSpan(ask.database, kernel.clock.now() - sentAt);
    if (ran.whole && replied !== undefined) settle(record, pooled, replied, sentAt);
    else settleLost(record, pooled);
    sweep();
  }

  /** The statement itself never left: another place may be tried, within its time. */
  function settleUnsent(record: RequestRecord, pooled: PooledLine, replied: Option.Option<StatementReply>): void {
    const held = isHeld(record);
    if (!held) connections.giveBack(pooled, Option.isSome(replied));
    const fault = Option.isSome(replied) && replied.value.ending.kind === 'fault' ? replied.value.ending : undefined;
    const condition = fault?.condition ?? 'aborted';
    if (
      !held &&
      mayRepeat(record) &&
      condition !== 'read-only' &&
      !(Option.isSome(record.ask.transaction) && record.ask.transaction.value.failed)
    ) {
      retry(record, Option.isSome(record.target) && !record.target.value.leader ? [record.target.value.place.member] : []);
    } else
      deny(
        record,
        condition === 'failed' || condition === 'undefined' || condition === 'malformed' ? 'aborted' : condition,
        retryText(100),
      );
    sweep();
  }

  /** The statement left and no reply came. */
  function settleLost(record: RequestRecord, pooled: PooledLine): void {
    const { ask } = record;
    const held = isHeld(record);
    count('lost');
    if (!held) connections.giveBack(pooled, false);
    if (ask.commit || (ask.writes && Option.isNone(ask.transaction))) {
      if (Option.isSome(ask.transaction)) abandon(ask.transaction.value);
      ask.session.unsettled = true;
      count('outcome-unknown');
      reply(record, {
        rows: [],
        ending: { kind: 'fault', condition: 'outcome-unknown', text: 'the reply was lost; it may have run' },
        stance: 'idle',
        position: Option.none,
      });
      return;
    }
    if (held) {
      // Its connection is broken off, so that nothing of the transaction can be kept; a statement of it that ran is run nowhere else.
      deny(record, 'aborted', retryText(100));
      return;
    }
    const member = Option.isSome(record.target) ? record.target.value.place.member : '';
    if (mayRepeat(record)) retry(record, [member]);
    else denyUnplaced(record, kernel.clock.now() >= record.horizon ? 'expired' : 'failed', 'no member replied to the read');
  }

  /** A member said that it did not run: a read goes on to another, anything else is told. */
  function goesOn(record: RequestRecord, condition: Condition): boolean {
    if (Option.isSome(record.ask.transaction) || !mayRepeat(record)) return false;
    if (condition === 'undefined') return true;
    return (
      !record.ask.writes && (condition === 'saturated' || condition === 'lagging' || condition === 'failed' || condition === 'read-only')
    );
  }

  /** Whether the lease of the epoch under which a statement was placed still ran as it left. */
  function wasLed(record: RequestRecord, sentAt: Instant): boolean {
    const { transaction, database } = record.ask;
    const placed =
      Option.isSome(transaction) && Option.isSome(transaction.value.held)
        ? transaction.value.held.value.epoch
        : Option.isSome(record.target)
          ? record.target.value.epoch
          : 0;
    const known = view().leaders.get(database.service);
    return known !== undefined && known.epoch === placed && known.until > sentAt;
  }

  function settle(record: RequestRecord, pooled: PooledLine, replied: StatementReply, sentAt: Instant): void {
    const { ask } = record;
    const service = ask.database.service;
    const transaction = Option.isSome(ask.transaction) ? ask.transaction.value : undefined;
    const leader =
      transaction !== undefined && Option.isSome(transaction.held)
        ? transaction.held.value.leader
        : Option.isSome(record.target) && record.target.value.leader;
    if (replied.ending.kind === 'fault') {
      const { condition } = replied.ending;
      count(`member.${condition}`);
      if (condition === 'undefined') pooled.image.prepared.clear();
      if (transaction === undefined) connections.giveBack(pooled, replied.stance === 'idle');
      if (goesOn(record, condition)) {
        retry(record, condition === 'undefined' || !Option.isSome(record.target) ? [] : [record.target.value.place.member]);
        return;
      }
      if (transaction !== undefined) abandon(transaction);
      reply(record, { rows: [], ending: replied.ending, stance: 'idle', position: replied.position });
      return;
    }
    // Asked under a lease that still ran, so the leader's position covers all that was acknowledged before it was asked (design 8.11).
    if (leader && wasLed(record, sentAt) && Option.isSome(replied.position)) freshness.learnt(service, sentAt, replied.position.value);
    if ((ask.commit || (ask.writes && transaction === undefined)) && Option.isSome(replied.position)) {
      sessions.committed(ask.session, service, replied.position.value);
      if (leader) freshness.committed(service, replied.position.value);
    }
    if (transaction === undefined) connections.giveBack(pooled, replied.stance === 'idle');
    else if (transaction.failed && !ask.commit) abandon(transaction);
    else if (ask.commit) {
      transaction.held = Option.none;
      connections.giveBack(pooled, replied.stance === 'idle');
    }
    count('served');
    reply(record, replied);
  }

  function ask(asked: Ask): Promise<StatementReply> {
    return new Promise(function wait(resolve) {
      const now = kernel.clock.now();
      lastId += 1;
      repliers.set(lastId, resolve);
      const hold = Math.max(leastHoldMilliseconds, asked.database.aimMilliseconds * holdShare);
      const record: RequestRecord = {
        id: lastId,
        ask: asked,
        stage: 'waiting',
        arrivedAt: now,
        startedAt: Option.isSome(asked.transaction) ? asked.transaction.value.startedAt : now,
        horizon: identifiers.after(now, asked.database.horizonMilliseconds),
        holdUntil: identifiers.after(now, hold),
        patientUntil: identifiers.after(now, asked.database.horizonMilliseconds * patientShare),
        shots: 0,
        without: new Set(),
        wanted: '',
        target: Option.none,
        connection: Option.none,
      };
      table.set(record.id, record);
      alone(() => run(record));
    });
  }

  function underWay(service: string, below: number): number {
    let sum = 0;
    for (const record of table.values()) {
      const target = Option.isSome(record.target) ? record.target.value : undefined;
      if (
        record.stage === 'sent' &&
        record.ask.database.service === service &&
        target !== undefined &&
        target.leader &&
        target.epoch < below
      )
        sum += 1;
    }
    return sum;
  }

  return { ask, sweep, underWay, inFlight: () => repliers.size, totals: () => Object.fromEntries(totals) };
}

export const requests = { create } as const;
