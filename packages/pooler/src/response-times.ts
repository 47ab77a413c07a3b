/** Estimates the response times of members, by service and read consistency, so that a lost reply is detected early. */
import type { DatabasePlacement } from '@stallstall/placement';

/** Both in milliseconds, smoothed as TCP smooths round-trip times (RFC 6298). */
type Estimate = Readonly<{ mean: number; deviation: number }>;

export type ResponseTimes = Readonly<{
  record: (database: DatabasePlacement, milliseconds: number) => void;
  /** How long to wait for the reply to a statement that can be retried elsewhere. */
  timeoutMilliseconds: (database: DatabasePlacement) => number;
}>;

const minimumTimeoutMilliseconds = 60;
/** Upper limit of the timeout, as a share of the database's time limit for a statement. */
const maximumTimeoutShare = 0.6;
const meanGain = 1 / 8;
const deviationGain = 1 / 4;
/** The timeout is `meanFactor` means plus `deviationFactor` deviations. */
const meanFactor = 4;
const deviationFactor = 8;

function keyOf(database: DatabasePlacement): string {
  return `${database.service} ${database.reads}`;
}

function smoothed(estimate: Estimate, milliseconds: number): Estimate {
  return {
    mean: estimate.mean + (milliseconds - estimate.mean) * meanGain,
    deviation: estimate.deviation + (Math.abs(milliseconds - estimate.mean) - estimate.deviation) * deviationGain,
  };
}

function create(): ResponseTimes {
  const estimates = new Map<string, Estimate>();
  return {
    record: function record(database, milliseconds) {
      const key = keyOf(database);
      const estimate = estimates.get(key);
      estimates.set(key, estimate === undefined ? { mean: milliseconds, deviation: milliseconds / 2 } : smoothed(estimate, milliseconds));
    },
    timeoutMilliseconds: function timeoutMilliseconds(database) {
      const estimate = estimates.get(keyOf(database));
      const maximum = database.horizonMilliseconds * maximumTimeoutShare;
      if (estimate === undefined) return maximum;
      const expected = meanFactor * estimate.mean + deviationFactor * estimate.deviation;
      return Math.max(minimumTimeoutMilliseconds, Math.min(expected, maximum));
    },
  };
}

export const responseTimes = { create } as const;
