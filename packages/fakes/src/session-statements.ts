/** Runs the statements of a stand-in member's connections: reads, writes, transactions, prepared names and session values. */
import * as Option from 'fp-ts/lib/Option.js';
import { positions } from '@stallstall/session-protocol';
import { nextNumber, type Committed, type MemberConnection, type MemberParts, type Outcome } from './member-parts.js';
import { plainWords } from './session-dialect.js';
import type { SessionCommit, SessionRun, SessionWrite } from './session-member-types.js';

/** A statement of a connection, its text already taken apart. */
type Statement = Readonly<{ connection: MemberConnection; identifier: string; verb: 'get' | 'put'; rest: string; prepared: boolean }>;

/** What the checkers are told of a run beside what its connection says. */
type Run = Readonly<{ identifier: string; kind: SessionRun['kind']; rest: string; prepared: boolean; row: string; committed: Committed }>;

const synchronousLookMilliseconds = 2;

/** What carries no stamp of a run. */
const noStamp = '-';
const done: Outcome = { stamp: noStamp };

/** Tells the checkers of a run; returns its stamp. */
function note({ runtime, settings, log, onRun }: MemberParts, connection: MemberConnection, run: Run): string {
  const stamp = `${settings.member}-${nextNumber()}`;
  const transaction = Option.isSome(connection.transaction) ? connection.transaction.value : undefined;
  onRun({
    at: runtime.clock.now(),
    service: settings.service,
    member: settings.member,
    connection: connection.number,
    transaction: transaction?.number ?? 0,
    first: transaction === undefined || transaction.ran === 0,
    tenant: connection.tenant,
    identifier: run.identifier,
    kind: run.kind,
    rest: run.rest,
    prepared: run.prepared,
    values: JSON.stringify([...connection.values].sort()),
    ends: log.appliedEnds(),
    row: run.row,
    stamp,
    committed: run.committed,
  });
  if (transaction !== undefined) transaction.ran += 1;
  return stamp;
}

function commit({ log, onCommit }: MemberParts, writes: readonly SessionWrite[]): SessionCommit {
  const committed = log.commit(writes);
  onCommit();
  return committed;
}

/** A synchronous commit is told only once so many replicas have received it. */
async function awaitReceived({ runtime, settings, store, receivedBy, stopped }: MemberParts, committed: SessionCommit): Promise<void> {
  while (!stopped() && store.role === 'primary' && receivedBy(committed.number) < settings.synchronousReplicas)
    await runtime.clock.sleep(synchronousLookMilliseconds);
}

/** Whether a write, or a transaction that may write, can't go on here because this member does not lead, or not in the same term. */
function leadLost({ store }: MemberParts, connection: MemberConnection): boolean {
  if (Option.isNone(connection.transaction)) return store.role !== 'primary';
  const { readOnly, term } = connection.transaction.value;
  return !readOnly && (store.role !== 'primary' || store.term !== term);
}

/** Holds a slot for about the usual time of a statement. */
async function inSlot({ runtime, settings, slots }: MemberParts, action: () => Promise<Outcome>): Promise<Outcome> {
  const ran = await slots.run(settings.workMilliseconds * (0.5 + runtime.randomness.fraction()), action);
  return Option.isNone(ran) ? { condition: 'saturated' } : ran.value;
}

function read(parts: MemberParts, { connection, identifier, rest, prepared }: Statement): Outcome {
  const [thing] = plainWords.cut(rest);
  const writes = Option.isSome(connection.transaction) ? connection.transaction.value.writes : [];
  const own = writes.findLast((one) => one.thing === thing);
  const row = `row ${own?.data ?? parts.log.row(thing) ?? 'nothing'}`;
  return { rows: [row], stamp: note(parts, connection, { identifier, kind: 'get', rest, prepared, row, committed: Option.none }) };
}

async function write(parts: MemberParts, { connection, identifier, rest, prepared }: Statement): Promise<Outcome> {
  const [thing, data] = plainWords.cut(rest);
  const one: SessionWrite = { identifier, thing, data };
  const run = { identifier, kind: 'put', rest, prepared, row: '' } as const;
  if (Option.isSome(connection.transaction)) {
    const stamp = note(parts, connection, { ...run, committed: Option.none });
    connection.transaction.value.writes.push(one);
    return { stamp };
  }
  const committed = commit(parts, [one]);
  const stamp = note(parts, connection, { ...run, committed: Option.some(committed) });
  await awaitReceived(parts, committed);
  return { stamp };
}

async function statement(parts: MemberParts, one: Statement): Promise<Outcome> {
  const { connection } = one;
  const writes = one.verb === 'put';
  const transaction = Option.isSome(connection.transaction) ? connection.transaction.value : undefined;
  if (transaction?.failed === true) return { condition: 'malformed' };
  const needsLead = transaction !== undefined || writes;
  if (needsLead && leadLost(parts, connection)) return { condition: 'read-only' };
  if (writes && transaction?.readOnly === true) return { condition: 'read-only' };
  return inSlot(parts, async function run(): Promise<Outcome> {
    if (needsLead && leadLost(parts, connection)) return { condition: 'read-only' };
    return writes ? write(parts, one) : read(parts, one);
  });
}

async function end(parts: MemberParts, connection: MemberConnection, identifier: string, keeps: boolean): Promise<Outcome> {
  if (Option.isNone(connection.transaction)) return { condition: 'malformed' };
  const { writes, failed } = connection.transaction.value;
  const run = { identifier, rest: '', prepared: false, row: '' } as const;
  if (!keeps || failed) {
    const stamp = note(parts, connection, { ...run, kind: 'rollback', committed: Option.none });
    connection.transaction = Option.none;
    return keeps ? { condition: 'aborted' } : { stamp };
  }
  return inSlot(parts, async function commitAll(): Promise<Outcome> {
    // One that wrote nothing may end where the lead is lost.
    if (writes.length > 0 && leadLost(parts, connection)) return { condition: 'read-only' };
    const committed = writes.length === 0 ? Option.none : Option.some(commit(parts, [...writes]));
    const stamp = note(parts, connection, { ...run, kind: 'commit', committed });
    connection.transaction = Option.none;
    if (Option.isSome(committed)) await awaitReceived(parts, committed.value);
    return { stamp };
  });
}

function begin({ store }: MemberParts, connection: MemberConnection, readOnly: boolean): Outcome {
  if (Option.isSome(connection.transaction)) return { condition: 'malformed' };
  if (!readOnly && store.role !== 'primary') return { condition: 'read-only' };
  connection.transaction = Option.some({ number: nextNumber(), readOnly, term: store.term, writes: [], failed: false, ran: 0 });
  return done;
}

/** Runs the text only when the log is applied to a position. */
function since(parts: MemberParts, connection: MemberConnection, identifier: string, rest: string): Outcome | Promise<Outcome> {
  const [at, text] = plainWords.cut(rest);
  const position = plainWords.position(at);
  const [verb] = plainWords.cut(text);
  if (Option.isNone(position) || !['get', 'execute', 'begin'].includes(verb)) return { condition: 'malformed' };
  if (positions.compare(parts.log.applied(), position.value) < 0) return { condition: 'lagging' };
  return run(parts, connection, identifier, text);
}

function execute(parts: MemberParts, connection: MemberConnection, identifier: string, rest: string): Outcome | Promise<Outcome> {
  const [name, given] = plainWords.cut(rest);
  const known = connection.prepared.get(name);
  if (known === undefined) return { condition: 'undefined' };
  const verb = known.verb === 'put' ? 'put' : 'get';
  return statement(parts, { connection, identifier, verb, rest: given.replace(/^(\S+)/, `${known.text}:$1`), prepared: true });
}

/** What the member says of itself to the cores and to edges. */
function state({ settings, store, knobs, log, slots }: MemberParts): Outcome {
  if (slots.full()) return { condition: 'saturated' };
  const lag = store.role === 'primary' ? 0 : settings.applyMilliseconds + knobs.behindMilliseconds;
  return { rows: [`row ${store.role} ${store.term} ${plainWords.shown(log.received())} ${lag}`], stamp: noStamp };
}

/** Session values and prepared names; undefined for any other word. */
function change(connection: MemberConnection, word: string, rest: string): Outcome | undefined {
  const [name, given] = plainWords.cut(rest);
  switch (word) {
    case 'set':
      connection.values.set(name, given);
      return done;
    case 'prepare': {
      const [verb, text] = plainWords.cut(given);
      connection.prepared.set(name, { verb, text });
      return done;
    }
    case 'forget':
      return connection.prepared.delete(name) ? done : { condition: 'undefined' };
    case 'clear':
      connection.values.clear();
      connection.prepared.clear();
      return done;
    default:
      return undefined;
  }
}

/** Runs one statement of a connection; statements of one connection come one after another. */
function run(parts: MemberParts, connection: MemberConnection, identifier: string, text: string): Outcome | Promise<Outcome> {
  const [word, rest] = plainWords.cut(text);
  switch (word) {
    case 'since':
      return since(parts, connection, identifier, rest);
    case 'begin':
      return begin(parts, connection, rest === 'reading');
    case 'commit':
    case 'rollback':
      return end(parts, connection, identifier, word === 'commit');
    case 'get':
    case 'put':
      return statement(parts, { connection, identifier, verb: word, rest, prepared: false });
    case 'execute':
      return execute(parts, connection, identifier, rest);
    case 'state':
      return state(parts);
    default:
      return change(connection, word, rest) ?? { condition: 'malformed' };
  }
}

export const sessionStatements = { run, noStamp } as const;
