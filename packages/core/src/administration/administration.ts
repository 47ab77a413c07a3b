/** The administration API, which every core serves to operators (design 9.2, 9.4). */
import type * as Either from 'fp-ts/lib/Either.js';
import { electionService, livenessService } from '@stallstall/election';
import type { Fault, HttpRoute, Runtime } from '@stallstall/kernel';
import { durableReportsService, registerService } from '@stallstall/register';
import { configurationUpdates, type ConfigurationUpdates } from '../configuration-updates.js';
import { configurationVersions } from '../configuration-versions.js';
import { operators } from '../operators.js';
import type { AdministrationContext, AdministrationParts } from './administration-context.js';
import { electionRoutes } from './election-routes.js';
import { healthRoutes } from './health-routes.js';
import { nodeRoutes } from './node-routes.js';
import { operatorRoutes } from './operator-routes.js';
import { placementRoutes } from './placement-routes.js';

export type Administration = Readonly<{
  routes: readonly HttpRoute[];
  /** Stores a configuration under a version number assigned by an external platform. */
  replaceExternal: ConfigurationUpdates['replaceExternal'];
  /** The text of the current configuration, exactly as its client submitted it. */
  readSource: () => Promise<Either.Either<Fault, string>>;
}>;

function create(runtime: Runtime, parts: AdministrationParts): Administration {
  const register = runtime.services.find(registerService);
  const versions = configurationVersions.create(register, parts.versions);
  const updates = configurationUpdates.create(runtime, { register, versions, accepted: () => parts.accepted('configuration') });
  const context: AdministrationContext = {
    runtime,
    parts,
    node: parts.node,
    register,
    durableReports: runtime.services.find(durableReportsService),
    liveness: runtime.services.find(livenessService),
    elections: runtime.services.find(electionService),
    operators: operators.create(runtime, parts.rootKey),
    versions,
    updates,
  };
  return {
    routes: [
      ...healthRoutes.create(context),
      ...nodeRoutes.create(context),
      ...electionRoutes.create(context),
      ...operatorRoutes.create(context),
      ...placementRoutes.create(context),
    ],
    replaceExternal: updates.replaceExternal,
    readSource: () => placementRoutes.readSource(context),
  };
}

export const administration = { create } as const;
