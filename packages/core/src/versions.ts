// The versions of the configuration: the current one, and those before it that are still kept (design 5.4).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Fault } from '@stallstall/kernel';
import type { Entry } from '@stallstall/message';
import type { Configuration } from '@stallstall/node';
import { archivePrefix, type Changed, type Register } from '@stallstall/register';

/** So many versions of the sheet are kept, each in a cell of its own that a version so many later takes over (design 5.4). */
export const versionsKept = 10_000;

export type SentVersion = Omit<Configuration, 'recent' | 'history'>;
export type Current = Readonly<{ version: number; value: Configuration }>;
type ArchivedVersion = SentVersion & Readonly<{ number: number }>;

export type Versions = Readonly<{
  current: () => Promise<Either.Either<Fault, Option.Option<Current>>>;
  /** Keeps the current version under a key of its own; tells which it was. */
  archiveCurrent: () => Promise<Either.Either<Fault, number>>;
  /** A version by its number: the current one, or one of the archive. */
  at: (wanted: number, current: Current) => Promise<Either.Either<Fault, Option.Option<SentVersion>>>;
  /** The oldest number that may be kept while this is the latest. */
  oldest: (latest: number) => number;
  /** The numbers that may be kept while this is the latest, from the latest down. */
  numbers: (latest: number) => readonly number[];
}>;

function slotOf(version: number): string {
  return `${archivePrefix}configuration/${version % versionsKept}`;
}

function oldestOf(latest: number): number {
  return Math.max(1, latest - versionsKept + 1);
}

function create(register: Register): Versions {
  async function current(): Promise<Either.Either<Fault, Option.Option<Current>>> {
    const read = await register.read('configuration');
    if (Either.isLeft(read)) return read;
    return Either.right(Option.map((entry: Entry) => ({ version: entry.version, value: entry.value as Configuration }))(read.right));
  }

  async function archiveCurrent(): Promise<Either.Either<Fault, number>> {
    const read = await current();
    if (Either.isLeft(read)) return read;
    if (Option.isNone(read.right)) return Either.right(0);
    const { version, value } = read.right.value;
    const { recent: _recent, history, ...kept } = value;
    for (const { version: number, ...old } of history ?? []) {
      const written = await archive({ ...old, number });
      if (Either.isLeft(written)) return written;
    }
    const written = await archive({ ...kept, number: version });
    return Either.isLeft(written) ? written : Either.right(version);
  }

  function archive(kept: ArchivedVersion): Promise<Either.Either<Fault, Changed>> {
    return register.change(slotOf(kept.number), function put(standing) {
      return Option.isSome(standing) && (standing.value.value as ArchivedVersion).number >= kept.number ? Option.none : Option.some(kept);
    });
  }

  async function at(wanted: number, { version, value }: Current): Promise<Either.Either<Fault, Option.Option<SentVersion>>> {
    if (wanted === version) return Either.right(Option.some(value));
    if (!Number.isInteger(wanted) || wanted > version || wanted < oldestOf(version)) return Either.right(Option.none);
    const read = await register.read(slotOf(wanted));
    if (Either.isLeft(read)) return read;
    const kept = Option.isSome(read.right) ? (read.right.value.value as ArchivedVersion) : undefined;
    return Either.right(
      kept?.number === wanted ? Option.some(kept) : Option.fromNullable(value.history?.find((old) => old.version === wanted)),
    );
  }

  function numbers(latest: number): readonly number[] {
    return Array.from({ length: latest - oldestOf(latest) + 1 }, (_, index) => latest - index);
  }

  return { current, archiveCurrent, at, oldest: oldestOf, numbers };
}

export const versions = { create } as const;
