/**
 * Tracks the log position that covers a service's commits as of a point in time, learned from the leader's replies without polling
 * (design 8.11).
 */
import * as Option from 'fp-ts/lib/Option.js';
import type { Instant } from '@stallstall/kernel';
import { positions, type Position } from '@stallstall/session-protocol';

type Sample = Readonly<{ at: Instant; position: Position }>;

export type Freshness = Readonly<{
  /**
   * Records that a query sent to the leader at `at`, under a valid lease, was answered at this position: all commits acknowledged before
   * `at` are at or below it.
   */
  recordLeaderPosition: (service: string, at: Instant, position: Position) => void;
  /** The lowest recorded position that covers all commits acknowledged before the given moment. */
  positionCovering: (service: string, moment: Instant) => Option.Option<Position>;
  /** Records a commit that was acknowledged to a client of this edge. */
  recordCommit: (service: string, position: Position) => void;
  /** The latest recorded commit position of each service. */
  commitPositions: () => Readonly<Record<string, Position>>;
  /** The latest leader position of each service and its age in milliseconds, to be shared with the other edges. */
  latestPositions: () => Readonly<Record<string, Readonly<{ term: number; number: number; ago: number }>>>;
}>;

/** Minimum distance between retained samples; closer ones replace the last. */
const sampleSpacingMilliseconds = 25;
/** How long samples are retained, measured from the newest. */
const retentionMilliseconds = 6_000;

function create(now: () => Instant): Freshness {
  const samples = new Map<string, Sample[]>();
  const commits = new Map<string, Position>();

  function recordLeaderPosition(service: string, at: Instant, position: Position): void {
    const serviceSamples = samples.get(service) ?? [];
    samples.set(service, serviceSamples);
    const last = serviceSamples.at(-1);
    // Replies may arrive out of order; the query that was sent later covers more, so the earlier one is ignored.
    if (last !== undefined && at < last.at) return;
    const before = serviceSamples.at(-2);
    const next: Sample = { at, position: last === undefined ? position : positions.later(position, last.position) };
    if (last !== undefined && before !== undefined && last.at - before.at < sampleSpacingMilliseconds)
      serviceSamples[serviceSamples.length - 1] = next;
    else serviceSamples.push(next);
    while (serviceSamples.length > 2 && (serviceSamples[0] as Sample).at < at - retentionMilliseconds) serviceSamples.shift();
  }

  function positionCovering(service: string, moment: Instant): Option.Option<Position> {
    const covering = (samples.get(service) ?? []).find((sample) => sample.at >= moment);
    return covering === undefined ? Option.none : Option.some(covering.position);
  }

  return {
    recordLeaderPosition: recordLeaderPosition,
    positionCovering: positionCovering,
    recordCommit: function recordCommit(service, position) {
      const previous = commits.get(service);
      commits.set(service, previous === undefined ? position : positions.later(previous, position));
    },
    /** The latest recorded commit position of each service. */
    commitPositions: () => Object.fromEntries(commits),
    latestPositions: () =>
      Object.fromEntries(
        [...samples].flatMap(([service, serviceSamples]) => {
          const last = serviceSamples.at(-1);
          return last === undefined ? [] : [[service, { ...last.position, ago: Math.max(0, now() - last.at) }]];
        }),
      ),
  };
}

export const freshness = { create } as const;
