/** Serves a core's HTTP routes: those of the platform's protocol at an address of their own, all others at its HTTP address. */
import * as Option from 'fp-ts/lib/Option.js';
import { http, identifiers, type HttpRoute, type Listener } from '@stallstall/kernel';
import type { Administration } from './administration/administration.js';
import type { CoreServices } from './core-context.js';
import type { PlatformApi } from './platform-api.js';
import type { QuorumContact } from './quorum-contact.js';

/** @internal */
export type CoreRoutes = Readonly<{
  listening: readonly Listener[];
  /** How many requests have not been replied to yet. */
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
  const { runtime, settings, platform } = context;
  const platformRoutes = Option.isSome(platform) ? platform.value.routes(platformApi) : [];
  const platformRouteNames = new Set(platformRoutes.map(nameOf));
  const countedRoutes = http.countInFlight([...node.routes, ...administration.routes.map(contact.guardRoute), ...platformRoutes]);

  function isPlatformRoute(route: HttpRoute): boolean {
    return platformRouteNames.has(nameOf(route));
  }

  const outwardListening = await runtime.network.serve(identifiers.address(settings.outward), {
    routes: countedRoutes.routes.filter((route) => !isPlatformRoute(route)),
  });
  if (Option.isNone(platform)) return { listening: [outwardListening], inFlight: countedRoutes.inFlight };
  const platformListening = await runtime.network.serve(identifiers.address(platform.value.platformApiAddress), {
    routes: countedRoutes.routes.filter(isPlatformRoute),
  });
  return { listening: [outwardListening, platformListening], inFlight: countedRoutes.inFlight };
}

/** @internal */
export const coreRoutes = { serve } as const;
