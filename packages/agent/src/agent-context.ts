/** What the modules of an agent share. */
import type { Instant, Runtime } from '@stallstall/kernel';
import type { Node, NodeSettings } from '@stallstall/node';
import type { ConnectionCaps } from './connection-caps.js';
import type { MemberFreshness } from './member-freshness.js';
import type { ProxyReports } from './proxy-reports.js';

export type AgentSettings = NodeSettings &
  Readonly<{
    /** Where the proxy of this machine asks. */
    feed: string;
  }>;

/** A proxy that has asked or reported nothing for so long is taken for gone. Unit: milliseconds. @internal */
export const proxySilenceMilliseconds = 2_500;

/** @internal */
export type AgentContext = {
  readonly runtime: Runtime;
  readonly settings: AgentSettings;
  readonly node: Node;
  readonly caps: ConnectionCaps;
  readonly freshness: MemberFreshness;
  readonly reports: ProxyReports;
  proxyReportedAt: Instant | undefined;
  proxyRequestedAt: Instant | undefined;
  /** What the proxy has counted since it began. */
  proxyMetrics: Readonly<Record<string, number>>;
  isStopped: boolean;
};
