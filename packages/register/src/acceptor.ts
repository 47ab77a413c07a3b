/** The acceptor role of the register: promises and accepted entries, each synced to disk before it is acknowledged (design 5.1). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Disk, Fault } from '@stallstall/kernel';
import { message, type Ballot, type Entry, type Reply, type Request } from '@stallstall/message';
import { isCellState, isSameState, mergeStates, type CellState } from './cell-state.js';
import { cellTable, isArchived, type Cell, type CellPage, type CellTable } from './cell-table.js';
import { compressedDifference } from './compressed-difference.js';
import { fixedCoreSetView, notReady, rejectOtherSet, type CoreSetView } from './core-set-view.js';

export type Acceptor = Readonly<{
  /** Promises a ballot, unless the same or a higher ballot was already promised. */
  prepare: (request: Request<'prepare'>) => Promise<Reply<'prepare'>>;
  /** Accepts an entry under a ballot that was promised on this disk. */
  accept: (request: Request<'accept'>) => Promise<Reply<'accept'>>;
  /** Replies with the current state without promising anything. */
  look: (request: Request<'look'>) => Promise<Reply<'look'>>;
  /** The accepted entry of a key, whether chosen or not; none if there is none, and for archive keys. */
  accepted: (key: string) => Option.Option<Entry>;
  keys: () => readonly string[];
  cells: () => ReadonlyArray<Readonly<{ key: string; state: CellState }>>;
  /** A page of the cells as stored on disk, without the archive. */
  page: (after: string) => Promise<Either.Either<Fault, CellPage>>;
  /** Merges a cell of another disk into this one; promises and entries only move forward (design 4.3). */
  merge: (key: string, state: CellState) => Promise<boolean>;
  /** Starts answering requests. */
  open: () => void;
  /** Stops answering requests. */
  close: () => void;
  ready: () => boolean;
}>;

export type AcceptorOptions = Readonly<{
  disk: Disk;
  /** The contents of the disk at process start. */
  stored: ReadonlyMap<string, unknown>;
  /** Called once an accepted entry is synced to disk. */
  onAccepted: (key: string, entry: Entry) => void;
  /** Called when a stored cell cannot be read. */
  onDamaged: (error: Fault) => void;
  /** @default a core set that never changes */
  coreSet?: CoreSetView;
  /**
   * Archives an entry before its successor replaces it. If this fails, the successor is not accepted.
   * @default archives nothing
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

/** Omits the accepted entry if it is the one the proposer already has, whose ballot is `proposerEntry`. */
function stateReply({ promised, accepted }: CellState, agreed: boolean, proposerEntry?: Ballot): Reply<'prepare'> {
  const isHeld = proposerEntry !== undefined && accepted !== null && message.compareBallots(accepted.ballot, proposerEntry) === 0;
  return isHeld ? { ready: true, agreed, promised, accepted: null, held: isHeld } : { ready: true, agreed, promised, accepted };
}

/** Carries no entry: the proposer knows what it sent, and learns of other proposers' entries when it prepares again. */
function acceptReply({ promised }: CellState, agreed: boolean): Reply<'accept'> {
  return { ready: true, agreed, promised, accepted: null };
}

/**
 * While the disk does not sync, requests are rejected at once. They could not be acknowledged, and they would queue up behind a hanging
 * disk.
 */
function isDiskWorking({ disk }: AcceptorState): boolean {
  return Option.isNone(disk.syncFault());
}

async function prepareCell(acceptor: AcceptorState, cell: Cell, request: Request<'prepare'>): Promise<Reply<'prepare'>> {
  const { table, coreSet } = acceptor;
  if (!acceptor.isOpen) return notReady;
  const rejection = rejectOtherSet(coreSet, request.set);
  if (Option.isSome(rejection)) return rejection.value;
  if (message.compareBallots(request.ballot, cell.state.promised) <= 0) return stateReply(cell.state, false, request.holds);
  const isWritten = await table.write(request.key, cell, { promised: request.ballot, accepted: cell.state.accepted });
  if (!isWritten) return notReady;
  return Option.getOrElse(() => stateReply(cell.state, true, request.holds))(rejectOtherSet(coreSet, request.set));
}

/** The complete entry of a request; none if the request carries a difference from another entry than the one accepted here. */
function completeEntry(request: Request<'accept'>, { accepted }: CellState): Option.Option<Entry> {
  if (request.base === undefined) return Option.some(request.entry);
  if (accepted === null || message.compareBallots(accepted.ballot, request.base.ballot) !== 0) return Option.none;
  const value = compressedDifference.apply(accepted.value, request.base.difference);
  return Either.isLeft(value) ? Option.none : Option.some({ ...request.entry, value: value.right });
}

/**
 * Archives the accepted entry only if it is the one that the new entry directly succeeds. Any other accepted entry may never have been
 * chosen (design 5.4).
 */
async function archiveReplaced({ archiveEntry }: AcceptorState, { accepted }: CellState, next: Entry): Promise<boolean> {
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
  // Only a ballot promised on this disk is accepted: a promise that was lost with an earlier disk does not count (design 5.1).
  if (message.compareBallots(ballot, cell.state.promised) !== 0) return acceptReply(cell.state, false);
  const entry = completeEntry(request, cell.state);
  if (Option.isNone(entry)) return { ...acceptReply(cell.state, false), whole: true };
  if (!(await archiveReplaced(acceptor, cell.state, entry.value))) return notReady;
  if (!(await table.write(key, cell, { promised: ballot, accepted: entry.value }))) return notReady;
  acceptor.onAccepted(key, entry.value);
  // The core set is checked again after the write: a reader of this disk after it has left a set must find everything that it agreed to
  // in that set (design 4.8).
  return Option.getOrElse(() => acceptReply(cell.state, true))(rejectOtherSet(coreSet, request.set));
}

async function look(acceptor: AcceptorState, request: Request<'look'>): Promise<Reply<'look'>> {
  const { table, coreSet } = acceptor;
  if (!acceptor.isOpen) return notReady;
  const rejection = rejectOtherSet(coreSet, request.set);
  if (Option.isSome(rejection)) return rejection.value;
  if (isArchived(request.key)) return table.run(request.key, notReady, (cell) => stateReply(cell.state, true, request.holds));
  return stateReply(table.stateOf(request.key), true, request.holds);
}

function merge({ table }: AcceptorState, key: string, state: CellState): Promise<boolean> {
  return table.run(key, false, function mergeInto(cell) {
    const merged = mergeStates(cell.state, state);
    return isSameState(merged, cell.state) ? true : table.write(key, cell, merged);
  });
}

function create(options: AcceptorOptions): Acceptor {
  const { disk, stored, onAccepted, onDamaged, coreSet = fixedCoreSetView } = options;
  const table = cellTable.create(disk, stored, onDamaged);
  const acceptor: AcceptorState = {
    disk,
    table,
    coreSet,
    onAccepted,
    archiveEntry: options.archiveEntry ?? (() => Promise.resolve(true)),
    isOpen: false,
  };
  return {
    prepare: async function prepare(request) {
      return isDiskWorking(acceptor) ? table.run(request.key, notReady, (cell) => prepareCell(acceptor, cell, request)) : notReady;
    },
    accept: async function accept(request) {
      return isDiskWorking(acceptor) ? table.run(request.key, notReady, (cell) => acceptInCell(acceptor, cell, request)) : notReady;
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
