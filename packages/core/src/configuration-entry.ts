/** Reads the configuration from its entry in the register. */
import * as Option from 'fp-ts/lib/Option.js';
import type { Entry } from '@stallstall/message';
import type { Configuration } from '@stallstall/node';

/** Undefined if no configuration has been stored yet. */
export function configurationOf(entry: Option.Option<Entry>): Configuration | undefined {
  return Option.isSome(entry) ? (entry.value.value as Configuration) : undefined;
}

/** 0 if no configuration has been stored yet. */
export function versionOf(entry: Option.Option<Entry>): number {
  return Option.isSome(entry) ? entry.value.version : 0;
}

/** The most recent send ids with the versions they were stored under; disk format 1 keeps them in `history`. */
export function recentSends(configuration: Configuration | undefined): Configuration['recent'] {
  if (configuration === undefined) return [];
  return (configuration as Partial<Configuration>).recent ?? configuration.history ?? [];
}
