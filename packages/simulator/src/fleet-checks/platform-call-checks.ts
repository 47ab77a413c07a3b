/** Checks of the calls that the platform received: promotions in order, usage complete and counted once. */
import type { PlatformStore, Ledger } from '@stallstall/fakes';
import type { Violation } from './check-records.js';

const outOfOrderMilliseconds = 3_000;
const usageLateMilliseconds = 10_000;
const usageTolerance = 0.05;
export const windowMilliseconds = 5_000;

export function promotions(store: Pick<PlatformStore, 'promotions'>): readonly Violation[] {
  const violations: Violation[] = [];
  const highest = new Map<string, Readonly<{ turn: number; member: string; epoch: number; at: number }>>();
  for (const call of [...store.promotions].sort((left, right) => left.at - right.at)) {
    const known = highest.get(call.service);
    if (known !== undefined && known.turn === call.turn && (known.member !== call.member || known.epoch !== call.epoch)) {
      violations.push({
        check: 'turn-shared',
        detail: `${call.service} turn ${call.turn}: ${known.member}/${known.epoch} and ${call.member}/${call.epoch}`,
      });
    }
    if (known !== undefined && (call.turn < known.turn || call.epoch < known.epoch) && call.at - known.at <= outOfOrderMilliseconds) {
      violations.push({
        check: 'turn-out-of-order',
        detail: `${call.service} turn ${call.turn} came ${Math.round(call.at - known.at)} ms after turn ${known.turn}`,
      });
    }
    if (known === undefined || call.turn > known.turn) highest.set(call.service, call);
  }
  return violations;
}

/**
 * Statements that may count in a window or not: those whose sender does not know whether they were served, in any window up to the
 * moment it gave up, and those served so near to a window's edge that their reply was still on its way.
 */
type Uncertain = Readonly<{ fates: ReadonlyMap<number, number>; near: ReadonlyMap<number, number> }>;
const nearMilliseconds = 25;

export function uncertain(exchanges: Ledger['exchanges'], wallOf: (moment: number) => number): Uncertain {
  const unknown = new Map<number, number>();
  const near = new Map<number, number>();
  for (const one of exchanges) {
    const past = wallOf(one.endedAt) % windowMilliseconds;
    const window = Math.floor(wallOf(one.endedAt) / windowMilliseconds);
    const neighbour = past < nearMilliseconds ? window - 1 : past > windowMilliseconds - nearMilliseconds ? window + 1 : undefined;
    if (one.reason === 'served' && neighbour !== undefined)
      for (const either of [window, neighbour]) near.set(either, (near.get(either) ?? 0) + 1);
    if (one.reason !== 'reply-lost' && one.reason !== 'outcome-unknown') continue;
    for (
      let window = Math.floor(wallOf(one.startedAt) / windowMilliseconds);
      window <= Math.floor(wallOf(one.endedAt) / windowMilliseconds);
      window += 1
    )
      unknown.set(window, (unknown.get(window) ?? 0) + 1);
  }
  return { fates: unknown, near };
}

/**
 * What the fleet could count on, moment by moment. A window can be told when two cores and the platform worked together for so
 * long a stretch of the nine seconds after its end as a change of holder and the wait for silent edges take.
 */
export type Ability = ReadonlyArray<Readonly<{ at: number; able: boolean }>>;
const tellableMilliseconds = 5_500;
const latestSendMilliseconds = 9_000;

function tellable(ability: Ability, from: number): boolean {
  let since: number | undefined;
  for (const one of ability) {
    if (one.at < from || one.at > from + latestSendMilliseconds) continue;
    if (!one.able) since = undefined;
    else since ??= one.at;
    if (since !== undefined && one.at - since >= tellableMilliseconds) return true;
  }
  return false;
}

/** Windows that nobody could have told: two core machines or the platform were away, which is more than the brief lets happen. */
export function untellable(ability: Ability, wallOf: (moment: number) => number, from: number, until: number): ReadonlySet<number> {
  const found = new Set<number>();
  for (let window = from; window <= until; window += 1)
    if (!tellable(ability, (window + 1) * windowMilliseconds - wallOf(0))) found.add(window);
  return found;
}

/**
 * Every window from the first to the last named, those in which everything failed among them; one that never came is off by
 * all of it, unless nobody could have told it.
 */
export function usage(
  store: Pick<PlatformStore, 'usage'>,
  served: ReadonlyMap<string, number>,
  from: number,
  until: number,
  unsure: Uncertain = { fates: new Map(), near: new Map() },
  excused: ReadonlySet<number> = new Set(),
): readonly Violation[] {
  const violations: Violation[] = [];
  const first = new Map<number, PlatformStore['usage'][number]>();
  let highest = { turn: 0, holder: '', at: 0 };
  for (const call of [...store.usage].sort((left, right) => left.at - right.at)) {
    const known = first.get(call.window);
    if (known !== undefined && JSON.stringify(known.counts) !== JSON.stringify(call.counts)) {
      violations.push({
        check: 'usage-differs',
        detail: `window ${call.window}: ${JSON.stringify(known.counts)} and ${JSON.stringify(call.counts)}`,
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
    if (known === undefined) first.set(call.window, call);
  }
  for (let window = from; window <= until; window += 1) {
    const asked = [...served].filter(([key]) => key.startsWith(`${window}|`)).reduce((sum, [, count]) => sum + count, 0);
    const call = first.get(window);
    if (call === undefined && excused.has(window)) continue;
    const reported = Object.values(call?.counts ?? {}).reduce((sum, count) => sum + count, 0);
    const slack = Math.max(3, usageTolerance * asked) + (unsure.near.get(window) ?? 0);
    const most = asked + (unsure.fates.get(window) ?? 0);
    if (reported < asked - slack || reported > most + slack)
      violations.push({
        check: 'usage-off',
        detail: `window ${window}: ${call === undefined ? 'nothing' : reported} told, ${asked} served and ${most - asked} of unknown fate`,
      });
  }
  return violations;
}
