/** Dependencies and shared state of the administration API's routes. */
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

/** What the administration API needs from the core that serves it. */
export type AdministrationParts = Readonly<{
  node: Node;
  usage: UsageReporting;
  /** The key with every permission; when undefined, requests need no key. */
  rootKey: string | undefined;
  /** Whether this core answers ballots. */
  ready: () => boolean;
  diskBytes: () => number;
  /** The error of this core's disk while writes to it fail to sync; none otherwise. */
  diskFault: () => Option.Option<Fault>;
  versions: VersionStore;
  /** The version of the entry under a key on this core's own disk; 0 if there is none. */
  versionOf: (key: string) => number;
  /** The entry that this core has accepted under a key, whether or not it has been chosen. */
  accepted: (key: string) => Option.Option<Entry>;
  changeMembership: (next: MembershipChange) => Promise<Either.Either<Fault, Membership>>;
  /** The configuration version applied by each node that has a link to this core. */
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
