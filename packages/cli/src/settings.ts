/** Settings of a process: its addresses, its area and three seeds, read from a file, from flags or from both (design 9.3). */
import fs from 'node:fs';
import * as Either from 'fp-ts/lib/Either.js';
import { z } from 'zod';
import { fault, type Fault, type Runtime } from '@stallstall/kernel';

const address = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'give an IPv4 address and a port, as in 127.0.0.1:7000');
const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/i, 'use letters, digits, dots, dashes and underscores, at most 63 characters');
const seeds = z.array(address).length(3, 'give exactly three seed addresses');

export const nodeSettings = z.strictObject({ node: name, area: name, address, outward: address, seeds, platform: address });
export const coreSettings = nodeSettings.extend({
  data: z.string().min(1),
  cores: z.number().int().min(1).max(9).default(3),
  operatorKey: z.string().min(16, 'use at least 16 characters').optional(),
});
export const agentSettings = nodeSettings.extend({ feed: address });
export const proxySettings = z.strictObject({ address, feed: address });

/** The settings that can change while the process runs; any other takes effect at the next restart. */
const reloadableSettings = new Set(['platform', 'seeds']);

/** Calls back whenever a settings file may have changed. */
export type SettingsFileWatcher = Readonly<{ watch: (file: string, onChange: () => void) => void }>;

function readFile(file: string | undefined): Either.Either<Fault, Readonly<Record<string, unknown>>> {
  if (file === undefined) return Either.right({});
  try {
    const parsed: unknown = JSON.parse(fs.readFileSync(file, 'utf8'));
    if (typeof parsed === 'object' && parsed !== null && !Array.isArray(parsed)) return Either.right(parsed as Record<string, unknown>);
    throw new Error('it does not contain a JSON object');
  } catch (error) {
    return Either.left(
      fault.create({
        kind: 'bad-settings',
        message: `the settings file cannot be read: ${(error as Error).message}`,
        remedy: 'fix the file, then send SIGHUP or start the process again',
      }),
    );
  }
}

/** Reads and validates the settings; flags override the file, and all invalid settings are reported together. */
function read<Schema extends z.ZodType>(
  schema: Schema,
  file: string | undefined,
  flags: Readonly<Record<string, unknown>>,
): Either.Either<Fault, z.infer<Schema>> {
  const fileSettings = readFile(file);
  if (Either.isLeft(fileSettings)) return fileSettings;
  const definedFlags = Object.fromEntries(Object.entries(flags).filter(([, value]) => value !== undefined));
  const parsed = schema.safeParse({ ...fileSettings.right, ...definedFlags });
  if (parsed.success) return Either.right(parsed.data);
  return Either.left(
    fault.create({
      kind: 'bad-settings',
      message: parsed.error.issues.map((issue) => `${issue.path.join('.') || 'settings'}: ${issue.message}`).join('; '),
      remedy: 'fix these settings in the file or the flags',
    }),
  );
}

/** Where a process gets its settings from; flags override the file. */
export type SettingsSource<Schema> = Readonly<{
  schema: Schema;
  file: string | undefined;
  flags: Readonly<Record<string, unknown>>;
}>;

type Values = Readonly<Record<string, unknown>>;

function changedSettings(before: Values, after: Values): readonly string[] {
  return Object.keys(after).filter((name) => JSON.stringify(after[name]) !== JSON.stringify(before[name]));
}

/**
 * Reads the file again whenever the watcher reports a change. If the file is invalid or half written, the current settings stay in force
 * and the reason is logged with its remedy.
 * @param initial - the settings that the process was started with
 * @returns a function that returns the current settings
 */
function follow<Schema extends z.ZodType<Values>>(
  runtime: Runtime,
  watcher: SettingsFileWatcher,
  source: SettingsSource<Schema>,
  initial: z.infer<Schema>,
): () => z.infer<Schema> {
  const { schema, file, flags } = source;
  let current = initial;

  function reload(): void {
    const next = read(schema, file, flags);
    if (Either.isLeft(next)) {
      runtime.log('settings.denied', { reason: next.left.message });
      return;
    }
    const changed = changedSettings(current, next.right);
    const applied = changed.filter((name) => reloadableSettings.has(name));
    for (const name of changed)
      if (!reloadableSettings.has(name))
        runtime.log('settings.waits', { column: name, remedy: 'restart the process to apply this setting' });
    if (applied.length === 0) return;
    current = { ...current, ...Object.fromEntries(applied.map((name) => [name, next.right[name]])) };
    runtime.log('settings.obeyed', { columns: applied.join(',') });
  }

  if (file !== undefined) watcher.watch(file, reload);
  return () => current;
}

export const settings = { read, follow } as const;
