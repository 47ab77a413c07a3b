/** How far a service's commits reach as of a moment: learnt from the leader's own replies, so that nobody polls (design 8.11). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Instant } from '@stallstall/kernel';
import { positions, type Position } from '@stallstall/session-protocol';

type Sample = Readonly<{ at: Instant; position: Position }>;

export type Freshness = Readonly<{
  /** The leader, asked at a moment under a lease, replied at this position: whatever was acknowledged before is at or below it. */
  learnt: (service: string, at: Instant, position: Position) => void;
  /** The lowest known position that covers all that was acknowledged before a moment. */
  covering: (service: string, moment: Instant) => Option.Option<Position>;
  /** A commit that a sender of this edge was told of. */
  committed: (service: string, position: Position) => void;
  commits: () => Readonly<Record<string, Position>>;
  /** The latest of each service, for the other edges. */
  marks: () => Readonly<Record<string, Readonly<{ term: number; number: number; ago: number }>>>;
}>;

const spacingMilliseconds = 25;
const keptMilliseconds = 6_000;

function create(now: () => Instant): Freshness {
  const samples = new Map<string, Sample[]>();
  const commits = new Map<string, Position>();

  function learnt(service: string, at: Instant, position: Position): void {
    const known = samples.get(service) ?? [];
    samples.set(service, known);
    const last = known.at(-1);
    // What was asked later may have been replied earlier; a later question covers more, whatever the order.
    if (last !== undefined && at < last.at) return;
    const before = known.at(-2);
    const next: Sample = { at, position: last === undefined ? position : positions.later(position, last.position) };
    if (last !== undefined && before !== undefined && last.at - before.at < spacingMilliseconds) known[known.length - 1] = next;
    else known.push(next);
    while (known.length > 2 && (known[0] as Sample).at < at - keptMilliseconds) known.shift();
  }

  function covering(service: string, moment: Instant): Option.Option<Position> {
    const found = (samples.get(service) ?? []).find((sample) => sample.at >= moment);
    return found === undefined ? Option.none : Option.some(found.position);
  }

  return {
    learnt,
    covering,
    committed: function committed(service, position) {
      const known = commits.get(service);
      commits.set(service, known === undefined ? position : positions.later(known, position));
    },
    commits: () => Object.fromEntries(commits),
    marks: () =>
      Object.fromEntries(
        [...samples].flatMap(([service, known]) => {
          const last = known.at(-1);
          return last === undefined ? [] : [[service, { ...last.position, ago: Math.max(0, now() - last.at) }]];
        }),
      ),
  };
}

export const freshness = { create } as const;
