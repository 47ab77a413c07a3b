/** How long members take to reply, by service and kind of read, so that a lost reply is noticed early. */
import type { DatabasePlacement } from '@stallstall/placement';

/** Both in milliseconds, smoothed as TCP smooths round-trip times (RFC 6298). */
type Estimate = Readonly<{ mean: number; deviation: number }>;

export type ResponseTimes = Readonly<{
  note: (database: DatabasePlacement, milliseconds: number) => void;
  /** A statement that can be retried is given up after so many milliseconds of silence. */
  patienceMilliseconds: (database: DatabasePlacement) => number;
}>;

const leastPatienceMilliseconds = 60;
/** Share of a database's time limit after which an attempt is given up at the latest. */
const mostPatienceShare = 0.6;
const meanGain = 1 / 8;
const deviationGain = 1 / 4;
const meanFactor = 4;
const deviationFactor = 8;

function keyOf(database: DatabasePlacement): string {
  return `${database.service} ${database.reads}`;
}

function smoothed(known: Estimate, milliseconds: number): Estimate {
  return {
    mean: known.mean + (milliseconds - known.mean) * meanGain,
    deviation: known.deviation + (Math.abs(milliseconds - known.mean) - known.deviation) * deviationGain,
  };
}

function create(): ResponseTimes {
  const estimates = new Map<string, Estimate>();
  return {
    note: function note(database, milliseconds) {
      const key = keyOf(database);
      const known = estimates.get(key);
      estimates.set(key, known === undefined ? { mean: milliseconds, deviation: milliseconds / 2 } : smoothed(known, milliseconds));
    },
    patienceMilliseconds: function patienceMilliseconds(database) {
      const known = estimates.get(keyOf(database));
      const most = database.horizonMilliseconds * mostPatienceShare;
      if (known === undefined) return most;
      const expected = meanFactor * known.mean + deviationFactor * known.deviation;
      return Math.max(leastPatienceMilliseconds, Math.min(expected, most));
    },
  };
}

export const responseTimes = { create } as const;
