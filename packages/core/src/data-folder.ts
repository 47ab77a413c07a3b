/** The entries of a core's data folder, and the checks of a folder before a core uses it (design 4.3, 4.6). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { Type } from '@sinclair/typebox';
import { fault, type Disk, type Fault, type Runtime } from '@stallstall/kernel';
import { message, messages, NodeRecordSchema } from '@stallstall/message';
import { acceptor, archiveStoragePrefix, reportStoragePrefix, registerStoragePrefix } from '@stallstall/register';
import { VoteSchema, voteStoragePrefix } from './vote-store.js';

/**
 * The format of a data folder. 1: the configuration's history is inside its cell, and edge reports are not stored; 2: the history has an
 * archive of its own, and edge reports are stored (design 4.6).
 */
export const diskFormat = 2;

const FleetSchema = Type.Object({
  format: Type.Optional(Type.Integer({ minimum: 1 })),
  fleet: Type.String({ minLength: 1 }),
  node: Type.String({ minLength: 1 }),
  cores: Type.Array(NodeRecordSchema),
  /** See `FleetStage`. */
  stage: Type.Union((['founding', 'copying', 'joining', 'copied', 'formed', 'out'] as const).map((stage) => Type.Literal(stage))),
  number: Type.Optional(Type.Integer({ minimum: 1 })),
  disk: Type.Optional(Type.String({ maxLength: 100 })),
  epochs: Type.Optional(Type.Record(Type.String(), Type.Integer({ minimum: 0 }))),
});

/** Delay before another attempt to discard a damaged store, when the disk does not accept writes. */
const discardRetryMilliseconds = 500;

/** The stored member registry, which saves time after a restart; nothing depends on it. */
export const registryKey = 'roster';

/** Whether this node can use a folder as it is, must refuse it, or must treat it as a lost disk (design 4.3). */
type FolderState =
  | Readonly<{ kind: 'usable' }>
  | Readonly<{ kind: 'refused'; reason: Fault }>
  /** Entries are missing or unreadable. */
  | Readonly<{ kind: 'damaged'; reason: string }>;

const usable: FolderState = { kind: 'usable' };

/** A folder of another node or of a later version is an operator's mistake; it is left unchanged. */
function refused(message: string, remedy: string): FolderState {
  return { kind: 'refused', reason: fault.create({ kind: 'foreign-disk', message, remedy }) };
}

function damaged(reason: string): FolderState {
  return { kind: 'damaged', reason };
}

/** Whether an entry has a valid form. Only cells, votes and edge reports are checked, since a core depends on no others. */
function isReadable(key: string, value: unknown): boolean {
  if (key.startsWith(registerStoragePrefix)) return acceptor.isCellState(value);
  if (key.startsWith(voteStoragePrefix)) return message.matches(VoteSchema, value);
  if (key.startsWith(reportStoragePrefix)) return message.matches(messages.note.request, value);
  return true;
}

function checkFolder(stored: ReadonlyMap<string, unknown>, node: string): FolderState {
  const fleet = stored.get('fleet');
  if (fleet === undefined)
    return [...stored.keys()].some((key) => key !== registryKey) ? damaged('it has entries but no fleet record') : usable;
  const record: Readonly<{ format?: unknown; node?: unknown }> | null = fleet;
  if (typeof record?.format === 'number' && record.format > diskFormat) {
    return refused(
      `the data folder has format ${record.format}, but this version supports formats up to ${diskFormat} only`,
      'run the version that wrote it or a later one, or start with an empty folder: this core then copies the state of the others',
    );
  }
  if (typeof record?.node === 'string' && record.node !== node) {
    return refused(`the data folder belongs to ${record.node}`, `set --data to the folder of ${node}, or to an empty one`);
  }
  if (!message.matches(FleetSchema, fleet)) return damaged('its fleet record is invalid');
  for (const [key, value] of stored) if (!isReadable(key, value)) return damaged(`its entry ${key} is invalid`);
  return usable;
}

/** Resolves to all entries of the folder except the archive; to none after a damaged store was replaced by an empty one. */
export async function readDataFolder(
  runtime: Runtime,
  disk: Disk,
  node: string,
): Promise<Either.Either<Fault, ReadonlyMap<string, unknown>>> {
  const loaded = await disk.load(archiveStoragePrefix);
  const lost = disk.discardedStoreReason();
  if (Option.isSome(lost) && Either.isRight(loaded) && !loaded.right.has('fleet')) runtime.log('disk.replaced', { reason: lost.value });
  const state = Either.isLeft(loaded) ? damaged(loaded.left.message) : checkFolder(loaded.right, node);
  if (state.kind === 'refused') return Either.left(state.reason);
  if (state.kind === 'usable') return loaded;
  runtime.log('disk.replaced', { reason: state.reason });
  for (let discarded = await disk.discard(state.reason); Either.isLeft(discarded); discarded = await disk.discard(state.reason)) {
    runtime.log('disk.failed', { reason: discarded.left.message });
    await runtime.clock.sleep(discardRetryMilliseconds);
  }
  return Either.right(new Map());
}
