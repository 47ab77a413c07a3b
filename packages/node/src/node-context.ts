/** What the modules of a node share. */
import type * as Option from 'fp-ts/lib/Option.js';
import type { Runtime } from '@stallstall/kernel';
import type { CoreSet, NodeRecord } from '@stallstall/message';
import type { NodeParts, RegistrationSupport } from './node-parts.js';
import type { NodeSettings } from './node-settings.js';

/** How often a node sends heartbeats, watches cores and looks for elections. Unit: milliseconds. */
export const heartbeatMilliseconds = 200;

/** What a call between nodes may take. Unit: milliseconds. @internal */
export const callMilliseconds = 800;

/** @internal */
export type NodeContext = {
  readonly runtime: Runtime;
  readonly settings: NodeSettings;
  readonly parts: NodeParts;
  readonly registration: Option.Option<RegistrationSupport>;
  readonly ownRecord: NodeRecord;
  /** The cores that this node asks and counts majorities of. */
  cores: readonly NodeRecord[];
  /** The set of cores, where it may change (design 4.8). */
  coreSet: Option.Option<CoreSet>;
  /** The fleet's id; empty until it is found. */
  fleet: string;
  isStopped: boolean;
};
