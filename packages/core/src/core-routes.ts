/** Serves a core's HTTP routes: those in the platform's words at an address of their own, all others beside its links. */
import * as Option from 'fp-ts/lib/Option.js';
import { http, identifiers, type HttpRoute, type Listening } from '@stallstall/kernel';
import type { Administration } from './administration/administration.js';
import type { CoreServices } from './core-context.js';
import type { PlatformApi } from './platform-api.js';
import type { QuorumContact } from './quorum-contact.js';

/** @internal */
export type CoreRoutes = Readonly<{
  listening: readonly Listening[];
  /** How many requests have no answer yet. */
  inFlight: () => number;
}>;

/** @internal */
export type CoreRouteParts = Readonly<{
  services: CoreServices;
  administration: Administration;
  contact: QuorumContact;
  platformApi: PlatformApi;
}>;

function nameOf({ method, path }: HttpRoute): string {
  return `${method} ${path}`;
}

async function serve({ services, administration, contact, platformApi }: CoreRouteParts): Promise<CoreRoutes> {
  const { context, node } = services;
  const { runtime, settings, platform: parts } = context;
  const platformRoutes = Option.isSome(parts) ? parts.value.routes(platformApi) : [];
  const platformNames = new Set(platformRoutes.map(nameOf));
  const counted = http.countInFlight([...node.routes, ...administration.routes.map(contact.guardRoute), ...platformRoutes]);

  function isPlatformRoute(route: HttpRoute): boolean {
    return platformNames.has(nameOf(route));
  }

  const outward = await runtime.network.serve(identifiers.address(settings.outward), {
    routes: counted.routes.filter((route) => !isPlatformRoute(route)),
  });
  if (Option.isNone(parts)) return { listening: [outward], inFlight: counted.inFlight };
  const forPlatform = await runtime.network.serve(identifiers.address(parts.value.platformApiAddress), {
    routes: counted.routes.filter(isPlatformRoute),
  });
  return { listening: [outward, forPlatform], inFlight: counted.inFlight };
}

/** @internal */
export const coreRoutes = { serve } as const;
