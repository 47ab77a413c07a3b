/** What the modules of a lease holder share. */
import type { Instant, Runtime } from '@stallstall/kernel';
import type { CommitWatermarks, LogPosition, Seat } from '@stallstall/message';

export type LeaseHolderSettings = Readonly<{
  node: string;
  /** The failure domain that this edge stands in. */
  area: string;
  /** Asked at each greeting, since the settings file may change while the process runs. */
  seeds: () => readonly string[];
}>;

/** What the edge's proxy knows, for the cores. */
export type LeaseHolderCallbacks = Readonly<{
  /** Below this epoch the proxy has nothing in flight, by service. */
  releasedEpochs: () => Readonly<Record<string, number>>;
  /** The commits that clients were told of, by service. */
  commitPositions: () => Readonly<Record<string, LogPosition>>;
  commitWatermarks: () => CommitWatermarks;
  /** How long ago, at the most, `positions` was all there was to report. Unit: milliseconds. */
  commitPositionsAge: () => number;
  /** A leader is missing somewhere: the cores are asked more often. */
  isLeaderMissing: () => boolean;
  /** Members whose machines refused a connection of this edge. */
  refusedMembers: () => readonly string[];
  /** Statements a second, smoothed. */
  statementRate: () => number;
  /** Called once anything that this holder returns may have changed. */
  onChange: () => void;
}>;

/** @internal */
export type HolderContext = {
  readonly runtime: Runtime;
  readonly settings: LeaseHolderSettings;
  readonly parts: LeaseHolderCallbacks;
  readonly ownSeat: Seat;
  /** The cores of the newest set that any core reported (design 4.8). */
  cores: readonly Seat[];
  setNumber: number;
  /** The fleet's id; empty until it is found. */
  fleet: string;
  /** When a core granted last. */
  grantedAt: Instant;
  /** Rises with every change of the members. */
  membersVersion: number;
  isStopped: boolean;
};

/** What a call to a core may take beyond the time that the core may hold it. Unit: milliseconds. @internal */
export const callMilliseconds = 500;
/** How often a link that is not connected is looked at. Unit: milliseconds. @internal */
export const reconnectPollMilliseconds = 20;

/** @internal */
export function coreNames({ cores }: HolderContext): readonly string[] {
  return cores.map((core) => core.node);
}
