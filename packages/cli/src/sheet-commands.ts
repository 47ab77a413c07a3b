/** Commands that check, send and read the placement sheet (design 6.1). */
import fs from 'node:fs';
import { Args, Command, Flags } from '@oclif/core';
import { coreClient, coreFlags, exitCodes } from './core-client.js';
import { tables } from './tables.js';

/** Reads a sheet from a file; ends the command if the file cannot be read or is not JSON. */
function readSheet(command: Command, file: string): unknown {
  try {
    return JSON.parse(fs.readFileSync(file, 'utf8'));
  } catch (error) {
    return command.error(
      `cannot read a sheet from ${file}: ${(error as Error).message}; fix the path or the file and run the command again`,
      { exit: exitCodes.usage },
    );
  }
}

/** Collects the leaves of a value as JSON, keyed by their dotted path. */
function flatten(value: unknown, path: string, cells: Map<string, string>): void {
  if (typeof value !== 'object' || value === null) {
    cells.set(path, JSON.stringify(value));
    return;
  }
  for (const [name, inner] of Object.entries(value)) flatten(inner, path === '' ? name : `${path}.${name}`, cells);
}

export class SheetCheck extends Command {
  static override description = 'Validate a sheet without applying it; all faults are reported together.';
  static override enableJsonFlag = true;
  static override flags = coreFlags;
  static override args = { file: Args.string({ required: true, description: 'the sheet file, as JSON' }) };

  async run(): Promise<unknown> {
    const { flags, args } = await this.parse(SheetCheck);
    const reply = await coreClient.requestOrExit(this, flags, {
      method: 'POST',
      path: '/v1/sheet/check',
      body: { sheet: readSheet(this, args.file) },
    });
    this.log('the sheet is valid; nothing was applied, use stallstall sheet send to apply it');
    return reply;
  }
}

export class SheetSend extends Command {
  static override description = 'Replace the current sheet by this one; it is acknowledged once a majority of the cores has stored it.';
  static override enableJsonFlag = true;
  static override flags = {
    ...coreFlags,
    by: Flags.string({ description: 'the name recorded as the sender of the sheet', default: process.env['USER'] ?? 'unnamed' }),
    'if-version': Flags.integer({ description: 'send the sheet only if this is the current version' }),
  };
  static override args = { file: Args.string({ required: true, description: 'the sheet file, as JSON' }) };

  async run(): Promise<unknown> {
    const { flags, args } = await this.parse(SheetSend);
    const expected = flags['if-version'];
    const reply = (await coreClient.requestOrExit(this, flags, {
      method: 'PUT',
      path: '/v1/sheet',
      body: { sheet: readSheet(this, args.file), sentBy: flags.by },
      ...(expected === undefined ? {} : { headers: { 'if-match': String(expected) } }),
    })) as Readonly<{ version: number }>;
    this.log(`the sheet was stored as version ${reply.version}; see stallstall status for the version that each node has applied`);
    return reply;
  }
}

export class SheetGet extends Command {
  static override description = 'Print the current sheet, or an earlier version that is still stored.';
  static override enableJsonFlag = true;
  static override flags = { ...coreFlags, version: Flags.integer({ description: 'the version to print instead of the current one' }) };

  async run(): Promise<unknown> {
    const { flags } = await this.parse(SheetGet);
    const reply = (await coreClient.requestOrExit(this, flags, {
      method: 'GET',
      path: `/v1/sheet${flags.version === undefined ? '' : `?version=${flags.version}`}`,
    })) as Readonly<{ sheet: unknown }>;
    this.log(JSON.stringify(reply.sheet, null, 2));
    return reply;
  }
}

export class SheetDiff extends Command {
  static override description = 'Show, cell by cell, what would change if this sheet were sent.';
  static override enableJsonFlag = true;
  static override flags = coreFlags;
  static override args = { file: Args.string({ required: true, description: 'the sheet file, as JSON' }) };

  async run(): Promise<unknown> {
    const { flags, args } = await this.parse(SheetDiff);
    const current = (await coreClient.requestOrExit(this, flags, { method: 'GET', path: '/v1/sheet' })) as Readonly<{
      version: number;
      sheet: unknown;
    }>;
    const before = new Map<string, string>();
    const after = new Map<string, string>();
    flatten(current.sheet, '', before);
    flatten(readSheet(this, args.file), '', after);
    const cells = [...new Set([...before.keys(), ...after.keys()])].sort().filter((cell) => before.get(cell) !== after.get(cell));
    const changes = cells.map((cell) => ({ cell, before: before.get(cell) ?? '(none)', after: after.get(cell) ?? '(none)' }));
    this.log(
      changes.length === 0
        ? `the sheet is the same as the current version ${current.version}`
        : tables.table(changes, ['cell', 'before', 'after']),
    );
    return { version: current.version, changes };
  }
}
