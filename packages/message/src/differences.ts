/** Differences between two JSON values, sent instead of the second to a node that holds the first (design 5.6). */
import { Type, type Static } from '@sinclair/typebox';

const PathStepSchema = Type.Union([Type.String(), Type.Integer({ minimum: 0 })]);

/** One difference: a value to set, a property to remove, or a range of an array to replace. */
export const DifferenceSchema = Type.Object({
  path: Type.Array(PathStepSchema, { maxItems: 100 }),
  set: Type.Optional(Type.Unknown()),
  remove: Type.Optional(Type.Literal(true)),
  splice: Type.Optional(
    Type.Object({ at: Type.Integer({ minimum: 0 }), gone: Type.Integer({ minimum: 0 }), come: Type.Array(Type.Unknown()) }),
  ),
});
export type Difference = Readonly<Static<typeof DifferenceSchema>>;
type Path = ReadonlyArray<string | number>;

function isEqual(left: unknown, right: unknown): boolean {
  return left === right || JSON.stringify(left) === JSON.stringify(right);
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** The value of an object's own property; inherited properties such as `constructor` are ignored. */
function ownProperty(object: Readonly<Record<string, unknown>>, name: string): unknown {
  return Object.hasOwn(object, name) ? object[name] : undefined;
}

function computeForArrays(path: Path, from: readonly unknown[], to: readonly unknown[]): readonly Difference[] {
  if (from.length === to.length) return from.flatMap((value, index) => compute(value, to[index], [...path, index]));
  let start = 0;
  while (start < from.length && start < to.length && isEqual(from[start], to[start])) start += 1;
  let commonSuffix = 0;
  while (
    commonSuffix < Math.min(from.length, to.length) - start &&
    isEqual(from[from.length - 1 - commonSuffix], to[to.length - 1 - commonSuffix])
  )
    commonSuffix += 1;
  return [
    { path: [...path], splice: { at: start, gone: from.length - start - commonSuffix, come: to.slice(start, to.length - commonSuffix) } },
  ];
}

function computeForObjects(
  path: Path,
  from: Readonly<Record<string, unknown>>,
  to: Readonly<Record<string, unknown>>,
): readonly Difference[] {
  const removed = Object.keys(from).filter((name) => ownProperty(to, name) === undefined && from[name] !== undefined);
  return [
    ...removed.map((name): Difference => ({ path: [...path, name], remove: true })),
    ...Object.entries(to).flatMap(([name, value]) => (value === undefined ? [] : compute(ownProperty(from, name), value, [...path, name]))),
  ];
}

/** The differences that turn `from` into `to`. */
function compute(from: unknown, to: unknown, path: Path = []): readonly Difference[] {
  if (from === to) return [];
  if (Array.isArray(from) && Array.isArray(to)) return computeForArrays(path, from as readonly unknown[], to as readonly unknown[]);
  if (isObject(from) && isObject(to)) return computeForObjects(path, from, to);
  return [{ path: [...path], set: to }];
}

function applySplice(value: unknown, { at, gone, come }: NonNullable<Difference['splice']>): unknown {
  return Array.isArray(value) && at + gone <= value.length ? value.toSpliced(at, gone, ...come) : undefined;
}

/** A shallow, mutable copy of an array or object; undefined for any other value. */
function copyOf(value: unknown): Record<string | number, unknown> | undefined {
  if (Array.isArray(value)) return [...(value as readonly unknown[])] as unknown as Record<number, unknown>;
  return isObject(value) ? { ...value } : undefined;
}

/** Applies one difference and copies only the values along its path; undefined if it does not fit. */
function applyOne(value: unknown, difference: Difference, depth = 0): unknown {
  const step = difference.path[depth];
  if (step === undefined) return difference.splice === undefined ? difference.set : applySplice(value, difference.splice);
  const copy = copyOf(value);
  if (copy === undefined || step === '__proto__') return undefined;
  const isLast = depth === difference.path.length - 1;
  if (isLast && difference.remove === true) {
    delete copy[step];
    return copy;
  }
  const exists = Object.hasOwn(copy, step);
  if (!exists && !isLast) return undefined;
  const changed = applyOne(exists ? copy[step] : undefined, difference, depth + 1);
  if (changed === undefined) return undefined;
  copy[step] = changed;
  return copy;
}

/** Applies all differences without changing `from`; undefined if they do not fit. */
function apply(from: unknown, all: readonly Difference[]): unknown {
  return all.reduce<unknown>((value, difference) => (value === undefined ? undefined : applyOne(value, difference)), from);
}

export const differences = { compute, apply } as const;
