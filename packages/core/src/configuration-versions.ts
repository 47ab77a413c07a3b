// The versions of the configuration: the current one, and those before it that are still kept (design 5.4).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Fault } from '@stallstall/kernel';
import type { Entry } from '@stallstall/message';
import type { Configuration } from '@stallstall/node';
import type { Register } from '@stallstall/register';
import { earlierReleasePlace, type SentVersion, type VersionRow, type VersionStore } from './version-store.js';

export type Current = Readonly<{ version: number; value: Configuration }>;

export type ConfigurationVersions = Readonly<{
  current: () => Promise<Either.Either<Fault, Option.Option<Current>>>;
  /** A version by its number: the current one, or an earlier one from any core that keeps it. */
  at: (wanted: number, current: Current) => Promise<Either.Either<Fault, Option.Option<SentVersion>>>;
  /** What listings tell of a version; its number alone where nobody keeps it. */
  row: (wanted: number, current: Current) => Promise<Pick<VersionRow, 'version'> & Partial<VersionRow>>;
  /** The oldest number that may be kept while this is the latest. */
  oldest: (latest: number) => number;
  /** The numbers that may be kept while this is the latest, from the latest down. */
  numbers: (latest: number) => readonly number[];
}>;

function create(register: Register, store: VersionStore): ConfigurationVersions {
  async function current(): Promise<Either.Either<Fault, Option.Option<Current>>> {
    const read = await register.read('configuration');
    if (Either.isLeft(read)) return read;
    return Either.right(Option.map((entry: Entry) => ({ version: entry.version, value: entry.value as Configuration }))(read.right));
  }

  /** A release before this one kept each version in a cell of the register. */
  async function fromEarlierRelease(wanted: number): Promise<Either.Either<Fault, Option.Option<SentVersion>>> {
    const read = await register.read(earlierReleasePlace(wanted));
    if (Either.isLeft(read)) return read;
    const kept = Option.isSome(read.right) ? (read.right.value.value as SentVersion & Readonly<{ number: number }>) : undefined;
    return Either.right(kept?.number === wanted ? Option.some(kept) : Option.none);
  }

  async function at(wanted: number, { version, value }: Current): Promise<Either.Either<Fault, Option.Option<SentVersion>>> {
    if (wanted === version) return Either.right(Option.some(value));
    if (!Number.isInteger(wanted) || wanted > version || wanted < store.oldest(version)) return Either.right(Option.none);
    const listed = value.history?.find((old) => old.version === wanted);
    if (listed !== undefined) return Either.right(Option.some(listed));
    const kept = await store.read(wanted);
    return Option.isSome(kept) ? Either.right(kept) : fromEarlierRelease(wanted);
  }

  async function row(wanted: number, latest: Current): Promise<Pick<VersionRow, 'version'> & Partial<VersionRow>> {
    const own = wanted === latest.version ? undefined : store.row(wanted);
    if (own !== undefined) return { version: wanted, sentBy: own.sentBy, sentAt: own.sentAt };
    const found = await at(wanted, latest);
    return Either.isRight(found) && Option.isSome(found.right)
      ? { version: wanted, sentBy: found.right.value.sentBy, sentAt: found.right.value.sentAt }
      : { version: wanted };
  }

  function numbers(latest: number): readonly number[] {
    const oldest = store.oldest(latest);
    return Array.from({ length: latest - oldest + 1 }, (_, index) => latest - index);
  }

  return { current, at, row, oldest: store.oldest, numbers };
}

export const configurationVersions = { create } as const;
