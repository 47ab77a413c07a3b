/** What the checks of a simulated fleet are given: configurations sent, probes, drains and planned ends; and what they return. */
import type { PlacementConfiguration, StatementKind } from '@stallstall/placement';

export type Violation = Readonly<{ check: string; detail: string }>;

/** A sheet that an operator sent; version 0 and no moment until it is acknowledged. */
export type SentConfiguration = {
  readonly sentAt: number;
  readonly core: string;
  readonly sheet: PlacementConfiguration;
  readonly mark: string;
  version: number;
  acknowledgedAt: number;
  endedAt: number;
  replied: boolean;
};

/** What a stranger's statement came to, asked at one edge. */
export type Probe = Readonly<{
  startedAt: number;
  endedAt: number;
  key: string;
  service: string;
  kind: StatementKind;
  area: string;
  edge: string;
  reason: string;
}>;

/** A planned end of a process; `sound` when nothing else ended or froze it meanwhile. */
export type PlannedEnd = { readonly name: string; readonly address: string; readonly at: number; endedAt: number; sound: boolean };

export type EdgeDrain = { readonly edge: string; readonly sentAt: number; acknowledgedAt: number; undoneAt: number };
