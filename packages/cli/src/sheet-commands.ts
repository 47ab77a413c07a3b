/** Commands that check, send and read the placement sheet (design 6.1). */
import fs from 'node:fs';
import { Args, Command, Flags } from '@oclif/core';
import { coreClient, coreFlags, exits } from './core-client.js';
import { tables } from './tables.js';

/** The sheet of a file; ends the command when the file holds none. */
function readSheet(command: Command, file: string): unknown {
  try {
    return JSON.parse(fs.readFileSync(file, 'utf8'));
  } catch (error) {
    return command.error(`${file} holds no JSON sheet: ${(error as Error).message}; mend the file`, { exit: exits.wrong });
  }
}

/** Every cell of a value, by its path, as JSON. */
function flatten(value: unknown, path: string, into: Map<string, string>): void {
  if (typeof value !== 'object' || value === null) {
    into.set(path, JSON.stringify(value));
    return;
  }
  for (const [name, inner] of Object.entries(value)) flatten(inner, path === '' ? name : `${path}.${name}`, into);
}

export class SheetCheck extends Command {
  static override description = 'Check a sheet without sending it; every fault is told at once.';
  static override enableJsonFlag = true;
  static override flags = coreFlags;
  static override args = { file: Args.string({ required: true, description: 'the sheet, as JSON' }) };

  async run(): Promise<unknown> {
    const { flags, args } = await this.parse(SheetCheck);
    const reply = await coreClient.replyOf(this, flags, {
      method: 'POST',
      path: '/v1/sheet/check',
      body: { sheet: readSheet(this, args.file) },
    });
    this.log('the sheet is sound');
    return reply;
  }
}

export class SheetSend extends Command {
  static override description = 'Send a sheet whole; it is acknowledged once a majority of disks has it.';
  static override enableJsonFlag = true;
  static override flags = {
    ...coreFlags,
    by: Flags.string({ description: 'who sends it', default: process.env['USER'] ?? 'unnamed' }),
    'if-version': Flags.integer({ description: 'send only if this is the current version' }),
  };
  static override args = { file: Args.string({ required: true, description: 'the sheet, as JSON' }) };

  async run(): Promise<unknown> {
    const { flags, args } = await this.parse(SheetSend);
    const expected = flags['if-version'];
    const reply = (await coreClient.replyOf(this, flags, {
      method: 'PUT',
      path: '/v1/sheet',
      body: { sheet: readSheet(this, args.file), sentBy: flags.by },
      ...(expected === undefined ? {} : { headers: { 'if-match': String(expected) } }),
    })) as Readonly<{ version: number }>;
    this.log(`taken as version ${reply.version}`);
    return reply;
  }
}

export class SheetGet extends Command {
  static override description = 'Read back the current sheet, or an earlier version that is still kept.';
  static override enableJsonFlag = true;
  static override flags = { ...coreFlags, version: Flags.integer({ description: 'an earlier version' }) };

  async run(): Promise<unknown> {
    const { flags } = await this.parse(SheetGet);
    const reply = (await coreClient.replyOf(this, flags, {
      method: 'GET',
      path: `/v1/sheet${flags.version === undefined ? '' : `?version=${flags.version}`}`,
    })) as Readonly<{ sheet: unknown }>;
    this.log(JSON.stringify(reply.sheet, null, 2));
    return reply;
  }
}

export class SheetDiff extends Command {
  static override description = 'What would change, cell by cell, if this sheet were sent.';
  static override enableJsonFlag = true;
  static override flags = coreFlags;
  static override args = { file: Args.string({ required: true, description: 'the sheet, as JSON' }) };

  async run(): Promise<unknown> {
    const { flags, args } = await this.parse(SheetDiff);
    const current = (await coreClient.replyOf(this, flags, { method: 'GET', path: '/v1/sheet' })) as Readonly<{
      version: number;
      sheet: unknown;
    }>;
    const before = new Map<string, string>();
    const after = new Map<string, string>();
    flatten(current.sheet, '', before);
    flatten(readSheet(this, args.file), '', after);
    const cells = [...new Set([...before.keys(), ...after.keys()])].sort().filter((cell) => before.get(cell) !== after.get(cell));
    const changes = cells.map((cell) => ({ cell, before: before.get(cell) ?? '(none)', after: after.get(cell) ?? '(none)' }));
    this.log(changes.length === 0 ? `no cell differs from version ${current.version}` : tables.table(changes, ['cell', 'before', 'after']));
    return { version: current.version, changes };
  }
}
