/** How far a service's commits reach as of a moment: learnt from the leader's own replies, so that nobody polls (design 8.11). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Instant } from '@stallstall/kernel';
import { positions, type Position } from '@stallstall/session-protocol';

type Sample = Readonly<{ at: Instant; position: Position }>;

export type Freshness = Readonly<{
  /** The leader, asked at a moment under a lease, replied at this position: whatever was acknowledged before is at or below it. */
  recordLeaderPosition: (service: string, at: Instant, position: Position) => void;
  /** The lowest known position that covers all that was acknowledged before a moment. */
  positionCovering: (service: string, moment: Instant) => Option.Option<Position>;
  /** A commit that a sender of this edge was told of. */
  recordCommit: (service: string, position: Position) => void;
  commitPositions: () => Readonly<Record<string, Position>>;
  /** The latest of each service, for the other edges. */
  latestPositions: () => Readonly<Record<string, Readonly<{ term: number; number: number; ago: number }>>>;
}>;

const sampleSpacingMilliseconds = 25;
const retentionMilliseconds = 6_000;

function create(now: () => Instant): Freshness {
  const samples = new Map<string, Sample[]>();
  const commits = new Map<string, Position>();

  function recordLeaderPosition(service: string, at: Instant, position: Position): void {
    const serviceSamples = samples.get(service) ?? [];
    samples.set(service, serviceSamples);
    const last = serviceSamples.at(-1);
    // What was asked later may have been replied earlier; a later question covers more, whatever the order.
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
