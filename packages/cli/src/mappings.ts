/** Imports statement mappings from OpenAPI files (design 8.7). */
import fs from 'node:fs';
import { dereference } from '@readme/openapi-parser';
import { Args, Command, Flags } from '@oclif/core';
import * as Either from 'fp-ts/lib/Either.js';
import { placements, type NamedStatement } from '@stallstall/placement';

type Operation = Readonly<Record<string, unknown>>;
type ImportResult = Readonly<{ mappings: readonly NamedStatement[]; leftOut: readonly string[] }>;

const methods = ['get', 'put', 'post', 'delete', 'patch'] as const;

function toMapping(method: string, operation: Operation): NamedStatement | undefined {
  const text = operation['x-stallstall-statement'];
  const operationId = operation['operationId'];
  const tags = operation['tags'];
  const service = operation['x-stallstall-service'] ?? (Array.isArray(tags) ? (tags[0] as unknown) : undefined);
  const kind = operation['x-stallstall-kind'] ?? (method === 'get' ? 'bounded-read' : 'write');
  if (typeof text !== 'string' || typeof operationId !== 'string' || typeof service !== 'string' || typeof kind !== 'string')
    return undefined;
  return { mapping: operationId, service, kind: kind as NamedStatement['kind'], text };
}

function collect(paths: Readonly<Record<string, unknown>>): ImportResult {
  const mappings: NamedStatement[] = [];
  const leftOut: string[] = [];
  for (const [path, item] of Object.entries(paths)) {
    for (const method of methods) {
      const operation = (item as Readonly<Record<string, Operation | undefined>>)[method];
      if (operation === undefined) continue;
      const mapping = toMapping(method, operation);
      if (mapping === undefined) leftOut.push(`${method.toUpperCase()} ${path}`);
      else mappings.push(mapping);
    }
  }
  return { mappings, leftOut };
}

async function read(file: string): Promise<ImportResult> {
  const document = await dereference(file);
  return collect((document as { paths?: Record<string, unknown> }).paths ?? {});
}

export const openapi = { read } as const;

export class MappingsImport extends Command {
  static override description = 'Replace the mappings of a sheet file by those of an OpenAPI file; nothing is sent to the fleet.';
  static override enableJsonFlag = true;
  static override flags = { sheet: Flags.string({ required: true, description: 'the sheet file to write the mappings to' }) };
  static override args = { file: Args.string({ required: true, description: 'the OpenAPI file, as JSON or YAML' }) };

  async run(): Promise<unknown> {
    const { flags, args } = await this.parse(MappingsImport);
    let imported: ImportResult;
    let sheet: Record<string, unknown>;
    try {
      imported = await openapi.read(args.file);
      sheet = JSON.parse(fs.readFileSync(flags.sheet, 'utf8')) as Record<string, unknown>;
    } catch (error) {
      return this.error(
        `no mappings were imported, the sheet file is unchanged: ${(error as Error).message}; fix the file and run the command again`,
        { exit: 2 },
      );
    }
    const next = { ...sheet, mappings: imported.mappings };
    const checked = placements.validate(next);
    if (Either.isLeft(checked))
      return this.error(`no mappings were imported, the sheet file is unchanged: ${checked.left.message}`, { exit: 1 });
    fs.writeFileSync(flags.sheet, `${JSON.stringify(next, null, 2)}\n`);
    this.log(
      `wrote ${imported.mappings.length} mappings to ${flags.sheet}; operations skipped because they name no statement: ${imported.leftOut.join(', ') || 'none'}`,
    );
    return imported;
  }
}
