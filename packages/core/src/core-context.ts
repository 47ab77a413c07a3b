/** State and stores that the modules of a core share while it runs. */
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
  /** None where an operator runs the fleet through the administration API. */
  readonly platform: Option.Option<PlatformIntegration>;
  readonly disk: Disk;
  /** None where an operator configures the database members instead of members registering. */
  registration: Option.Option<MemberRegistration>;
  /** None in a fleet whose core set an operator changes. */
  coreSet: Option.Option<CoreSetManager>;
  /** When this core started to serve ballots. */
  openedAt: Instant;
  /** True while the disk moves from one core set to the next. */
  isInSetTransition: boolean;
  isDraining: boolean;
  isStopped: boolean;
};

/** The stores on this core's disk, and the calls that copy other cores' state to it. @internal */
export type CoreStorage = Readonly<{
  recordStore: FleetRecordStore;
  /** Undefined in a fleet whose core set an operator changes. */
  coreSetView: CoreSetView | undefined;
  cells: Acceptor;
  reports: ReportStore;
  votes: CoreVoteStore;
  calls: CoreCalls;
  transfer: StateTransfer;
}>;

/** The context, the stores and the node of a running core. @internal */
export type CoreServices = Readonly<{ context: CoreContext; storage: CoreStorage; node: Node }>;
