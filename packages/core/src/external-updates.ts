/** Configurations with version numbers assigned by an external platform (design 6.5, 6.6). */
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

/** A version number assigned by the client, with the text as submitted, which reads return unchanged. */
export type ExternalVersion = Readonly<{ version: number; source: string }>;

/** @internal */
export type ExternalUpdateParts = Readonly<{
  runtime: Runtime;
  register: Register;
  claims: ClaimTable;
  versions: ConfigurationVersions;
  /** The configuration that this core has accepted, whether or not it has been chosen. */
  accepted: () => Option.Option<Entry>;
}>;

/** Below 1 s, after which a client of the platform without a reply tries another core. @internal */
export const platformCallMilliseconds = 850;

/**
 * Claims the version of the current configuration if an earlier release stored it without a claim. This comes before any new claim, so that
 * its version number cannot be claimed for a different document.
 */
async function claimCurrent(parts: ExternalUpdateParts, timeoutMilliseconds: number): Promise<Either.Either<Fault, unknown>> {
  const local = configurationOf(parts.accepted())?.external;
  if (local?.digest !== undefined) return Either.right(undefined);
  const read = await parts.versions.current(timeoutMilliseconds);
  if (Either.isLeft(read) || Option.isNone(read.right)) return read;
  const { external } = read.right.value.value;
  if (external === undefined || external.digest !== undefined) return Either.right(undefined);
  return parts.claims.claimVersion(external.version, documentDigest.ofText(external.source), timeoutMilliseconds);
}

/** Claims a version for the document with a digest. Errors: `version-conflict`, `outcome-unknown`, and those of the register. */
async function claimExternalVersion(
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
  if (claimed.right === 'different') return Either.left(updateFaults.versionInUse(version));
  if (claimed.right === 'expired') return Either.left(updateFaults.versionExpired(version));
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

/** Stores a configuration if its external version is higher than the current one; otherwise changes nothing and still succeeds. */
async function replace(
  parts: ExternalUpdateParts,
  external: ExternalVersion,
  placement: PlacementConfiguration,
): Promise<Either.Either<Fault, UpdateResult>> {
  const { runtime, register } = parts;
  const deadline = runtime.clock.now() + platformCallMilliseconds;
  const textDigest = documentDigest.ofText(external.source);
  const claimed = await claimExternalVersion(parts, external.version, textDigest, deadline);
  if (Either.isLeft(claimed)) {
    runtime.log('configuration.not-taken', { external: external.version, reason: fault.kind(claimed.left) });
    return claimed;
  }
  const changed = await register.change(
    'configuration',
    function next(current) {
      const previous = configurationOf(current)?.external;
      if (previous !== undefined && previous.version >= external.version) return Option.none;
      return Option.some(successor(parts, external, placement, textDigest, current));
    },
    deadline - runtime.clock.now(),
  );
  if (Either.isLeft(changed)) return changed;
  const current = configurationOf(changed.right.entry)?.external?.version ?? 0;
  runtime.log('configuration.taken', { external: external.version, current, written: changed.right.wrote });
  return Either.right({ version: current });
}

/** @internal */
export const externalUpdates = { replace } as const;
