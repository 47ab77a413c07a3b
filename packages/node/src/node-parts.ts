/** The dependencies of a node that differ between a core and an agent. */
import type * as Option from 'fp-ts/lib/Option.js';
import type { MemberProbe, PlatformCalls, VoteStore } from '@stallstall/election';
import type { CoreSet, Entry, NodeRole, Reply } from '@stallstall/message';
import type { MemberPlacement } from '@stallstall/placement';
import type { Register, RegisterReplica, ReportReplica } from '@stallstall/register';

/** Access to the member registry and the edges' leases, in fleets whose members register by heartbeat (design 4.7, 7.12). */
export type RegistrationSupport = Readonly<{
  calls: PlatformCalls;
  probe: MemberProbe;
  membersOf: (service: string) => readonly MemberPlacement[];
  /** See `ElectionContext.leaseHolders`. */
  leaseHolders: () => Option.Option<readonly string[]>;
  /** See `ElectionContext.hasReleased`. */
  hasReleased: (service: string, epoch: number, leaseHolders: readonly string[]) => boolean;
  /** See `ElectionContext.hasAnnouncedDeparture`. */
  hasAnnouncedDeparture: (member: string) => boolean;
  /** Called after this node has voted for a later epoch. */
  onEpochRaised: () => void;
  /** Called when another node reports a newer core set (design 4.8). */
  observeCoreSet: (set: CoreSet) => void;
}>;

/** A core's own disk, accessed directly instead of over a link. */
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
  /** By service: the most connections to any one member that this edge has or may open (design 8.3). */
  connectionCaps: () => Readonly<Record<string, number>>;
  /** Called after this node has applied a new version of a key. */
  onApplied: (key: string) => void;
  onHelloReply: (reply: Reply<'hello'>, address: string) => void;
  /** Absent if operators list the members in the configuration. */
  registration?: RegistrationSupport;
}>;
