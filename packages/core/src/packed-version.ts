/** How an earlier version of the configuration lies on a core's disk: compressed, in the form of a cell (design 5.4). */
import { deflateSync, inflateSync } from 'node:zlib';
import { ballotZero, EarlierVersionSchema, message, type EarlierVersion } from '@stallstall/message';
import type { Configuration } from '@stallstall/node';
import { acceptor, archivePrefix, archiveStoragePrefix, type CellState } from '@stallstall/register';

/** What is kept of a version: what is carried along for later sends alone is left out. */
export type ArchivedConfiguration = Omit<Configuration, 'recent' | 'history'>;

/** So many versions are kept at the most; a version so many later takes the place over. */
export const maxVersions = 10_000;

/** Where versions lie in the data folder. */
export const versionStoragePrefix = `${archiveStoragePrefix}versions/`;

/** Where a version lies. @internal */
export function storageKeyOf(version: number): string {
  return `${versionStoragePrefix}${version % maxVersions}`;
}

/** The register's key where releases before kept a version, in a cell of its own. */
export function legacyVersionKey(version: number): string {
  return `${archivePrefix}configuration/${version % maxVersions}`;
}

function pack(version: number, kept: ArchivedConfiguration): EarlierVersion {
  const content = deflateSync(JSON.stringify(kept));
  return { version, sentBy: kept.sentBy, sentAt: kept.sentAt, content: content.toString('base64') };
}

function unpack(stored: EarlierVersion): ArchivedConfiguration {
  const text = inflateSync(Buffer.from(stored.content, 'base64'));
  return JSON.parse(text.toString()) as ArchivedConfiguration;
}

/** In the form of a cell, as the release before this one expects of all that lies there: it may be taken back. */
function toCell(kept: EarlierVersion): CellState {
  return { promised: ballotZero, accepted: { ballot: ballotZero, version: kept.version, value: kept } };
}

/** In place of a version that is forgotten. */
const emptyCell: CellState = { promised: ballotZero, accepted: null };

/** Undefined where a stored value holds no version. */
function fromCell(stored: unknown): EarlierVersion | undefined {
  const value = acceptor.isCellState(stored) ? stored.accepted?.value : undefined;
  return message.matches(EarlierVersionSchema, value) ? value : undefined;
}

/** @internal */
export const packedVersion = { pack, unpack, toCell, fromCell, emptyCell } as const;
