// The verdict table: worked out in advance from configuration, epochs and liveness (design 8.1).
import * as Either from 'fp-ts/lib/Either.js';
import { fault, type Fault, type FaultKind, type Instant } from '@stallstall/kernel';
import { sheets, statementKinds, type Sheet, type SheetMember, type SheetService, type StatementKind } from '@stallstall/sheet';

/** What the proxy knows of a member, in its own clock's moments. */
export type KnownTarget = Readonly<{ member: string; alive: boolean; freshAt: Instant; applied: number; follows: number }>;
export type KnownService = Readonly<{
  service: string;
  epoch: number;
  primary: string;
  targets: readonly KnownTarget[];
  /** The primary is to go, and has had the time in which another should have been elected. */
  overdue: boolean;
}>;

export type Choice = Readonly<{
  member: string;
  address: string;
  weight: number;
  here: boolean;
  leader: boolean;
  freshUntil: Instant;
  applied: number;
}>;

export type Verdict =
  | Readonly<{ verdict: 'serve'; epoch: number; choices: readonly Choice[]; lastResort: readonly Choice[] }>
  | Readonly<{ verdict: 'deny'; kind: FaultKind; message: string; remedy: string }>;

export type VerdictTable = ReadonlyMap<string, Verdict>;

/** What is left of the allowance for the statement to reach its member and be read there. */
export const stalenessMarginMilliseconds = 300;
const retryAfterSeconds = 1;
const always = Number.POSITIVE_INFINITY as Instant;

function keyOf(service: string, kind: StatementKind): string {
  return `${service}|${kind}`;
}

function leaderOf(service: SheetService, known: KnownService, area: string): readonly Choice[] {
  const member = service.members.find((one) => one.member === known.primary);
  const target = known.targets.find((one) => one.member === known.primary);
  if (known.overdue || member === undefined || target === undefined || !target.alive || target.follows > known.epoch) return [];
  return [
    {
      member: member.member,
      address: member.address,
      weight: 1,
      here: member.area === area,
      leader: true,
      freshUntil: always,
      applied: Number.MAX_SAFE_INTEGER,
    },
  ];
}

function replicaOf(member: SheetMember, known: KnownService, weight: number, allowance: number, area: string): readonly Choice[] {
  const target = known.targets.find((one) => one.member === member.member);
  // A deposed primary, or a replica that does not follow the settled epoch yet, is no target (design 7.7).
  if (target === undefined || !target.alive || target.follows !== known.epoch || member.state !== 'serving' || weight <= 0) return [];
  if (member.member === known.primary) return [];
  return [
    {
      member: member.member,
      address: member.address,
      weight,
      here: member.area === area,
      leader: false,
      freshUntil: (target.freshAt + allowance - stalenessMarginMilliseconds) as Instant,
      applied: target.applied,
    },
  ];
}

function judgeKind(sheet: Sheet, service: SheetService, known: KnownService | undefined, kind: StatementKind, area: string): Verdict {
  const row = sheets.row(sheet, service.service, area);
  const serves = row?.serves[kind];
  if (row === undefined || serves === undefined) {
    return {
      verdict: 'deny',
      kind: 'statement-denied',
      message: `${service.service} serves no ${kind} in ${area}`,
      remedy: 'send it to an area that does, or ask the operators for a row',
    };
  }
  if (known === undefined || known.epoch === 0) {
    return {
      verdict: 'deny',
      kind: 'read-only',
      message: `READONLY: no primary of ${service.service} is settled yet`,
      remedy: 'try again when an election has settled',
    };
  }
  const leader = leaderOf(service, known, area);
  if (serves === 'leader') {
    if (leader.length > 0) return { verdict: 'serve', epoch: known.epoch, choices: leader, lastResort: [] };
    return {
      verdict: 'deny',
      kind: 'read-only',
      message: `READONLY: the primary of ${service.service} is ${known.overdue ? 'to go and none has followed it' : 'down'}`,
      remedy: 'try again when an election has settled',
    };
  }
  const choices = service.members
    .filter((member) => serves.includes(member.member))
    .flatMap((member) =>
      member.member === known.primary
        ? leader.map((choice) => ({ ...choice, weight: row.weights[member.member] ?? 1 })).filter((choice) => choice.weight > 0)
        : replicaOf(member, known, row.weights[member.member] ?? 1, row.staleMilliseconds, area),
    );
  if (choices.length > 0 || leader.length > 0) return { verdict: 'serve', epoch: known.epoch, choices, lastResort: leader };
  return {
    verdict: 'deny',
    kind: 'no-target',
    message: `no member of ${service.service} may serve ${kind} in ${area} now`,
    remedy: 'try again when a member has caught up',
  };
}

function compile(sheet: Sheet, services: readonly KnownService[], area: string): VerdictTable {
  const table = new Map<string, Verdict>();
  for (const service of sheet.services) {
    const known = services.find((one) => one.service === service.service);
    for (const kind of statementKinds) table.set(keyOf(service.service, kind), judgeKind(sheet, service, known, kind, area));
  }
  return table;
}

function draw(choices: readonly Choice[], fraction: number): Choice | undefined {
  const total = choices.reduce((sum, choice) => sum + choice.weight, 0);
  let left = fraction * total;
  for (const choice of choices) {
    left -= choice.weight;
    if (left < 0) return choice;
  }
  return choices.at(-1);
}

/** The lookup a statement makes; nothing here waits. */
function judge(
  table: VerdictTable,
  service: string,
  kind: StatementKind,
  now: Instant,
  fraction: number,
  atLeast: number,
  without: ReadonlySet<string>,
): Either.Either<Fault, Readonly<{ choice: Choice; epoch: number }>> {
  const verdict = table.get(keyOf(service, kind));
  if (verdict === undefined) {
    return Either.left(fault.create({ kind: 'not-found', message: `no sheet names a service ${service}`, remedy: 'check the name' }));
  }
  if (verdict.verdict === 'deny') return Either.left(fault.create({ ...verdict, retryAfterSeconds }));
  const fit = verdict.choices.filter((choice) => choice.freshUntil > now && choice.applied >= atLeast && !without.has(choice.member));
  const choice = draw(fit, fraction) ?? verdict.lastResort.find((one) => !without.has(one.member));
  if (choice !== undefined) return Either.right({ choice, epoch: verdict.epoch });
  return Either.left(
    fault.create({
      kind: 'no-target',
      message: `no member of ${service} that may serve ${kind} can be reached and is fresh enough now`,
      remedy: 'try again shortly',
      retryAfterSeconds,
    }),
  );
}

export const verdicts = { compile, judge, keyOf } as const;
