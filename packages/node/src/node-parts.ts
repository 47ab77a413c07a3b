/** What differs between a core and an agent. */
import type * as Option from 'fp-ts/lib/Option.js';
import type { MemberProbe, PlatformCalls, VoteStore } from '@stallstall/election';
import type { CoreSet, Entry, NodeRole, Reply } from '@stallstall/message';
import type { MemberPlacement } from '@stallstall/placement';
import type { Register, RegisterReplica, ReportReplica } from '@stallstall/register';

/** Where members register by their heartbeats and edges hold leases: what the node asks of whoever keeps these (design 4.7, 7.12). */
export type RegistrationSupport = Readonly<{
  calls: PlatformCalls;
  probe: MemberProbe;
  membersOf: (service: string) => readonly MemberPlacement[];
  /** See `ElectionContext.leaseHolders`. */
  leaseHolders: () => Option.Option<readonly string[]>;
  /** See `ElectionContext.hasReleased`. */
  hasReleased: (service: string, epoch: number, leaseHolders: readonly string[]) => boolean;
  /** Called once this node has voted for a later epoch. */
  onEpochRaised: () => void;
  /** Another node reports a newer set of cores (design 4.8). */
  observeCoreSet: (set: CoreSet) => void;
}>;

/** A core's own disk, which it uses without a link. */
export type LocalReplica = Readonly<{
  registerReplica: RegisterReplica;
  reportReplica: ReportReplica;
  acceptedEntry: (key: string) => Option.Option<Entry>;
}>;

export type NodeParts = Readonly<{
  role: NodeRole;
  votes: (register: Register) => VoteStore;
  /** None on an edge. */
  localReplica: Option.Option<LocalReplica>;
  /** The most connections to any one member that this edge holds or may hold, by service (design 8.3). */
  connectionCaps: () => Readonly<Record<string, number>>;
  /** Called once a new version of a key is applied here. */
  onApplied: (key: string) => void;
  onHelloReply: (reply: Reply<'hello'>, address: string) => void;
  /** Left out where an operator names the members. */
  registration?: RegistrationSupport;
}>;
