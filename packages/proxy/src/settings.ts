/** Settings and durations of the proxy process. */

export type ProxySettings = Readonly<{
  /** Address that clients connect to over HTTP. */
  address: string;
  /** Address of the agent on the same machine. */
  feed: string;
}>;

/** A draining primary serves until another one is elected, but no longer than this after the proxy has learnt of it (design 7.9). */
export const handoverMilliseconds = 5_000;
/** How long an open transaction may continue on a draining edge. */
export const openTransactionMilliseconds = 5_500;
/** The platform may go on routing requests to this process for this long after its readiness check fails. */
export const lameDuckMilliseconds = 1_500;
/** The longest time that a graceful shutdown may take. */
export const graceMilliseconds = 6_000;
/** Time limit of a request whose client sets none. */
export const defaultTimeLimitMilliseconds = 4_000;
