/** What the run tells its processes, and what they say back, over the channel between a parent and its child. */
export type HollowSheet = Readonly<{ services: number; connectionLimit: number; tenants: number }>;

export type HollowRole =
  | Readonly<{
      role: 'core';
      node: string;
      area: string;
      address: string;
      outward: string;
      platformApiAddress: string;
      founders: readonly string[];
      platform: string;
      data: string;
    }>
  | Readonly<{ role: 'agent'; node: string; area: string; feed: string; seeds: readonly string[] }>
  | Readonly<{ role: 'proxy'; address: string; outward: string; feed: string }>
  | Readonly<{ role: 'edges'; first: number; count: number; areas: readonly string[]; seeds: readonly string[]; tenants: number }>
  | Readonly<{
      role: 'members';
      address: string;
      platform: string;
      platformApiAddresses: readonly string[];
      services: number;
      areas: readonly string[];
      beatMilliseconds: number;
      runMilliseconds: number;
    }>
  | Readonly<{ role: 'senders'; proxies: readonly string[]; sessions: number; statements: number; services: number }>;

export type HollowAsk =
  | Readonly<{ kind: 'frames' }>
  | Readonly<{ kind: 'open' }>
  /** Of hollow edges: what they obey, and when (wall time, one machine) they first obeyed a version or held a lease at an epoch. */
  | Readonly<{ kind: 'view'; services: number }>
  | Readonly<{ kind: 'obeyedAt'; version: number }>
  | Readonly<{ kind: 'leasedAt'; service: string; epoch: number }>
  | Readonly<{ kind: 'epoch'; service: string }>
  /** Of hollow members: the primary of a service is to be replaced, or falls silent. */
  | Readonly<{ kind: 'drain'; service: string }>
  | Readonly<{ kind: 'crash'; service: string }>
  | Readonly<{ kind: 'served' }>;

export type HollowMessage = Readonly<{ number: number; ask: HollowAsk }>;
export type HollowReply = Readonly<{ number: number; values: Readonly<Record<string, number>>; text?: string }>;

function serviceName(index: number): string {
  return `service-${index + 1}`;
}

function sheet(of: HollowSheet): unknown {
  return {
    services: Array.from({ length: of.services }, (_, index) => ({
      service: serviceName(index),
      connectionLimit: of.connectionLimit,
      registered: true,
    })),
    rows: [],
    keys: [],
    databases: Array.from({ length: of.services }, (_, index) => ({
      database: `database-${index + 1}`,
      service: serviceName(index),
      reads: 'leader',
      horizonMilliseconds: 2_000,
    })),
    tenants: Array.from({ length: of.tenants }, (_, index) => ({ tenant: `tenant-${index + 1}`, keys: [`hollow-key-${index + 1}`] })),
  };
}

export const hollowRoles = { serviceName, sheet } as const;
