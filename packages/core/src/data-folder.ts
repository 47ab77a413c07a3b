/** What lies in a core's data folder, and what a core says of a folder that it cannot use (design 4.3, 4.6). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { Type } from '@sinclair/typebox';
import { fault, type Disk, type Fault, type Runtime } from '@stallstall/kernel';
import { message, messages, SeatSchema } from '@stallstall/message';
import { acceptor, archiveStoragePrefix, reportStoragePrefix, registerStoragePrefix } from '@stallstall/register';
import { VoteSchema, voteStoragePrefix } from './vote-store.js';

/** Of what lies in a data folder. 1: the sheet's history inside its cell, no notes; 2: an archive and notes (design 4.6). */
export const diskFormat = 2;

const FleetSchema = Type.Object({
  format: Type.Optional(Type.Integer({ minimum: 1 })),
  fleet: Type.String({ minLength: 1 }),
  node: Type.String({ minLength: 1 }),
  cores: Type.Array(SeatSchema),
  /** founding: agreed to, not yet formed; copying: a blank disk in a formed fleet; formed: answers ballots. */
  stage: Type.Union((['founding', 'copying', 'joining', 'copied', 'formed', 'out'] as const).map((stage) => Type.Literal(stage))),
  number: Type.Optional(Type.Integer({ minimum: 1 })),
  disk: Type.Optional(Type.String({ maxLength: 100 })),
  epochs: Type.Optional(Type.Record(Type.String(), Type.Integer({ minimum: 0 }))),
});

/** A disk that takes no bytes as its store is given up is tried again after so long. */
const discardMilliseconds = 500;

/** The member registry's entry in the folder: it saves time after a restart, and nothing depends on it. */
export const registryKey = 'roster';

/** Whether a folder can be used by this node: as it is, not at all, or only as that of a core that lost its disk (design 4.3). */
type FolderState =
  | Readonly<{ kind: 'sound' }>
  | Readonly<{ kind: 'refused'; reason: Fault }>
  /** What is stored is half there, or cannot be read. */
  | Readonly<{ kind: 'broken'; reason: string }>;

const sound: FolderState = { kind: 'sound' };

/** A folder of another node or of a later version is an operator's mistake, and stays as it is. */
function refused(message: string, remedy: string): FolderState {
  return { kind: 'refused', reason: fault.create({ kind: 'foreign-disk', message, remedy }) };
}

function broken(reason: string): FolderState {
  return { kind: 'broken', reason };
}

/** Whether an entry that a core leans on can be read; others are of no matter. */
function isReadable(key: string, value: unknown): boolean {
  if (key.startsWith(registerStoragePrefix)) return acceptor.isCellState(value);
  if (key.startsWith(voteStoragePrefix)) return message.matches(VoteSchema, value);
  if (key.startsWith(reportStoragePrefix)) return message.matches(messages.note.request, value);
  return true;
}

function stateOf(stored: ReadonlyMap<string, unknown>, node: string): FolderState {
  const fleet = stored.get('fleet');
  if (fleet === undefined) return [...stored.keys()].some((key) => key !== registryKey) ? broken('it holds entries but no fleet') : sound;
  const record: Readonly<{ format?: unknown; node?: unknown }> | null = fleet;
  if (typeof record?.format === 'number' && record.format > diskFormat) {
    return refused(
      `the data folder has format ${record.format}, this version knows ${diskFormat} and those before it`,
      'run the version that wrote it or a later one, or start with an empty folder, so that this core copies the others',
    );
  }
  if (typeof record?.node === 'string' && record.node !== node) {
    return refused(`the data folder belongs to ${record.node}`, `point --data at the folder of ${node}, or start with an empty one`);
  }
  if (!message.matches(FleetSchema, fleet)) return broken('its fleet cannot be read');
  for (const [key, value] of stored) if (!isReadable(key, value)) return broken(`its entry ${key} cannot be read`);
  return sound;
}

/** All that the folder holds but the archive; nothing, once a broken store has been given up for an empty one. */
export async function readDataFolder(
  runtime: Runtime,
  disk: Disk,
  node: string,
): Promise<Either.Either<Fault, ReadonlyMap<string, unknown>>> {
  const loaded = await disk.load(archiveStoragePrefix);
  const lost = disk.lost();
  if (Option.isSome(lost) && Either.isRight(loaded) && !loaded.right.has('fleet')) runtime.log('disk.replaced', { reason: lost.value });
  const state = Either.isLeft(loaded) ? broken(loaded.left.message) : stateOf(loaded.right, node);
  if (state.kind === 'refused') return Either.left(state.reason);
  if (state.kind === 'sound') return loaded;
  runtime.log('disk.replaced', { reason: state.reason });
  for (let given = await disk.discard(state.reason); Either.isLeft(given); given = await disk.discard(state.reason)) {
    runtime.log('disk.failed', { reason: given.left.message });
    await runtime.clock.sleep(discardMilliseconds);
  }
  return Either.right(new Map());
}
