/** What a core is started with. */
import type { MemberProbe, PlatformCalls } from '@stallstall/election';
import type { HttpRoute } from '@stallstall/kernel';
import type { NodeSettings } from '@stallstall/node';
import type { FoundingSettings } from './fleet-bootstrap.js';
import type { PlatformApi } from './platform-api.js';

export type CoreSettings = NodeSettings &
  Readonly<{
    /** How many cores found a fleet where an operator runs the set of cores. */
    cores: number;
    /** The key that may do everything at the administration API; without it everybody may. */
    operatorKey?: string | undefined;
  }>;

/** How a fleet runs where members register, edges hold leases, and the platform has words of its own (design 9.6). */
export type PlatformIntegration = FoundingSettings &
  Readonly<{
    calls: PlatformCalls;
    probe: MemberProbe;
    /** Routes in the platform's words, served from what this core offers. */
    routes: (api: PlatformApi) => readonly HttpRoute[];
    /** Where these routes are served. */
    platformApiAddress: string;
  }>;
