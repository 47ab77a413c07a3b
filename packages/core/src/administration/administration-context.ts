/** What the routes of the administration API share. */
import type * as Either from 'fp-ts/lib/Either.js';
import type * as Option from 'fp-ts/lib/Option.js';
import type { Election, Liveness } from '@stallstall/election';
import type { Fault, Runtime } from '@stallstall/kernel';
import type { Entry, Membership } from '@stallstall/message';
import type { Node } from '@stallstall/node';
import type { DurableReports, Register } from '@stallstall/register';
import type { ConfigurationUpdates } from '../configuration-updates.js';
import type { ConfigurationVersions } from '../configuration-versions.js';
import type { MembershipChange } from '../membership-table.js';
import type { OperatorTable } from '../operators.js';
import type { UsageReporting } from '../usage-reporting.js';
import type { VersionStore } from '../version-store.js';

/** What the administration needs of the core it runs in. */
export type AdministrationParts = Readonly<{
  node: Node;
  usage: UsageReporting;
  /** The key that may do everything; undefined lets everybody in. */
  rootKey: string | undefined;
  /** Whether this core answers ballots. */
  ready: () => boolean;
  diskBytes: () => number;
  /** Why this core's disk does not sync now; none while it does. */
  diskFault: () => Option.Option<Fault>;
  versions: VersionStore;
  /** The version that this core's disk holds under a key; 0 when it holds none. */
  versionOf: (key: string) => number;
  /** What this core's own disk holds, chosen or not. */
  accepted: (key: string) => Option.Option<Entry>;
  changeMembership: (next: MembershipChange) => Promise<Either.Either<Fault, Membership>>;
  /** The configuration version that each node with a link to this core has applied. */
  appliedVersions: () => ReadonlyMap<string, number>;
  metrics: () => Readonly<Record<string, number>>;
}>;

/** @internal */
export type AdministrationContext = Readonly<{
  runtime: Runtime;
  parts: AdministrationParts;
  node: Node;
  register: Register;
  durableReports: DurableReports;
  liveness: Liveness;
  elections: Election;
  operators: OperatorTable;
  versions: ConfigurationVersions;
  updates: ConfigurationUpdates;
}>;
