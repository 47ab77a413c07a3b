/** Checks of the calls that the platform received: promotions in order, usage reports complete and without duplicates. */
import type { PlatformStore, Ledger } from '@stallstall/fakes';
import type { Violation } from './check-records.js';

/** A call that comes later than this after one of a higher turn is not judged. */
const outOfOrderMilliseconds = 3_000;
const usageLateMilliseconds = 10_000;
const usageTolerance = 0.05;
export const windowMilliseconds = 5_000;

export function promotions(store: Pick<PlatformStore, 'promotions'>): readonly Violation[] {
  const violations: Violation[] = [];
  const highest = new Map<string, Readonly<{ turn: number; member: string; epoch: number; at: number }>>();
  for (const call of [...store.promotions].sort((left, right) => left.at - right.at)) {
    const previous = highest.get(call.service);
    if (previous !== undefined && previous.turn === call.turn && (previous.member !== call.member || previous.epoch !== call.epoch)) {
      violations.push({
        check: 'turn-shared',
        detail: `${call.service} turn ${call.turn}: ${previous.member}/${previous.epoch} and ${call.member}/${call.epoch}`,
      });
    }
    if (
      previous !== undefined &&
      (call.turn < previous.turn || call.epoch < previous.epoch) &&
      call.at - previous.at <= outOfOrderMilliseconds
    ) {
      violations.push({
        check: 'turn-out-of-order',
        detail: `${call.service} turn ${call.turn} came ${Math.round(call.at - previous.at)} ms after turn ${previous.turn}`,
      });
    }
    if (previous === undefined || call.turn > previous.turn) highest.set(call.service, call);
  }
  return violations;
}

/**
 * Numbers of statements, by window, that a usage report may or may not include. `unknownOutcomes`: the client does not know whether the
 * statement was served, so it counts for every window up to the moment at which the client gave up. `nearBoundary`: the reply came so
 * close to a window boundary that the edge may have counted the statement in the neighbouring window.
 */
type UncertainCounts = Readonly<{ unknownOutcomes: ReadonlyMap<number, number>; nearBoundary: ReadonlyMap<number, number> }>;
const nearBoundaryMilliseconds = 25;

export function uncertain(exchanges: Ledger['exchanges'], wallOf: (moment: number) => number): UncertainCounts {
  const unknownOutcomes = new Map<number, number>();
  const nearBoundary = new Map<number, number>();
  for (const one of exchanges) {
    const offset = wallOf(one.endedAt) % windowMilliseconds;
    const window = Math.floor(wallOf(one.endedAt) / windowMilliseconds);
    const neighbour =
      offset < nearBoundaryMilliseconds ? window - 1 : offset > windowMilliseconds - nearBoundaryMilliseconds ? window + 1 : undefined;
    if (one.reason === 'served' && neighbour !== undefined)
      for (const either of [window, neighbour]) nearBoundary.set(either, (nearBoundary.get(either) ?? 0) + 1);
    if (one.reason !== 'reply-lost' && one.reason !== 'outcome-unknown') continue;
    for (
      let window = Math.floor(wallOf(one.startedAt) / windowMilliseconds);
      window <= Math.floor(wallOf(one.endedAt) / windowMilliseconds);
      window += 1
    )
      unknownOutcomes.set(window, (unknownOutcomes.get(window) ?? 0) + 1);
  }
  return { unknownOutcomes, nearBoundary };
}

/**
 * Samples of whether two cores and the platform worked and could reach each other. The usage of a window can be reported when they did
 * for 5.5 s without interruption within the nine seconds after its end: a change of the lease holder and the wait for edges that do not
 * report take that long.
 */
export type Ability = ReadonlyArray<Readonly<{ at: number; able: boolean }>>;
const reportableMilliseconds = 5_500;
const latestReportMilliseconds = 9_000;

function isReportable(ability: Ability, from: number): boolean {
  let since: number | undefined;
  for (const sample of ability) {
    if (sample.at < from || sample.at > from + latestReportMilliseconds) continue;
    if (!sample.able) since = undefined;
    else since ??= sample.at;
    if (since !== undefined && sample.at - since >= reportableMilliseconds) return true;
  }
  return false;
}

/** Windows whose usage could not be reported: two core machines or the platform were unavailable, more than the design has to survive. */
export function untellable(ability: Ability, wallOf: (moment: number) => number, from: number, until: number): ReadonlySet<number> {
  const windows = new Set<number>();
  for (let window = from; window <= until; window += 1)
    if (!isReportable(ability, (window + 1) * windowMilliseconds - wallOf(0))) windows.add(window);
  return windows;
}

/**
 * Checks the usage reports of every window from `from` to `until`, also of windows in which every statement failed. A window without a
 * report counts as a report of nothing, unless it is in `excused` because no report was possible.
 */
export function usage(
  store: Pick<PlatformStore, 'usage'>,
  served: ReadonlyMap<string, number>,
  from: number,
  until: number,
  uncertainCounts: UncertainCounts = { unknownOutcomes: new Map(), nearBoundary: new Map() },
  excused: ReadonlySet<number> = new Set(),
): readonly Violation[] {
  const violations: Violation[] = [];
  const first = new Map<number, PlatformStore['usage'][number]>();
  let highest = { turn: 0, holder: '', at: 0 };
  for (const call of [...store.usage].sort((left, right) => left.at - right.at)) {
    const firstCall = first.get(call.window);
    if (firstCall !== undefined && JSON.stringify(firstCall.counts) !== JSON.stringify(call.counts)) {
      violations.push({
        check: 'usage-differs',
        detail: `window ${call.window}: ${JSON.stringify(firstCall.counts)} and ${JSON.stringify(call.counts)}`,
      });
    }
    if (call.at - call.endsAt > usageLateMilliseconds)
      violations.push({ check: 'usage-late', detail: `window ${call.window} came ${call.at - call.endsAt} ms after its end` });
    if (call.turn < highest.turn && call.at - highest.at <= outOfOrderMilliseconds)
      violations.push({
        check: 'turn-out-of-order',
        detail: `usage turn ${call.turn} came ${Math.round(call.at - highest.at)} ms after turn ${highest.turn}`,
      });
    if (call.turn === highest.turn && call.holder !== highest.holder)
      violations.push({ check: 'turn-shared', detail: `usage turn ${call.turn}: ${highest.holder} and ${call.holder}` });
    if (call.turn >= highest.turn) highest = call;
    if (firstCall === undefined) first.set(call.window, call);
  }
  for (let window = from; window <= until; window += 1) {
    const expectedCount = [...served].filter(([key]) => key.startsWith(`${window}|`)).reduce((sum, [, count]) => sum + count, 0);
    const call = first.get(window);
    if (call === undefined && excused.has(window)) continue;
    const reported = Object.values(call?.counts ?? {}).reduce((sum, count) => sum + count, 0);
    const tolerance = Math.max(3, usageTolerance * expectedCount) + (uncertainCounts.nearBoundary.get(window) ?? 0);
    const most = expectedCount + (uncertainCounts.unknownOutcomes.get(window) ?? 0);
    if (reported < expectedCount - tolerance || reported > most + tolerance)
      violations.push({
        check: 'usage-off',
        detail: `window ${window}: ${call === undefined ? 'nothing' : reported} reported, ${expectedCount} served and ${most - expectedCount} of unknown outcome`,
      });
  }
  return violations;
}
