/** The routing table: for each service and kind of statement, the members that may serve it, computed in advance (design 8.1). */
import * as Either from 'fp-ts/lib/Either.js';
import { fault, type Fault, type FaultKind, type Instant } from '@stallstall/kernel';
import {
  placements,
  statementKinds,
  type PlacementConfiguration,
  type MemberPlacement,
  type PlacementRow,
  type ServicePlacement,
  type StatementKind,
} from '@stallstall/placement';

/** The state of a member as known to the proxy; times are on the proxy's clock. */
export type TargetStatus = Readonly<{ member: string; isAlive: boolean; freshAt: Instant; appliedPosition: number; followedEpoch: number }>;
/** The state of a service as known to the proxy. */
export type ServiceStatus = Readonly<{
  service: string;
  epoch: number;
  primary: string;
  targets: readonly TargetStatus[];
  /** Whether the primary is leaving and the time for electing its successor has passed. */
  isHandoverOverdue: boolean;
}>;

/** A member that a statement may be routed to. */
export type RouteCandidate = Readonly<{
  member: string;
  address: string;
  weight: number;
  isLocal: boolean;
  isLeader: boolean;
  freshUntil: Instant;
  appliedPosition: number;
}>;

/** `fallback` is used when none of the candidates meets a statement's requirement. */
export type RoutingDecision =
  | Readonly<{ outcome: 'serve'; epoch: number; candidates: readonly RouteCandidate[]; fallback: readonly RouteCandidate[] }>
  | Readonly<{ outcome: 'reject'; kind: FaultKind; message: string; remedy: string }>;

/** Decisions by service and kind of statement; see `keyOf`. */
export type RoutingTable = ReadonlyMap<string, RoutingDecision>;

/** The part of the allowed staleness reserved for the time until the statement is executed at its member. */
export const stalenessMarginMilliseconds = 300;
const retryAfterSeconds = 1;
const always = Number.POSITIVE_INFINITY as Instant;

function keyOf(service: string, kind: StatementKind): string {
  return `${service}|${kind}`;
}

function leaderOf(service: ServicePlacement, status: ServiceStatus, area: string): readonly RouteCandidate[] {
  const member = service.members.find((candidate) => candidate.member === status.primary);
  const target = status.targets.find((candidate) => candidate.member === status.primary);
  if (status.isHandoverOverdue || member === undefined || target === undefined || !target.isAlive || target.followedEpoch > status.epoch)
    return [];
  return [
    {
      member: member.member,
      address: member.address,
      weight: 1,
      isLocal: member.area === area,
      isLeader: true,
      freshUntil: always,
      appliedPosition: Number.MAX_SAFE_INTEGER,
    },
  ];
}

function replicaOf(
  member: MemberPlacement,
  status: ServiceStatus,
  weight: number,
  staleMilliseconds: number,
  area: string,
): readonly RouteCandidate[] {
  const target = status.targets.find((candidate) => candidate.member === member.member);
  // A deposed primary, or a replica that does not follow the committed epoch yet, is not eligible (design 7.7).
  if (target === undefined || !target.isAlive || target.followedEpoch !== status.epoch || member.state !== 'serving' || weight <= 0)
    return [];
  if (member.member === status.primary) return [];
  return [
    {
      member: member.member,
      address: member.address,
      weight,
      isLocal: member.area === area,
      isLeader: false,
      freshUntil: (target.freshAt + staleMilliseconds - stalenessMarginMilliseconds) as Instant,
      appliedPosition: target.appliedPosition,
    },
  ];
}

type RejectDecision = Extract<RoutingDecision, { outcome: 'reject' }>;

function reject(kind: FaultKind, message: string, remedy: string): RejectDecision {
  return { outcome: 'reject', kind, message, remedy };
}

/** The decision for the kinds of statements that only the leader serves. */
function decideLeaderKind(service: ServicePlacement, status: ServiceStatus, leader: readonly RouteCandidate[]): RoutingDecision {
  if (leader.length > 0) return { outcome: 'serve', epoch: status.epoch, candidates: leader, fallback: [] };
  const state = status.isHandoverOverdue ? 'leaving and has no successor yet' : 'down';
  return reject('read-only', `READONLY: the primary of ${service.service} is ${state}`, 'try again after the next election');
}

function candidatesOf(
  service: ServicePlacement,
  status: ServiceStatus,
  row: PlacementRow,
  serves: readonly string[],
  leader: readonly RouteCandidate[],
): readonly RouteCandidate[] {
  return service.members
    .filter((member) => serves.includes(member.member))
    .flatMap(function candidateOf(member) {
      const weight = row.weights[member.member] ?? 1;
      if (member.member !== status.primary) return replicaOf(member, status, weight, row.staleMilliseconds, row.area);
      return leader.map((candidate) => ({ ...candidate, weight })).filter((candidate) => candidate.weight > 0);
    });
}

function decideKind(
  configuration: PlacementConfiguration,
  service: ServicePlacement,
  status: ServiceStatus | undefined,
  kind: StatementKind,
  area: string,
): RoutingDecision {
  const row = placements.findRow(configuration, service.service, area);
  const serves = row?.serves[kind];
  if (row === undefined || serves === undefined)
    return reject(
      'statement-denied',
      `${service.service} serves no ${kind} in ${area}`,
      'send it to an area that serves it, or ask an operator to add a placement row',
    );
  if (status === undefined || status.epoch === 0)
    return reject('read-only', `READONLY: no primary of ${service.service} is elected yet`, 'try again after the next election');
  const leader = leaderOf(service, status, area);
  if (serves === 'leader') return decideLeaderKind(service, status, leader);
  const candidates = candidatesOf(service, status, row, serves, leader);
  if (candidates.length > 0 || leader.length > 0) return { outcome: 'serve', epoch: status.epoch, candidates, fallback: leader };
  return reject(
    'no-target',
    `no member of ${service.service} can currently serve ${kind} in ${area}`,
    'try again when a replica has caught up',
  );
}

/** Computes the routing table for an edge in the given area. */
function compile(configuration: PlacementConfiguration, services: readonly ServiceStatus[], area: string): RoutingTable {
  const table = new Map<string, RoutingDecision>();
  for (const service of configuration.services) {
    const status = services.find((candidate) => candidate.service === service.service);
    for (const kind of statementKinds) table.set(keyOf(service.service, kind), decideKind(configuration, service, status, kind, area));
  }
  return table;
}

/** Picks a candidate at random by weight; undefined when there are none. */
function pickByWeight(candidates: readonly RouteCandidate[], random: number): RouteCandidate | undefined {
  const total = candidates.reduce((sum, candidate) => sum + candidate.weight, 0);
  let remaining = random * total;
  for (const candidate of candidates) {
    remaining -= candidate.weight;
    if (remaining < 0) return candidate;
  }
  return candidates.at(-1);
}

/** What a statement requires of its member, in addition to its kind. */
export type TargetRequirement = Readonly<{
  now: Instant;
  /** A random number from 0 to 1, by which the member is picked. */
  random: number;
  /** The log position that the member must have applied. */
  minimumPosition: number;
  /** Members that must not be chosen. */
  excluded: ReadonlySet<string>;
}>;

/** The member that a statement is routed to and the epoch of that decision, or the fault to reject it with. A lookup that never waits. */
function chooseTarget(
  table: RoutingTable,
  service: string,
  kind: StatementKind,
  requirement: TargetRequirement,
): Either.Either<Fault, Readonly<{ choice: RouteCandidate; epoch: number }>> {
  const { now, random, minimumPosition, excluded } = requirement;
  const decision = table.get(keyOf(service, kind));
  if (decision === undefined) {
    return Either.left(
      fault.create({ kind: 'not-found', message: `the placement configuration has no service ${service}`, remedy: 'check the name' }),
    );
  }
  if (decision.outcome === 'reject') return Either.left(fault.create({ ...decision, retryAfterSeconds }));
  const eligible = decision.candidates.filter(
    (choice) => choice.freshUntil > now && choice.appliedPosition >= minimumPosition && !excluded.has(choice.member),
  );
  const choice = pickByWeight(eligible, random) ?? decision.fallback.find((candidate) => !excluded.has(candidate.member));
  if (choice !== undefined) return Either.right({ choice, epoch: decision.epoch });
  return Either.left(
    fault.create({
      kind: 'no-target',
      message: `no member of ${service} that may serve ${kind} is reachable and fresh enough`,
      remedy: 'try again shortly',
      retryAfterSeconds,
    }),
  );
}

export const routing = { compile, chooseTarget, keyOf } as const;
