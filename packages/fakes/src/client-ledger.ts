/** The ledger of all that clients of the HTTP wire asked and were told; the checkers read it (design 10.3). */
import * as Either from 'fp-ts/lib/Either.js';
import type { HttpReply } from '@stallstall/kernel';

/** A mark that every session of a service raises: what one has written, every other must read. */
export type SharedMark = Readonly<{ mark: string; sequence: number }>;
/** A write, and whether it was kept as far as its client can know. */
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
/** A read, and what it saw: `sequence` of the session's own writes, -1 when it was not served. */
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

/** All that clients asked and were told. */
export type Ledger = {
  readonly writes: WriteRecord[];
  readonly reads: ReadRecord[];
  readonly exchanges: ExchangeRecord[];
  crossed: number;
  /** Errors by name, for reports. */
  readonly reasons: Map<string, number>;
  /** Served and denied by second, for the checks on recovery. */
  readonly bySecond: Map<number, { served: number; rejected: number; asked: number }>;
  readonly servedByService: Map<string, Map<number, number>>;
  readonly usageByWindow: Map<string, number>;
  longestRejection: number;
};

/** What came of an exchange. */
export type Reply = Either.Either<unknown, HttpReply>;

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
    longestRejection: 0,
  };
}

/** `served`, or the name of the fault that the client was told. */
function reasonOf(reply: Reply): string {
  if (Either.isLeft(reply)) return (reply.left as Error).name;
  if (reply.right.status < 300) return 'served';
  return String((reply.right.body as { error?: unknown } | null)?.error ?? reply.right.status);
}

/** Whether a write was kept, as far as its client can know. */
function fateOf(reason: string): WriteRecord['fate'] {
  if (reason === 'served') return 'kept';
  return definite.has(reason) ? 'nothing-kept' : 'unknown';
}

/** Notes what came of a statement that began at `startedAt` and has ended `now`, both in milliseconds. */
function note(ledger: Ledger, service: string, startedAt: number, now: number, reason: string): void {
  const second = Math.floor(now / 1_000);
  const slot = ledger.bySecond.get(second) ?? { served: 0, rejected: 0, asked: 0 };
  ledger.bySecond.set(second, slot);
  slot.asked += 1;
  if (reason === 'served') {
    slot.served += 1;
    const seconds = ledger.servedByService.get(service) ?? new Map<number, number>();
    ledger.servedByService.set(service, seconds);
    seconds.set(second, (seconds.get(second) ?? 0) + 1);
  } else {
    slot.rejected += 1;
    ledger.longestRejection = Math.max(ledger.longestRejection, now - startedAt);
  }
  ledger.reasons.set(reason, (ledger.reasons.get(reason) ?? 0) + 1);
}

export const clientLedger = { empty: emptyLedger, reasonOf, fateOf, note } as const;
