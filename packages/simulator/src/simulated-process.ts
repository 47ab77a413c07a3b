/** A simulated process: the view that tests have of it, and the internal state of the simulation. */
import type * as Option from 'fp-ts/lib/Option.js';
import type { Fault, Runtime } from '@stallstall/kernel';

/** A process of the product or of a fake, as visible to tests. */
export type Process = Readonly<{
  name: string;
  machine: string;
  runtime: Runtime;
  alive: () => boolean;
  stopReason: () => Option.Option<Fault>;
}>;

/** The internal state of a simulated process. @internal */
export type SimulatedProcess = {
  readonly name: string;
  readonly machine: string;
  alive: boolean;
  frozenUntil: number;
  /** The monotonic clock of each product process has its own offset and rate. */
  readonly clockOffset: number;
  /** By how many milliseconds the wall clock was stepped. */
  wallOffset: number;
  readonly clockRate: number;
  stopReason: Option.Option<Fault>;
  /** One for each open connection: tells its peer that this process has ended. */
  readonly closeHandlers: Set<() => void>;
  /** Disk writes that have not completed; when the process is killed each of them may or may not reach the disk. */
  readonly pendingWrites: Set<() => void>;
  /** One for each open connection: resets it at both ends. */
  readonly resetHandlers: Set<() => void>;
};
