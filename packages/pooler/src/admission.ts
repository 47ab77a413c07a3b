/** Checks whether a client's key gives access to a database. */
import type { DatabasePlacement } from '@stallstall/placement';
import type { View } from './view.js';

export type Admission =
  | Readonly<{ admitted: true; database: DatabasePlacement; tenant: string }>
  | Readonly<{ admitted: false; condition: 'no-database' | 'denied' }>;

/** The tenant that usage is attributed to when a client without a known key uses an open database. */
const openTenant = '-';

function admit(view: View, databaseName: string, key: string): Admission {
  const database = view.databases.get(databaseName);
  if (database === undefined) return { admitted: false, condition: 'no-database' };
  const tenant = view.tenantsByKey.get(key);
  if (database.open) return { admitted: true, database, tenant: tenant?.tenant ?? openTenant };
  return tenant === undefined ? { admitted: false, condition: 'denied' } : { admitted: true, database, tenant: tenant.tenant };
}

export const admissions = { admit } as const;
