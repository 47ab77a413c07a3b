// Senders and the ledger they keep; the checkers read the ledger (design 10.3).
import * as Either from 'fp-ts/lib/Either.js';
import { identifiers, type HttpConnection, type HttpReply, type Kernel } from '@stallstall/kernel';
import type { Deployment } from './deployment.js';

/** A mark that every session of a service raises: what one has written, every other must read. */
export type SharedMark = Readonly<{ mark: string; sequence: number }>;
export type WriteRecord = Readonly<{
  shared: string;
  name: string;
  session: number;
  sessionName: string;
  service: string;
  sequence: number;
  startedAt: number;
  endedAt: number;
  fate: 'kept' | 'nothing-kept' | 'unknown';
  reason: string;
}>;
export type ReadRecord = Readonly<{
  shared: SharedMark;
  service: string;
  kind: string;
  session: number;
  sessionName: string;
  startedAt: number;
  endedAt: number;
  sequence: number;
  ok: boolean;
  reason: string;
  through: string;
}>;

/** One exchange with a proxy; `open` when it goes on with a transaction that began at `openSince`. */
export type ExchangeRecord = Readonly<{
  edge: string;
  path: string;
  startedAt: number;
  endedAt: number;
  reason: string;
  openSince: number;
}>;

export type Ledger = {
  readonly writes: WriteRecord[];
  readonly reads: ReadRecord[];
  readonly exchanges: ExchangeRecord[];
  crossed: number;
  /** Errors by name, for reports. */
  readonly reasons: Map<string, number>;
  /** Served and denied by second, for the checks on recovery. */
  readonly bySecond: Map<number, { served: number; denied: number; asked: number }>;
  readonly servedByService: Map<string, Map<number, number>>;
  readonly usageByWindow: Map<string, number>;
  longestDenial: number;
};

export type SenderSettings = Readonly<{
  deployment: Deployment;
  edges: () => readonly string[];
  key: string;
  sessions: number;
  requestsPerSecond: number;
  horizonMilliseconds: number;
  /** The share of statements whose horizon is so short that their reply mostly comes after it. */
  hastyShare?: number;
  /** Told apart from other senders that write to the same services. */
  tag: string;
}>;

const windowMilliseconds = 5_000;
/** Some senders go quiet in the midst of a transaction; what they began must neither be kept nor met by another. */
const abandonedShare = 0.01;
const hastyMilliseconds = 12;
const sharedMarks = 4;
/** What passes between a transaction's first statement and its commit. */
const thinkMilliseconds = 60;
const slowThinkerShare = 0.05;
const slowThinkMilliseconds = 4_000;
const abandonedMilliseconds = 6_500;
/** Definite: the system promises that nothing was kept. Everything else may have happened. */
const definite = new Set([
  'bad-request',
  'not-found',
  'key-denied',
  'read-only',
  'no-target',
  'stale-configuration',
  'draining',
  'overloaded',
  'given-up',
  'transaction-ended',
  'session-lost',
  'statement-denied',
  'unreachable',
]);

function emptyLedger(): Ledger {
  return {
    writes: [],
    reads: [],
    exchanges: [],
    crossed: 0,
    reasons: new Map(),
    bySecond: new Map(),
    servedByService: new Map(),
    usageByWindow: new Map(),
    longestDenial: 0,
  };
}

function reasonOf(reply: Either.Either<unknown, HttpReply>): string {
  if (Either.isLeft(reply)) return (reply.left as Error).name;
  if (reply.right.status < 300) return 'served';
  return String((reply.right.body as { error?: unknown } | null)?.error ?? reply.right.status);
}

/** Each session is one task that asks, waits for the reply, and pauses, so that the whole gives the deployment's rate. */
function start(kernel: Kernel, settings: SenderSettings, ledger: Ledger): Readonly<{ stop: () => void }> {
  const sequences = new Map<string, number>();
  let stopped = false;

  function note(service: string, startedAt: number, reason: string): void {
    const now = kernel.clock.now();
    const second = Math.floor(now / 1_000);
    const slot = ledger.bySecond.get(second) ?? { served: 0, denied: 0, asked: 0 };
    ledger.bySecond.set(second, slot);
    slot.asked += 1;
    if (reason === 'served') {
      slot.served += 1;
      const seconds = ledger.servedByService.get(service) ?? new Map<number, number>();
      ledger.servedByService.set(service, seconds);
      seconds.set(second, (seconds.get(second) ?? 0) + 1);
    } else {
      slot.denied += 1;
      ledger.longestDenial = Math.max(ledger.longestDenial, now - startedAt);
    }
    ledger.reasons.set(reason, (ledger.reasons.get(reason) ?? 0) + 1);
  }

  function nextSequence(service: string): number {
    const next = (sequences.get(service) ?? 0) + 1;
    sequences.set(service, next);
    return next;
  }

  async function session(index: number): Promise<void> {
    const service = settings.deployment.services[index % settings.deployment.services.length] as string;
    const period = (settings.sessions / settings.requestsPerSecond) * 1_000;
    let connection: HttpConnection | undefined;
    let edge = '';
    let name = '';
    let marks = 0;
    let openSince = Number.POSITIVE_INFINITY;

    async function exchange(method: string, path: string, body: unknown): Promise<Either.Either<unknown, HttpReply>> {
      const startedAt = kernel.clock.now();
      const at = edge;
      const reply = await (connection as HttpConnection).exchange(
        {
          method,
          path,
          body,
          headers: {
            'x-stallstall-key': settings.key,
            ...(name === '' || path.endsWith('/sessions') ? {} : { 'x-stallstall-session': name }),
          },
        },
        settings.horizonMilliseconds + 3_000,
      );
      ledger.exchanges.push({ edge: at, path, startedAt, endedAt: kernel.clock.now(), reason: reasonOf(reply), openSince });
      return reply;
    }

    async function openSession(): Promise<boolean> {
      const edges = settings.edges();
      connection?.close();
      edge = edges[Math.floor(kernel.randomness.fraction() * edges.length)] ?? '';
      if (edge === '') return false;
      connection = kernel.network.connect(identifiers.address(edge));
      name = '';
      const startedAt = kernel.clock.now();
      const reply = await exchange('POST', `/v1/services/${service}/sessions`, {});
      if (Either.isLeft(reply) || reply.right.status !== 201) {
        note(service, startedAt, `session:${reasonOf(reply)}`);
        return false;
      }
      name = String((reply.right.body as { session: unknown }).session);
      // Every session uses the same names for its value and its shape, and its own contents.
      const valued = await exchange('PUT', `/v1/sessions/${name}/values/owner`, { value: `${settings.tag}-${index}` });
      const shaped = await exchange('PUT', `/v1/sessions/${name}/shapes/mine`, { text: `get ${settings.tag}/${service}/session-${index}` });
      if (reasonOf(valued) !== 'served' || reasonOf(shaped) !== 'served') {
        name = '';
        return false;
      }
      return true;
    }

    function lost(reason: string): boolean {
      return (
        reason === 'session-lost' ||
        reason === 'unreachable' ||
        reason === 'reply-lost' ||
        reason === 'draining' ||
        reason === 'stale-configuration'
      );
    }

    async function statement(
      kind: string,
      statements: readonly unknown[],
      transaction: string,
    ): Promise<Either.Either<unknown, HttpReply>> {
      const hasty = kernel.randomness.fraction() < (settings.hastyShare ?? 0);
      const reply = await exchange('POST', `/v1/services/${service}/statements`, {
        kind,
        statements,
        transaction,
        horizonMilliseconds: hasty ? hastyMilliseconds : settings.horizonMilliseconds,
      });
      if (reasonOf(reply) === 'served') {
        const window = `${Math.floor(kernel.clock.wall() / windowMilliseconds)}|${service}`;
        ledger.usageByWindow.set(window, (ledger.usageByWindow.get(window) ?? 0) + 1);
      }
      return reply;
    }

    async function write(transaction: boolean): Promise<string> {
      const sequence = nextSequence(service);
      const startedAt = kernel.clock.now();
      const record = `${settings.tag}/${service}/${sequence}`;
      const shared = `${settings.tag}/${service}/shared-${sequence % sharedMarks}`;
      const puts = [
        { text: 'put', parameters: [record, sequence] },
        { text: 'raise', parameters: [`${settings.tag}/${service}/session-${index}`, sequence] },
        { text: 'raise', parameters: [shared, sequence] },
        { text: 'value owner' },
      ];
      let reply: Either.Either<unknown, HttpReply>;
      openSince = Number.POSITIVE_INFINITY;
      if (transaction) {
        reply = await statement('write', puts.slice(0, 2), 'begin');
        if (reasonOf(reply) === 'served' && kernel.randomness.fraction() < abandonedShare) {
          ledger.writes.push({
            shared,
            name: record,
            session: index,
            sessionName: name,
            service,
            sequence,
            startedAt,
            endedAt: kernel.clock.now(),
            fate: 'nothing-kept',
            reason: 'abandoned',
          });
          await kernel.clock.sleep(abandonedMilliseconds);
          return 'session-lost';
        }
        if (reasonOf(reply) === 'served') {
          openSince = kernel.clock.now();
          const slow = kernel.randomness.fraction() < slowThinkerShare;
          await kernel.clock.sleep((slow ? slowThinkMilliseconds : thinkMilliseconds) * kernel.randomness.fraction());
          reply = await statement('write', puts.slice(2), 'commit');
          openSince = Number.POSITIVE_INFINITY;
        } else if (Either.isLeft(reply)) {
          // Begun, its fate unknown, but never committed: nothing may be kept of it.
          ledger.writes.push({
            shared,
            name: record,
            session: index,
            sessionName: name,
            service,
            sequence,
            startedAt,
            endedAt: kernel.clock.now(),
            fate: 'nothing-kept',
            reason: 'begin lost',
          });
          note(service, startedAt, reasonOf(reply));
          return reasonOf(reply);
        }
      } else reply = await statement('write', puts, 'none');
      const reason = reasonOf(reply);
      const fate = reason === 'served' ? 'kept' : definite.has(reason) ? 'nothing-kept' : 'unknown';
      ledger.writes.push({
        shared,
        name: record,
        session: index,
        sessionName: name,
        service,
        sequence,
        startedAt,
        endedAt: kernel.clock.now(),
        fate,
        reason,
      });
      if (fate === 'kept') {
        const results = ((reply as Either.Right<HttpReply>).right.body as { results: readonly unknown[] }).results;
        if (results.at(-1) !== `${settings.tag}-${index}`) ledger.crossed += 1;
      }
      note(service, startedAt, reason);
      return reason;
    }

    /** Reads the latest of its own writes, and a shared mark that all sessions of the service move on. */
    async function read(kind: string): Promise<string> {
      const startedAt = kernel.clock.now();
      const mark = `${settings.tag}/${service}/shared-${Math.floor(kernel.randomness.fraction() * sharedMarks)}`;
      const reply = await statement(kind, [{ text: 'shape mine' }, { text: 'get', parameters: [mark] }, { text: 'value owner' }], 'none');
      const reason = reasonOf(reply);
      let sequence = -1;
      let seen = -1;
      let through = edge;
      if (reason === 'served') {
        const results = ((reply as Either.Right<HttpReply>).right.body as { results: readonly unknown[] }).results;
        through = `${edge} and ${String(((reply as Either.Right<HttpReply>).right.body as { member: unknown }).member)}`;
        sequence = typeof results[0] === 'number' ? results[0] : 0;
        seen = typeof results[1] === 'number' ? results[1] : 0;
        if (results[2] !== `${settings.tag}-${index}`) ledger.crossed += 1;
      }
      ledger.reads.push({
        shared: { mark, sequence: seen },
        service,
        kind,
        session: index,
        sessionName: name,
        startedAt,
        endedAt: kernel.clock.now(),
        sequence,
        ok: reason === 'served',
        reason,
        through,
      });
      note(service, startedAt, reason);
      return reason;
    }

    await kernel.clock.sleep(kernel.randomness.fraction() * period);
    while (!stopped) {
      if (name === '') {
        if (!(await openSession())) {
          await kernel.clock.sleep(500 + 500 * kernel.randomness.fraction());
          continue;
        }
      }
      const draw = kernel.randomness.fraction();
      let sum = 0;
      const kind =
        settings.deployment.mix.find((one) => {
          sum += one.share;
          return draw < sum;
        }) ?? settings.deployment.mix[0];
      const startedAt = kernel.clock.now();
      marks += 1;
      const reason =
        kind?.kind === 'write'
          ? await write(kind.transaction)
          : await read(marks % 5 === 0 ? 'leader-read' : (kind?.kind ?? 'bounded-read'));
      if (lost(reason)) name = '';
      const spent = kernel.clock.now() - startedAt;
      const pause = reason === 'served' ? period - spent : Math.max(period - spent, 700 + 600 * kernel.randomness.fraction());
      await kernel.clock.sleep(Math.max(1, pause));
    }
    (connection as HttpConnection | undefined)?.close();
  }

  for (let index = 0; index < settings.sessions; index += 1) void session(index);
  return {
    stop: function stop() {
      stopped = true;
    },
  };
}

export const sender = { start, emptyLedger } as const;
