/** The cells of one disk, each with one owner; every change is synced before it counts (design 5.1, 5.4). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, owner, type Disk, type Fault, type Owner } from '@stallstall/kernel';
import { emptyCell, isCellState, type CellState } from './cell-state.js';

/** Where cells lie in the data folder. */
export const registerStoragePrefix = 'register/';
/** Cells that are read from the disk when asked for: they are many, and nobody waits for them (design 5.4). */
export const archivePrefix = 'archive/';
export const archiveStoragePrefix = `${registerStoragePrefix}${archivePrefix}`;
/** Follows every key of the archive, and no other key lies between: '0' comes next to '/'. */
const afterArchive = `${archivePrefix.slice(0, -1)}0`;

const pageBytes = 256 * 1024;
/** The archive's cells share a few owners, so that a copy of many need not wait for one disk after another. */
const archiveOwners = 32;

/** `state` is what the disk holds. @internal */
export type Cell = { state: CellState };

/** A page of cells; `next` is the key to continue after, empty on the last page. */
export type CellPage = Readonly<{ entries: Array<{ key: string; state: unknown }>; next: string }>;

/** @internal */
export type CellTable = Readonly<{
  /** Runs a command on a cell, one at a time; `unread` is the outcome for a cell of the archive that cannot be read. */
  run: <Outcome>(key: string, unread: Outcome, command: (cell: Cell) => Promise<Outcome> | Outcome) => Promise<Outcome>;
  /** Resolves to false when the disk did not sync: then nothing may be replied, whatever the disk may hold. */
  write: (key: string, cell: Cell, state: CellState) => Promise<boolean>;
  /** The state of a key that is not of the archive. */
  stateOf: (key: string) => CellState;
  states: () => ReadonlyMap<string, CellState>;
  /** A page of the cells as they stand on the disk, but for the archive. */
  page: (after: string) => Promise<Either.Either<Fault, CellPage>>;
}>;

export function isArchived(key: string): boolean {
  return key.startsWith(archivePrefix);
}

function archiveOwnerIndex(key: string): number {
  return Number(/\d+$/.exec(key)?.[0] ?? 0) % archiveOwners;
}

/**
 * @param stored - what the disk held when the process started
 * @param onDamaged - called when a cell of the archive cannot be read
 */
function create(disk: Disk, stored: ReadonlyMap<string, unknown>, onDamaged: (error: Fault) => void): CellTable {
  const owners = new Map<string, Owner<Cell>>();
  const states = new Map<string, CellState>();
  const archives = Array.from({ length: archiveOwners }, (_, index) => owner.create(`archive ${index}`, null));

  function place(key: string, state: CellState): Owner<Cell> {
    const cell = owner.create(key, { state });
    owners.set(key, cell);
    states.set(key, state);
    return cell;
  }

  /** The state of a cell of the archive; none, once reported, where it cannot be read. */
  async function readArchived(key: string): Promise<Option.Option<CellState>> {
    const read = await disk.read(registerStoragePrefix + key);
    if (Either.isLeft(read)) {
      onDamaged(read.left);
      return Option.none;
    }
    if (Option.isNone(read.right)) return Option.some(emptyCell);
    if (isCellState(read.right.value)) return Option.some(read.right.value);
    onDamaged(fault.diskDamaged(key));
    return Option.none;
  }

  function run<Outcome>(key: string, unread: Outcome, command: (cell: Cell) => Promise<Outcome> | Outcome): Promise<Outcome> {
    if (!isArchived(key)) return (owners.get(key) ?? place(key, emptyCell)).run(command);
    const archive = archives[archiveOwnerIndex(key)] as Owner<null>;
    return archive.run(async function runArchived() {
      const state = await readArchived(key);
      return Option.isNone(state) ? unread : command({ state: state.value });
    });
  }

  async function write(key: string, cell: Cell, state: CellState): Promise<boolean> {
    const written = await disk.put(registerStoragePrefix + key, state);
    if (Either.isLeft(written)) return false;
    cell.state = state;
    if (!isArchived(key)) states.set(key, state);
    return true;
  }

  /** The archive is left out: nobody who copies this disk waits for it (design 5.4). */
  async function page(after: string): Promise<Either.Either<Fault, CellPage>> {
    const found = await disk.page(registerStoragePrefix, after === '' ? '' : registerStoragePrefix + after, pageBytes);
    if (Either.isLeft(found)) return found;
    const hot = found.right.filter(([key]) => !key.startsWith(archiveStoragePrefix));
    if (hot.length === 0 && found.right.length > 0) return page(afterArchive);
    const entries = hot.map(([key, state]) => ({ key: key.slice(registerStoragePrefix.length), state }));
    return Either.right({ entries, next: entries.at(-1)?.key ?? '' });
  }

  for (const [key, value] of stored) {
    if (key.startsWith(registerStoragePrefix) && isCellState(value)) place(key.slice(registerStoragePrefix.length), value);
  }
  return { run, write, stateOf: (key) => states.get(key) ?? emptyCell, states: () => states, page };
}

/** @internal */
export const cellTable = { create } as const;
