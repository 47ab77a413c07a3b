/** Input and output of the checks of a simulated fleet: configurations sent, probes, drains, planned process ends, and violations. */
import type { PlacementConfiguration, StatementKind } from '@stallstall/placement';

export type Violation = Readonly<{ check: string; detail: string }>;

/** A configuration that an operator sent. Until it is acknowledged, `version` is 0 and `acknowledgedAt` is infinite. */
export type SentConfiguration = {
  readonly sentAt: number;
  readonly core: string;
  readonly configuration: PlacementConfiguration;
  /** A key that occurs in this configuration only; probes use it to see whether the configuration is applied. */
  readonly markerKey: string;
  version: number;
  acknowledgedAt: number;
  endedAt: number;
  replied: boolean;
};

/** The outcome of one statement that the prober, which is not one of the load-generating clients, sent to an edge. */
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

/** A planned end of a process. `isUndisturbed`: no fault ended or froze the process meanwhile, so the check applies. */
export type PlannedEnd = { readonly name: string; readonly address: string; readonly at: number; endedAt: number; isUndisturbed: boolean };

export type EdgeDrain = { readonly edge: string; readonly sentAt: number; acknowledgedAt: number; undoneAt: number };
