/** Updates of the configuration, each applied exactly once however often it arrives (design 6.2, 6.5, 6.6). */
import type * as Either from 'fp-ts/lib/Either.js';
import type * as Option from 'fp-ts/lib/Option.js';
import type { Fault, Runtime } from '@stallstall/kernel';
import type { Entry } from '@stallstall/message';
import type { PlacementConfiguration } from '@stallstall/placement';
import type { Register } from '@stallstall/register';
import { claimTable } from './claim-table.js';
import type { ConfigurationVersions } from './configuration-versions.js';
import { externalUpdates, type ExternalVersion } from './external-updates.js';
import { placementUpdates, type PlacementUpdate, type UpdateResult } from './placement-updates.js';

export type { ExternalVersion } from './external-updates.js';
export type { PlacementUpdate, UpdateResult } from './placement-updates.js';

export type ConfigurationUpdates = Readonly<{
  /** Errors: `outcome-unknown`, `version-conflict` and `key-denied`. */
  replace: (update: PlacementUpdate) => Promise<Either.Either<Fault, UpdateResult>>;
  /**
   * Stores a configuration if its external version is higher than the current one; a lower or equal version changes nothing and still
   * succeeds. Errors: `version-conflict`, `outcome-unknown`, and those of the register.
   */
  replaceExternal: (external: ExternalVersion, placement: PlacementConfiguration) => Promise<Either.Either<Fault, UpdateResult>>;
}>;

export type ConfigurationUpdateParts = Readonly<{
  register: Register;
  versions: ConfigurationVersions;
  /** The configuration that this core has accepted, whether or not it has been chosen. */
  accepted: () => Option.Option<Entry>;
}>;

function create(runtime: Runtime, { register, versions, accepted }: ConfigurationUpdateParts): ConfigurationUpdates {
  const claims = claimTable.create(register);
  return {
    replace: (update) => placementUpdates.replace({ runtime, register, claims, versions }, update),
    replaceExternal: (external, placement) =>
      externalUpdates.replace({ runtime, register, claims, versions, accepted }, external, placement),
  };
}

export const configurationUpdates = { create } as const;
