/** What a client of the session wire does in an open session: single statements, transactions, values and prepared names, at random. */
import * as Option from 'fp-ts/lib/Option.js';
import type { Runtime } from '@stallstall/kernel';
import type { Completion, TransactionStatus, StatementReply } from '@stallstall/session-protocol';
import type { SessionAsk, SessionLedger, SessionTry } from './session-ledger.js';
import type { SessionLine } from './session-line.js';

export type SessionDatabase = Readonly<{ database: string; reads: 'leader' | 'bounded' | 'own'; horizonMilliseconds: number }>;
/** An open session, as its client knows it. */
export type ClientSession = Readonly<{
  name: string;
  line: SessionLine;
  database: SessionDatabase;
  key: string;
  edge: string;
  values: Map<string, string>;
  prepared: Map<string, Readonly<{ verb: 'get' | 'put'; text: string }>>;
}>;

export type WorkloadParts = Readonly<{
  runtime: Runtime;
  ledger: SessionLedger;
  /** Numbers what is named, none of them twice. */
  nextNumber: () => number;
  /** Longer than a transaction may be idle. */
  longRestMilliseconds: number;
}>;

/** What came of a statement; none when the client must give the session up. */
type ReportedOutcome = Option.Option<Readonly<{ ending: Completion; status: TransactionStatus }>>;

type Statement = Readonly<{ kind: SessionAsk['kind']; /** The client leaves while it waits for the reply. */ leaves?: boolean }>;

/** A reply is waited for so much longer than the database's time limit. */
const lateMilliseconds = 400;
const things = 20;
const valueNames = 3;
const preparedNames = 3;
const preparedTexts = 6;
const mostOfTransaction = 4;
const pauseMilliseconds = 40;
const leavingMilliseconds = 8;
/** Shares of what clients do. */
const preparedShare = 0.4;
const readOnlyShare = { leader: 0.2, replicas: 0.7 } as const;
const longRestShare = 0.01;
const writeShare = 0.6;
const leavingShare = 0.01;
const abandonedShare = 0.02;
const rollbackShare = 0.1;
const singleWriteShare = { leader: 0.5, replicas: 0.15 } as const;
const singleLeavingShare = 0.005;
const furnishShare = 0.4;
const putShare = 0.5;
const forgetShare = 0.1;

function chance({ runtime }: WorkloadParts, share: number): boolean {
  return runtime.randomness.fraction() < share;
}

function below({ runtime }: WorkloadParts, count: number): number {
  return Math.floor(runtime.randomness.fraction() * count);
}

function beginTry(parts: WorkloadParts, session: ClientSession, transaction: boolean, readOnly: boolean): SessionTry {
  const begun: SessionTry = {
    name: `t${parts.nextNumber()}`,
    session: session.name,
    database: session.database.database,
    who: session.key,
    edge: session.edge,
    transaction,
    readOnly,
    startedAt: parts.runtime.clock.now(),
    asks: [],
    begun: Option.none,
    left: false,
    cutAt: Option.none,
  };
  parts.ledger.tries.push(begun);
  return begun;
}

type Worded = Readonly<{ text: string; rest: string; prepared: boolean }>;

/** A statement's text: plain, or as the execution of one that the session prepared. */
function word(parts: WorkloadParts, session: ClientSession, kind: SessionAsk['kind'], identifier: string): Worded {
  const thing = `x${below(parts, things)}`;
  const named = kind === 'get' || kind === 'put' ? [...session.prepared].filter(([, one]) => one.verb === kind) : [];
  const chosen = named.length > 0 && chance(parts, preparedShare) ? named[below(parts, named.length)] : undefined;
  const plain = kind === 'put' ? `${thing} ${identifier}` : kind === 'get' ? thing : '';
  if (chosen !== undefined) return { text: `execute ${chosen[0]} ${plain}`, rest: `${chosen[1].text}:${plain}`, prepared: true };
  return { text: `${kind}${plain === '' ? '' : ` ${plain}`}`, rest: plain, prepared: false };
}

/** Asks one statement; none when the client must give the session up. */
async function ask(
  parts: WorkloadParts,
  session: ClientSession,
  of: SessionTry,
  { kind, leaves = false }: Statement,
): Promise<ReportedOutcome> {
  const { runtime } = parts;
  const { line, database } = session;
  const identifier = `${of.name}.${of.asks.length + 1}`;
  const { text, rest, prepared } = word(parts, session, kind, identifier);
  const asked: SessionAsk = {
    identifier,
    kind,
    rest,
    prepared,
    values: JSON.stringify([...session.values].sort()),
    sentAt: runtime.clock.now(),
    endedAt: Number.POSITIVE_INFINITY,
    ending: Option.none,
    rows: [],
  };
  of.asks.push(asked);
  const replying = line.query(identifier, text, database.horizonMilliseconds + lateMilliseconds);
  if (leaves) {
    of.left = true;
    await runtime.clock.sleep(1 + runtime.randomness.fraction() * leavingMilliseconds);
    line.reset();
    return Option.none;
  }
  const reply = await replying;
  asked.endedAt = runtime.clock.now();
  if (Option.isNone(reply)) {
    if (line.closed()) of.cutAt = Option.some(asked.endedAt);
    return Option.none;
  }
  asked.ending = Option.some(reply.value.completion);
  asked.rows = reply.value.rows;
  return Option.some({ ending: reply.value.completion, status: reply.value.transactionStatus });
}

/** Begins a transaction; false when there is none. */
async function begin({ runtime }: WorkloadParts, { line, database }: ClientSession, of: SessionTry): Promise<boolean> {
  const text = of.readOnly ? 'begin reading' : 'begin';
  const begun = await line.query(`${of.name}.0`, text, database.horizonMilliseconds + lateMilliseconds);
  if (Option.isNone(begun)) {
    if (line.closed()) of.cutAt = Option.some(runtime.clock.now());
    return false;
  }
  if (begun.value.completion.kind === 'done') return true;
  of.begun = Option.some(begun.value.completion.condition);
  return false;
}

/** Ends a transaction; whether the session goes on. */
async function end(parts: WorkloadParts, session: ClientSession, of: SessionTry, statement: Statement): Promise<boolean> {
  const ended = await ask(parts, session, of, statement);
  return Option.isSome(ended) && ended.value.status === 'idle';
}

function shareOf(shares: Readonly<{ leader: number; replicas: number }>, { database }: ClientSession): number {
  return database.reads === 'leader' ? shares.leader : shares.replicas;
}

/** One transaction; whether the session goes on. */
async function transaction(parts: WorkloadParts, session: ClientSession): Promise<boolean> {
  const { runtime, longRestMilliseconds } = parts;
  const of = beginTry(parts, session, true, chance(parts, shareOf(readOnlyShare, session)));
  if (!(await begin(parts, session, of))) return false;
  const count = 1 + below(parts, mostOfTransaction);
  for (let index = 0; index < count; index += 1) {
    const pause = chance(parts, longRestShare) ? longRestMilliseconds : runtime.randomness.fraction() * pauseMilliseconds;
    await runtime.clock.sleep(pause);
    const kind = !of.readOnly && chance(parts, writeShare) ? 'put' : 'get';
    const reported = await ask(parts, session, of, { kind, leaves: chance(parts, leavingShare) });
    if (Option.isNone(reported)) return false;
    if (reported.value.ending.kind === 'fault') return reported.value.status === 'idle' || end(parts, session, of, { kind: 'rollback' });
  }
  if (chance(parts, abandonedShare)) {
    of.left = true;
    return false;
  }
  const kind = chance(parts, rollbackShare) ? 'rollback' : 'commit';
  return end(parts, session, of, { kind, leaves: chance(parts, leavingShare) });
}

/** One statement outside a transaction; whether the session goes on. */
async function single(parts: WorkloadParts, session: ClientSession): Promise<boolean> {
  const of = beginTry(parts, session, false, false);
  const kind = chance(parts, shareOf(singleWriteShare, session)) ? 'put' : 'get';
  const reported = await ask(parts, session, of, { kind, leaves: chance(parts, singleLeavingShare) });
  if (Option.isNone(reported) || reported.value.status !== 'idle') return false;
  const { ending } = reported.value;
  return ending.kind === 'done' || (ending.condition !== 'denied' && ending.condition !== 'no-database');
}

function isDone(reply: Option.Option<StatementReply>): boolean {
  return Option.isSome(reply) && reply.value.completion.kind === 'done';
}

/** Sets values and prepares names; both clash between sessions on purpose. Whether the session goes on. */
async function furnish(parts: WorkloadParts, session: ClientSession): Promise<boolean> {
  const { line, values, prepared } = session;
  const milliseconds = session.database.horizonMilliseconds;
  const number = parts.nextNumber();
  if (chance(parts, furnishShare)) {
    const name = `v${below(parts, valueNames)}`;
    if (!isDone(await line.query(`f${number}`, `set ${name} of-${number}`, milliseconds))) return false;
    values.set(name, `of-${number}`);
  }
  if (chance(parts, furnishShare)) {
    const name = `s${below(parts, preparedNames)}`;
    const statement = { verb: chance(parts, putShare) ? ('get' as const) : ('put' as const), text: `h${below(parts, preparedTexts)}` };
    if (!isDone(await line.query(`f${number}p`, `prepare ${name} ${statement.verb} ${statement.text}`, milliseconds))) return false;
    prepared.set(name, statement);
  } else if (prepared.size > 0 && chance(parts, forgetShare)) {
    const [name] = [...prepared.keys()];
    if (!isDone(await line.query(`f${number}u`, `forget ${name}`, milliseconds))) return false;
    prepared.delete(name as string);
  }
  return true;
}

export const sessionWorkload = { transaction, single, furnish } as const;
