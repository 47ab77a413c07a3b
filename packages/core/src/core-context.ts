/** What the modules of a core share while it runs. */
import type * as Option from 'fp-ts/lib/Option.js';
import type { Disk, Instant, Runtime } from '@stallstall/kernel';
import type { Node } from '@stallstall/node';
import type { Acceptor, CoreSetView, ReportStore } from '@stallstall/register';
import type { CoreCalls } from './core-calls.js';
import type { PlatformIntegration, CoreSettings } from './core-settings.js';
import type { CoreSetManager } from './core-set-manager.js';
import type { FleetRecordStore } from './fleet-record.js';
import type { MemberRegistration } from './member-registration.js';
import type { StateTransfer } from './state-transfer.js';
import type { CoreVoteStore } from './vote-store.js';

/** @internal */
export type CoreContext = {
  readonly runtime: Runtime;
  readonly settings: CoreSettings;
  /** None where an operator runs the fleet. */
  readonly platform: Option.Option<PlatformIntegration>;
  readonly disk: Disk;
  /** None where an operator names the members. */
  registration: Option.Option<MemberRegistration>;
  /** None where an operator runs the set of cores. */
  coreSet: Option.Option<CoreSetManager>;
  /** When this core began to answer as an occupant of its seat. */
  openedAt: Instant;
  /** While the disk moves from one set of cores to the next. */
  isInSetTransition: boolean;
  isDraining: boolean;
  isStopped: boolean;
};

/** What lies on this core's disk, and how it gets there. @internal */
export type CoreStorage = Readonly<{
  recordStore: FleetRecordStore;
  /** Undefined where the set of cores never changes. */
  coreSetView: CoreSetView | undefined;
  cells: Acceptor;
  reports: ReportStore;
  votes: CoreVoteStore;
  calls: CoreCalls;
  transfer: StateTransfer;
}>;

/** @internal */
export type CoreServices = Readonly<{ context: CoreContext; storage: CoreStorage; node: Node }>;
