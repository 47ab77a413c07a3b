/**
 * Whether a history of orders and replies is one that a single register of numbers could have given: each number stands for
 * exactly one text, from its first acknowledgement on, at every core (design 6.6, 10.5).
 */
import type { Violation } from './fleet-checks/check-records.js';

export type OrderOutcome = 'acknowledged' | 'refused' | 'none';

/** One call of an operator; `none`: no clear reply came. */
export type OrderCall = Readonly<{
  number: number;
  text: string;
  core: number;
  sentAt: number;
  endedAt: number;
  outcome: OrderOutcome;
}>;

function describe(call: OrderCall): string {
  return `${call.number} at core ${call.core + 1}, ${Math.round(call.sentAt)} to ${Math.round(call.endedAt)}`;
}

function byNumber(calls: readonly OrderCall[]): ReadonlyMap<number, readonly OrderCall[]> {
  const grouped = new Map<number, OrderCall[]>();
  for (const call of calls) grouped.set(call.number, [...(grouped.get(call.number) ?? []), call]);
  return grouped;
}

/** Two texts of one number were never both acknowledged. */
function oneText(calls: readonly OrderCall[]): readonly Violation[] {
  const acknowledged = calls.filter((call) => call.outcome === 'acknowledged');
  const other = acknowledged.find((call) => call.text !== acknowledged[0]?.text);
  return other === undefined
    ? []
    : [
        {
          check: 'two-texts',
          detail: `${describe(other)} was acknowledged, and so was another text: ${describe(acknowledged[0] as OrderCall)}`,
        },
      ];
}

/** A text is refused for another one alone, which was sent before the refusal came, and never once it was acknowledged. */
function refusals(calls: readonly OrderCall[]): readonly Violation[] {
  return calls
    .filter((call) => call.outcome === 'refused')
    .flatMap((refused): readonly Violation[] => {
      const rival = calls.some((call) => call.text !== refused.text && call.sentAt < refused.endedAt);
      if (!rival)
        return [{ check: 'refused-alone', detail: `${describe(refused)} was refused, and no other text was sent under its number` }];
      const same = calls.find((call) => call.text === refused.text && call.outcome === 'acknowledged');
      if (same === undefined) return [];
      return [{ check: 'refused-own', detail: `${describe(refused)} was refused, and acknowledged: ${describe(same)}` }];
    });
}

/** Once all is calm every core replies clearly, and alike. */
function settled(calls: readonly OrderCall[], calmFrom: number): readonly Violation[] {
  return calls
    .filter((call) => call.sentAt >= calmFrom && call.outcome === 'none')
    .map((call) => ({ check: 'order-unclear', detail: `${describe(call)} got no clear reply though all was calm` }));
}

/** Of the texts sent under one number again in the calm, exactly one stands. */
function oneStands(calls: readonly OrderCall[], calmFrom: number): readonly Violation[] {
  const late = calls.filter((call) => call.sentAt >= calmFrom);
  if (late.length === 0 || late.some((call) => call.outcome === 'acknowledged')) return [];
  return [{ check: 'none-stands', detail: `every text under ${late[0]?.number} is refused` }];
}

function judge(calls: readonly OrderCall[], calmFrom: number): readonly Violation[] {
  return [...byNumber(calls).values()].flatMap((some) => [
    ...oneText(some),
    ...refusals(some),
    ...settled(some, calmFrom),
    ...oneStands(some, calmFrom),
  ]);
}

/** What is read back is, of the texts under its number, the one that was not refused. */
function readBack(calls: readonly OrderCall[], read: Readonly<{ number: number; text: string }>): readonly Violation[] {
  const refused = calls.find((call) => call.number === read.number && call.text === read.text && call.outcome === 'refused');
  return refused === undefined ? [] : [{ check: 'refused-in-force', detail: `${describe(refused)} was refused, and is read back` }];
}

export const orderChecks = { judge, readBack } as const;
