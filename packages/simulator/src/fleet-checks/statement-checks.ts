/** Checks of statements: every write kept exactly once, reads as fresh as promised, sessions never mixed. */
import type { Ledger, ReadRecord, WriteRecord } from '@stallstall/fakes';
import type { Violation } from './check-records.js';

const boundMilliseconds = 1_500;

/** No write twice, none vanished after it was acknowledged, none kept after the sender heard that nothing was. */
export function writes(ledger: Pick<Ledger, 'writes'>, logs: ReadonlyMap<string, ReadonlyMap<string, number>>): readonly Violation[] {
  return ledger.writes.flatMap(function check(write): readonly Violation[] {
    const times = logs.get(write.service)?.get(write.name) ?? 0;
    const reported = `${write.name} (${write.fate}: ${write.reason}, ${Math.round(write.startedAt)}-${Math.round(write.endedAt)} ms) stands ${times} times`;
    if (times > 1) return [{ check: 'write-doubled', detail: reported }];
    if (write.fate === 'kept' && times === 0) return [{ check: 'write-vanished', detail: reported }];
    if (write.fate === 'nothing-kept' && times > 0) return [{ check: 'write-kept-after-denial', detail: reported }];
    return [];
  });
}

/** The highest value of a mark at or before a moment, from moments and values in any order. */
function highestBefore(events: ReadonlyArray<Readonly<{ at: number; value: number }>>): (moment: number) => number {
  const sorted = [...events].sort((left, right) => left.at - right.at);
  const highest: number[] = [];
  for (const event of sorted) highest.push(Math.max(event.value, highest.at(-1) ?? 0));
  return function before(moment) {
    let low = 0;
    let high = sorted.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((sorted[middle] as { at: number }).at <= moment) low = middle + 1;
      else high = middle;
    }
    return highest[low - 1] ?? 0;
  };
}

type MarkEvents = Map<string, Array<Readonly<{ at: number; value: number }>>>;

function push(events: MarkEvents, mark: string, at: number, value: number): void {
  const known = events.get(mark) ?? [];
  events.set(mark, known);
  known.push({ at, value });
}

function ownRequired(read: ReadRecord, own: readonly WriteRecord[]): number {
  let least = 0;
  for (const write of own) {
    if (write.fate !== 'kept') continue;
    const sameSession = write.sessionName === read.sessionName;
    const binds =
      read.kind === 'leader-read' || (read.kind === 'own-read' && sameSession)
        ? write.endedAt <= read.startedAt
        : write.endedAt <= read.startedAt - boundMilliseconds;
    if (binds) least = Math.max(least, write.sequence);
  }
  return least;
}

/**
 * Every read is held against every acknowledged commit of its service, whichever session and edge it came through, and what
 * a leader read has shown, no later one may miss. A session's own mark, read by its prepared shape, holds its own writes alone.
 */
export function reads(ledger: Pick<Ledger, 'writes' | 'reads'>): readonly Violation[] {
  const bySession = new Map<number, WriteRecord[]>();
  const marks: MarkEvents = new Map();
  const seen: MarkEvents = new Map();
  for (const write of ledger.writes) {
    const own = bySession.get(write.session) ?? [];
    bySession.set(write.session, own);
    own.push(write);
    if (write.fate === 'kept') push(marks, write.shared, write.endedAt, write.sequence);
  }
  for (const read of ledger.reads)
    if (read.ok && read.kind === 'leader-read') push(seen, read.shared.mark, read.endedAt, read.shared.sequence);
  const acknowledged = new Map([...marks].map(([mark, events]) => [mark, highestBefore(events)]));
  const shown = new Map([...seen].map(([mark, events]) => [mark, highestBefore(events)]));
  return ledger.reads.flatMap(function check(read): readonly Violation[] {
    if (!read.ok) return [];
    const own = bySession.get(read.session) ?? [];
    const least = ownRequired(read, own);
    const at = `at ${Math.round(read.startedAt)}-${Math.round(read.endedAt)} ms through ${read.through}`;
    const found: Violation[] = [];
    if (read.sequence < least)
      found.push({
        check: `stale-${read.kind}`,
        detail: `session ${read.session} of ${read.service} read its own ${read.sequence}, not ${least}, ${at}`,
      });
    if (read.sequence > 0 && !own.some((write) => write.sequence === read.sequence)) {
      found.push({
        check: 'session-crossed',
        detail: `session ${read.session} read ${read.sequence} by its own shape, which it never wrote, ${at}`,
      });
    }
    const bound = read.startedAt - (read.kind === 'leader-read' ? 0 : boundMilliseconds);
    const others = acknowledged.get(read.shared.mark)?.(bound) ?? 0;
    if (read.shared.sequence < others)
      found.push({
        check: `stale-${read.kind}`,
        detail: `session ${read.session} of ${read.service} read ${read.shared.sequence} of ${read.shared.mark}, not ${others}, ${at}`,
      });
    const before = read.kind === 'leader-read' ? (shown.get(read.shared.mark)?.(read.startedAt) ?? 0) : 0;
    if (read.shared.sequence < before)
      found.push({
        check: 'leader-read-unseen',
        detail: `session ${read.session} of ${read.service} read ${read.shared.sequence} of ${read.shared.mark}, where ${before} had been shown, ${at}`,
      });
    return found;
  });
}

export function sessions(ledger: Pick<Ledger, 'crossed'>, memberCrossings: number): readonly Violation[] {
  return ledger.crossed + memberCrossings === 0
    ? []
    : [
        {
          check: 'session-crossed',
          detail: `${ledger.crossed} replies with another session's value, ${memberCrossings} transactions met by another`,
        },
      ];
}
