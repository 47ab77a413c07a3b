// Operators of many teams: their keys and scopes, and the trail of what they did, in the register (design 9.4).
import { createHash } from 'node:crypto';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { Type, type Static } from '@sinclair/typebox';
import { fault, type Fault, type HttpRequest, type Kernel } from '@stallstall/kernel';
import { message, type Entry } from '@stallstall/message';
import { registerService } from '@stallstall/register';
import type { PlacementConfiguration } from '@stallstall/placement';

export const ScopeSchema = Type.Object({
  /** The services whose members, rows and keys it may change; '*' stands for all. */
  services: Type.Array(Type.String({ minLength: 1, maxLength: 63 }), { maxItems: 500 }),
  nodes: Type.Boolean(),
  operators: Type.Boolean(),
});
export type Scope = Readonly<Static<typeof ScopeSchema>>;

const OperatorsSchema = Type.Object({
  operators: Type.Array(Type.Intersect([ScopeSchema, Type.Object({ operator: Type.String(), digest: Type.String() })])),
});
type Operators = Readonly<Static<typeof OperatorsSchema>>;

const TrailSchema = Type.Object({
  entries: Type.Array(
    Type.Object({ number: Type.Integer(), at: Type.Number(), by: Type.String(), action: Type.String(), detail: Type.String() }),
  ),
});
type Trail = Readonly<Static<typeof TrailSchema>>;
export type TrailEntry = Trail['entries'][number];

export type Caller = Readonly<{ operator: string; scope: Scope }>;

export type OperatorTable = Readonly<{
  /** Who asks; without a root key in the settings, everyone is let in as `anyone`. */
  caller: (request: HttpRequest) => Promise<Either.Either<Fault, Caller>>;
  list: () => Promise<Either.Either<Fault, ReadonlyArray<Scope & Readonly<{ operator: string }>>>>;
  /** Makes a key, shown once; another one under the same name replaces it. */
  put: (operator: string, scope: Scope) => Promise<Either.Either<Fault, string>>;
  remove: (operator: string) => Promise<Either.Either<Fault, boolean>>;
  note: (by: string, action: string, detail: string) => Promise<void>;
  trail: () => Promise<Either.Either<Fault, readonly TrailEntry[]>>;
}>;

const everything: Scope = { services: ['*'], nodes: true, operators: true };
const trailKept = 200;
const operatorsKept = 200;

function digestOf(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

function denied(what: string): Fault {
  return fault.create({
    kind: 'key-denied',
    message: what,
    remedy: 'send a key that may in x-stallstall-operator, or ask who holds the root key',
  });
}

function covers(scope: Scope, service: string): boolean {
  return scope.services.includes('*') || scope.services.includes(service);
}

/** The services that differ between two sheets, by their members, their rows or the keys that reach them. */
function changedServices(before: PlacementConfiguration | undefined, after: PlacementConfiguration): readonly string[] {
  function facts(sheet: PlacementConfiguration | undefined, service: string): string {
    return JSON.stringify([
      sheet?.services.filter((one) => one.service === service) ?? [],
      sheet?.rows.filter((one) => one.service === service) ?? [],
      sheet?.keys.filter((one) => one.services.includes(service)) ?? [],
      sheet?.mappings.filter((one) => one.service === service) ?? [],
    ]);
  }
  const names = new Set([...(before?.services ?? []), ...after.services].map((one) => one.service));
  return [...names].filter((service) => facts(before, service) !== facts(after, service));
}

function mayChange(
  caller: Caller,
  before: PlacementConfiguration | undefined,
  after: PlacementConfiguration,
): Either.Either<Fault, readonly string[]> {
  const changed = changedServices(before, after);
  const beyond = changed.filter((service) => !covers(caller.scope, service));
  return beyond.length === 0 ? Either.right(changed) : Either.left(denied(`${caller.operator} may not change ${beyond.join(', ')}`));
}

function create(kernel: Kernel, rootKey: string | undefined): OperatorTable {
  const register = kernel.services.find(registerService);

  function operatorsOf(entry: Option.Option<Entry>): Operators {
    return Option.isSome(entry) && message.matches(OperatorsSchema, entry.value.value) ? entry.value.value : { operators: [] };
  }

  function trailOf(entry: Option.Option<Entry>): Trail {
    return Option.isSome(entry) && message.matches(TrailSchema, entry.value.value) ? entry.value.value : { entries: [] };
  }

  async function caller(request: HttpRequest): Promise<Either.Either<Fault, Caller>> {
    if (rootKey === undefined) return Either.right({ operator: 'anyone', scope: everything });
    const given = digestOf(request.headers['x-stallstall-operator'] ?? '');
    if (given === digestOf(rootKey)) return Either.right({ operator: 'root', scope: everything });
    const read = await register.read('operators');
    if (Either.isLeft(read)) return read;
    const known = operatorsOf(read.right).operators.find((one) => one.digest === given);
    return known === undefined
      ? Either.left(denied('no operator holds this key'))
      : Either.right({ operator: known.operator, scope: known });
  }

  async function put(operator: string, scope: Scope): Promise<Either.Either<Fault, string>> {
    const key = `${kernel.randomness.token()}${kernel.randomness.token()}`;
    const added = { operator, digest: digestOf(key), services: [...scope.services], nodes: scope.nodes, operators: scope.operators };
    const changed = await register.change('operators', function next(current) {
      const others = operatorsOf(current).operators.filter((one) => one.operator !== operator);
      return others.length >= operatorsKept ? Option.none : Option.some({ operators: [...others, added] });
    });
    if (Either.isLeft(changed)) return changed;
    if (operatorsOf(changed.right.entry).operators.some((one) => one.digest === added.digest)) return Either.right(key);
    return Either.left(
      fault.create({ kind: 'unsafe-step', message: `there are ${operatorsKept} operators already`, remedy: 'remove one first' }),
    );
  }

  async function remove(operator: string): Promise<Either.Either<Fault, boolean>> {
    let known = false;
    const changed = await register.change('operators', function next(current) {
      const standing = operatorsOf(current).operators;
      known = known || standing.some((one) => one.operator === operator);
      return standing.some((one) => one.operator === operator)
        ? Option.some({ operators: standing.filter((one) => one.operator !== operator) })
        : Option.none;
    });
    return Either.map(() => known)(changed);
  }

  async function note(by: string, action: string, detail: string): Promise<void> {
    const at = kernel.clock.wall();
    const noted = await register.change('trail', function next(current) {
      const entries = trailOf(current).entries;
      if (entries.some((one) => one.at === at && one.by === by && one.action === action && one.detail === detail)) return Option.none;
      const entry: TrailEntry = { number: (entries.at(-1)?.number ?? 0) + 1, at, by, action, detail };
      return Option.some({ entries: [...entries, entry].slice(-trailKept) });
    });
    kernel.log('operator.acted', { by, action, detail, noted: Either.isRight(noted) });
  }

  return {
    caller,
    put,
    remove,
    note,
    list: async function list() {
      const read = await register.read('operators');
      return Either.map((entry: Option.Option<Entry>) => operatorsOf(entry).operators.map(({ digest: _digest, ...shown }) => shown))(read);
    },
    trail: async function trail() {
      const read = await register.read('trail');
      return Either.map((entry: Option.Option<Entry>) => trailOf(entry).entries)(read);
    },
  };
}

export const operators = { create, mayChange, covers, denied } as const;
