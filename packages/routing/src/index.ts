/** The routing table: for each service and kind of statement, which members may serve it, worked out in advance (design 8.1). */
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

/** What the proxy knows of a member; moments are of its own clock. */
export type TargetStatus = Readonly<{ member: string; isAlive: boolean; freshAt: Instant; appliedPosition: number; followedEpoch: number }>;
/** What the proxy knows of a service. */
export type ServiceStatus = Readonly<{
  service: string;
  epoch: number;
  primary: string;
  targets: readonly TargetStatus[];
  /** The primary is to go, and has had the time in which another should have been elected. */
  isHandoverOverdue: boolean;
}>;

/** A member that may be chosen. */
export type RouteCandidate = Readonly<{
  member: string;
  address: string;
  weight: number;
  isLocal: boolean;
  isLeader: boolean;
  freshUntil: Instant;
  appliedPosition: number;
}>;

/** `lastResort` is chosen from when none of the choices suits. */
export type RoutingDecision =
  | Readonly<{ outcome: 'serve'; epoch: number; candidates: readonly RouteCandidate[]; fallback: readonly RouteCandidate[] }>
  | Readonly<{ outcome: 'reject'; kind: FaultKind; message: string; remedy: string }>;

/** By service and kind, see `keyOf`. */
export type RoutingTable = ReadonlyMap<string, RoutingDecision>;

/** Part of the allowed staleness that is left for the statement to reach its member and be read there. */
export const stalenessMarginMilliseconds = 300;
const retryAfterSeconds = 1;
const always = Number.POSITIVE_INFINITY as Instant;

function keyOf(service: string, kind: StatementKind): string {
  return `${service}|${kind}`;
}

function leaderOf(service: ServicePlacement, known: ServiceStatus, area: string): readonly RouteCandidate[] {
  const member = service.members.find((one) => one.member === known.primary);
  const target = known.targets.find((one) => one.member === known.primary);
  if (known.isHandoverOverdue || member === undefined || target === undefined || !target.isAlive || target.followedEpoch > known.epoch)
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
  known: ServiceStatus,
  weight: number,
  allowance: number,
  area: string,
): readonly RouteCandidate[] {
  const target = known.targets.find((one) => one.member === member.member);
  // A deposed primary, or a replica that does not follow the settled epoch yet, is no target (design 7.7).
  if (target === undefined || !target.isAlive || target.followedEpoch !== known.epoch || member.state !== 'serving' || weight <= 0)
    return [];
  if (member.member === known.primary) return [];
  return [
    {
      member: member.member,
      address: member.address,
      weight,
      isLocal: member.area === area,
      isLeader: false,
      freshUntil: (target.freshAt + allowance - stalenessMarginMilliseconds) as Instant,
      appliedPosition: target.appliedPosition,
    },
  ];
}

type RejectDecision = Extract<RoutingDecision, { outcome: 'reject' }>;

function reject(kind: FaultKind, message: string, remedy: string): RejectDecision {
  return { outcome: 'reject', kind, message, remedy };
}

/** The decision on kinds that only the leader serves. */
function judgeLeaderKind(service: ServicePlacement, known: ServiceStatus, leader: readonly RouteCandidate[]): RoutingDecision {
  if (leader.length > 0) return { outcome: 'serve', epoch: known.epoch, candidates: leader, fallback: [] };
  const state = known.isHandoverOverdue ? 'to go and none has followed it' : 'down';
  return reject('read-only', `READONLY: the primary of ${service.service} is ${state}`, 'try again when an election has settled');
}

function choicesOf(
  service: ServicePlacement,
  known: ServiceStatus,
  row: PlacementRow,
  serves: readonly string[],
  leader: readonly RouteCandidate[],
): readonly RouteCandidate[] {
  return service.members
    .filter((member) => serves.includes(member.member))
    .flatMap(function choose(member) {
      const weight = row.weights[member.member] ?? 1;
      if (member.member !== known.primary) return replicaOf(member, known, weight, row.staleMilliseconds, row.area);
      return leader.map((choice) => ({ ...choice, weight })).filter((choice) => choice.weight > 0);
    });
}

function judgeKind(
  sheet: PlacementConfiguration,
  service: ServicePlacement,
  known: ServiceStatus | undefined,
  kind: StatementKind,
  area: string,
): RoutingDecision {
  const row = placements.findRow(sheet, service.service, area);
  const serves = row?.serves[kind];
  if (row === undefined || serves === undefined)
    return reject(
      'statement-denied',
      `${service.service} serves no ${kind} in ${area}`,
      'send it to an area that does, or ask the operators for a row',
    );
  if (known === undefined || known.epoch === 0)
    return reject('read-only', `READONLY: no primary of ${service.service} is settled yet`, 'try again when an election has settled');
  const leader = leaderOf(service, known, area);
  if (serves === 'leader') return judgeLeaderKind(service, known, leader);
  const choices = choicesOf(service, known, row, serves, leader);
  if (choices.length > 0 || leader.length > 0) return { outcome: 'serve', epoch: known.epoch, candidates: choices, fallback: leader };
  return reject('no-target', `no member of ${service.service} may serve ${kind} in ${area} now`, 'try again when a member has caught up');
}

/** Works the table out anew, for an edge of the area. */
function compile(sheet: PlacementConfiguration, services: readonly ServiceStatus[], area: string): RoutingTable {
  const table = new Map<string, RoutingDecision>();
  for (const service of sheet.services) {
    const known = services.find((one) => one.service === service.service);
    for (const kind of statementKinds) table.set(keyOf(service.service, kind), judgeKind(sheet, service, known, kind, area));
  }
  return table;
}

/** Draws one by weight; undefined when there are none. */
function draw(choices: readonly RouteCandidate[], random: number): RouteCandidate | undefined {
  const total = choices.reduce((sum, choice) => sum + choice.weight, 0);
  let left = random * total;
  for (const choice of choices) {
    left -= choice.weight;
    if (left < 0) return choice;
  }
  return choices.at(-1);
}

/** What a statement asks of its member beside its kind. */
export type TargetRequirement = Readonly<{
  now: Instant;
  /** A random number from 0 to 1, by which the member is drawn. */
  random: number;
  /** The member has applied the log to this position. */
  minimumPosition: number;
  /** Members that are not to be chosen. */
  excluded: ReadonlySet<string>;
}>;

/** The member that a statement goes to, and the epoch it is chosen under; or the fault to reject it with. A lookup; nothing here waits. */
function chooseTarget(
  table: RoutingTable,
  service: string,
  kind: StatementKind,
  requirement: TargetRequirement,
): Either.Either<Fault, Readonly<{ choice: RouteCandidate; epoch: number }>> {
  const { now, random, minimumPosition, excluded } = requirement;
  const decision = table.get(keyOf(service, kind));
  if (decision === undefined) {
    return Either.left(fault.create({ kind: 'not-found', message: `no sheet names a service ${service}`, remedy: 'check the name' }));
  }
  if (decision.outcome === 'reject') return Either.left(fault.create({ ...decision, retryAfterSeconds }));
  const fit = decision.candidates.filter(
    (choice) => choice.freshUntil > now && choice.appliedPosition >= minimumPosition && !excluded.has(choice.member),
  );
  const choice = draw(fit, random) ?? decision.fallback.find((one) => !excluded.has(one.member));
  if (choice !== undefined) return Either.right({ choice, epoch: decision.epoch });
  return Either.left(
    fault.create({
      kind: 'no-target',
      message: `no member of ${service} that may serve ${kind} can be reached and is fresh enough now`,
      remedy: 'try again shortly',
      retryAfterSeconds,
    }),
  );
}

export const routing = { compile, chooseTarget, keyOf } as const;
