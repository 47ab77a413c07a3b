/** Settings of a process: its addresses, its area, three seeds; from a file, from flags, or both (design 9.3). */
import fs from 'node:fs';
import * as Either from 'fp-ts/lib/Either.js';
import { z } from 'zod';
import { fault, type Fault, type Runtime } from '@stallstall/kernel';

const address = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'give an IP number and a port, as in 127.0.0.1:7000');
const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/i, 'use letters, digits, dot, dash and underscore, at most 63');
const seeds = z.array(address).length(3, 'name exactly three seeds');

export const nodeSettings = z.strictObject({ node: name, area: name, address, outward: address, seeds, platform: address });
export const coreSettings = nodeSettings.extend({
  data: z.string().min(1),
  cores: z.number().int().min(1).max(9).default(3),
  operatorKey: z.string().min(16, 'use at least 16 characters').optional(),
});
export const agentSettings = nodeSettings.extend({ feed: address });
export const proxySettings = z.strictObject({ address, feed: address });

/** What may change while the process runs; anything else waits for a restart. */
const changeable = new Set(['platform', 'seeds']);

/** Calls back whenever a settings file may have changed. */
export type Changes = Readonly<{ watch: (file: string, again: () => void) => void }>;

function readFile(file: string | undefined): Either.Either<Fault, Readonly<Record<string, unknown>>> {
  if (file === undefined) return Either.right({});
  try {
    const parsed: unknown = JSON.parse(fs.readFileSync(file, 'utf8'));
    if (typeof parsed === 'object' && parsed !== null && !Array.isArray(parsed)) return Either.right(parsed as Record<string, unknown>);
    throw new Error('it holds no JSON object');
  } catch (error) {
    return Either.left(
      fault.create({
        kind: 'bad-settings',
        message: `the settings file cannot be read: ${(error as Error).message}`,
        remedy: 'mend the file, then send SIGHUP or start again',
      }),
    );
  }
}

/** Flags go before the file; every fault is told at once. */
function read<Schema extends z.ZodType>(
  schema: Schema,
  file: string | undefined,
  flags: Readonly<Record<string, unknown>>,
): Either.Either<Fault, z.infer<Schema>> {
  const stored = readFile(file);
  if (Either.isLeft(stored)) return stored;
  const given = Object.fromEntries(Object.entries(flags).filter(([, value]) => value !== undefined));
  const parsed = schema.safeParse({ ...stored.right, ...given });
  if (parsed.success) return Either.right(parsed.data);
  return Either.left(
    fault.create({
      kind: 'bad-settings',
      message: parsed.error.issues.map((issue) => `${issue.path.join('.') || 'settings'}: ${issue.message}`).join('; '),
      remedy: 'mend the named settings in the file or the flags',
    }),
  );
}

/** Where a process has its settings from: flags go before the file. */
export type SettingsSource<Schema> = Readonly<{
  schema: Schema;
  file: string | undefined;
  flags: Readonly<Record<string, unknown>>;
}>;

type Values = Readonly<Record<string, unknown>>;

function changedColumns(before: Values, after: Values): readonly string[] {
  return Object.keys(after).filter((column) => JSON.stringify(after[column]) !== JSON.stringify(before[column]));
}

/**
 * Reads the file again whenever it is told to; an invalid or half-written one keeps the old settings and logs the remedy. `first`: what the
 * process was started with. Returns a function that gives the current settings.
 */
function follow<Schema extends z.ZodType<Values>>(
  runtime: Runtime,
  changes: Changes,
  source: SettingsSource<Schema>,
  first: z.infer<Schema>,
): () => z.infer<Schema> {
  const { schema, file, flags } = source;
  let current = first;

  function again(): void {
    const next = read(schema, file, flags);
    if (Either.isLeft(next)) {
      runtime.log('settings.denied', { reason: next.left.message });
      return;
    }
    const changed = changedColumns(current, next.right);
    const applied = changed.filter((column) => changeable.has(column));
    for (const column of changed)
      if (!changeable.has(column)) runtime.log('settings.waits', { column, remedy: 'restart the process to obey it' });
    if (applied.length === 0) return;
    current = { ...current, ...Object.fromEntries(applied.map((column) => [column, next.right[column]])) };
    runtime.log('settings.obeyed', { columns: applied.join(',') });
  }

  if (file !== undefined) changes.watch(file, again);
  return () => current;
}

export const settings = { read, follow } as const;
