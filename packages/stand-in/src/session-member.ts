// A stand-in for a database member that speaks the session wire: slots, transactions, a log with terms, late replicas, promotion (design 10.1).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import {
  http,
  identifiers,
  kernel as kernels,
  type HttpConnection,
  type HttpReply,
  type HttpRequest,
  type Kernel,
  type Listening,
  type Stream,
} from '@stallstall/kernel';
import { positions, type Condition, type Position, type Stance } from '@stallstall/statement';
import { plainDialect, plainWords } from './session-dialect.js';

export type SessionWrite = Readonly<{ identifier: string; thing: string; data: string }>;
export type SessionCommit = Readonly<{ term: number; number: number; writes: readonly SessionWrite[] }>;

/** What a member ran, for the checkers. `ends`: the last number of each term that its log held, applied, at that moment. */
export type SessionRun = Readonly<{
  at: number;
  service: string;
  member: string;
  connection: number;
  /** 0 outside any. */
  transaction: number;
  /** A single statement, or the first within its transaction. */
  first: boolean;
  tenant: string;
  identifier: string;
  kind: 'get' | 'put' | 'commit' | 'rollback';
  /** What came after the verb, a prepared shape put in its place. */
  rest: string;
  prepared: boolean;
  values: string;
  ends: Readonly<Record<number, number>>;
  row: string;
  stamp: string;
  /** Kept: the commit that holds it. */
  committed: Option.Option<SessionCommit>;
}>;

export type SessionMemberSettings = Readonly<{
  service: string;
  member: string;
  area: string;
  address: string;
  /** Where its fellows and the platform reach it. */
  control: string;
  /** Cores that take beats. */
  doors: readonly string[];
  connectionLimit: number;
  slots: number;
  workMilliseconds: number;
  openMilliseconds: number;
  /** How much later a replica applies what it has received. */
  applyMilliseconds: number;
  synchronousReplicas: number;
  drainMilliseconds: number;
}>;

/** What outlives the process. */
export type SessionMemberStore = { term: number; role: 'primary' | 'replica'; primary: string; log: SessionCommit[] };

export type SessionMemberKnobs = {
  /** Receives nothing. */
  deaf: boolean;
  /** How much later than usual it applies. */
  behindMilliseconds: number;
  /** Runs statements and tells nobody: so many more times. */
  loseReplies: number;
  /** The same for commits and single writes alone. */
  loseCommits: number;
  /** Does not beat. */
  silent: boolean;
};

export type SessionMember = Readonly<{
  stop: () => Promise<void>;
  knobs: SessionMemberKnobs;
  store: SessionMemberStore;
  lead: (term: number) => void;
  follow: (term: number, primary: string) => void;
  connections: () => number;
  peak: () => number;
  transactions: () => number;
  applied: () => Position;
  /** Says that it drains, serves on for its time, leaves and ends. */
  drain: () => Promise<void>;
  /** When a core acknowledged that it drains. */
  drainingSince: () => Option.Option<number>;
}>;

type Connection = {
  readonly number: number;
  tenant: string;
  readonly values: Map<string, string>;
  readonly prepared: Map<string, Readonly<{ verb: string; shape: string }>>;
  transaction: Option.Option<{
    readonly number: number;
    readonly readOnly: boolean;
    readonly term: number;
    readonly writes: SessionWrite[];
    failed: boolean;
    ran: number;
  }>;
};

type Outcome = Readonly<{ rows?: readonly string[]; stamp: string }> | Readonly<{ condition: Condition }>;

const beatMilliseconds = 500;
const beatHorizonMilliseconds = 400;
const followMilliseconds = 300;
const followHorizonMilliseconds = 800;
const cutBackMilliseconds = 150;
/** So many times its slots may wait for one. */
const mostWaiting = 4;
const longestMessage = 2_000_000;
const start0: Position = { term: 0, number: 0 };

let numbers = 0;

function emptyStore(): SessionMemberStore {
  return { term: 0, role: 'replica', primary: '', log: [] };
}

function endsOf(log: readonly SessionCommit[], upTo: number): Readonly<Record<number, number>> {
  const ends: Record<number, number> = {};
  // Backwards over the ends of terms alone: a log of thousands has a handful.
  for (let index = upTo - 1; index >= 0;) {
    const commit = log[index] as SessionCommit;
    ends[commit.term] = commit.number;
    let low = 0;
    let high = index;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((log[middle] as SessionCommit).term >= commit.term) high = middle;
      else low = middle + 1;
    }
    index = low - 1;
  }
  return ends;
}

/** How far two logs agree: what is at the same number of the same term is the same, and so is all before it. */
function agreed(left: Readonly<Record<number, number>>, right: Readonly<Record<number, number>>): number {
  return Math.max(0, ...Object.entries(left).map(([term, end]) => Math.min(end, right[Number(term)] ?? 0)));
}

function takeLead(store: SessionMemberStore, control: string, term: number): void {
  store.term = term;
  store.role = 'primary';
  store.primary = control;
}

/** Whoever led until now goes on replying to plain reads, from the log it has. */
function follow(store: SessionMemberStore, term: number, primary: string): boolean {
  if (term < store.term || (term === store.term && store.primary === primary)) return false;
  store.term = term;
  store.role = 'replica';
  store.primary = primary;
  return true;
}

async function start(
  kernel: Kernel,
  settings: SessionMemberSettings,
  store: SessionMemberStore,
  onRun: (run: SessionRun) => void,
): Promise<SessionMember> {
  const rows = new Map<string, string>();
  const connections = new Set<Connection>();
  const receivedBy = new Map<string, number>();
  const news = new Set<() => void>();
  const waiting: Array<() => void> = [];
  const knobs: SessionMemberKnobs = { deaf: false, behindMilliseconds: 0, loseReplies: 0, loseCommits: 0, silent: false };
  let applied = store.log.length;
  let busy = 0;
  let peak = 0;
  let sequence = Math.floor(kernel.clock.now());
  let draining: Option.Option<number> = Option.none;
  let drains = false;
  let stopped = false;
  rebuild();

  function rebuild(): void {
    rows.clear();
    for (const commit of store.log.slice(0, applied)) apply(commit);
  }

  function apply(commit: SessionCommit): void {
    for (const write of commit.writes) rows.set(write.thing, write.data);
  }

  function positionOf(length: number): Position {
    const commit = store.log[length - 1];
    return commit === undefined ? start0 : { term: commit.term, number: commit.number };
  }

  function wake(): void {
    const resolvers = [...news];
    news.clear();
    for (const resolve of resolvers) resolve();
  }

  function awaitNews(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      news.add(resolve);
      kernel.clock.alarm(milliseconds, function late() {
        news.delete(resolve);
        resolve();
      });
    });
  }

  // -- Slots: who finds none waits a little, and beyond that is told so.

  async function withSlot<Result>(milliseconds: number, action: () => Result | Promise<Result>): Promise<Option.Option<Result>> {
    if (busy >= settings.slots) {
      if (waiting.length >= settings.slots * mostWaiting) return Option.none;
      await new Promise<void>((resolve) => void waiting.push(resolve));
    } else busy += 1;
    await kernel.clock.sleep(milliseconds);
    const result = await action();
    const next = waiting.shift();
    if (next === undefined) busy -= 1;
    else next();
    return Option.some(result);
  }

  // -- What a connection asks.

  function note(
    connection: Connection,
    identifier: string,
    kind: SessionRun['kind'],
    rest: string,
    prepared: boolean,
    row: string,
    committed: Option.Option<SessionCommit>,
  ): string {
    numbers += 1;
    const stamp = `${settings.member}-${numbers}`;
    const transaction = Option.isSome(connection.transaction) ? connection.transaction.value : undefined;
    onRun({
      at: kernel.clock.now(),
      service: settings.service,
      member: settings.member,
      connection: connection.number,
      transaction: transaction?.number ?? 0,
      first: transaction === undefined || transaction.ran === 0,
      tenant: connection.tenant,
      identifier,
      kind,
      rest,
      prepared,
      values: JSON.stringify([...connection.values].sort()),
      ends: endsOf(store.log, applied),
      row,
      stamp,
      committed,
    });
    if (transaction !== undefined) transaction.ran += 1;
    return stamp;
  }

  async function commit(writes: readonly SessionWrite[]): Promise<Option.Option<SessionCommit>> {
    const done: SessionCommit = { term: store.term, number: store.log.length + 1, writes };
    store.log.push(done);
    applied = store.log.length;
    apply(done);
    wake();
    return Option.some(done);
  }

  /** A synchronous commit is told only once so many replicas have received it. */
  async function awaitReceived(done: SessionCommit): Promise<void> {
    while (
      !stopped &&
      store.role === 'primary' &&
      [...receivedBy.values()].filter((number) => number >= done.number).length < settings.synchronousReplicas
    )
      await kernel.clock.sleep(2);
  }

  function leadLost(connection: Connection): boolean {
    if (Option.isNone(connection.transaction)) return store.role !== 'primary';
    const { readOnly, term } = connection.transaction.value;
    return !readOnly && (store.role !== 'primary' || store.term !== term);
  }

  async function statement(connection: Connection, identifier: string, verb: string, rest: string, prepared: boolean): Promise<Outcome> {
    const [thing, data] = plainWords.cut(rest);
    const writes = verb === 'put';
    const inside = Option.isSome(connection.transaction) ? connection.transaction.value : undefined;
    if (inside?.failed === true) return { condition: 'malformed' };
    const denied = inside === undefined ? writes && leadLost(connection) : leadLost(connection) || (writes && inside.readOnly);
    if (denied) return { condition: 'read-only' };
    const ran = await withSlot(settings.workMilliseconds * (0.5 + kernel.randomness.fraction()), async function run(): Promise<Outcome> {
      if (inside === undefined ? writes && leadLost(connection) : leadLost(connection)) return { condition: 'read-only' };
      if (!writes) {
        const own = inside?.writes.findLast((one) => one.thing === thing);
        const row = `row ${own?.data ?? rows.get(thing) ?? 'nothing'}`;
        return { rows: [row], stamp: note(connection, identifier, 'get', rest, prepared, row, Option.none) };
      }
      const write: SessionWrite = { identifier, thing, data };
      if (inside !== undefined) {
        const stamp = note(connection, identifier, 'put', rest, prepared, '', Option.none);
        inside.writes.push(write);
        return { stamp };
      }
      const done = await commit([write]);
      const stamp = note(connection, identifier, 'put', rest, prepared, '', done);
      if (Option.isSome(done)) await awaitReceived(done.value);
      return { stamp };
    });
    return Option.isNone(ran) ? { condition: 'saturated' } : ran.value;
  }

  async function end(connection: Connection, identifier: string, keeps: boolean): Promise<Outcome> {
    if (Option.isNone(connection.transaction)) return { condition: 'malformed' };
    const { writes, failed } = connection.transaction.value;
    if (!keeps || failed) {
      const stamp = note(connection, identifier, 'rollback', '', false, '', Option.none);
      connection.transaction = Option.none;
      return keeps ? { condition: 'aborted' } : { stamp };
    }
    const ran = await withSlot(settings.workMilliseconds * (0.5 + kernel.randomness.fraction()), async function run(): Promise<Outcome> {
      // One that wrote nothing may end where the lead is lost.
      if (writes.length > 0 && leadLost(connection)) return { condition: 'read-only' };
      const done = writes.length === 0 ? Option.none : await commit([...writes]);
      const stamp = note(connection, identifier, 'commit', '', false, '', done);
      connection.transaction = Option.none;
      if (Option.isSome(done)) await awaitReceived(done.value);
      return { stamp };
    });
    return Option.isNone(ran) ? { condition: 'saturated' } : ran.value;
  }

  function lacks(since: Position): boolean {
    return positions.compare(positionOf(applied), since) < 0;
  }

  function begin(connection: Connection, readOnly: boolean): Outcome {
    if (Option.isSome(connection.transaction)) return { condition: 'malformed' };
    if (!readOnly && store.role !== 'primary') return { condition: 'read-only' };
    numbers += 1;
    connection.transaction = Option.some({ number: numbers, readOnly, term: store.term, writes: [], failed: false, ran: 0 });
    return { stamp: '-' };
  }

  async function ask(connection: Connection, identifier: string, text: string): Promise<Outcome> {
    const [word, rest] = plainWords.cut(text);
    const [name, given] = plainWords.cut(rest);
    switch (word) {
      case 'since': {
        const since = plainWords.position(name);
        const [verb] = plainWords.cut(given);
        if (Option.isNone(since) || !['get', 'execute', 'begin'].includes(verb)) return { condition: 'malformed' };
        return lacks(since.value) ? { condition: 'lagging' } : ask(connection, identifier, given);
      }
      case 'begin':
        return begin(connection, rest === 'reading');
      case 'commit':
      case 'rollback':
        return end(connection, identifier, word === 'commit');
      case 'get':
      case 'put':
        return statement(connection, identifier, word, rest, false);
      case 'execute': {
        const known = connection.prepared.get(name);
        return known === undefined
          ? { condition: 'undefined' }
          : statement(connection, identifier, known.verb, `${given.replace(/^(\S+)/, `${known.shape}:$1`)}`, true);
      }
      case 'set':
        connection.values.set(name, given);
        return { stamp: '-' };
      case 'prepare': {
        const [verb, shape] = plainWords.cut(given);
        connection.prepared.set(name, { verb, shape });
        return { stamp: '-' };
      }
      case 'forget':
        return connection.prepared.delete(name) ? { stamp: '-' } : { condition: 'undefined' };
      case 'clear':
        connection.values.clear();
        connection.prepared.clear();
        return { stamp: '-' };
      case 'state': {
        if (busy >= settings.slots) return { condition: 'saturated' };
        const lag = store.role === 'primary' ? 0 : settings.applyMilliseconds + knobs.behindMilliseconds;
        return { rows: [`row ${store.role} ${store.term} ${plainWords.shown(positionOf(store.log.length))} ${lag}`], stamp: '-' };
      }
      default:
        return { condition: 'malformed' };
    }
  }

  /** Whether the reply to a statement is to be lost. */
  function isLost(text: string, outcome: Outcome, wasOpen: boolean): boolean {
    if ('condition' in outcome || outcome.stamp === '-') return false;
    if (knobs.loseReplies > 0) {
      knobs.loseReplies -= 1;
      return true;
    }
    const commits = text === 'commit' || (!wasOpen && outcome.rows === undefined);
    if (!commits || knobs.loseCommits === 0) return false;
    knobs.loseCommits -= 1;
    return true;
  }

  async function serve(stream: Stream): Promise<void> {
    const framer = plainDialect.framer(longestMessage);
    numbers += 1;
    const connection: Connection = { number: numbers, tenant: '', values: new Map(), prepared: new Map(), transaction: Option.none };
    connections.add(connection);
    peak = Math.max(peak, connections.size);
    reading: for (;;) {
      const piece = await stream.read();
      if (Option.isNone(piece)) break;
      for (const message of framer.push(piece.value).messages) {
        const [word, rest] = plainWords.cut(message);
        const [first, second] = plainWords.cut(rest);
        if (word === 'bye') break reading;
        if (connection.tenant === '') {
          const [tenant, member] = plainWords.cut(second);
          const denied: Condition | undefined =
            word !== 'hello'
              ? 'malformed'
              : first !== settings.service || (member !== '' && member !== settings.member)
                ? 'wrong-member'
                : connections.size > settings.connectionLimit
                  ? 'overloaded'
                  : undefined;
          if (denied !== undefined) {
            stream.write(plainDialect.fault(denied, settings.member));
            break reading;
          }
          connection.tenant = tenant;
          if (Option.isNone(await withSlot(settings.openMilliseconds, () => null))) {
            stream.write(plainDialect.fault('saturated', settings.member));
            break reading;
          }
          stream.write(plainDialect.rest('idle', Option.some(positionOf(applied))));
          continue;
        }
        const wasOpen = Option.isSome(connection.transaction);
        const outcome = await ask(connection, first, second);
        if (stopped) return;
        if ('condition' in outcome && Option.isSome(connection.transaction)) connection.transaction.value.failed = true;
        if (isLost(second, outcome, wasOpen)) {
          if (kernel.randomness.fraction() < 0.5) break reading;
          // Says nothing, and goes on listening.
          continue;
        }
        const stance: Stance = Option.isNone(connection.transaction) ? 'idle' : connection.transaction.value.failed ? 'failed' : 'open';
        stream.write(
          plainDialect.reply({
            rows: 'condition' in outcome ? [] : (outcome.rows ?? []),
            ending:
              'condition' in outcome
                ? { kind: 'fault', condition: outcome.condition, text: settings.member }
                : { kind: 'done', stamp: outcome.stamp },
            stance,
            position: Option.some(positionOf(applied)),
          }),
        );
      }
    }
    // What was open is rolled back.
    connections.delete(connection);
    stream.close();
  }

  // -- Replication: a replica asks whoever leads, receives, and applies afterwards.

  function applyLater(upTo: SessionCommit): void {
    kernel.clock.alarm(settings.applyMilliseconds + knobs.behindMilliseconds, function due() {
      while (store.role === 'replica' && applied < store.log.length && (store.log[applied] as SessionCommit).number <= upTo.number) {
        apply(store.log[applied] as SessionCommit);
        applied += 1;
      }
    });
  }

  function cutBack(to: number): void {
    if (to >= store.log.length) return;
    store.log.length = to;
    if (applied > to) {
      applied = to;
      rebuild();
    }
    busy += 1;
    kernel.clock.alarm(cutBackMilliseconds, function over() {
      const next = waiting.shift();
      if (next === undefined) busy -= 1;
      else next();
    });
  }

  let upstream: Option.Option<Readonly<{ address: string; connection: HttpConnection }>> = Option.none;

  async function pull(): Promise<void> {
    const following = store.primary;
    if (store.role !== 'replica' || following === '' || following === settings.control || knobs.deaf) {
      await kernel.clock.sleep(10);
      return;
    }
    if (Option.isSome(upstream) && upstream.value.address !== following) {
      upstream.value.connection.close();
      upstream = Option.none;
    }
    const held =
      Option.isSome(upstream) && !upstream.value.connection.closed()
        ? upstream.value
        : { address: following, connection: kernel.network.connect(identifiers.address(following)) };
    upstream = Option.some(held);
    const reply = await held.connection.exchange(
      {
        method: 'POST',
        path: '/log',
        body: { member: settings.member, number: store.log.length, ends: endsOf(store.log, store.log.length) },
      },
      followHorizonMilliseconds,
    );
    if (Either.isLeft(reply) || reply.right.status !== 200) {
      held.connection.close();
      await kernel.clock.sleep(20);
      return;
    }
    if (stopped || store.role !== 'replica' || store.primary !== following || knobs.deaf) return;
    const told = reply.right.body as Readonly<{ term: number; from: number; commits: readonly SessionCommit[] }>;
    cutBack(told.from);
    if (told.from > store.log.length) return;
    store.term = Math.max(store.term, told.term);
    for (const commit of told.commits) {
      store.log.push(commit);
      applyLater(commit);
    }
  }

  async function tellLog(request: HttpRequest): Promise<HttpReply> {
    const asked = request.body as Readonly<{ member: string; number: number; ends: Readonly<Record<number, number>> }>;
    if (store.role !== 'primary') return { status: 409, body: {} };
    const from = agreed(asked.ends, endsOf(store.log, store.log.length));
    if (from === asked.number) receivedBy.set(asked.member, asked.number);
    if (from === asked.number && store.log.length === from) await awaitNews(followMilliseconds);
    if (store.role !== 'primary') return { status: 409, body: {} };
    return { status: 200, body: { term: store.term, from, commits: store.log.slice(from) } };
  }

  /** Takes the lead of the next term with all that it had received and nothing beyond. */
  function lead(term: number): void {
    takeLead(store, settings.control, term);
    applied = store.log.length;
    rebuild();
    receivedBy.clear();
    wake();
  }

  function followLeader(term: number, primary: string): void {
    if (follow(store, term, primary)) wake();
  }

  // -- Beats: to one door, and to another when that one fails.

  let door = Math.floor(kernel.randomness.fraction() * settings.doors.length);

  async function call(path: string, body: unknown): Promise<boolean> {
    for (let shot = 0; shot < settings.doors.length; shot += 1) {
      const address = identifiers.address(settings.doors[door] as string);
      const reply = await http.once(
        kernel,
        address,
        { method: 'POST', path: `/members/${settings.member}/${path}`, body },
        beatHorizonMilliseconds,
      );
      if (Either.isRight(reply) && reply.right.status === 200) return true;
      door = (door + 1) % settings.doors.length;
    }
    return false;
  }

  async function beat(): Promise<void> {
    if (knobs.silent) return;
    sequence += 1;
    const taken = await call('beat', {
      service: settings.service,
      address: settings.address,
      area: settings.area,
      draining: drains,
      role: store.role,
      slots: settings.slots,
      sequence,
    });
    if (taken && drains && Option.isNone(draining)) draining = Option.some(kernel.clock.now());
  }

  const listening: readonly Listening[] = [
    await kernel.network.listenStream(identifiers.address(settings.address), (stream) => void serve(stream)),
    await kernel.network.serve(identifiers.address(settings.control), {
      mappings: [{ method: 'POST', path: '/log', handle: tellLog }],
    }),
  ];
  void kernels.every(kernel.clock, beatMilliseconds, beat, () => !stopped);
  void kernels.every(kernel.clock, 0.5, pull, () => !stopped);

  async function stop(): Promise<void> {
    stopped = true;
    if (Option.isSome(upstream)) upstream.value.connection.close();
    for (const entry of listening) await entry.stop();
  }

  async function drain(): Promise<void> {
    drains = true;
    const horizon = kernel.clock.now() + 2 * settings.drainMilliseconds;
    void beat();
    while (!stopped && Option.isNone(draining) && kernel.clock.now() < horizon) await kernel.clock.sleep(20);
    await kernel.clock.sleep(settings.drainMilliseconds + 1_000);
    if (stopped) return;
    await call('leave', {});
    await stop();
  }

  return {
    stop,
    drain,
    knobs,
    store,
    lead,
    follow: followLeader,
    connections: () => connections.size,
    peak: () => peak,
    transactions: () => [...connections].filter((connection) => Option.isSome(connection.transaction)).length,
    applied: () => positionOf(applied),
    drainingSince: () => draining,
  };
}

export const sessionMember = { start, emptyStore, follow } as const;
