/** Settings of a core, and its integration with a platform. */
import type { MemberProbe, PlatformCalls } from '@stallstall/election';
import type { HttpRoute } from '@stallstall/kernel';
import type { NodeSettings } from '@stallstall/node';
import type { FoundingSettings } from './fleet-bootstrap.js';
import type { PlatformApi } from './platform-api.js';

export type CoreSettings = NodeSettings &
  Readonly<{
    /** How many cores found a fleet whose core set an operator changes. */
    cores: number;
    /** Key with all permissions at the administration API; if unset, requests need no key. */
    operatorKey?: string | undefined;
  }>;

/** Integrates a core with a platform that has its own protocol, where members register and edges hold leases (design 9.6). */
export type PlatformIntegration = FoundingSettings &
  Readonly<{
    calls: PlatformCalls;
    probe: MemberProbe;
    /** Creates the routes of the platform's protocol from the operations that this core offers. */
    routes: (api: PlatformApi) => readonly HttpRoute[];
    /** Listening address of these routes. */
    platformApiAddress: string;
  }>;
