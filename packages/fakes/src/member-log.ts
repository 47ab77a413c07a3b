/** The log of a stand-in member and the rows that follow from it: commits, late application, and cutting back after a change of leader. */
import type { Runtime } from '@stallstall/kernel';
import type { Position } from '@stallstall/session-protocol';
import type { SessionCommit, SessionMemberStore, SessionWrite } from './session-member-types.js';

/** By term: the last number of it in a log. */
export type TermEnds = Readonly<Record<number, number>>;

export type MemberLog = Readonly<{
  /** The value of a row as far as the log is applied. */
  row: (thing: string) => string | undefined;
  /** How far the log is applied, and how far it reaches. */
  applied: () => Position;
  received: () => Position;
  appliedEnds: () => TermEnds;
  /** Appends a commit of the store's term, applied at once. */
  commit: (writes: readonly SessionWrite[]) => SessionCommit;
  /** Appends what the leader sent; applied after a while. */
  receive: (commit: SessionCommit, applyMilliseconds: number) => void;
  /** Drops all behind this length; false when nothing is behind it. */
  cutBack: (length: number) => boolean;
  applyAll: () => void;
}>;

const beginning: Position = { term: 0, number: 0 };

/** Among entries up to `index`, where the first of its term stands: the terms of a log never fall. */
function firstOfTerm(log: readonly SessionCommit[], index: number): number {
  const { term } = log[index] as SessionCommit;
  let low = 0;
  let high = index;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((log[middle] as SessionCommit).term >= term) high = middle;
    else low = middle + 1;
  }
  return low;
}

/** The ends of terms among the first `length` entries, found backwards: a log of thousands has a handful. */
function endsOf(log: readonly SessionCommit[], length: number): TermEnds {
  const ends: Record<number, number> = {};
  for (let index = length - 1; index >= 0; index = firstOfTerm(log, index) - 1) {
    const commit = log[index] as SessionCommit;
    ends[commit.term] = commit.number;
  }
  return ends;
}

/** How far two logs agree: what is at the same number of the same term is the same, and so is all before it. */
function agreed(left: TermEnds, right: TermEnds): number {
  return Math.max(0, ...Object.entries(left).map(([term, end]) => Math.min(end, right[Number(term)] ?? 0)));
}

function create(runtime: Runtime, store: SessionMemberStore): MemberLog {
  const rows = new Map<string, string>();
  let applied = store.log.length;
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
    return commit === undefined ? beginning : { term: commit.term, number: commit.number };
  }

  function receive(commit: SessionCommit, applyMilliseconds: number): void {
    store.log.push(commit);
    runtime.clock.startTimer(applyMilliseconds, function due() {
      while (store.role === 'replica' && applied < store.log.length && (store.log[applied] as SessionCommit).number <= commit.number) {
        apply(store.log[applied] as SessionCommit);
        applied += 1;
      }
    });
  }

  function cutBack(length: number): boolean {
    if (length >= store.log.length) return false;
    store.log.length = length;
    if (applied > length) {
      applied = length;
      rebuild();
    }
    return true;
  }

  return {
    row: (thing) => rows.get(thing),
    applied: () => positionOf(applied),
    received: () => positionOf(store.log.length),
    appliedEnds: () => endsOf(store.log, applied),
    commit: function commit(writes) {
      const done: SessionCommit = { term: store.term, number: store.log.length + 1, writes };
      store.log.push(done);
      applied = store.log.length;
      apply(done);
      return done;
    },
    receive,
    cutBack,
    applyAll: function applyAll() {
      applied = store.log.length;
      rebuild();
    },
  };
}

export const memberLogs = { create, endsOf, agreed } as const;
