// The disk half of the register: promises and accepted entries, each synced before its answer leaves (design 5.1).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, owner, type Disk, type Fault, type Owner } from '@stallstall/kernel';
import {
  ballotZero,
  EntrySchema,
  BallotSchema,
  message,
  type Request,
  type Ballot,
  type CoreSet,
  type Entry,
  type Reply,
} from '@stallstall/message';
import { compressedDifference } from './compressed-difference.js';

export type CellState = Readonly<{ promised: Ballot; accepted: Entry | null }>;

type Cell = { state: CellState };

/** Where a disk stands in the order of the sets of cores (design 4.8). */
export type CoreSetView = Readonly<{
  /** The number of the set stood at; below zero while it is between two. */
  number: () => number;
  /** What a proposer with an earlier set is told. */
  newerThan: (told: number) => CoreSet | undefined;
}>;

/** A set that never changes. */
const unchanging: CoreSetView = { number: () => 0, newerThan: () => undefined };

export type CellPage = Readonly<{ entries: Array<{ key: string; state: unknown }>; next: string }>;

export type Acceptor = Readonly<{
  prepare: (ask: Request<'prepare'>) => Promise<Reply<'prepare'>>;
  accept: (ask: Request<'accept'>) => Promise<Reply<'accept'>>;
  look: (ask: Request<'look'>) => Promise<Reply<'look'>>;
  accepted: (key: string) => Option.Option<Entry>;
  keys: () => readonly string[];
  cells: () => ReadonlyArray<Readonly<{ key: string; state: CellState }>>;
  /** A page of the cells as they stand on the disk, but for the archive. */
  page: (after: string) => Promise<Either.Either<Fault, CellPage>>;
  /** Takes over what another disk holds, never going back (design 4.3). */
  merge: (key: string, state: CellState) => Promise<boolean>;
  open: () => void;
  close: () => void;
  ready: () => boolean;
}>;

/** Where cells lie in the data folder. */
export const registerStoragePrefix = 'register/';
/** Cells that are read from the disk when asked for: they are many, and nobody waits for them (design 5.4). */
export const archivePrefix = 'archive/';
export const archiveStoragePrefix = `${registerStoragePrefix}${archivePrefix}`;
/** Follows every key of the archive, and no other key lies between: '0' comes next to '/'. */
const afterArchive = `${archivePrefix.slice(0, -1)}0`;
const pageBytes = 256 * 1024;
const archiveOwners = 32;
const unborn: CellState = { promised: ballotZero, accepted: null };
const unanswered: Reply<'prepare'> = { ready: false, agreed: false, promised: ballotZero, accepted: null };

function isCellState(value: unknown): value is CellState {
  const cell = value as Partial<CellState> | null;
  return (
    typeof cell === 'object' &&
    cell !== null &&
    message.matches(BallotSchema, cell.promised) &&
    (cell.accepted === null || message.matches(EntrySchema, cell.accepted))
  );
}

function mergeStates(left: CellState, right: CellState): CellState {
  const promised = message.compareBallots(left.promised, right.promised) >= 0 ? left.promised : right.promised;
  if (left.accepted === null) return { promised, accepted: right.accepted };
  if (right.accepted === null) return { promised, accepted: left.accepted };
  return { promised, accepted: message.compareBallots(left.accepted.ballot, right.accepted.ballot) >= 0 ? left.accepted : right.accepted };
}

/** Whether nothing would change on the disk: an entry is told by its ballot. */
function isSame(left: CellState, right: CellState): boolean {
  return (
    message.compareBallots(left.promised, right.promised) === 0 &&
    message.compareBallots(left.accepted?.ballot ?? ballotZero, right.accepted?.ballot ?? ballotZero) === 0
  );
}

function create(
  disk: Disk,
  stored: ReadonlyMap<string, unknown>,
  onAccepted: (key: string, entry: Entry) => void,
  onDamaged: (error: Fault) => void,
  standing: CoreSetView = unchanging,
  /** Keeps an entry that is about to be replaced by its successor; without it the successor is not accepted. */
  keepEarlier: (entry: Entry) => Promise<boolean> = () => Promise.resolve(true),
): Acceptor {
  const cells = new Map<string, Owner<Cell>>();
  const states = new Map<string, CellState>();
  // The archive's cells share a few owners, so that a copy of many need not wait for one disk after another.
  const archives = Array.from({ length: archiveOwners }, (_, index) => owner.create(`archive ${index}`, null));
  let open = false;

  for (const [key, value] of stored) {
    if (key.startsWith(registerStoragePrefix) && isCellState(value)) place(key.slice(registerStoragePrefix.length), value);
  }

  function place(key: string, state: CellState): Owner<Cell> {
    const cell = owner.create(key, { state });
    cells.set(key, cell);
    states.set(key, state);
    return cell;
  }

  function cellOf(key: string): Owner<Cell> {
    return cells.get(key) ?? place(key, unborn);
  }

  /** Runs a command on a cell, fetched first if it is of the archive; one that cannot be read gives no answer. */
  function on<Outcome>(key: string, unread: Outcome, command: (cell: Cell) => Promise<Outcome> | Outcome): Promise<Outcome> {
    if (!key.startsWith(archivePrefix)) return cellOf(key).run(command);
    const archive = archives[Number(/\d+$/.exec(key)?.[0] ?? 0) % archiveOwners] as Owner<null>;
    return archive.run(async function fetched() {
      const stored = await disk.read(registerStoragePrefix + key);
      if (Either.isLeft(stored)) {
        onDamaged(stored.left);
        return unread;
      }
      if (Option.isNone(stored.right)) return command({ state: unborn });
      if (isCellState(stored.right.value)) return command({ state: stored.right.value });
      onDamaged(fault.diskDamaged(key));
      return unread;
    });
  }

  /** False when the disk did not sync: then this core gives no answer, whatever the disk may hold. */
  async function keep(key: string, cell: Cell, state: CellState): Promise<boolean> {
    const kept = await disk.put(registerStoragePrefix + key, state);
    if (Either.isLeft(kept)) return false;
    cell.state = state;
    if (!key.startsWith(archivePrefix)) states.set(key, state);
    return true;
  }

  /** The accepted entry is left out where the asker holds it. */
  function reply(state: CellState, agreed: boolean, holds?: Ballot): Reply<'prepare'> {
    const { promised, accepted } = state;
    const held = holds !== undefined && accepted !== null && message.compareBallots(accepted.ballot, holds) === 0;
    return held ? { ready: true, agreed, promised, accepted: null, held } : { ready: true, agreed, promised, accepted };
  }

  /** Who asked to accept knows what it sent, and hears of others' entries when it prepares again. */
  function acceptReply(state: CellState, agreed: boolean): Reply<'accept'> {
    return { ready: true, agreed, promised: state.promised, accepted: null };
  }

  /** Only the very entry that the new one succeeds: what else is held here may never have been chosen (design 5.4). */
  async function keepReplaced({ accepted }: CellState, next: Entry): Promise<boolean> {
    if (accepted === null || next.after === undefined || message.compareBallots(accepted.ballot, next.after) !== 0) return true;
    return keepEarlier(accepted);
  }

  /** The entry that an ask stands for; none where its difference does not fit what is held here. */
  function entryOf(ask: Request<'accept'>, state: CellState): Option.Option<Entry> {
    if (ask.base === undefined) return Option.some(ask.entry);
    if (state.accepted === null || message.compareBallots(state.accepted.ballot, ask.base.ballot) !== 0) return Option.none;
    const joined = compressedDifference.join(state.accepted.value, ask.base.difference);
    return Either.isLeft(joined) ? Option.none : Option.some({ ...ask.entry, value: joined.right });
  }

  /** Whoever counts majorities of another set is given no answer; one that is behind is told the newer set (design 4.8). */
  function stranger(set: number | undefined): Option.Option<Reply<'prepare'>> {
    const told = set ?? 0;
    if (told === standing.number()) return Option.none;
    const newer = standing.newerThan(told);
    return Option.some(newer === undefined ? unanswered : { ...unanswered, newer });
  }

  /** While the disk does not sync no ballot is taken up: none would be answered, and they would pile up behind a disk that hangs. */
  function syncs(): boolean {
    return Option.isNone(disk.trouble());
  }

  function prepare(ask: Request<'prepare'>): Promise<Reply<'prepare'>> {
    if (!syncs()) return Promise.resolve(unanswered);
    return on(ask.key, unanswered, async function promise(cell) {
      if (!open) return unanswered;
      const strange = stranger(ask.set);
      if (Option.isSome(strange)) return strange.value;
      if (message.compareBallots(ask.ballot, cell.state.promised) <= 0) return reply(cell.state, false, ask.holds);
      if (!(await keep(ask.key, cell, { promised: ask.ballot, accepted: cell.state.accepted }))) return unanswered;
      return Option.getOrElse(() => reply(cell.state, true, ask.holds))(stranger(ask.set));
    });
  }

  // Only a ballot this very disk has promised is accepted: a promise that was lost with an earlier disk counts for
  // nothing (design 5.1).
  function accept(ask: Request<'accept'>): Promise<Reply<'accept'>> {
    if (!syncs()) return Promise.resolve(unanswered);
    return on(ask.key, unanswered, async function take(cell) {
      if (!open) return unanswered;
      const strange = stranger(ask.set);
      if (Option.isSome(strange)) return strange.value;
      if (message.compareBallots(ask.entry.ballot, cell.state.promised) !== 0) return acceptReply(cell.state, false);
      const entry = entryOf(ask, cell.state);
      if (Option.isNone(entry)) return { ...acceptReply(cell.state, false), whole: true };
      if (!(await keepReplaced(cell.state, entry.value))) return unanswered;
      if (!(await keep(ask.key, cell, { promised: ask.entry.ballot, accepted: entry.value }))) return unanswered;
      onAccepted(ask.key, entry.value);
      // Looked at again: whoever reads this disk after it has left a set must find all that it ever agreed to in that set (design 4.8).
      return Option.getOrElse(() => acceptReply(cell.state, true))(stranger(ask.set));
    });
  }

  function look(ask: Request<'look'>): Promise<Reply<'look'>> {
    if (!open) return Promise.resolve(unanswered);
    const strange = stranger(ask.set);
    if (Option.isSome(strange)) return Promise.resolve(strange.value);
    if (ask.key.startsWith(archivePrefix)) return on(ask.key, unanswered, (cell) => reply(cell.state, true, ask.holds));
    return Promise.resolve(reply(states.get(ask.key) ?? unborn, true, ask.holds));
  }

  function merge(key: string, state: CellState): Promise<boolean> {
    return on(key, false, function take(cell) {
      const merged = mergeStates(cell.state, state);
      return isSame(merged, cell.state) ? true : keep(key, cell, merged);
    });
  }

  /** What is read from the disk when asked for is left out: nobody who copies this disk waits for it (design 5.4). */
  async function page(after: string): Promise<Either.Either<Fault, CellPage>> {
    const found = await disk.page(registerStoragePrefix, after === '' ? '' : registerStoragePrefix + after, pageBytes);
    if (Either.isLeft(found)) return found;
    const hot = found.right.filter(([key]) => !key.startsWith(archiveStoragePrefix));
    if (hot.length === 0 && found.right.length > 0) return page(afterArchive);
    const entries = hot.map(([key, state]) => ({ key: key.slice(registerStoragePrefix.length), state }));
    return Either.right({ entries, next: entries.at(-1)?.key ?? '' });
  }

  return {
    prepare,
    accept,
    look,
    merge,
    page,
    accepted: function accepted(key) {
      return Option.fromNullable(states.get(key)?.accepted);
    },
    keys: function keys() {
      return [...states.keys()];
    },
    cells: function all() {
      return [...states].map(function pair([key, state]) {
        return { key, state };
      });
    },
    open: function start() {
      open = true;
    },
    close: function close() {
      open = false;
    },
    ready: function ready() {
      return open;
    },
  };
}

export const acceptor = { create, isCellState } as const;
