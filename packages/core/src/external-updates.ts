/** Configurations under versions that their senders count themselves (design 6.5, 6.6). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Fault, type Runtime } from '@stallstall/kernel';
import type { Entry } from '@stallstall/message';
import type { Configuration } from '@stallstall/node';
import type { PlacementConfiguration } from '@stallstall/placement';
import type { Register } from '@stallstall/register';
import type { ClaimTable } from './claim-table.js';
import { configurationOf, recentSends } from './configuration-entry.js';
import type { ConfigurationVersions } from './configuration-versions.js';
import { documentDigest } from './document-digest.js';
import type { UpdateResult } from './placement-updates.js';
import { updateFaults } from './update-faults.js';

/** A version that the sender counts itself, with the text as sent: it is read back unchanged. */
export type ExternalVersion = Readonly<{ version: number; source: string }>;

/** @internal */
export type ExternalUpdateParts = Readonly<{
  runtime: Runtime;
  register: Register;
  claims: ClaimTable;
  versions: ConfigurationVersions;
  /** The configuration on this core's own disk, chosen or not. */
  accepted: () => Option.Option<Entry>;
}>;

/** An operator that hears nothing for a second turns to another core. */
const replaceMilliseconds = 850;

/** What an earlier release left in force without a claim is claimed before anything else is judged. */
async function claimCurrent(parts: ExternalUpdateParts, milliseconds: number): Promise<Either.Either<Fault, unknown>> {
  const local = configurationOf(parts.accepted())?.external;
  if (local?.digest !== undefined) return Either.right(undefined);
  const read = await parts.versions.current();
  if (Either.isLeft(read) || Option.isNone(read.right)) return read;
  const { external } = read.right.value.value;
  if (external === undefined || external.digest !== undefined) return Either.right(undefined);
  return parts.claims.claimVersion(external.version, documentDigest.ofText(external.source), milliseconds);
}

/** Claims a version for a text. Errors: `version-conflict`, `outcome-unknown`, and those of the register. */
async function claimVersion(
  parts: ExternalUpdateParts,
  version: number,
  textDigest: string,
  deadline: number,
): Promise<Either.Either<Fault, unknown>> {
  const { claims, runtime } = parts;
  const current = await claimCurrent(parts, deadline - runtime.clock.now());
  if (Either.isLeft(current)) return current;
  const claimed = await claims.claimVersion(version, textDigest, deadline - runtime.clock.now());
  if (Either.isLeft(claimed)) return claimed;
  if (claimed.right === 'other') return Either.left(updateFaults.versionTaken(version));
  if (claimed.right === 'forgotten') return Either.left(updateFaults.versionForgotten(version));
  return Either.right(undefined);
}

function successor(
  { runtime }: ExternalUpdateParts,
  external: ExternalVersion,
  placement: PlacementConfiguration,
  textDigest: string,
  current: Option.Option<Entry>,
): Configuration {
  return {
    sheet: placement,
    sendId: `external ${external.version}`,
    sentBy: 'external',
    sentAt: runtime.clock.wall(),
    recent: recentSends(configurationOf(current)),
    external: { ...external, digest: textDigest },
  };
}

/** Of two external versions the higher stands; a lower one, or the same again, changes nothing and is right all the same. */
async function replace(
  parts: ExternalUpdateParts,
  external: ExternalVersion,
  placement: PlacementConfiguration,
): Promise<Either.Either<Fault, UpdateResult>> {
  const { runtime, register } = parts;
  const deadline = runtime.clock.now() + replaceMilliseconds;
  const textDigest = documentDigest.ofText(external.source);
  const claimed = await claimVersion(parts, external.version, textDigest, deadline);
  if (Either.isLeft(claimed)) {
    runtime.log('configuration.not-taken', { external: external.version, reason: fault.kind(claimed.left) });
    return claimed;
  }
  const changed = await register.change(
    'configuration',
    function next(current) {
      const before = configurationOf(current)?.external;
      if (before !== undefined && before.version >= external.version) return Option.none;
      return Option.some(successor(parts, external, placement, textDigest, current));
    },
    deadline - runtime.clock.now(),
  );
  if (Either.isLeft(changed)) return changed;
  const current = configurationOf(changed.right.entry)?.external?.version ?? 0;
  runtime.log('configuration.taken', { external: external.version, standing: current, wrote: changed.right.wrote });
  return Either.right({ version: current });
}

/** @internal */
export const externalUpdates = { replace } as const;
