// Senders of the session wire and the ledger of all that they asked and were told; the checkers read it (design 10.3).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Kernel, type Stream } from '@stallstall/kernel';
import type { Condition, Ending, Stance, StatementReply } from '@stallstall/statement';
import { plainDialect } from './session-dialect.js';

export type SessionAsk = {
  readonly identifier: string;
  readonly kind: 'get' | 'put' | 'commit' | 'rollback';
  /** What a member must see after the verb, a prepared shape put in its place. */
  readonly rest: string;
  readonly prepared: boolean;
  readonly values: string;
  readonly sentAt: number;
  endedAt: number;
  /** None: cut, or silence. */
  ending: Option.Option<Ending>;
  rows: readonly string[];
};

/** One try of an operation: a single statement or a transaction. */
export type SessionTry = {
  readonly name: string;
  readonly session: string;
  readonly database: string;
  readonly who: string;
  readonly edge: string;
  readonly transaction: boolean;
  readonly readOnly: boolean;
  /** When its first byte left: of the statement, or of the beginning of its transaction. */
  readonly startedAt: number;
  readonly asks: SessionAsk[];
  /** What the beginning of its transaction met, where that failed. */
  begun: Option.Option<Condition>;
  /** Its sender left midway. */
  left: boolean;
  /** When its connection was cut from the other side, while a reply was awaited. */
  cutAt: Option.Option<number>;
};

export type SessionOpening = Readonly<{
  at: number;
  endedAt: number;
  edge: string;
  database: string;
  who: string;
  outcome: 'open' | Condition | 'cut' | 'silent';
}>;

export type SessionLedger = { readonly tries: SessionTry[]; readonly openings: SessionOpening[] };

export type SessionDatabase = Readonly<{ database: string; reads: 'leader' | 'bounded' | 'own'; horizonMilliseconds: number }>;
export type SessionSenderSettings = Readonly<{
  sessions: number;
  /** Between two operations of a session. */
  thinkMilliseconds: number;
  edges: () => ReadonlyArray<Readonly<{ edge: string; address: string }>>;
  /** Asked at every opening. */
  databases: () => readonly SessionDatabase[];
  keys: () => readonly string[];
  /** Longer than a transaction may rest. */
  longRestMilliseconds: number;
}>;

export type SessionLine = Readonly<{
  /** Sends a text and waits for its reply. */
  query: (identifier: string, text: string, milliseconds: number) => Promise<Option.Option<StatementReply>>;
  close: () => void;
  reset: () => void;
  closed: () => boolean;
}>;

const openMilliseconds = 2_000;
const lateMilliseconds = 400;
const longestMessage = 2_000_000;

function emptyLedger(): SessionLedger {
  return { tries: [], openings: [] };
}

type Opened = Readonly<{ line: SessionLine }> | Readonly<{ outcome: Condition | 'cut' | 'silent' }>;

/** A session as a sender's program would hold it. */
function lineOver(
  kernel: Kernel,
  stream: Stream,
): SessionLine & Readonly<{ next: (milliseconds: number) => Promise<Option.Option<StatementReply>> }> {
  const framer = plainDialect.framer(longestMessage);
  const replies: StatementReply[] = [];
  let rows: string[] = [];
  let ending: Ending | undefined;
  let over = false;
  let waiting: (() => void) | undefined;

  function take(message: string): void {
    const piece = plainDialect.piece(message);
    if (piece.kind === 'row') rows.push(piece.raw);
    else if (piece.kind === 'ending') ending = piece.ending;
    else if (piece.kind === 'rest') {
      replies.push({ rows, ending: ending ?? { kind: 'done', stamp: '' }, stance: piece.stance, position: piece.position });
      rows = [];
      ending = undefined;
    }
  }

  async function task(): Promise<void> {
    for (;;) {
      const piece = await stream.read();
      if (Option.isNone(piece)) break;
      framer.push(piece.value).messages.forEach(take);
      if (replies.length > 0) waiting?.();
    }
    // A denied opening is a fault and a close.
    if (ending !== undefined) replies.push({ rows: [], ending, stance: 'idle', position: Option.none });
    over = true;
    waiting?.();
  }

  async function next(milliseconds: number): Promise<Option.Option<StatementReply>> {
    if (replies.length === 0 && !over) {
      await new Promise<void>((resolve) => {
        waiting = resolve;
        kernel.clock.alarm(milliseconds, resolve);
      });
      waiting = undefined;
    }
    return Option.fromNullable(replies.shift());
  }

  void task();
  return {
    next,
    query: function query(identifier, text, milliseconds) {
      if (!over) stream.write(plainDialect.query(identifier, text));
      return next(milliseconds);
    },
    close: function close() {
      stream.write(plainDialect.closing());
      stream.close();
    },
    reset: stream.reset,
    closed: () => over,
  };
}

async function open(kernel: Kernel, address: string, database: string, who: string): Promise<Opened> {
  const stream = await kernel.network.openStream(identifiers.address(address), openMilliseconds);
  if (Either.isLeft(stream)) return { outcome: 'cut' };
  const line = lineOver(kernel, stream.right);
  stream.right.write(`hello ${database} ${who}\n`);
  const reply = await line.next(openMilliseconds);
  if (Option.isSome(reply) && reply.value.ending.kind === 'done') return { line };
  const outcome = Option.isNone(reply)
    ? line.closed()
      ? 'cut'
      : 'silent'
    : (reply.value.ending as Extract<Ending, { kind: 'fault' }>).condition;
  line.reset();
  return { outcome };
}

function start(kernel: Kernel, settings: SessionSenderSettings, ledger: SessionLedger): Readonly<{ stop: () => void }> {
  let stopped = false;
  let names = 0;

  function chance(share: number): boolean {
    return kernel.randomness.fraction() < share;
  }

  function pick<Item>(items: readonly Item[]): Item | undefined {
    return items[Math.floor(kernel.randomness.fraction() * items.length)];
  }

  type Standing = Readonly<{
    name: string;
    line: SessionLine;
    database: SessionDatabase;
    who: string;
    edge: string;
    values: Map<string, string>;
    prepared: Map<string, Readonly<{ verb: 'get' | 'put'; shape: string }>>;
  }>;

  function beginTry(session: Standing, transaction: boolean, readOnly: boolean): SessionTry {
    names += 1;
    const begun: SessionTry = {
      name: `t${names}`,
      session: session.name,
      database: session.database.database,
      who: session.who,
      edge: session.edge,
      transaction,
      readOnly,
      startedAt: kernel.clock.now(),
      asks: [],
      begun: Option.none,
      left: false,
      cutAt: Option.none,
    };
    ledger.tries.push(begun);
    return begun;
  }

  /** Asks one statement; none when the sender must give the session up. */
  async function ask(
    session: Standing,
    of: SessionTry,
    kind: SessionAsk['kind'],
    leaves = false,
  ): Promise<Option.Option<Readonly<{ ending: Ending; stance: Stance }>>> {
    const identifier = `${of.name}.${of.asks.length + 1}`;
    const thing = `x${Math.floor(kernel.randomness.fraction() * 20)}`;
    const named = kind === 'get' || kind === 'put' ? [...session.prepared].filter(([, one]) => one.verb === kind) : [];
    const chosen = named.length > 0 && chance(0.4) ? pick(named) : undefined;
    const plain = kind === 'put' ? `${thing} ${identifier}` : kind === 'get' ? thing : '';
    const rest = chosen === undefined ? plain : `${chosen[1].shape}:${plain}`;
    const text = chosen === undefined ? `${kind}${plain === '' ? '' : ` ${plain}`}` : `execute ${chosen[0]} ${plain}`;
    const asked: SessionAsk = {
      identifier,
      kind,
      rest,
      prepared: chosen !== undefined,
      values: JSON.stringify([...session.values].sort()),
      sentAt: kernel.clock.now(),
      endedAt: Number.POSITIVE_INFINITY,
      ending: Option.none,
      rows: [],
    };
    of.asks.push(asked);
    const replying = session.line.query(identifier, text, session.database.horizonMilliseconds + lateMilliseconds);
    if (leaves) {
      of.left = true;
      await kernel.clock.sleep(1 + kernel.randomness.fraction() * 8);
      session.line.reset();
      return Option.none;
    }
    const reply = await replying;
    asked.endedAt = kernel.clock.now();
    if (Option.isNone(reply)) {
      if (session.line.closed()) of.cutAt = Option.some(asked.endedAt);
      return Option.none;
    }
    asked.ending = Option.some(reply.value.ending);
    asked.rows = reply.value.rows;
    return Option.some({ ending: reply.value.ending, stance: reply.value.stance });
  }

  async function transaction(session: Standing): Promise<boolean> {
    const readOnly = session.database.reads === 'leader' ? chance(0.2) : chance(0.7);
    const of = beginTry(session, true, readOnly);
    const begun = await session.line.query(
      `${of.name}.0`,
      readOnly ? 'begin reading' : 'begin',
      session.database.horizonMilliseconds + lateMilliseconds,
    );
    if (Option.isNone(begun)) {
      if (session.line.closed()) of.cutAt = Option.some(kernel.clock.now());
      return false;
    }
    if (begun.value.ending.kind === 'fault') {
      of.begun = Option.some(begun.value.ending.condition);
      return false;
    }
    const many = 1 + Math.floor(kernel.randomness.fraction() * 4);
    for (let index = 0; index < many; index += 1) {
      const rests = chance(0.01) ? settings.longRestMilliseconds : kernel.randomness.fraction() * 40;
      await kernel.clock.sleep(rests);
      const told = await ask(session, of, !readOnly && chance(0.6) ? 'put' : 'get', chance(0.01));
      if (Option.isNone(told)) return false;
      if (told.value.ending.kind === 'fault') {
        if (told.value.stance === 'idle') return true;
        const ended = await ask(session, of, 'rollback');
        return Option.isSome(ended) && ended.value.stance === 'idle';
      }
    }
    if (chance(0.02)) {
      of.left = true;
      return false;
    }
    const ended = await ask(session, of, chance(0.1) ? 'rollback' : 'commit', chance(0.01));
    return Option.isSome(ended) && ended.value.stance === 'idle';
  }

  async function single(session: Standing): Promise<boolean> {
    const of = beginTry(session, false, false);
    const told = await ask(session, of, chance(session.database.reads === 'leader' ? 0.5 : 0.15) ? 'put' : 'get', chance(0.005));
    if (Option.isNone(told) || told.value.stance !== 'idle') return false;
    return told.value.ending.kind === 'done' || (told.value.ending.condition !== 'denied' && told.value.ending.condition !== 'no-database');
  }

  /** Values and prepared names clash between sessions on purpose. */
  async function furnish(session: Standing): Promise<boolean> {
    const milliseconds = session.database.horizonMilliseconds;
    names += 1;
    const number = names;
    if (chance(0.4)) {
      const name = `v${Math.floor(kernel.randomness.fraction() * 3)}`;
      const reply = await session.line.query(`f${number}`, `set ${name} of-${number}`, milliseconds);
      if (Option.isNone(reply) || reply.value.ending.kind === 'fault') return false;
      session.values.set(name, `of-${number}`);
    }
    if (chance(0.4)) {
      const name = `s${Math.floor(kernel.randomness.fraction() * 3)}`;
      const shape = { verb: chance(0.5) ? ('get' as const) : ('put' as const), shape: `h${Math.floor(kernel.randomness.fraction() * 6)}` };
      const reply = await session.line.query(`f${number}p`, `prepare ${name} ${shape.verb} ${shape.shape}`, milliseconds);
      if (Option.isNone(reply) || reply.value.ending.kind === 'fault') return false;
      session.prepared.set(name, shape);
    } else if (session.prepared.size > 0 && chance(0.1)) {
      const [name] = [...session.prepared.keys()];
      const reply = await session.line.query(`f${number}u`, `forget ${name}`, milliseconds);
      if (Option.isNone(reply) || reply.value.ending.kind === 'fault') return false;
      session.prepared.delete(name as string);
    }
    return true;
  }

  async function one(): Promise<void> {
    const edge = pick(settings.edges());
    const database = pick(settings.databases());
    const who = pick(settings.keys());
    if (edge === undefined || database === undefined || who === undefined) return;
    const at = kernel.clock.now();
    const opened = await open(kernel, edge.address, database.database, who);
    ledger.openings.push({
      at,
      endedAt: kernel.clock.now(),
      edge: edge.edge,
      database: database.database,
      who,
      outcome: 'line' in opened ? 'open' : opened.outcome,
    });
    if (!('line' in opened)) return;
    names += 1;
    const session: Standing = {
      name: `n${names}`,
      line: opened.line,
      database,
      who,
      edge: edge.edge,
      values: new Map(),
      prepared: new Map(),
    };
    const brief = chance(0.2);
    while (!stopped && !session.line.closed()) {
      if (chance(0.15) && !(await furnish(session))) break;
      if (!(await (chance(0.35) ? transaction(session) : single(session)))) break;
      if (brief || chance(0.02)) break;
      await kernel.clock.sleep(settings.thinkMilliseconds * (0.2 + 1.6 * kernel.randomness.fraction()));
    }
    if (!session.line.closed()) session.line.close();
  }

  async function task(): Promise<void> {
    await kernel.clock.sleep(kernel.randomness.fraction() * settings.thinkMilliseconds);
    while (!stopped) {
      await one();
      await kernel.clock.sleep(50 + kernel.randomness.fraction() * 200);
    }
  }

  for (let index = 0; index < settings.sessions; index += 1) void task();
  return {
    stop: function stop() {
      stopped = true;
    },
  };
}

export const sessionSender = { start, open, emptyLedger } as const;
