/** The disk half of the register: promises and accepted entries, each synced before its reply leaves (design 5.1). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Disk, Fault } from '@stallstall/kernel';
import { message, type Ballot, type Entry, type Reply, type Request } from '@stallstall/message';
import { isCellState, isSameState, mergeStates, type CellState } from './cell-state.js';
import { cellTable, isArchived, type Cell, type CellPage, type CellTable } from './cell-table.js';
import { compressedDifference } from './compressed-difference.js';
import { fixedCoreSetView, notReady, rejectOtherSet, type CoreSetView } from './core-set-view.js';

export type Acceptor = Readonly<{
  /** Promises a ballot, unless a higher one was promised. */
  prepare: (request: Request<'prepare'>) => Promise<Reply<'prepare'>>;
  /** Accepts an entry under a ballot that this very disk has promised. */
  accept: (request: Request<'accept'>) => Promise<Reply<'accept'>>;
  /** Replies with what is held, promising nothing. */
  look: (request: Request<'look'>) => Promise<Reply<'look'>>;
  /** The accepted entry of a key, chosen or not; none where there is none, and for keys of the archive. */
  accepted: (key: string) => Option.Option<Entry>;
  keys: () => readonly string[];
  cells: () => ReadonlyArray<Readonly<{ key: string; state: CellState }>>;
  /** A page of the cells as they stand on the disk, but for the archive. */
  page: (after: string) => Promise<Either.Either<Fault, CellPage>>;
  /** Takes over what another disk holds, never going back (design 4.3). */
  merge: (key: string, state: CellState) => Promise<boolean>;
  /** From here on ballots are answered. */
  open: () => void;
  close: () => void;
  ready: () => boolean;
}>;

export type AcceptorOptions = Readonly<{
  disk: Disk;
  /** What the disk held when the process started. */
  stored: ReadonlyMap<string, unknown>;
  /** Called once an entry is on the disk. */
  onAccepted: (key: string, entry: Entry) => void;
  /** Called when a stored cell cannot be read. */
  onDamaged: (error: Fault) => void;
  /** @default a set that never changes */
  coreSet?: CoreSetView;
  /**
   * Keeps an entry that is about to be replaced by its successor; without it the successor is not accepted.
   * @default keeps nothing
   */
  archiveEntry?: (entry: Entry) => Promise<boolean>;
}>;

type AcceptorState = {
  readonly disk: Disk;
  readonly table: CellTable;
  readonly coreSet: CoreSetView;
  readonly onAccepted: AcceptorOptions['onAccepted'];
  readonly archiveEntry: (entry: Entry) => Promise<boolean>;
  isOpen: boolean;
};

/** The accepted entry is left out where the proposer holds it. */
function replyWith({ promised, accepted }: CellState, agreed: boolean, holds?: Ballot): Reply<'prepare'> {
  const held = holds !== undefined && accepted !== null && message.compareBallots(accepted.ballot, holds) === 0;
  return held ? { ready: true, agreed, promised, accepted: null, held } : { ready: true, agreed, promised, accepted };
}

/** A proposer knows what it sent, and hears of others' entries when it prepares again. */
function acceptReply({ promised }: CellState, agreed: boolean): Reply<'accept'> {
  return { ready: true, agreed, promised, accepted: null };
}

/** While the disk does not sync no ballot is taken up: none would be answered, and they would pile up behind a disk that hangs. */
function syncs({ disk }: AcceptorState): boolean {
  return Option.isNone(disk.trouble());
}

async function prepareCell(acceptor: AcceptorState, cell: Cell, request: Request<'prepare'>): Promise<Reply<'prepare'>> {
  const { table, coreSet } = acceptor;
  if (!acceptor.isOpen) return notReady;
  const rejection = rejectOtherSet(coreSet, request.set);
  if (Option.isSome(rejection)) return rejection.value;
  if (message.compareBallots(request.ballot, cell.state.promised) <= 0) return replyWith(cell.state, false, request.holds);
  const isWritten = await table.write(request.key, cell, { promised: request.ballot, accepted: cell.state.accepted });
  if (!isWritten) return notReady;
  return Option.getOrElse(() => replyWith(cell.state, true, request.holds))(rejectOtherSet(coreSet, request.set));
}

/** The entry that a request stands for; none where its difference does not fit what is held here. */
function entryOf(request: Request<'accept'>, { accepted }: CellState): Option.Option<Entry> {
  if (request.base === undefined) return Option.some(request.entry);
  if (accepted === null || message.compareBallots(accepted.ballot, request.base.ballot) !== 0) return Option.none;
  const joined = compressedDifference.apply(accepted.value, request.base.difference);
  return Either.isLeft(joined) ? Option.none : Option.some({ ...request.entry, value: joined.right });
}

/** Keeps only the very entry that the new one succeeds: what else is held here may never have been chosen (design 5.4). */
async function keepReplaced({ archiveEntry }: AcceptorState, { accepted }: CellState, next: Entry): Promise<boolean> {
  if (accepted === null || next.after === undefined || message.compareBallots(accepted.ballot, next.after) !== 0) return true;
  return archiveEntry(accepted);
}

async function acceptInCell(acceptor: AcceptorState, cell: Cell, request: Request<'accept'>): Promise<Reply<'accept'>> {
  const { table, coreSet } = acceptor;
  const { key } = request;
  const { ballot } = request.entry;
  if (!acceptor.isOpen) return notReady;
  const rejection = rejectOtherSet(coreSet, request.set);
  if (Option.isSome(rejection)) return rejection.value;
  // Only a ballot this very disk has promised: a promise that was lost with an earlier disk counts for nothing (design 5.1).
  if (message.compareBallots(ballot, cell.state.promised) !== 0) return acceptReply(cell.state, false);
  const entry = entryOf(request, cell.state);
  if (Option.isNone(entry)) return { ...acceptReply(cell.state, false), whole: true };
  if (!(await keepReplaced(acceptor, cell.state, entry.value))) return notReady;
  if (!(await table.write(key, cell, { promised: ballot, accepted: entry.value }))) return notReady;
  acceptor.onAccepted(key, entry.value);
  // Looked at again: whoever reads this disk after it has left a set must find all that it ever agreed to in that set (design 4.8).
  return Option.getOrElse(() => acceptReply(cell.state, true))(rejectOtherSet(coreSet, request.set));
}

async function look(acceptor: AcceptorState, request: Request<'look'>): Promise<Reply<'look'>> {
  const { table, coreSet } = acceptor;
  if (!acceptor.isOpen) return notReady;
  const rejection = rejectOtherSet(coreSet, request.set);
  if (Option.isSome(rejection)) return rejection.value;
  if (isArchived(request.key)) return table.run(request.key, notReady, (cell) => replyWith(cell.state, true, request.holds));
  return replyWith(table.stateOf(request.key), true, request.holds);
}

function merge({ table }: AcceptorState, key: string, state: CellState): Promise<boolean> {
  return table.run(key, false, function mergeInto(cell) {
    const merged = mergeStates(cell.state, state);
    return isSameState(merged, cell.state) ? true : table.write(key, cell, merged);
  });
}

function create(parts: AcceptorOptions): Acceptor {
  const { disk, stored, onAccepted, onDamaged, coreSet = fixedCoreSetView } = parts;
  const table = cellTable.create(disk, stored, onDamaged);
  const acceptor: AcceptorState = {
    disk,
    table,
    coreSet,
    onAccepted,
    archiveEntry: parts.archiveEntry ?? (() => Promise.resolve(true)),
    isOpen: false,
  };
  return {
    prepare: async function prepare(request) {
      return syncs(acceptor) ? table.run(request.key, notReady, (cell) => prepareCell(acceptor, cell, request)) : notReady;
    },
    accept: async function accept(request) {
      return syncs(acceptor) ? table.run(request.key, notReady, (cell) => acceptInCell(acceptor, cell, request)) : notReady;
    },
    look: (request) => look(acceptor, request),
    accepted: (key) => Option.fromNullable(table.states().get(key)?.accepted),
    keys: () => [...table.states().keys()],
    cells: () => [...table.states()].map(([key, state]) => ({ key, state })),
    page: table.page,
    merge: (key, state) => merge(acceptor, key, state),
    open: function open() {
      acceptor.isOpen = true;
    },
    close: function close() {
      acceptor.isOpen = false;
    },
    ready: () => acceptor.isOpen,
  };
}

export const acceptor = { create, isCellState } as const;
