/** A register that a majority of core disks keeps: linearizable reads and compare-and-swap, by key (design 5.1). */
import type * as Either from 'fp-ts/lib/Either.js';
import type * as Option from 'fp-ts/lib/Option.js';
import { runtimeUtilities, type Fault } from '@stallstall/kernel';
import type { CoreSet, Entry, Reply, Request } from '@stallstall/message';

/** The calls that a replica of the register answers. @internal */
export type RegisterCall = 'prepare' | 'accept' | 'look';

/** One disk as a proposer sees it: a call over a link, or the core's own acceptor. */
export type RegisterReplica = Readonly<{
  core: string;
  /** The core's own disk: what is sent to it travels nowhere. */
  local?: boolean;
  /** None when the replica does not reply in time. */
  send: <Call extends RegisterCall>(call: Call, body: Request<Call>, milliseconds: number) => Promise<Option.Option<Reply<Call>>>;
}>;

/** Which set of cores is counted, and who is told of a newer one (design 4.8). */
export type CoreSetSource = Readonly<{ number: () => number; observe: (set: CoreSet) => void }>;

/** A set that never changes. */
export const fixedCoreSet: CoreSetSource = { number: () => 0, observe: () => undefined };

/** `entry` is what stands after the change, whoever wrote it. */
export type ChangeOutcome = Readonly<{ wrote: boolean; entry: Option.Option<Entry> }>;

/** Decides from the chosen entry what takes the next version; none keeps what stands. */
export type Decision = (current: Option.Option<Entry>) => Option.Option<unknown>;

export type Register = Readonly<{
  /** The chosen entry of a key; none if it was never written. Errors: `no-majority`. */
  read: (key: string, milliseconds?: number) => Promise<Either.Either<Fault, Option.Option<Entry>>>;
  /**
   * Changes a key by a decision on its chosen entry. An attempt whose fate is not known is followed by another, so the decision must know
   * its own work when it sees it. Errors: `no-majority`; the change may have been made then, or may still be.
   * @default milliseconds 4000
   */
  change: (key: string, decide: Decision, milliseconds?: number) => Promise<Either.Either<Fault, ChangeOutcome>>;
}>;

export type CoreSetRegister = Register &
  Readonly<{
    /** The register under one set of cores alone: once this process is at another, reads and changes fail (design 4.8). */
    forCoreSet: (set: number) => Register;
  }>;

/** The name under which a process's other services find its register (design 2.1). */
export const registerService = runtimeUtilities.serviceName<CoreSetRegister>('register');
