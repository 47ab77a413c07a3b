// How far each service's commits reach, as all edges together have seen it (design 8.11).
import { identifiers, type Instant, type Kernel } from '@stallstall/kernel';
import type { LogPosition, CommitWatermarks } from '@stallstall/message';
import { marginMilliseconds, termMilliseconds } from '@stallstall/quorum-lease';

export type CommitWatermarkTable = Readonly<{
  /** What an edge has seen of leaders, and how far the commits reach that its senders were told of so long ago. */
  report: (node: string, seen: CommitWatermarks, commits: Readonly<Record<string, LogPosition>>, agoMilliseconds: number) => void;
  /** Another process runs as this edge: what the one before acknowledged last it may have told nobody. `as`: the name its telling goes on under. */
  processRestarted: (node: string, as: string) => void;
  all: (lessees: KnownLeaseHolders) => Record<string, { term: number; number: number; ago: number }>;
}>;

/** Who may have acknowledged commits, as far as this core can tell. */
export type KnownLeaseHolders = Readonly<{
  /** All that held leases lately. */
  edges: readonly string[];
  /** When each of them asked for leases last. */
  askedAt: ReadonlyMap<string, Instant>;
  /** Until then others may have held leases that an earlier process or occupant of this core's seat granted. */
  unknownHoldersUntil: Instant;
}>;

type Mark = Readonly<{ position: LogPosition; at: Instant }>;

/** After so long an edge that says nothing acknowledges nothing more: its leases have ended. */
const endedMilliseconds = termMilliseconds + marginMilliseconds;

function compare(left: LogPosition, right: LogPosition): number {
  return left.term === right.term ? left.number - right.number : left.term - right.term;
}

/** The later of two moments. */
export function later(left: Instant, right: Instant | undefined): Instant {
  return right === undefined || left > right ? left : right;
}

function create(kernel: Kernel): CommitWatermarkTable {
  const toldAt = new Map<string, Instant>();
  const commitWatermarkTable = new Map<string, Mark>();
  const commits = new Map<string, LogPosition>();

  function told(node: string, seen: CommitWatermarks, committed: Readonly<Record<string, LogPosition>>, agoMilliseconds: number): void {
    const now = kernel.clock.now();
    toldAt.set(node, later(identifiers.after(now, -agoMilliseconds), toldAt.get(node)));
    for (const [service, position] of Object.entries(committed)) {
      const known = commits.get(service);
      if (known === undefined || compare(position, known) > 0) commits.set(service, { term: position.term, number: position.number });
    }
    for (const [service, mark] of Object.entries(seen)) {
      const at = identifiers.after(now, -mark.ago);
      const known = commitWatermarkTable.get(service);
      if (known === undefined || at > known.at)
        commitWatermarkTable.set(service, { at, position: { term: mark.term, number: mark.number } });
    }
  }

  /**
   * While no leader replies, what edges were told still grows: a commit is known to some edge before its sender hears of it. Once every
   * edge that may have acknowledged anything since the last mark has told again, the highest commit covers all up to the earliest telling.
   */
  function composed(mark: Mark, commit: LogPosition, { edges, askedAt, unknownHoldersUntil: strangersUntil }: KnownLeaseHolders): Mark {
    // An edge that this core never met may have acknowledged something since the mark, and tells it nothing.
    if (mark.at < strangersUntil) return mark;
    let earliest = kernel.clock.now();
    for (const edge of edges) {
      // One that asked for no lease since so long before the mark has acknowledged nothing that the mark does not cover.
      if ((askedAt.get(edge) ?? mark.at) + endedMilliseconds <= mark.at) continue;
      const at = toldAt.get(edge) ?? identifiers.instant(Number.NEGATIVE_INFINITY);
      if (at < earliest) earliest = at;
    }
    if (earliest <= mark.at) return mark;
    return { at: earliest, position: compare(commit, mark.position) > 0 ? commit : mark.position };
  }

  function beganAnew(node: string, as: string): void {
    const at = toldAt.get(node);
    toldAt.delete(node);
    if (at !== undefined) toldAt.set(as, at);
  }

  return {
    report: told,
    processRestarted: beganAnew,
    all: function all(lessees) {
      const now = kernel.clock.now();
      return Object.fromEntries(
        [...commitWatermarkTable].map(([service, mark]) => {
          const { at, position } = composed(mark, commits.get(service) ?? mark.position, lessees);
          return [service, { term: position.term, number: position.number, ago: Math.max(0, now - at) }];
        }),
      );
    },
  };
}

export const commitWatermarkTable = { create } as const;
