/** State shared by the modules of a lease holder. */
import type { Instant, Runtime } from '@stallstall/kernel';
import type { CommitWatermarks, LogPosition, NodeRecord } from '@stallstall/message';

export type LeaseHolderSettings = Readonly<{
  node: string;
  /** The failure domain of this edge. */
  area: string;
  /** Seed addresses; read before each connection attempt, since the settings file may change while the process runs. */
  seeds: () => readonly string[];
}>;

/** What a lease holder reads from the edge's proxy to report it to the cores, and what it calls on changes. */
export type LeaseHolderCallbacks = Readonly<{
  /** The epoch, by service, below which the proxy has no statement in flight. */
  releasedEpochs: () => Readonly<Record<string, number>>;
  /** The highest commit position acknowledged to a client, by service. */
  commitPositions: () => Readonly<Record<string, LogPosition>>;
  /** The latest log position seen of each service's leader. */
  commitWatermarks: () => CommitWatermarks;
  /** Maximum age of `commitPositions`: it was complete at most this long ago. Unit: milliseconds. */
  commitPositionsAge: () => number;
  /** Whether some service has no leader; leases are then requested more often. */
  isLeaderMissing: () => boolean;
  /** Members that refused a connection of this edge. */
  refusedMembers: () => readonly string[];
  /** Statements per second, smoothed. */
  statementRate: () => number;
  /** Called when anything that the holder returns may have changed. */
  onChange: () => void;
}>;

/** @internal */
export type HolderContext = {
  readonly runtime: Runtime;
  readonly settings: LeaseHolderSettings;
  readonly callbacks: LeaseHolderCallbacks;
  readonly ownSeat: NodeRecord;
  /** The cores of the newest core set that any core reported (design 4.8). */
  cores: readonly NodeRecord[];
  setNumber: number;
  /** The fleet's id; empty until a core has reported it. */
  fleet: string;
  /** When a core last granted leases. */
  lastGrantAt: Instant;
  /** Incremented with every change of the members. */
  membersVersion: number;
  isStopped: boolean;
};

/** Time-out of a call to a core, in addition to the time that the core may delay its reply. Unit: milliseconds. @internal */
export const callMilliseconds = 500;
/** Polling interval for a link that is not connected. Unit: milliseconds. @internal */
export const reconnectPollMilliseconds = 20;

/** @internal */
export function coreNames({ cores }: HolderContext): readonly string[] {
  return cores.map((core) => core.node);
}
