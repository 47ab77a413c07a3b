/** The register cells of one disk. Commands on a cell run one at a time, and a write is synced before it takes effect (design 5.1, 5.4). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, owner, type Disk, type Fault, type Owner } from '@stallstall/kernel';
import { emptyCell, isCellState, type CellState } from './cell-state.js';

/** Prefix of the keys under which cells are stored in the data folder. */
export const registerStoragePrefix = 'register/';
/** Prefix of cells that stay on disk and are read on request: they are numerous, and reading them is not time-critical (design 5.4). */
export const archivePrefix = 'archive/';
export const archiveStoragePrefix = `${registerStoragePrefix}${archivePrefix}`;
/** Sorts directly after every archive key, since '0' is the character after '/'. */
const firstKeyAfterArchive = `${archivePrefix.slice(0, -1)}0`;

const pageBytes = 256 * 1024;
/** The number of owners that archive cells share, so that copying many cells overlaps several disk accesses instead of one at a time. */
const archiveOwnerCount = 32;

/** `state` is the state that is synced to disk. @internal */
export type Cell = { state: CellState };

/** One page of cells; `next` is the key after which the next page starts, empty on the last page. */
export type CellPage = Readonly<{ entries: Array<{ key: string; state: unknown }>; next: string }>;

/** @internal */
export type CellTable = Readonly<{
  /** Runs a command on a cell, one at a time. For an archive cell that cannot be read it resolves to `unreadableOutcome`. */
  run: <Outcome>(key: string, unreadableOutcome: Outcome, command: (cell: Cell) => Promise<Outcome> | Outcome) => Promise<Outcome>;
  /** Resolves to false when the disk did not sync. The caller must then not acknowledge, since the write may or may not be on disk. */
  write: (key: string, cell: Cell, state: CellState) => Promise<boolean>;
  /** The state of a key outside the archive. */
  stateOf: (key: string) => CellState;
  states: () => ReadonlyMap<string, CellState>;
  /** A page of the cells as stored on disk, without the archive. */
  page: (after: string) => Promise<Either.Either<Fault, CellPage>>;
}>;

export function isArchived(key: string): boolean {
  return key.startsWith(archivePrefix);
}

function archiveOwnerIndex(key: string): number {
  return Number(/\d+$/.exec(key)?.[0] ?? 0) % archiveOwnerCount;
}

/**
 * @param stored - the contents of the disk at process start
 * @param onDamaged - called when an archive cell cannot be read
 */
function create(disk: Disk, stored: ReadonlyMap<string, unknown>, onDamaged: (error: Fault) => void): CellTable {
  const owners = new Map<string, Owner<Cell>>();
  const states = new Map<string, CellState>();
  const archiveOwners = Array.from({ length: archiveOwnerCount }, (_, index) => owner.create(`archive ${index}`, null));

  function createCell(key: string, state: CellState): Owner<Cell> {
    const cell = owner.create(key, { state });
    owners.set(key, cell);
    states.set(key, state);
    return cell;
  }

  /** Reads an archive cell; a cell that cannot be read is reported, and the result is none. */
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

  function run<Outcome>(key: string, unreadableOutcome: Outcome, command: (cell: Cell) => Promise<Outcome> | Outcome): Promise<Outcome> {
    if (!isArchived(key)) return (owners.get(key) ?? createCell(key, emptyCell)).run(command);
    const archiveOwner = archiveOwners[archiveOwnerIndex(key)] as Owner<null>;
    return archiveOwner.run(async function runArchived() {
      const state = await readArchived(key);
      return Option.isNone(state) ? unreadableOutcome : command({ state: state.value });
    });
  }

  async function write(key: string, cell: Cell, state: CellState): Promise<boolean> {
    const written = await disk.put(registerStoragePrefix + key, state);
    if (Either.isLeft(written)) return false;
    cell.state = state;
    if (!isArchived(key)) states.set(key, state);
    return true;
  }

  /** Leaves the archive out: a core that copies this disk does not need it to become ready (design 5.4). */
  async function page(after: string): Promise<Either.Either<Fault, CellPage>> {
    const diskPage = await disk.page(registerStoragePrefix, after === '' ? '' : registerStoragePrefix + after, pageBytes);
    if (Either.isLeft(diskPage)) return diskPage;
    const unarchived = diskPage.right.filter(([key]) => !key.startsWith(archiveStoragePrefix));
    if (unarchived.length === 0 && diskPage.right.length > 0) return page(firstKeyAfterArchive);
    const entries = unarchived.map(([key, state]) => ({ key: key.slice(registerStoragePrefix.length), state }));
    return Either.right({ entries, next: entries.at(-1)?.key ?? '' });
  }

  for (const [key, value] of stored) {
    if (key.startsWith(registerStoragePrefix) && isCellState(value)) createCell(key.slice(registerStoragePrefix.length), value);
  }
  return { run, write, stateOf: (key) => states.get(key) ?? emptyCell, states: () => states, page };
}

/** @internal */
export const cellTable = { create } as const;
