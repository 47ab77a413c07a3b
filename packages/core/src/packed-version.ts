/** The format of earlier configuration versions on a core's disk: compressed, in the form of a register cell (design 5.4). */
import { deflateSync, inflateSync } from 'node:zlib';
import { ballotZero, EarlierVersionSchema, message, type EarlierVersion } from '@stallstall/message';
import type { Configuration } from '@stallstall/node';
import { acceptor, archivePrefix, archiveStoragePrefix, type CellState } from '@stallstall/register';

/** The part of a version that is archived: fields that only serve to recognize repeated sends are left out. */
export type ArchivedConfiguration = Omit<Configuration, 'recent' | 'history'>;

/** The most versions kept: a newer version overwrites the one that is this many versions older. */
export const maxVersions = 10_000;

/** The key prefix of versions in the data folder. */
export const versionStoragePrefix = `${archiveStoragePrefix}versions/`;

/** The storage key of a version. @internal */
export function storageKeyOf(version: number): string {
  return `${versionStoragePrefix}${version % maxVersions}`;
}

/** The register key under which earlier releases stored a version. */
export function legacyVersionKey(version: number): string {
  return `${archivePrefix}configuration/${version % maxVersions}`;
}

function pack(version: number, configuration: ArchivedConfiguration): EarlierVersion {
  const content = deflateSync(JSON.stringify(configuration));
  return { version, sentBy: configuration.sentBy, sentAt: configuration.sentAt, content: content.toString('base64') };
}

function unpack(stored: EarlierVersion): ArchivedConfiguration {
  const text = inflateSync(Buffer.from(stored.content, 'base64'));
  return JSON.parse(text.toString()) as ArchivedConfiguration;
}

/** Stored as a cell, because the previous release expects cells under these keys, and a downgrade to it must stay possible. */
function toCell(version: EarlierVersion): CellState {
  return { promised: ballotZero, accepted: { ballot: ballotZero, version: version.version, value: version } };
}

/** Overwrites a version that has been dropped. */
const emptyCell: CellState = { promised: ballotZero, accepted: null };

/** Returns undefined if the stored value is not a valid version. */
function fromCell(stored: unknown): EarlierVersion | undefined {
  const value = acceptor.isCellState(stored) ? stored.accepted?.value : undefined;
  return message.matches(EarlierVersionSchema, value) ? value : undefined;
}

/** @internal */
export const packedVersion = { pack, unpack, toCell, fromCell, emptyCell } as const;
