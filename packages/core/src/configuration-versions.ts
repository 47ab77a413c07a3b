/** Reads the current version of the configuration and earlier ones, wherever they are stored (design 5.4). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Fault } from '@stallstall/kernel';
import type { Entry } from '@stallstall/message';
import type { AppliedValue, Configuration } from '@stallstall/node';
import type { Register } from '@stallstall/register';
import { legacyVersionKey, type ArchivedConfiguration } from './packed-version.js';
import type { VersionSummary } from './version-index.js';
import type { VersionStore } from './version-store.js';

export type CurrentVersion = AppliedValue<Configuration>;

/** A version in a listing; only its number if no core has it any more. */
export type ListedVersion = Pick<VersionSummary, 'version'> & Partial<VersionSummary>;

export type ConfigurationVersions = Readonly<{
  /**
   * The newest chosen version; none if no configuration has been stored yet.
   * @default milliseconds that of the register
   */
  current: (milliseconds?: number) => Promise<Either.Either<Fault, Option.Option<CurrentVersion>>>;
  /** Finds a version by its number: the current one, or an earlier one on any core that has it. */
  find: (version: number, current: CurrentVersion) => Promise<Either.Either<Fault, Option.Option<ArchivedConfiguration>>>;
  summary: (version: number, current: CurrentVersion) => Promise<ListedVersion>;
  /** The oldest version that may still be stored when `latest` is the newest. */
  oldest: (latest: number) => number;
  /** The versions that may still be stored when `latest` is the newest, in descending order. */
  availableVersions: (latest: number) => readonly number[];
}>;

async function readCurrent(register: Register, milliseconds?: number): Promise<Either.Either<Fault, Option.Option<CurrentVersion>>> {
  const read = await register.read('configuration', milliseconds);
  if (Either.isLeft(read)) return read;
  return Either.right(Option.map((entry: Entry) => ({ version: entry.version, value: entry.value as Configuration }))(read.right));
}

/** Reads a version that an earlier release stored in a register entry of its own. */
async function readLegacyCell(register: Register, wanted: number): Promise<Either.Either<Fault, Option.Option<ArchivedConfiguration>>> {
  const read = await register.read(legacyVersionKey(wanted));
  if (Either.isLeft(read)) return read;
  const stored = Option.isSome(read.right) ? (read.right.value.value as ArchivedConfiguration & Readonly<{ number: number }>) : undefined;
  return Either.right(stored?.number === wanted ? Option.some(stored) : Option.none);
}

async function readVersion(
  register: Register,
  store: VersionStore,
  wanted: number,
  { version, value }: CurrentVersion,
): Promise<Either.Either<Fault, Option.Option<ArchivedConfiguration>>> {
  if (wanted === version) return Either.right(Option.some(value));
  const isInRange = Number.isInteger(wanted) && wanted <= version && wanted >= store.oldestVersion(version);
  if (!isInRange) return Either.right(Option.none);
  const fromHistory = value.history?.find((earlier) => earlier.version === wanted);
  if (fromHistory !== undefined) return Either.right(Option.some(fromHistory));
  const archived = await store.read(wanted);
  return Option.isSome(archived) ? Either.right(archived) : readLegacyCell(register, wanted);
}

function create(register: Register, store: VersionStore): ConfigurationVersions {
  async function summary(wanted: number, current: CurrentVersion): Promise<ListedVersion> {
    const local = wanted === current.version ? undefined : store.summary(wanted);
    if (local !== undefined) return { version: wanted, sentBy: local.sentBy, sentAt: local.sentAt };
    const found = await readVersion(register, store, wanted, current);
    if (Either.isLeft(found) || Option.isNone(found.right)) return { version: wanted };
    const { sentBy, sentAt } = found.right.value;
    return { version: wanted, sentBy, sentAt };
  }

  function availableVersions(latest: number): readonly number[] {
    const oldest = store.oldestVersion(latest);
    return Array.from({ length: latest - oldest + 1 }, (_, index) => latest - index);
  }

  return {
    current: (milliseconds) => readCurrent(register, milliseconds),
    find: (wanted, current) => readVersion(register, store, wanted, current),
    summary,
    oldest: store.oldestVersion,
    availableVersions,
  };
}

export const configurationVersions = { create } as const;
