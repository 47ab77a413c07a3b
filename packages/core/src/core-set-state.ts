/** What the modules of the core set manager share. */
import type * as Option from 'fp-ts/lib/Option.js';
import type { Instant, Runtime, Owner } from '@stallstall/kernel';
import type { CoreSet } from '@stallstall/message';
import type { Node } from '@stallstall/node';
import type { Acceptor, CoreSetRegister } from '@stallstall/register';
import type { CoreCall } from './core-calls.js';
import type { FleetRecord } from './fleet-record.js';
import type { StateTransfer } from './state-transfer.js';

export type CoreSetManagerParts = Readonly<{
  node: Pick<Node, 'settings' | 'ownRecord' | 'lastHeartbeatAt' | 'setFleet'>;
  register: Pick<CoreSetRegister, 'forCoreSet'>;
  callCore: CoreCall;
  cells: Acceptor;
  transfer: StateTransfer;
  record: () => Option.Option<FleetRecord>;
  /** Resolves to true once the record is synced. */
  saveRecord: (next: FleetRecord) => Promise<boolean>;
  /** Starts to serve as a core of the recorded set. */
  open: (record: FleetRecord) => void;
  /** Continues to serve in the recorded, newer set. */
  changeSet: (record: FleetRecord) => void;
  /** Stops serving, since another node has replaced this core in the set. */
  close: (set: CoreSet) => void;
  /** Called with true before this disk leaves a set and with false once the next set is synced or failed to sync. */
  onSetTransition: (isBetween: boolean) => void;
}>;

/** @internal */
export type CoreSetState = {
  readonly runtime: Runtime;
  readonly parts: CoreSetManagerParts;
  readonly commands: Owner<null>;
  /** When this core entered its current set. */
  inSetSince: Instant;
  /** When a node that the set does not list last asked to join. */
  lastJoinRequestAt: Instant;
  isLeaving: boolean;
  isStopped: boolean;
};
