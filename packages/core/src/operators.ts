/** Operators of many teams: their keys and scopes, and the audit trail of what they did, in the register (design 9.4). */
import { createHash } from 'node:crypto';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { Type, type Static } from '@sinclair/typebox';
import { fault, type Fault, type HttpRequest, type Runtime } from '@stallstall/kernel';
import { message, type Entry } from '@stallstall/message';
import type { PlacementConfiguration } from '@stallstall/placement';
import { registerService, type Register } from '@stallstall/register';

export const ScopeSchema = Type.Object({
  /** The services whose members, rows and keys it may change; '*' stands for all. */
  services: Type.Array(Type.String({ minLength: 1, maxLength: 63 }), { maxItems: 500 }),
  nodes: Type.Boolean(),
  operators: Type.Boolean(),
});
export type Scope = Readonly<Static<typeof ScopeSchema>>;

/** `digest` is the SHA-256 of the operator's key, in hexadecimal digits. */
const OperatorsSchema = Type.Object({
  operators: Type.Array(Type.Intersect([ScopeSchema, Type.Object({ operator: Type.String(), digest: Type.String() })])),
});
type StoredOperator = Readonly<Static<typeof OperatorsSchema>['operators'][number]>;

/** `at` is the wall time in milliseconds since 1970. */
const TrailSchema = Type.Object({
  entries: Type.Array(
    Type.Object({ number: Type.Integer(), at: Type.Number(), by: Type.String(), action: Type.String(), detail: Type.String() }),
  ),
});
export type AuditEntry = Readonly<Static<typeof TrailSchema>['entries'][number]>;

/** Who calls, and what the caller may do. */
export type Caller = Readonly<{ operator: string; scope: Scope }>;

export type OperatorTable = Readonly<{
  /** Who calls; without a root key in the settings, everyone is admitted as `anyone`. Errors: `key-denied`, and those of the register. */
  authenticate: (request: HttpRequest) => Promise<Either.Either<Fault, Caller>>;
  list: () => Promise<Either.Either<Fault, ReadonlyArray<Scope & Readonly<{ operator: string }>>>>;
  /** Creates a key, shown once; another one under the same name replaces it. Errors: `unsafe-step` when there are too many operators. */
  put: (operator: string, scope: Scope) => Promise<Either.Either<Fault, string>>;
  /** Right with whether there was such an operator. */
  remove: (operator: string) => Promise<Either.Either<Fault, boolean>>;
  /** Adds an action to the audit trail and to the log. */
  recordAction: (by: string, action: string, detail: string) => Promise<void>;
  /** The latest actions, the oldest first. */
  auditTrail: () => Promise<Either.Either<Fault, readonly AuditEntry[]>>;
}>;

const unrestricted: Scope = { services: ['*'], nodes: true, operators: true };
const trailKept = 200;
const operatorsKept = 200;
const operatorsKey = 'operators';
const trailKey = 'trail';

function digestOf(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

function rejected(reason: string): Fault {
  return fault.create({
    kind: 'key-denied',
    message: reason,
    remedy: 'send a key that may in x-stallstall-operator, or ask who holds the root key',
  });
}

function tooManyOperators(): Fault {
  return fault.create({ kind: 'unsafe-step', message: `there are ${operatorsKept} operators already`, remedy: 'remove one first' });
}

function covers(scope: Scope, service: string): boolean {
  return scope.services.includes('*') || scope.services.includes(service);
}

/** All that a configuration says of a service: its members, its rows, the keys and the named statements that reach it. */
function factsOf(placement: PlacementConfiguration | undefined, service: string): string {
  return JSON.stringify([
    placement?.services.filter((one) => one.service === service) ?? [],
    placement?.rows.filter((one) => one.service === service) ?? [],
    placement?.keys.filter((one) => one.services.includes(service)) ?? [],
    placement?.mappings.filter((one) => one.service === service) ?? [],
  ]);
}

function changedServices(before: PlacementConfiguration | undefined, after: PlacementConfiguration): readonly string[] {
  const names = new Set([...(before?.services ?? []), ...after.services].map((one) => one.service));
  return [...names].filter((service) => factsOf(before, service) !== factsOf(after, service));
}

/** Right with the services that a change touches, if the caller may change all of them. Errors: `key-denied`. */
function mayChange(
  caller: Caller,
  before: PlacementConfiguration | undefined,
  after: PlacementConfiguration,
): Either.Either<Fault, readonly string[]> {
  const changed = changedServices(before, after);
  const forbidden = changed.filter((service) => !covers(caller.scope, service));
  if (forbidden.length === 0) return Either.right(changed);
  return Either.left(rejected(`${caller.operator} may not change ${forbidden.join(', ')}`));
}

function operatorsOf(entry: Option.Option<Entry>): readonly StoredOperator[] {
  return Option.isSome(entry) && message.matches(OperatorsSchema, entry.value.value) ? entry.value.value.operators : [];
}

function trailOf(entry: Option.Option<Entry>): readonly AuditEntry[] {
  return Option.isSome(entry) && message.matches(TrailSchema, entry.value.value) ? entry.value.value.entries : [];
}

async function callerOf(register: Register, rootKey: string | undefined, request: HttpRequest): Promise<Either.Either<Fault, Caller>> {
  if (rootKey === undefined) return Either.right({ operator: 'anyone', scope: unrestricted });
  const digest = digestOf(request.headers['x-stallstall-operator'] ?? '');
  if (digest === digestOf(rootKey)) return Either.right({ operator: 'root', scope: unrestricted });
  const read = await register.read(operatorsKey);
  if (Either.isLeft(read)) return read;
  const known = operatorsOf(read.right).find((one) => one.digest === digest);
  return known === undefined
    ? Either.left(rejected('no operator holds this key'))
    : Either.right({ operator: known.operator, scope: known });
}

async function put(runtime: Runtime, register: Register, operator: string, scope: Scope): Promise<Either.Either<Fault, string>> {
  const key = `${runtime.randomness.token()}${runtime.randomness.token()}`;
  const { services, nodes, operators: mayNameOperators } = scope;
  const added: StoredOperator = { operator, digest: digestOf(key), services: [...services], nodes, operators: mayNameOperators };
  const changed = await register.change(operatorsKey, function next(current) {
    const others = operatorsOf(current).filter((one) => one.operator !== operator);
    return others.length >= operatorsKept ? Option.none : Option.some({ operators: [...others, added] });
  });
  if (Either.isLeft(changed)) return changed;
  const isAdded = operatorsOf(changed.right.entry).some((one) => one.digest === added.digest);
  return isAdded ? Either.right(key) : Either.left(tooManyOperators());
}

async function remove(register: Register, operator: string): Promise<Either.Either<Fault, boolean>> {
  let wasKnown = false;
  const changed = await register.change(operatorsKey, function next(current) {
    const stored = operatorsOf(current);
    const isKnown = stored.some((one) => one.operator === operator);
    // An attempt whose fate was not known may have removed it: then the next attempt finds it gone.
    wasKnown = wasKnown || isKnown;
    return isKnown ? Option.some({ operators: stored.filter((one) => one.operator !== operator) }) : Option.none;
  });
  return Either.map(() => wasKnown)(changed);
}

async function recordAction(runtime: Runtime, register: Register, by: string, action: string, detail: string): Promise<void> {
  const at = runtime.clock.wall();
  const changed = await register.change(trailKey, function next(current) {
    const entries = trailOf(current);
    const isRecorded = entries.some((one) => one.at === at && one.by === by && one.action === action && one.detail === detail);
    if (isRecorded) return Option.none;
    const entry: AuditEntry = { number: (entries.at(-1)?.number ?? 0) + 1, at, by, action, detail };
    return Option.some({ entries: [...entries, entry].slice(-trailKept) });
  });
  runtime.log('operator.acted', { by, action, detail, noted: Either.isRight(changed) });
}

/** @param rootKey - the key that may do everything; undefined admits everyone */
function create(runtime: Runtime, rootKey: string | undefined): OperatorTable {
  const register = runtime.services.find(registerService);
  return {
    authenticate: (request) => callerOf(register, rootKey, request),
    put: (operator, scope) => put(runtime, register, operator, scope),
    remove: (operator) => remove(register, operator),
    recordAction: (by, action, detail) => recordAction(runtime, register, by, action, detail),
    list: async function list() {
      const read = await register.read(operatorsKey);
      return Either.map((entry: Option.Option<Entry>) => operatorsOf(entry).map(({ digest: _digest, ...shown }) => shown))(read);
    },
    auditTrail: async function trail() {
      return Either.map(trailOf)(await register.read(trailKey));
    },
  };
}

export const operators = { create, mayChange, covers, rejected } as const;
