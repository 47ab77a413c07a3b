/** One session of a client of the HTTP wire: it opens at an edge, writes and reads, and opens anew when it is lost (design 10.3). */
import * as Either from 'fp-ts/lib/Either.js';
import { identifiers, type HttpConnection, type Runtime } from '@stallstall/kernel';
import type { Deployment } from './deployment.js';
import { clientLedger, type Ledger, type Reply, type WriteRecord } from './client-ledger.js';

export type ClientSettings = Readonly<{
  deployment: Deployment;
  edges: () => readonly string[];
  key: string;
  sessions: number;
  requestsPerSecond: number;
  deadlineMilliseconds: number;
  /** The share of statements whose time limit is so short that their reply mostly comes after it. */
  hastyShare?: number;
  /** Told apart from other clients that write to the same services. */
  tag: string;
}>;

/** What all sessions of the settings share. */
export type SessionParts = Readonly<{
  runtime: Runtime;
  settings: ClientSettings;
  ledger: Ledger;
  /** Numbers the writes to a service. */
  nextSequence: (service: string) => number;
  stopped: () => boolean;
}>;

type SessionState = {
  readonly index: number;
  readonly service: string;
  connection: HttpConnection | undefined;
  edge: string;
  /** Empty while no session is open. */
  name: string;
  /** How many operations it has begun. */
  operations: number;
  /** When its open transaction began. */
  openSince: number;
};

type Statement = Readonly<{ text: string; parameters?: readonly unknown[] }>;

const windowMilliseconds = 5_000;
/** Some clients go silent in the midst of a transaction; what they began must neither be kept nor seen by another. */
const abandonedShare = 0.01;
const abandonedMilliseconds = 6_500;
const hastyMilliseconds = 12;
const sharedMarks = 4;
/** What passes between a transaction's first statement and its commit. */
const thinkMilliseconds = 60;
const slowThinkerShare = 0.05;
const slowThinkMilliseconds = 4_000;
/** A reply is waited for so much longer than the time limit that the edge is told. */
const lateMilliseconds = 3_000;
/** Every so many operations a read is asked of the leader. */
const leaderReadEvery = 5;
const none = Number.POSITIVE_INFINITY;
/** After these a session is opened anew. */
const lostReasons: ReadonlySet<string> = new Set(['session-lost', 'unreachable', 'reply-lost', 'draining', 'stale-configuration']);

async function exchange(parts: SessionParts, session: SessionState, method: string, path: string, body: unknown): Promise<Reply> {
  const { runtime, settings, ledger } = parts;
  const { edge, name, openSince } = session;
  const startedAt = runtime.clock.now();
  const sessionHeader: Readonly<Record<string, string>> = name === '' || path.endsWith('/sessions') ? {} : { 'x-stallstall-session': name };
  const headers = { 'x-stallstall-key': settings.key, ...sessionHeader };
  const reply = await (session.connection as HttpConnection).exchange(
    { method, path, body, headers },
    settings.deadlineMilliseconds + lateMilliseconds,
  );
  ledger.exchanges.push({ edge, path, startedAt, endedAt: runtime.clock.now(), reason: clientLedger.reasonOf(reply), openSince });
  return reply;
}

/** Connects to some edge and opens a session there; whether there is one. */
async function open(parts: SessionParts, session: SessionState): Promise<boolean> {
  const { runtime, settings, ledger } = parts;
  const { service } = session;
  const edges = settings.edges();
  session.connection?.close();
  session.edge = edges[Math.floor(runtime.randomness.fraction() * edges.length)] ?? '';
  if (session.edge === '') return false;
  session.connection = runtime.network.connect(identifiers.address(session.edge));
  session.name = '';
  const startedAt = runtime.clock.now();
  const reply = await exchange(parts, session, 'POST', `/v1/services/${service}/sessions`, {});
  if (Either.isLeft(reply) || reply.right.status !== 201) {
    clientLedger.note(ledger, service, startedAt, runtime.clock.now(), `session:${clientLedger.reasonOf(reply)}`);
    return false;
  }
  session.name = String((reply.right.body as { session: unknown }).session);
  return furnish(parts, session);
}

/** Every session uses the same names for its value and its prepared statement, and its own contents. */
async function furnish(parts: SessionParts, session: SessionState): Promise<boolean> {
  const { tag } = parts.settings;
  const { name, service, index } = session;
  const valued = await exchange(parts, session, 'PUT', `/v1/sessions/${name}/values/owner`, { value: `${tag}-${index}` });
  const text = `get ${tag}/${service}/session-${index}`;
  const prepared = await exchange(parts, session, 'PUT', `/v1/sessions/${name}/shapes/mine`, { text });
  if (clientLedger.reasonOf(valued) === 'served' && clientLedger.reasonOf(prepared) === 'served') return true;
  session.name = '';
  return false;
}

async function run(
  parts: SessionParts,
  session: SessionState,
  kind: string,
  statements: readonly Statement[],
  transaction: string,
): Promise<Reply> {
  const { runtime, settings, ledger } = parts;
  const { service } = session;
  const hasty = runtime.randomness.fraction() < (settings.hastyShare ?? 0);
  const reply = await exchange(parts, session, 'POST', `/v1/services/${service}/statements`, {
    kind,
    statements,
    transaction,
    horizonMilliseconds: hasty ? hastyMilliseconds : settings.deadlineMilliseconds,
  });
  if (clientLedger.reasonOf(reply) === 'served') {
    const window = `${Math.floor(runtime.clock.wall() / windowMilliseconds)}|${service}`;
    ledger.usageByWindow.set(window, (ledger.usageByWindow.get(window) ?? 0) + 1);
  }
  return reply;
}

/** A write that was begun. */
type BegunWrite = Readonly<Pick<WriteRecord, 'shared' | 'name' | 'sequence' | 'startedAt'>>;

function noteWrite(parts: SessionParts, session: SessionState, begun: BegunWrite, fate: WriteRecord['fate'], reason: string): void {
  const { index, name, service } = session;
  const endedAt = parts.runtime.clock.now();
  parts.ledger.writes.push({ ...begun, session: index, sessionName: name, service, endedAt, fate, reason });
}

/** The results of a reply that was served. */
function resultsOf(reply: Reply): readonly unknown[] {
  return Either.isRight(reply) ? (reply.right.body as { results: readonly unknown[] }).results : [];
}

/** The outcome of a transaction, or why it has none: its client went silent, or the reply to its beginning was lost. */
type TransactionOutcome = Readonly<{ reply: Reply }> | Readonly<{ over: 'abandoned' | 'begin lost'; reason: string }>;

async function runTransaction(parts: SessionParts, session: SessionState, puts: readonly Statement[]): Promise<TransactionOutcome> {
  const { clock, randomness } = parts.runtime;
  const begun = await run(parts, session, 'write', puts.slice(0, 2), 'begin');
  const reason = clientLedger.reasonOf(begun);
  if (reason !== 'served') return Either.isLeft(begun) ? { over: 'begin lost', reason } : { reply: begun };
  if (randomness.fraction() < abandonedShare) return { over: 'abandoned', reason: 'session-lost' };
  session.openSince = clock.now();
  const slow = randomness.fraction() < slowThinkerShare;
  await clock.sleep((slow ? slowThinkMilliseconds : thinkMilliseconds) * randomness.fraction());
  const reply = await run(parts, session, 'write', puts.slice(2), 'commit');
  session.openSince = none;
  return { reply };
}

/** A transaction that was never committed: nothing may be kept of it. */
async function noteOver(
  parts: SessionParts,
  session: SessionState,
  begun: BegunWrite,
  { over, reason }: Extract<TransactionOutcome, { over: unknown }>,
): Promise<string> {
  const { runtime, ledger } = parts;
  noteWrite(parts, session, begun, 'nothing-kept', over);
  if (over === 'abandoned') await runtime.clock.sleep(abandonedMilliseconds);
  else clientLedger.note(ledger, session.service, begun.startedAt, runtime.clock.now(), reason);
  return reason;
}

/** Writes a record of its own and raises two marks; returns what came of it. */
async function write(parts: SessionParts, session: SessionState, inTransaction: boolean): Promise<string> {
  const { runtime, settings, ledger } = parts;
  const { service, index } = session;
  const sequence = parts.nextSequence(service);
  const begun: BegunWrite = {
    shared: `${settings.tag}/${service}/shared-${sequence % sharedMarks}`,
    name: `${settings.tag}/${service}/${sequence}`,
    sequence,
    startedAt: runtime.clock.now(),
  };
  const puts: readonly Statement[] = [
    { text: 'put', parameters: [begun.name, sequence] },
    { text: 'raise', parameters: [`${settings.tag}/${service}/session-${index}`, sequence] },
    { text: 'raise', parameters: [begun.shared, sequence] },
    { text: 'value owner' },
  ];
  session.openSince = none;
  const outcome = inTransaction ? await runTransaction(parts, session, puts) : { reply: await run(parts, session, 'write', puts, 'none') };
  if ('over' in outcome) return noteOver(parts, session, begun, outcome);
  const reason = clientLedger.reasonOf(outcome.reply);
  const fate = clientLedger.fateOf(reason);
  noteWrite(parts, session, begun, fate, reason);
  if (fate === 'kept' && resultsOf(outcome.reply).at(-1) !== `${settings.tag}-${index}`) ledger.crossed += 1;
  clientLedger.note(ledger, service, begun.startedAt, runtime.clock.now(), reason);
  return reason;
}

/** Reads the latest of its own writes, and a shared mark that all sessions of the service raise. */
async function read(parts: SessionParts, session: SessionState, kind: string): Promise<string> {
  const { runtime, settings, ledger } = parts;
  const { service, index, edge } = session;
  const startedAt = runtime.clock.now();
  const mark = `${settings.tag}/${service}/shared-${Math.floor(runtime.randomness.fraction() * sharedMarks)}`;
  const statements = [{ text: 'shape mine' }, { text: 'get', parameters: [mark] }, { text: 'value owner' }];
  const reply = await run(parts, session, kind, statements, 'none');
  const reason = clientLedger.reasonOf(reply);
  const served = reason === 'served' && Either.isRight(reply);
  const [own, seen, owner] = served ? resultsOf(reply) : [];
  if (served && owner !== `${settings.tag}-${index}`) ledger.crossed += 1;
  ledger.reads.push({
    shared: { mark, sequence: served ? numberOr0(seen) : -1 },
    service,
    kind,
    session: index,
    sessionName: session.name,
    startedAt,
    endedAt: runtime.clock.now(),
    sequence: served ? numberOr0(own) : -1,
    ok: served,
    reason,
    through: served ? `${edge} and ${String((reply.right.body as { member: unknown }).member)}` : edge,
  });
  clientLedger.note(ledger, service, startedAt, runtime.clock.now(), reason);
  return reason;
}

function numberOr0(value: unknown): number {
  return typeof value === 'number' ? value : 0;
}

/** The deployment's next operation, drawn by its shares; returns what came of it. */
function operate(parts: SessionParts, session: SessionState): Promise<string> {
  const { mix } = parts.settings.deployment;
  const draw = parts.runtime.randomness.fraction();
  let sum = 0;
  const drawn = mix.find(function reaches(one) {
    sum += one.share;
    return draw < sum;
  });
  const kind = drawn ?? mix[0];
  session.operations += 1;
  if (kind?.kind === 'write') return write(parts, session, kind.transaction);
  return read(parts, session, session.operations % leaderReadEvery === 0 ? 'leader-read' : (kind?.kind ?? 'bounded-read'));
}

/** Asks, waits for the reply, and pauses, so that all sessions together give the deployment's rate. */
async function runSession(parts: SessionParts, index: number): Promise<void> {
  const { settings, stopped } = parts;
  const { clock, randomness } = parts.runtime;
  const { services } = settings.deployment;
  const period = (settings.sessions / settings.requestsPerSecond) * 1_000;
  const service = services[index % services.length] as string;
  const session: SessionState = { index, service, connection: undefined, edge: '', name: '', operations: 0, openSince: none };
  await clock.sleep(randomness.fraction() * period);
  while (!stopped()) {
    if (session.name === '' && !(await open(parts, session))) {
      await clock.sleep(500 + 500 * randomness.fraction());
      continue;
    }
    const startedAt = clock.now();
    const reason = await operate(parts, session);
    if (lostReasons.has(reason)) session.name = '';
    const left = period - (clock.now() - startedAt);
    await clock.sleep(Math.max(1, reason === 'served' ? left : Math.max(left, 700 + 600 * randomness.fraction())));
  }
  session.connection?.close();
}

export const clientSessions = { run: runSession } as const;
