/** Lease durations, and how time spans measured by another process are read (design 7.3, 7.4). */

/** How long a lease is valid, counted from the moment its request was sent. Unit: milliseconds. */
export const leaseTermMilliseconds = 2_000;

/** How much longer than a full lease term the winner of an election waits; the inequality is in design 7.4. Unit: milliseconds. */
export const leaseMarginMilliseconds = 500;

/** The clocks of two processes drift apart by less than this fraction of the elapsed time. */
const maxClockDriftRatio = 0.05;

/** The part of a time span measured by another process that has certainly elapsed on this process's clock. Unit: milliseconds. */
export function subtractClockDrift(milliseconds: number): number {
  return milliseconds * (1 - maxClockDriftRatio);
}
