/** Checks values against schemas; compiled schemas are cached. */
import type { Static, TSchema } from '@sinclair/typebox';
import { TypeCompiler, type TypeCheck } from '@sinclair/typebox/compiler';

const compiled = new Map<TSchema, TypeCheck<TSchema>>();

export function matches<Schema extends TSchema>(schema: Schema, value: unknown): value is Static<Schema> {
  let check = compiled.get(schema);
  if (check === undefined) {
    check = TypeCompiler.Compile(schema);
    compiled.set(schema, check);
  }
  return check.Check(value);
}
