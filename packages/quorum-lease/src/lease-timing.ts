/** How long leases run, and how spans that another process measured are read (design 7.3, 7.4). */

/** A lease runs so long from the moment its request was sent. Unit: milliseconds. */
export const leaseTermMilliseconds = 2_000;

/** What the winner of an election waits beyond a whole term; the inequality is design 7.4. Unit: milliseconds. */
export const leaseMarginMilliseconds = 500;

/** Two processes' clocks drift apart by less than this share of a span. */
const clockDriftShare = 0.05;

/** The part of a span measured by another process that has passed on this process's clock for certain. Unit: milliseconds. */
export function subtractClockDrift(milliseconds: number): number {
  return milliseconds * (1 - clockDriftShare);
}
