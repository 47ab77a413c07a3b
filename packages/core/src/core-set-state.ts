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
  node: Pick<Node, 'settings' | 'ownSeat' | 'lastHeartbeatAt' | 'setFleet'>;
  register: Pick<CoreSetRegister, 'forCoreSet'>;
  callCore: CoreCall;
  cells: Acceptor;
  transfer: StateTransfer;
  record: () => Option.Option<FleetRecord>;
  /** Resolves to true once the record is synced. */
  saveRecord: (next: FleetRecord) => Promise<boolean>;
  /** Begins to answer as the fleet record says. */
  open: (known: FleetRecord) => void;
  /** Answers in another set than before. */
  changeSet: (known: FleetRecord) => void;
  /** Answers nothing any more: its seat was given to another. */
  close: (set: CoreSet) => void;
  /** Called with true before this disk leaves a set and with false once it is in the next. */
  onSetTransition: (isBetween: boolean) => void;
}>;

/** @internal */
export type CoreSetState = {
  readonly runtime: Runtime;
  readonly parts: CoreSetManagerParts;
  readonly commands: Owner<null>;
  /** Since when this core is in its set. */
  inSetSince: Instant;
  /** When a node without a seat asked last. */
  learnerAskedAt: Instant;
  isLeaving: boolean;
  isStopped: boolean;
};
