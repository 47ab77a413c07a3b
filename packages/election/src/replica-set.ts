/**
 * The rules of a service's replica set: which members may hold acknowledged commits, and when one of them need not be asked any more
 * (design 7.15). A commit is on the primary and on S replicas of the set of its own time. The set therefore outlives the list of registered
 * members: a member that has left or is silent still counts until what it may hold is known to be on enough others.
 */
import * as Option from 'fp-ts/lib/Option.js';
import { message, ReplicaSetSchema, type Entry, type ReplicaSet, type ReplicaSetMember } from '@stallstall/message';
import type { MemberPlacement, ServicePlacement } from '@stallstall/placement';
import type { MemberState } from './member-state.js';

/** The members that an election asks, and how many of them may be missing. @internal */
export type Electorate = Readonly<{ members: readonly MemberPlacement[]; synchronousReplicas: number }>;

/** What a keeper of the set observed of the members, with replies to requests that were sent after each of `ended` was found to have ended. */
export type ReplicaSetObservation = Readonly<{
  /** The elected primary. */
  primary: string;
  states: readonly MemberState[];
  /** Members that are not registered any more and whose processes have ended. */
  ended: ReadonlySet<string>;
}>;

/** The register's key for the replica set of a service. */
export function replicaSetKey(service: string): string {
  return `replicas/${service}`;
}

/** The replica set in a register entry; none if none was stored. */
function parse(entry: Option.Option<Entry>): Option.Option<ReplicaSet> {
  return Option.isSome(entry) && message.matches(ReplicaSetSchema, entry.value.value) ? Option.some(entry.value.value) : Option.none;
}

/** A member that is not registered any more is never eligible, so it counts as draining. */
function formerMember({ member, address }: ReplicaSetMember): MemberPlacement {
  return { member, address, area: '-', state: 'draining' };
}

/**
 * On how many replicas each promised commit is: the lower of the stored and the configured number, as either may have been in force when it was
 * acknowledged. Zero promises nothing, so the other number counts then.
 */
function countedReplicas(set: ReplicaSet, service: ServicePlacement): number {
  const promised = [set.synchronousReplicas, service.synchronousReplicas].filter((replicas) => replicas > 0);
  return promised.length === 0 ? 0 : Math.min(...promised);
}

/** The stored set and the registered members that it does not contain yet. Before a set is stored, the registered members alone. */
function electorate(stored: Option.Option<ReplicaSet>, service: ServicePlacement): Electorate {
  if (Option.isNone(stored)) return { members: service.members, synchronousReplicas: service.synchronousReplicas };
  const recorded = stored.value.members.map(function place(member): MemberPlacement {
    const registered = service.members.find(isNamed(member.member));
    return registered === undefined ? formerMember(member) : { ...registered, address: registered.address || member.address };
  });
  return { members: [...recorded, ...joining(stored.value, service)], synchronousReplicas: countedReplicas(stored.value, service) };
}

function isNamed(name: string): (member: Readonly<{ member: string }>) => boolean {
  return ({ member }) => member === name;
}

/** Registered members that the set lacks. A primary that is listed without an address has sent no heartbeat and was in the set before. */
function joining(set: ReplicaSet, service: ServicePlacement): readonly MemberPlacement[] {
  return service.members.filter(({ member, address }) => address !== '' && !set.members.some(isNamed(member)));
}

function missing({ members }: Electorate, replied: readonly string[]): readonly string[] {
  return members.map(({ member }) => member).filter((member) => !replied.includes(member));
}

/** Whether every acknowledged commit is on at least one of the members that replied: each is on S + 1 of the electorate. */
function coversAllCommits(voters: Electorate, replied: readonly string[]): boolean {
  return voters.synchronousReplicas === 0 || missing(voters, replied).length <= voters.synchronousReplicas;
}

/** Orders logs by the epoch of their last entry, then by its number. */
function compareLogs(left: MemberState, right: MemberState): number {
  return left.epoch === right.epoch ? left.received - right.received : left.epoch - right.epoch;
}

/**
 * The set with the registered members, their present addresses, and the departures that are known. Enlarging the set is always safe.
 * Returns its argument if nothing changes.
 */
function admit(set: ReplicaSet, service: ServicePlacement, hasLeft: (member: string) => boolean): ReplicaSet {
  const recorded = set.members.map(function update(member): ReplicaSetMember {
    const registered = service.members.find(isNamed(member.member));
    const address = registered === undefined || registered.address === '' ? member.address : registered.address;
    const left = member.hasLeft || hasLeft(member.member);
    return address === member.address && left === member.hasLeft ? member : { ...member, address, hasLeft: left };
  });
  const joined = joining(set, service).map(({ member, address }) => ({ member, address, hasLeft: false }));
  const isUnchanged = joined.length === 0 && recorded.every((member, index) => member === set.members[index]);
  return isUnchanged ? set : { ...set, members: [...recorded, ...joined] };
}

/** The members of the set that are not registered any more. */
function former(set: ReplicaSet, service: ServicePlacement): readonly ReplicaSetMember[] {
  return set.members.filter((recorded) => !service.members.some(isNamed(recorded.member)));
}

/** How many of the members that stay have received all that the primary's log holds; 0 if the primary's log is not known. */
function countHolders(remaining: readonly ReplicaSetMember[], { primary, states }: ReplicaSetObservation): number {
  const primaryState = states.find((state) => state.member === primary && state.role === 'primary');
  if (primaryState === undefined) return 0;
  const isSuperseded = states.some((state) => (state.term ?? 0) > (primaryState.term ?? 0));
  if (isSuperseded) return 0;
  return states.filter((state) => remaining.some(isNamed(state.member)) && compareLogs(state, primaryState) >= 0).length;
}

/** On how many members every commit must be. Where nothing is promised from now on, elections count no replies: any member may be chosen. */
function neededHolders(set: ReplicaSet, service: ServicePlacement, remaining: readonly ReplicaSetMember[]): number {
  if (service.synchronousReplicas === 0) return remaining.length;
  return Math.max(set.synchronousReplicas, service.synchronousReplicas) + 1;
}

/**
 * The set without the members that have ended, counted with the configured number of synchronous replicas, provided that everything that was
 * acknowledged so far is on enough of the members that stay. Returns its argument otherwise.
 */
function settle(set: ReplicaSet, service: ServicePlacement, observation: ReplicaSetObservation): ReplicaSet {
  const members = set.members.filter(({ member }) => !observation.ended.has(member) || service.members.some(isNamed(member)));
  const isHeldByEnough = countHolders(members, observation) >= neededHolders(set, service, members);
  return isHeldByEnough ? { synchronousReplicas: service.synchronousReplicas, members } : set;
}

/** The set that an operator leaves when the commits of members that do not return are given up: the registered members alone. */
function withoutFormer(set: ReplicaSet, service: ServicePlacement): ReplicaSet {
  return {
    ...set,
    members: set.members.filter(({ member }) =>
      service.members.some((registered) => registered.member === member && registered.address !== ''),
    ),
  };
}

export const replicaSets = {
  parse,
  electorate,
  missing,
  coversAllCommits,
  compareLogs,
  admit,
  former,
  settle,
  withoutFormer,
} as const;
