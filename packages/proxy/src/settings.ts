/** Settings and durations of the proxy's process. */

export type ProxySettings = Readonly<{
  /** Where clients connect over HTTP. */
  address: string;
  /** Where the agent of this machine listens. */
  feed: string;
}>;

/** A draining primary serves until another is elected, but no longer than this after the news (design 7.9). */
export const handoverMilliseconds = 5_000;
/** How long an open transaction may go on through an edge that drains. */
export const openTransactionMilliseconds = 5_500;
/** The platform goes on sending requests for so long after readiness fails. */
export const lameDuckMilliseconds = 1_500;
/** How long a planned end of the process may take. */
export const graceMilliseconds = 6_000;
/** A response is given up for after so long, unless the client names another limit. */
export const defaultTimeLimitMilliseconds = 4_000;
