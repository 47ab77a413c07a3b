/** Operators' keys and scopes, and the audit trail of their actions, all stored in the register (design 9.4). */
import { createHash } from 'node:crypto';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { Type, type Static } from '@sinclair/typebox';
import { fault, type Fault, type HttpRequest, type Runtime } from '@stallstall/kernel';
import { message, type Entry } from '@stallstall/message';
import type { PlacementConfiguration } from '@stallstall/placement';
import { registerService, type Register } from '@stallstall/register';

export const ScopeSchema = Type.Object({
  /** The services whose members, rows and keys the operator may change; '*' stands for all services. */
  services: Type.Array(Type.String({ minLength: 1, maxLength: 63 }), { maxItems: 500 }),
  nodes: Type.Boolean(),
  operators: Type.Boolean(),
});
export type Scope = Readonly<Static<typeof ScopeSchema>>;

/** `digest` is the SHA-256 digest of the operator's key, in hexadecimal. The field names are those of stored data. */
const OperatorsSchema = Type.Object({
  operators: Type.Array(Type.Intersect([ScopeSchema, Type.Object({ operator: Type.String(), digest: Type.String() })])),
});
type StoredOperator = Readonly<Static<typeof OperatorsSchema>['operators'][number]>;

/** `at` is the wall-clock time in milliseconds since 1970. The field names are those of stored data. */
const AuditTrailSchema = Type.Object({
  entries: Type.Array(
    Type.Object({ number: Type.Integer(), at: Type.Number(), by: Type.String(), action: Type.String(), detail: Type.String() }),
  ),
});
export type AuditEntry = Readonly<Static<typeof AuditTrailSchema>['entries'][number]>;

/** The operator that sent a request, and its permissions. */
export type Caller = Readonly<{ operator: string; scope: Scope }>;

export type OperatorTable = Readonly<{
  /**
   * The operator whose key a request carries; without a root key in the settings, every request is admitted as `anyone`. Errors:
   * `key-denied`, and those of the register.
   */
  authenticate: (request: HttpRequest) => Promise<Either.Either<Fault, Caller>>;
  list: () => Promise<Either.Either<Fault, ReadonlyArray<Scope & Readonly<{ operator: string }>>>>;
  /**
   * Adds an operator, or replaces the one of that name, and returns its new key, which is not stored and cannot be read again. Errors:
   * `unsafe-step` if there are too many operators, and those of the register.
   */
  put: (operator: string, scope: Scope) => Promise<Either.Either<Fault, string>>;
  /** Removes an operator; resolves to false if there is none of that name. */
  remove: (operator: string) => Promise<Either.Either<Fault, boolean>>;
  /** Records an action in the audit trail and in the log. */
  recordAction: (by: string, action: string, detail: string) => Promise<void>;
  /** The latest actions, oldest first. */
  auditTrail: () => Promise<Either.Either<Fault, readonly AuditEntry[]>>;
}>;

const unrestricted: Scope = { services: ['*'], nodes: true, operators: true };
const maxAuditEntries = 200;
const maxOperators = 200;
const operatorsKey = 'operators';
const auditTrailKey = 'trail';

function digestOf(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

function rejected(reason: string): Fault {
  return fault.create({
    kind: 'key-denied',
    message: reason,
    remedy: 'send a key with this permission in the x-stallstall-operator header, or ask the owner of the root key',
  });
}

function tooManyOperators(): Fault {
  return fault.create({ kind: 'unsafe-step', message: `there are ${maxOperators} operators already`, remedy: 'remove one first' });
}

function covers(scope: Scope, service: string): boolean {
  return scope.services.includes('*') || scope.services.includes(service);
}

/** Everything that a configuration defines for a service: its members and rows, and the keys and named statements that reach it. */
function settingsOf(placement: PlacementConfiguration | undefined, service: string): string {
  return JSON.stringify([
    placement?.services.filter((entry) => entry.service === service) ?? [],
    placement?.rows.filter((entry) => entry.service === service) ?? [],
    placement?.keys.filter((entry) => entry.services.includes(service)) ?? [],
    placement?.mappings.filter((entry) => entry.service === service) ?? [],
  ]);
}

function changedServices(before: PlacementConfiguration | undefined, after: PlacementConfiguration): readonly string[] {
  const names = new Set([...(before?.services ?? []), ...after.services].map((entry) => entry.service));
  return [...names].filter((service) => settingsOf(before, service) !== settingsOf(after, service));
}

/** Checks that the caller may change every service that an update changes, and returns those services. Errors: `key-denied`. */
function checkChange(
  caller: Caller,
  before: PlacementConfiguration | undefined,
  after: PlacementConfiguration,
): Either.Either<Fault, readonly string[]> {
  const changed = changedServices(before, after);
  const forbidden = changed.filter((service) => !covers(caller.scope, service));
  if (forbidden.length === 0) return Either.right(changed);
  return Either.left(rejected(`${caller.operator} is not allowed to change ${forbidden.join(', ')}`));
}

function operatorsOf(entry: Option.Option<Entry>): readonly StoredOperator[] {
  return Option.isSome(entry) && message.matches(OperatorsSchema, entry.value.value) ? entry.value.value.operators : [];
}

function auditEntriesOf(entry: Option.Option<Entry>): readonly AuditEntry[] {
  return Option.isSome(entry) && message.matches(AuditTrailSchema, entry.value.value) ? entry.value.value.entries : [];
}

async function authenticate(register: Register, rootKey: string | undefined, request: HttpRequest): Promise<Either.Either<Fault, Caller>> {
  if (rootKey === undefined) return Either.right({ operator: 'anyone', scope: unrestricted });
  const digest = digestOf(request.headers['x-stallstall-operator'] ?? '');
  if (digest === digestOf(rootKey)) return Either.right({ operator: 'root', scope: unrestricted });
  const read = await register.read(operatorsKey);
  if (Either.isLeft(read)) return read;
  const operator = operatorsOf(read.right).find((stored) => stored.digest === digest);
  return operator === undefined
    ? Either.left(rejected('no operator has this key'))
    : Either.right({ operator: operator.operator, scope: operator });
}

async function put(runtime: Runtime, register: Register, operator: string, scope: Scope): Promise<Either.Either<Fault, string>> {
  const key = `${runtime.randomness.token()}${runtime.randomness.token()}`;
  const { services, nodes, operators: mayManageOperators } = scope;
  const added: StoredOperator = { operator, digest: digestOf(key), services: [...services], nodes, operators: mayManageOperators };
  const changed = await register.change(operatorsKey, function next(current) {
    const others = operatorsOf(current).filter((stored) => stored.operator !== operator);
    return others.length >= maxOperators ? Option.none : Option.some({ operators: [...others, added] });
  });
  if (Either.isLeft(changed)) return changed;
  const isAdded = operatorsOf(changed.right.entry).some((stored) => stored.digest === added.digest);
  return isAdded ? Either.right(key) : Either.left(tooManyOperators());
}

async function remove(register: Register, operator: string): Promise<Either.Either<Fault, boolean>> {
  let existed = false;
  const changed = await register.change(operatorsKey, function next(current) {
    const stored = operatorsOf(current);
    const exists = stored.some((entry) => entry.operator === operator);
    // An earlier attempt with an unknown outcome may have removed the operator, so a retry that no longer finds it counts as success.
    existed = existed || exists;
    return exists ? Option.some({ operators: stored.filter((entry) => entry.operator !== operator) }) : Option.none;
  });
  return Either.map(() => existed)(changed);
}

async function recordAction(runtime: Runtime, register: Register, by: string, action: string, detail: string): Promise<void> {
  const at = runtime.clock.wall();
  const changed = await register.change(auditTrailKey, function next(current) {
    const entries = auditEntriesOf(current);
    const isRecorded = entries.some(
      (existing) => existing.at === at && existing.by === by && existing.action === action && existing.detail === detail,
    );
    if (isRecorded) return Option.none;
    const entry: AuditEntry = { number: (entries.at(-1)?.number ?? 0) + 1, at, by, action, detail };
    return Option.some({ entries: [...entries, entry].slice(-maxAuditEntries) });
  });
  runtime.log('operator.acted', { by, action, detail, recorded: Either.isRight(changed) });
}

/** @param rootKey - the key with every permission; when undefined, requests need no key */
function create(runtime: Runtime, rootKey: string | undefined): OperatorTable {
  const register = runtime.services.find(registerService);
  return {
    authenticate: (request) => authenticate(register, rootKey, request),
    put: (operator, scope) => put(runtime, register, operator, scope),
    remove: (operator) => remove(register, operator),
    recordAction: (by, action, detail) => recordAction(runtime, register, by, action, detail),
    list: async function list() {
      const read = await register.read(operatorsKey);
      return Either.map((entry: Option.Option<Entry>) => operatorsOf(entry).map(({ digest: _digest, ...shown }) => shown))(read);
    },
    auditTrail: async function auditTrail() {
      return Either.map(auditEntriesOf)(await register.read(auditTrailKey));
    },
  };
}

export const operators = { create, checkChange, covers, rejected } as const;
