/** A replicated register on a majority of core disks: linearizable reads and compare-and-swap, by key (design 5.1). */
import type * as Either from 'fp-ts/lib/Either.js';
import type * as Option from 'fp-ts/lib/Option.js';
import { runtimeUtilities, type Fault } from '@stallstall/kernel';
import type { CoreSet, Entry, Reply, Request } from '@stallstall/message';

/** The calls that a replica of the register answers. @internal */
export type RegisterCall = 'prepare' | 'accept' | 'look';

/** One replica as a proposer sees it: reached by calls over a link, or the core's own acceptor. */
export type RegisterReplica = Readonly<{
  core: string;
  /** The replica is this core's own disk, so requests to it do not cross the network. */
  local?: boolean;
  /** None when the replica does not reply in time. */
  send: <Call extends RegisterCall>(call: Call, body: Request<Call>, milliseconds: number) => Promise<Option.Option<Reply<Call>>>;
}>;

/** The number of the core set whose majorities are counted, and a callback for a newer set that a replica reports (design 4.8). */
export type CoreSetSource = Readonly<{ number: () => number; observe: (set: CoreSet) => void }>;

/** A core set that never changes. */
export const fixedCoreSet: CoreSetSource = { number: () => 0, observe: () => undefined };

/** `entry` is the chosen entry after the change, whichever proposer wrote it. */
export type ChangeOutcome = Readonly<{ wrote: boolean; entry: Option.Option<Entry> }>;

/** Computes the next value from the chosen entry; none leaves the entry unchanged. */
export type Decision = (current: Option.Option<Entry>) => Option.Option<unknown>;

export type Register = Readonly<{
  /** Reads the chosen entry of a key; none if the key was never written. Errors: `no-majority`. */
  read: (key: string, milliseconds?: number) => Promise<Either.Either<Fault, Option.Option<Entry>>>;
  /**
   * Changes a key by a decision on its chosen entry. An attempt with an unknown outcome is retried, so the decision must recognize a value
   * that it wrote itself in an earlier attempt. Errors: `no-majority`; the change may then have been made, or may still take effect later.
   * @default milliseconds 4000
   */
  change: (key: string, decide: Decision, milliseconds?: number) => Promise<Either.Either<Fault, ChangeOutcome>>;
}>;

export type CoreSetRegister = Register &
  Readonly<{
    /** The register restricted to one core set: reads and changes fail once this process has moved to another set (design 4.8). */
    forCoreSet: (set: number) => Register;
  }>;

/** The name under which the other services of a process look up its register (design 2.1). */
export const registerService = runtimeUtilities.serviceName<CoreSetRegister>('register');
