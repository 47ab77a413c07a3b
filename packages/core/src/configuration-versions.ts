/** The configuration's current version and those before it, wherever they are kept (design 5.4). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Fault } from '@stallstall/kernel';
import type { Entry } from '@stallstall/message';
import type { Applied, Configuration } from '@stallstall/node';
import type { Register } from '@stallstall/register';
import { legacyVersionKey, type ArchivedConfiguration } from './packed-version.js';
import type { VersionSummary } from './version-index.js';
import type { VersionStore } from './version-store.js';

export type CurrentVersion = Applied<Configuration>;

/** What listings tell of a version; its number alone where nobody keeps it. */
export type ListedVersion = Pick<VersionSummary, 'version'> & Partial<VersionSummary>;

export type ConfigurationVersions = Readonly<{
  /** The newest that is chosen; none if none was sent. */
  current: () => Promise<Either.Either<Fault, Option.Option<CurrentVersion>>>;
  /** A version by its number: the current one, or an earlier one from any core that keeps it. */
  at: (wanted: number, current: CurrentVersion) => Promise<Either.Either<Fault, Option.Option<ArchivedConfiguration>>>;
  row: (wanted: number, current: CurrentVersion) => Promise<ListedVersion>;
  /** The oldest number that may be kept while this is the latest. */
  oldest: (latest: number) => number;
  /** The numbers that may be kept while this is the latest, from the latest down. */
  numbers: (latest: number) => readonly number[];
}>;

async function readCurrent(register: Register): Promise<Either.Either<Fault, Option.Option<CurrentVersion>>> {
  const read = await register.read('configuration');
  if (Either.isLeft(read)) return read;
  return Either.right(Option.map((entry: Entry) => ({ version: entry.version, value: entry.value as Configuration }))(read.right));
}

/** A release before this one kept each version in a cell of the register. */
async function readEarlierRelease(register: Register, wanted: number): Promise<Either.Either<Fault, Option.Option<ArchivedConfiguration>>> {
  const read = await register.read(legacyVersionKey(wanted));
  if (Either.isLeft(read)) return read;
  const kept = Option.isSome(read.right) ? (read.right.value.value as ArchivedConfiguration & Readonly<{ number: number }>) : undefined;
  return Either.right(kept?.number === wanted ? Option.some(kept) : Option.none);
}

async function readAt(
  register: Register,
  store: VersionStore,
  wanted: number,
  { version, value }: CurrentVersion,
): Promise<Either.Either<Fault, Option.Option<ArchivedConfiguration>>> {
  if (wanted === version) return Either.right(Option.some(value));
  const mayBeKept = Number.isInteger(wanted) && wanted <= version && wanted >= store.oldestVersion(version);
  if (!mayBeKept) return Either.right(Option.none);
  const listed = value.history?.find((earlier) => earlier.version === wanted);
  if (listed !== undefined) return Either.right(Option.some(listed));
  const kept = await store.read(wanted);
  return Option.isSome(kept) ? Either.right(kept) : readEarlierRelease(register, wanted);
}

function create(register: Register, store: VersionStore): ConfigurationVersions {
  async function row(wanted: number, current: CurrentVersion): Promise<ListedVersion> {
    const own = wanted === current.version ? undefined : store.summary(wanted);
    if (own !== undefined) return { version: wanted, sentBy: own.sentBy, sentAt: own.sentAt };
    const found = await readAt(register, store, wanted, current);
    if (Either.isLeft(found) || Option.isNone(found.right)) return { version: wanted };
    const { sentBy, sentAt } = found.right.value;
    return { version: wanted, sentBy, sentAt };
  }

  function numbers(latest: number): readonly number[] {
    const oldest = store.oldestVersion(latest);
    return Array.from({ length: latest - oldest + 1 }, (_, index) => latest - index);
  }

  return {
    current: () => readCurrent(register),
    at: (wanted, current) => readAt(register, store, wanted, current),
    row,
    oldest: store.oldestVersion,
    numbers,
  };
}

export const configurationVersions = { create } as const;
