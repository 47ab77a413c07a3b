/** Reads the configuration from its entry in the register. */
import * as Option from 'fp-ts/lib/Option.js';
import type { Entry } from '@stallstall/message';
import type { Configuration } from '@stallstall/node';

/** Undefined while none was sent. */
export function configurationOf(entry: Option.Option<Entry>): Configuration | undefined {
  return Option.isSome(entry) ? (entry.value.value as Configuration) : undefined;
}

/** 0 while none was sent. */
export function versionOf(entry: Option.Option<Entry>): number {
  return Option.isSome(entry) ? entry.value.version : 0;
}

/** The ids of the latest sends, by the version that each was taken as; a disk of format 1 has them in its history. */
export function recentSends(configuration: Configuration | undefined): Configuration['recent'] {
  if (configuration === undefined) return [];
  return (configuration as Partial<Configuration>).recent ?? configuration.history ?? [];
}
