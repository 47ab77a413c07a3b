/** The first placement configuration of a soak: three databases for each service, one of each kind of read. */
import type { PooledSheet } from '@stallstall/simulator';

export type SheetOptions = Readonly<{ services: readonly string[]; connectionLimit: number; synchronousReplicas: number }>;

/** How long a transaction may rest. */
export const restMilliseconds = 1_500;

const kinds = [
  { suffix: 'lead', reads: 'leader', staleMilliseconds: 0, horizonMilliseconds: 1_200, aimMilliseconds: 200 },
  { suffix: 'late', reads: 'bounded', staleMilliseconds: 1_500, horizonMilliseconds: 2_000, aimMilliseconds: 800 },
  { suffix: 'own', reads: 'own', staleMilliseconds: 2_500, horizonMilliseconds: 1_000, aimMilliseconds: 200 },
] as const;

function first({ services, connectionLimit, synchronousReplicas }: SheetOptions): PooledSheet {
  return {
    services: services.map((service) => ({ service, connectionLimit, registered: true, synchronousReplicas })),
    databases: services.flatMap((service) =>
      kinds.map(({ suffix, ...database }) => ({ ...database, database: `${service}-${suffix}`, service })),
    ),
    tenants: [
      { tenant: 'tenant-one', keys: ['key-one', 'key-spare'] },
      { tenant: 'tenant-two', keys: ['key-two'] },
    ],
    rows: [],
    keys: [],
    bounds: { restMilliseconds },
  };
}

export const soakSheets = { first } as const;
