/** A simulated process: what tests see of it, and what the simulation keeps. */
import type * as Option from 'fp-ts/lib/Option.js';
import type { Fault, Runtime } from '@stallstall/kernel';

/** A process of the product or of a fake, as tests see it. */
export type Process = Readonly<{
  name: string;
  machine: string;
  runtime: Runtime;
  alive: () => boolean;
  stopReason: () => Option.Option<Fault>;
}>;

/** What the simulation keeps of a process; nobody but the simulation sees it. @internal */
export type SimulatedProcess = {
  readonly name: string;
  readonly machine: string;
  alive: boolean;
  frozenUntil: number;
  /** Each product process has a clock of its own: where it began, and how fast it goes. */
  readonly clockOffset: number;
  /** How far its wall clock was stepped. */
  wallOffset: number;
  readonly clockRate: number;
  stopReason: Option.Option<Fault>;
  readonly closeHandlers: Set<() => void>;
  /** Puts under way: whether one stands when its process is killed, only the disk knows. */
  readonly pendingWrites: Set<() => void>;
  /** One for each connection that stands: breaks it at both ends. */
  readonly resetHandlers: Set<() => void>;
};
