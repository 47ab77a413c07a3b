/** Checks of statements: every write applied exactly once, reads as fresh as guaranteed, no mix-up between sessions. */
import type { Ledger, ReadRecord, WriteRecord } from '@stallstall/fakes';
import type { Violation } from './check-records.js';

/** The greatest age of what a bounded read may return. */
const boundMilliseconds = 1_500;

/** No write is applied twice, lost after its acknowledgement, or applied although the client was told that nothing was. */
export function writes(ledger: Pick<Ledger, 'writes'>, logs: ReadonlyMap<string, ReadonlyMap<string, number>>): readonly Violation[] {
  return ledger.writes.flatMap(function check(write): readonly Violation[] {
    const times = logs.get(write.service)?.get(write.name) ?? 0;
    const reported = `${write.name} (${write.fate}: ${write.reason}, ${Math.round(write.startedAt)}-${Math.round(write.endedAt)} ms) is in the log ${times} times`;
    if (times > 1) return [{ check: 'write-doubled', detail: reported }];
    if (write.fate === 'kept' && times === 0) return [{ check: 'write-vanished', detail: reported }];
    if (write.fate === 'nothing-kept' && times > 0) return [{ check: 'write-kept-after-denial', detail: reported }];
    return [];
  });
}

/** Returns a function that gives the highest value at or before a moment. The events may be in any order. */
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
  const values = events.get(mark) ?? [];
  events.set(mark, values);
  values.push({ at, value });
}

/** The lowest sequence number that a read may return, given the acknowledged writes of its own session. */
function requiredSequence(read: ReadRecord, own: readonly WriteRecord[]): number {
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
 * Checks every read against every acknowledged commit of its service, through whichever session and edge the commit came. A leader read
 * also sees whatever an earlier leader read has returned. A session's own mark, read with its prepared statement, holds only its own writes.
 */
export function reads(ledger: Pick<Ledger, 'writes' | 'reads'>): readonly Violation[] {
  const bySession = new Map<number, WriteRecord[]>();
  const marks: MarkEvents = new Map();
  const leaderReads: MarkEvents = new Map();
  for (const write of ledger.writes) {
    const own = bySession.get(write.session) ?? [];
    bySession.set(write.session, own);
    own.push(write);
    if (write.fate === 'kept') push(marks, write.shared, write.endedAt, write.sequence);
  }
  for (const read of ledger.reads)
    if (read.ok && read.kind === 'leader-read') push(leaderReads, read.shared.mark, read.endedAt, read.shared.sequence);
  const acknowledged = new Map([...marks].map(([mark, events]) => [mark, highestBefore(events)]));
  const shown = new Map([...leaderReads].map(([mark, events]) => [mark, highestBefore(events)]));
  return ledger.reads.flatMap(function check(read): readonly Violation[] {
    if (!read.ok) return [];
    const own = bySession.get(read.session) ?? [];
    const required = requiredSequence(read, own);
    const at = `at ${Math.round(read.startedAt)}-${Math.round(read.endedAt)} ms through ${read.through}`;
    const violations: Violation[] = [];
    if (read.sequence < required)
      violations.push({
        check: `stale-${read.kind}`,
        detail: `session ${read.session} of ${read.service} read its own ${read.sequence}, not ${required}, ${at}`,
      });
    if (read.sequence > 0 && !own.some((write) => write.sequence === read.sequence)) {
      violations.push({
        check: 'session-crossed',
        detail: `session ${read.session} read ${read.sequence} with its own prepared statement, which it never wrote, ${at}`,
      });
    }
    const bound = read.startedAt - (read.kind === 'leader-read' ? 0 : boundMilliseconds);
    const latestAcknowledged = acknowledged.get(read.shared.mark)?.(bound) ?? 0;
    if (read.shared.sequence < latestAcknowledged)
      violations.push({
        check: `stale-${read.kind}`,
        detail: `session ${read.session} of ${read.service} read ${read.shared.sequence} of ${read.shared.mark}, not ${latestAcknowledged}, ${at}`,
      });
    const alreadyShown = read.kind === 'leader-read' ? (shown.get(read.shared.mark)?.(read.startedAt) ?? 0) : 0;
    if (read.shared.sequence < alreadyShown)
      violations.push({
        check: 'leader-read-unseen',
        detail: `session ${read.session} of ${read.service} read ${read.shared.sequence} of ${read.shared.mark}, although ${alreadyShown} had been returned before, ${at}`,
      });
    return violations;
  });
}

export function sessions(ledger: Pick<Ledger, 'crossed'>, memberCrossings: number): readonly Violation[] {
  return ledger.crossed + memberCrossings === 0
    ? []
    : [
        {
          check: 'session-crossed',
          detail: `${ledger.crossed} replies with another session's value, ${memberCrossings} transactions used by another session`,
        },
      ];
}
