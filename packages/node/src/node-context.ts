/** State shared by the modules of a node. */
import type * as Option from 'fp-ts/lib/Option.js';
import type { Runtime } from '@stallstall/kernel';
import type { CoreSet, NodeRecord } from '@stallstall/message';
import type { NodeParts, RegistrationSupport } from './node-parts.js';
import type { NodeSettings } from './node-settings.js';

/** How often a node sends heartbeats, calls `watch` on cores and checks whether to start an election. Unit: milliseconds. */
export const heartbeatMilliseconds = 200;

/** The timeout of a call between nodes. Unit: milliseconds. @internal */
export const callTimeoutMilliseconds = 800;

/** @internal */
export type NodeContext = {
  readonly runtime: Runtime;
  readonly settings: NodeSettings;
  readonly parts: NodeParts;
  readonly registration: Option.Option<RegistrationSupport>;
  readonly ownRecord: NodeRecord;
  /** The cores that this node calls and computes majorities over. */
  cores: readonly NodeRecord[];
  /** The core set; none if it is fixed (design 4.8). */
  coreSet: Option.Option<CoreSet>;
  /** The fleet's id; empty until it is found. */
  fleet: string;
  isStopped: boolean;
};
