/** What differs between two JSON values, small enough to be sent in place of the second to whoever holds the first (design 5.6). */
import { Type, type Static } from '@sinclair/typebox';

const StepSchema = Type.Union([Type.String(), Type.Integer({ minimum: 0 })]);

/** One difference: a value set, a name removed, or a stretch of an array exchanged. */
export const DifferenceSchema = Type.Object({
  path: Type.Array(StepSchema, { maxItems: 100 }),
  set: Type.Optional(Type.Unknown()),
  remove: Type.Optional(Type.Literal(true)),
  splice: Type.Optional(
    Type.Object({ at: Type.Integer({ minimum: 0 }), gone: Type.Integer({ minimum: 0 }), come: Type.Array(Type.Unknown()) }),
  ),
});
export type Difference = Readonly<Static<typeof DifferenceSchema>>;
type Path = ReadonlyArray<string | number>;

function same(left: unknown, right: unknown): boolean {
  return left === right || JSON.stringify(left) === JSON.stringify(right);
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** The value of an object's own property: every object has inherited names. */
function own(holder: Readonly<Record<string, unknown>>, name: string): unknown {
  return Object.hasOwn(holder, name) ? holder[name] : undefined;
}

function betweenArrays(path: Path, from: readonly unknown[], to: readonly unknown[]): readonly Difference[] {
  if (from.length === to.length) return from.flatMap((value, index) => compute(value, to[index], [...path, index]));
  let at = 0;
  while (at < from.length && at < to.length && same(from[at], to[at])) at += 1;
  let after = 0;
  while (after < Math.min(from.length, to.length) - at && same(from[from.length - 1 - after], to[to.length - 1 - after])) after += 1;
  return [{ path: [...path], splice: { at, gone: from.length - at - after, come: to.slice(at, to.length - after) } }];
}

function betweenObjects(path: Path, from: Readonly<Record<string, unknown>>, to: Readonly<Record<string, unknown>>): readonly Difference[] {
  const gone = Object.keys(from).filter((name) => own(to, name) === undefined && from[name] !== undefined);
  return [
    ...gone.map((name): Difference => ({ path: [...path, name], remove: true })),
    ...Object.entries(to).flatMap(([name, value]) => (value === undefined ? [] : compute(own(from, name), value, [...path, name]))),
  ];
}

/** What makes `to` of `from`. */
function compute(from: unknown, to: unknown, path: Path = []): readonly Difference[] {
  if (from === to) return [];
  if (Array.isArray(from) && Array.isArray(to)) return betweenArrays(path, from as readonly unknown[], to as readonly unknown[]);
  if (isObject(from) && isObject(to)) return betweenObjects(path, from, to);
  return [{ path: [...path], set: to }];
}

function spliced(value: unknown, { at, gone, come }: NonNullable<Difference['splice']>): unknown {
  return Array.isArray(value) && at + gone <= value.length ? value.toSpliced(at, gone, ...come) : undefined;
}

/** A copy of an array or object whose entries may be changed; undefined for any other value. */
function copyOf(value: unknown): Record<string | number, unknown> | undefined {
  if (Array.isArray(value)) return [...(value as readonly unknown[])] as unknown as Record<number, unknown>;
  return isObject(value) ? { ...value } : undefined;
}

/** The value with one difference, copied along its path alone; undefined where it does not fit. */
function withOne(value: unknown, difference: Difference, depth = 0): unknown {
  const step = difference.path[depth];
  if (step === undefined) return difference.splice === undefined ? difference.set : spliced(value, difference.splice);
  const copy = copyOf(value);
  if (copy === undefined || step === '__proto__') return undefined;
  const isLast = depth === difference.path.length - 1;
  if (isLast && difference.remove === true) {
    delete copy[step];
    return copy;
  }
  const known = Object.hasOwn(copy, step);
  if (!known && !isLast) return undefined;
  const inner = withOne(known ? copy[step] : undefined, difference, depth + 1);
  if (inner === undefined) return undefined;
  copy[step] = inner;
  return copy;
}

/** `from` with all differences; undefined where they do not fit it. `from` stays as it is. */
function apply(from: unknown, all: readonly Difference[]): unknown {
  return all.reduce<unknown>((value, difference) => (value === undefined ? undefined : withOne(value, difference)), from);
}

export const differences = { compute, apply } as const;
