/** State shared by the modules of an agent. */
import type { Instant, Runtime } from '@stallstall/kernel';
import type { Node, NodeSettings } from '@stallstall/node';
import type { ConnectionCaps } from './connection-caps.js';
import type { MemberFreshness } from './member-freshness.js';
import type { ProxyReports } from './proxy-reports.js';

export type AgentSettings = NodeSettings &
  Readonly<{
    /** The address on which this machine's proxy connects to the agent. */
    feed: string;
  }>;

/** A proxy that has sent no request or report for this time is considered down. Unit: milliseconds. @internal */
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
  /** The proxy's counters since it started. */
  proxyMetrics: Readonly<Record<string, number>>;
  isStopped: boolean;
};
