/** Decodes the values of watched keys from register entries. */
import * as Option from 'fp-ts/lib/Option.js';
import { ElectedPrimarySchema, MembershipSchema, message, type ElectedPrimary, type Entry, type Membership } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import type { AppliedValue, Configuration } from './configuration.js';

function configuration(entry: Option.Option<Entry>): Option.Option<AppliedValue<Configuration>> {
  if (Option.isNone(entry)) return Option.none;
  return Option.some({ version: entry.value.version, value: entry.value.value as Configuration });
}

/** None if there is no entry or its value is not an elected primary. */
function electedPrimary(entry: Option.Option<Entry>): Option.Option<ElectedPrimary> {
  if (Option.isNone(entry) || !message.matches(ElectedPrimarySchema, entry.value.value)) return Option.none;
  return Option.some(entry.value.value);
}

/** The empty table at version 0 if there is no valid entry. */
function membership(entry: Option.Option<Entry>): AppliedValue<Membership> {
  if (Option.isNone(entry) || !message.matches(MembershipSchema, entry.value.value)) return { version: 0, value: quorum.emptyMembership };
  return { version: entry.value.version, value: entry.value.value };
}

export const appliedValues = { configuration, electedPrimary, membership } as const;
