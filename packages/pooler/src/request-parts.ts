/** The components shared by the modules that handle a statement. */
import type { Runtime } from '@stallstall/kernel';
import type { Dialect } from '@stallstall/session-protocol';
import type { Connections } from './connections.js';
import type { CachedReplies } from './cached-replies.js';
import type { Freshness } from './freshness.js';
import type { Usage } from './usage.js';
import type { View } from './view.js';

export type RequestParts = Readonly<{
  runtime: Runtime;
  dialect: Dialect;
  /** The current view of the placement. */
  view: () => View;
  connections: Connections;
  freshness: Freshness;
  usage: Usage;
  cachedReplies: CachedReplies;
}>;
