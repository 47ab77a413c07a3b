// The operator's commands over the whole fleet, through the administration API of any core (design 9.2).
import fs from 'node:fs';
import { Args, Command, Flags } from '@oclif/core';
import * as Either from 'fp-ts/lib/Either.js';
import { fault, identifiers, type Fault, type HttpAsk, type HttpReply } from '@stallstall/kernel';
import { network } from '@stallstall/machine';

const exchangeMilliseconds = 8_000;

const coreFlags = {
  core: Flags.string({
    description: 'outward addresses of cores, with commas between; each is tried',
    env: 'STALLSTALL_CORES',
    required: true,
  }),
  key: Flags.string({ description: "the operator's key, where the fleet asks for one", env: 'STALLSTALL_OPERATOR_KEY' }),
};
const pageFlags = {
  ...coreFlags,
  limit: Flags.integer({ description: 'how many rows at the most', default: 100, min: 1, max: 500 }),
  after: Flags.integer({ description: 'begin after so many rows', default: 0, min: 0 }),
};

type CoreFlags = Readonly<{ core: string; key: string | undefined }>;

/** Exit codes: 0 done, 1 denied by the fleet, 2 wrong call, 3 no core reached. */
const exits = { denied: 1, wrong: 2, unreachable: 3 } as const;

async function askAny(cores: string, ask: HttpAsk): Promise<Either.Either<Fault, HttpReply>> {
  let last: Either.Either<Fault, HttpReply> = Either.left(
    fault.create({ kind: 'unreachable', message: 'no core is named', remedy: 'name one with --core' }),
  );
  for (const address of cores.split(',')) {
    const connection = network.connect(identifiers.address(address.trim()));
    last = await connection.exchange(ask, exchangeMilliseconds);
    connection.close();
    // Only what surely never left may be asked of another core.
    if (Either.isRight(last) || fault.kind(last.left) !== 'unreachable') return last;
  }
  return last;
}

async function replyOf(command: Command, flags: CoreFlags, ask: HttpAsk): Promise<unknown> {
  const reply = await askAny(flags.core, {
    ...ask,
    headers: { ...ask.headers, ...(flags.key === undefined ? {} : { 'x-stallstall-operator': flags.key }) },
  });
  if (Either.isLeft(reply)) return command.error(reply.left.message, { exit: exits.unreachable });
  if (reply.right.status < 300) return reply.right.body;
  const denied = reply.right.body as Readonly<{ error?: string; message?: string; details?: unknown }> | null;
  const faults = Array.isArray(denied?.details)
    ? (denied.details as ReadonlyArray<Readonly<Record<string, string>>>)
        .map((one) => `\n  ${one['row']} ${one['column']}: ${one['message']}; ${one['remedy']}`)
        .join('')
    : '';
  return command.error(`${denied?.error ?? reply.right.status}: ${denied?.message ?? 'denied'}${faults}`, { exit: exits.denied });
}

type Row = Readonly<Record<string, unknown>>;

function table(rows: readonly Row[], columns: readonly string[]): string {
  const cells = [columns, ...rows.map((row) => columns.map((column) => String(row[column] ?? '')))];
  const widths = columns.map((_, index) => Math.max(...cells.map((line) => (line[index] ?? '').length)));
  return cells
    .map((line) =>
      line
        .map((cell, index) => cell.padEnd(widths[index] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

type Page = Readonly<{ rows: readonly Row[]; total: number; next?: number }>;

/** Asks for one page of a listing and shows it as a table. */
async function showPage(
  command: Command,
  flags: CoreFlags & Readonly<{ limit: number; after: number }>,
  path: string,
  columns: readonly string[],
  shown: (row: Row) => Row = same,
): Promise<Page> {
  const reply = (await replyOf(command, flags, { method: 'GET', path: `${path}?limit=${flags.limit}&after=${flags.after}` })) as Page;
  command.log(table(reply.rows.map(shown), columns));
  if (reply.next !== undefined) command.log(`${reply.rows.length} of ${reply.total} rows; go on with --after ${reply.next}`);
  return reply;
}

function same(row: Row): Row {
  return row;
}

function moment(value: unknown): string {
  return typeof value === 'number' ? new Date(value).toISOString() : '';
}

function readSheet(command: Command, file: string): unknown {
  try {
    return JSON.parse(fs.readFileSync(file, 'utf8'));
  } catch (error) {
    return command.error(`${file} holds no JSON sheet: ${(error as Error).message}; mend the file`, { exit: exits.wrong });
  }
}

export class Status extends Command {
  static override description = 'The nodes of the fleet: who is heard, and which configuration each obeys.';
  static override enableJsonFlag = true;
  static override flags = coreFlags;

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Status);
    const status = (await replyOf(this, flags, { method: 'GET', path: '/v1/fleet' })) as Row & { nodes: readonly Row[] };
    this.log(
      `fleet ${status['fleet']}: ${status['size']} nodes, ${status['heard']} heard, quorum ${status['quorum']}, ${status['spare']} to spare, membership ${status['membership']}, configuration ${status['configuration']}`,
    );
    this.log(table(status.nodes, ['node', 'role', 'area', 'heardMilliseconds', 'obeys', 'protocol', 'draining', 'address', 'outward']));
    return status;
  }
}

export class Members extends Command {
  static override description = 'The database members: who leads, who is alive, how far each has got.';
  static override enableJsonFlag = true;
  static override flags = pageFlags;

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Members);
    return showPage(this, flags, '/v1/members', [
      'service',
      'member',
      'area',
      'state',
      'alive',
      'leads',
      'epoch',
      'received',
      'applied',
      'heardMilliseconds',
    ]);
  }
}

export class Elections extends Command {
  static override description = 'Each service: its epoch, its primary, the last outcome at the core asked.';
  static override enableJsonFlag = true;
  static override flags = pageFlags;

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Elections);
    return showPage(this, flags, '/v1/elections', ['service', 'epoch', 'primary', 'voted', 'floor', 'outcome']);
  }
}

export class Usage extends Command {
  static override description = 'The usage windows fixed last, and whether the platform has them.';
  static override enableJsonFlag = true;
  static override flags = pageFlags;

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Usage);
    return showPage(this, flags, '/v1/usage', ['window', 'sent', 'counts'], (row) => ({ ...row, counts: JSON.stringify(row['counts']) }));
  }
}

export class Audit extends Command {
  static override description = 'Who did what, the latest first.';
  static override enableJsonFlag = true;
  static override flags = pageFlags;

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Audit);
    return showPage(this, flags, '/v1/audit', ['number', 'at', 'by', 'action', 'detail'], (row) => ({ ...row, at: moment(row['at']) }));
  }
}

export class Operators extends Command {
  static override description = 'The operators and what each may do.';
  static override enableJsonFlag = true;
  static override flags = pageFlags;

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Operators);
    return showPage(this, flags, '/v1/operators', ['operator', 'services', 'nodes', 'operators']);
  }
}

export class SheetVersions extends Command {
  static override description = 'The versions of the sheet that are kept, and who sent each.';
  static override enableJsonFlag = true;
  static override flags = pageFlags;

  async run(): Promise<unknown> {
    const { flags } = await this.parse(SheetVersions);
    return showPage(this, flags, '/v1/sheet/versions', ['version', 'sentBy', 'sentAt'], (row) => ({
      ...row,
      sentAt: moment(row['sentAt']),
    }));
  }
}

export class OperatorPut extends Command {
  static override description = 'Make a key for an operator; it is shown this once.';
  static override enableJsonFlag = true;
  static override flags = {
    ...coreFlags,
    services: Flags.string({ description: 'the services it may change, with commas between; * for all', default: '' }),
    nodes: Flags.boolean({ description: 'may drain and remove nodes' }),
    operators: Flags.boolean({ description: 'may make and remove operators' }),
  };
  static override args = { operator: Args.string({ required: true, description: 'its name' }) };

  async run(): Promise<unknown> {
    const { flags, args } = await this.parse(OperatorPut);
    const services = flags.services === '' ? [] : flags.services.split(',');
    const reply = (await replyOf(this, flags, {
      method: 'PUT',
      path: `/v1/operators/${encodeURIComponent(args.operator)}`,
      body: { services, nodes: flags.nodes, operators: flags.operators },
    })) as Readonly<{ key: string }>;
    this.log(`the key of ${args.operator}: ${reply.key}`);
    return reply;
  }
}

export class OperatorRemove extends Command {
  static override description = 'Take an operator and its key away.';
  static override enableJsonFlag = true;
  static override flags = coreFlags;
  static override args = { operator: Args.string({ required: true, description: 'its name' }) };

  async run(): Promise<unknown> {
    const { flags, args } = await this.parse(OperatorRemove);
    const reply = await replyOf(this, flags, { method: 'DELETE', path: `/v1/operators/${encodeURIComponent(args.operator)}` });
    this.log(`${args.operator} is no operator any more`);
    return reply;
  }
}

const fleetFlags = { ...coreFlags, fleet: Flags.boolean({ description: 'ask every node of the membership table, not one core alone' }) };

type Asked = Readonly<{ node: string; reply: Either.Either<Fault, HttpReply> }>;

/** The same page of one core, or of every node that the table names. */
async function askNodes(command: Command, flags: CoreFlags & Readonly<{ fleet: boolean }>, path: string): Promise<readonly Asked[]> {
  if (!flags.fleet) return [{ node: '', reply: await askAny(flags.core, { method: 'GET', path }) }];
  const status = (await replyOf(command, flags, { method: 'GET', path: '/v1/fleet' })) as Readonly<{
    nodes: ReadonlyArray<Readonly<{ node: string; outward: string }>>;
  }>;
  return Promise.all(status.nodes.map(async (one) => ({ node: one.node, reply: await askAny(one.outward, { method: 'GET', path }) })));
}

export class Liveness extends Command {
  static override description = 'What is sound and what is not, each with its remedy; exit code 1 when a check fails.';
  static override enableJsonFlag = true;
  static override flags = fleetFlags;

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Liveness);
    const asked = await askNodes(this, flags, '/v1/liveness');
    if (!flags.fleet && asked.some((one) => Either.isLeft(one.reply)))
      return this.error('no core was reached; see --core', { exit: exits.unreachable });
    const rows = asked.flatMap((one): readonly Row[] => {
      if (Either.isLeft(one.reply))
        return [{ node: one.node, check: 'reached', sound: false, detail: one.reply.left.message, remedy: 'see whether it runs' }];
      const { checks, ...page } = one.reply.right.body as Readonly<{ checks: readonly Row[] }> & Row;
      return checks.map((check) => ({ node: page['node'] ?? page['core'], ...check, ...(check['sound'] === true ? { remedy: '' } : {}) }));
    });
    this.log(table(rows, ['node', 'check', 'sound', 'detail', 'remedy']));
    if (rows.some((row) => row['sound'] !== true)) process.exitCode = exits.denied;
    return rows;
  }
}

export class Metrics extends Command {
  static override description = 'Counts of the core asked, or of every node and its proxy.';
  static override enableJsonFlag = true;
  static override flags = fleetFlags;

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Metrics);
    const asked = await askNodes(this, flags, '/v1/metrics');
    if (!flags.fleet && asked.some((one) => Either.isLeft(one.reply)))
      return this.error('no core was reached; see --core', { exit: exits.unreachable });
    const rows = asked.flatMap((one) =>
      Either.isLeft(one.reply)
        ? []
        : Object.entries(one.reply.right.body as Row).map(([metric, value]) => ({ node: one.node, metric, value })),
    );
    this.log(table(rows, flags.fleet ? ['node', 'metric', 'value'] : ['metric', 'value']));
    return rows;
  }
}

export class SheetCheck extends Command {
  static override description = 'Check a sheet without sending it; every fault is told at once.';
  static override enableJsonFlag = true;
  static override flags = coreFlags;
  static override args = { file: Args.string({ required: true, description: 'the sheet, as JSON' }) };

  async run(): Promise<unknown> {
    const { flags, args } = await this.parse(SheetCheck);
    const reply = await replyOf(this, flags, { method: 'POST', path: '/v1/sheet/check', body: { sheet: readSheet(this, args.file) } });
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
    const reply = (await replyOf(this, flags, {
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
    const reply = (await replyOf(this, flags, {
      method: 'GET',
      path: `/v1/sheet${flags.version === undefined ? '' : `?version=${flags.version}`}`,
    })) as Readonly<{ sheet: unknown }>;
    this.log(JSON.stringify(reply.sheet, null, 2));
    return reply;
  }
}

function flatten(value: unknown, path: string, into: Map<string, string>): void {
  if (typeof value !== 'object' || value === null) {
    into.set(path, JSON.stringify(value));
    return;
  }
  for (const [name, inner] of Object.entries(value)) flatten(inner, path === '' ? name : `${path}.${name}`, into);
}

export class SheetDiff extends Command {
  static override description = 'What would change, cell by cell, if this sheet were sent.';
  static override enableJsonFlag = true;
  static override flags = coreFlags;
  static override args = { file: Args.string({ required: true, description: 'the sheet, as JSON' }) };

  async run(): Promise<unknown> {
    const { flags, args } = await this.parse(SheetDiff);
    const current = (await replyOf(this, flags, { method: 'GET', path: '/v1/sheet' })) as Readonly<{ version: number; sheet: unknown }>;
    const before = new Map<string, string>();
    const after = new Map<string, string>();
    flatten(current.sheet, '', before);
    flatten(readSheet(this, args.file), '', after);
    const cells = [...new Set([...before.keys(), ...after.keys()])].sort().filter((cell) => before.get(cell) !== after.get(cell));
    const changes = cells.map((cell) => ({ cell, before: before.get(cell) ?? '(none)', after: after.get(cell) ?? '(none)' }));
    this.log(changes.length === 0 ? `no cell differs from version ${current.version}` : table(changes, ['cell', 'before', 'after']));
    return { version: current.version, changes };
  }
}

const nodeArgs = { node: Args.string({ required: true, description: 'the edge, by its node id' }) };

export class Drain extends Command {
  static override description = 'Drain an edge: readiness fails at once, no new work, what is in flight ends.';
  static override enableJsonFlag = true;
  static override flags = { ...coreFlags, undo: Flags.boolean({ description: 'let it work again' }) };
  static override args = nodeArgs;

  async run(): Promise<unknown> {
    const { flags, args } = await this.parse(Drain);
    const reply = await replyOf(this, flags, {
      method: flags.undo ? 'DELETE' : 'POST',
      path: `/v1/nodes/${encodeURIComponent(args.node)}/drain`,
      ...(flags.undo ? {} : { body: {} }),
    });
    this.log(flags.undo ? `${args.node} works again` : `${args.node} drains`);
    return reply;
  }
}

export class Remove extends Command {
  static override description = 'Take an edge out of the membership table for good; N and the quorum shrink by it.';
  static override enableJsonFlag = true;
  static override flags = {
    ...coreFlags,
    force: Flags.boolean({ description: 'even if too few nodes are heard for a quorum afterwards' }),
  };
  static override args = nodeArgs;

  async run(): Promise<unknown> {
    const { flags, args } = await this.parse(Remove);
    const reply = await replyOf(this, flags, {
      method: 'DELETE',
      path: `/v1/nodes/${encodeURIComponent(args.node)}${flags.force ? '?force=true' : ''}`,
    });
    this.log(`${args.node} is no longer a node`);
    return reply;
  }
}

export class AcceptLoss extends Command {
  static override description =
    'Give up the acknowledged commits that only a lost primary has, so that a service can lead on without them.';
  static override enableJsonFlag = true;
  static override flags = {
    ...coreFlags,
    yes: Flags.boolean({ description: 'meant: commits that senders were told of will be gone', default: false }),
  };
  static override args = { service: Args.string({ required: true, description: 'the service' }) };

  async run(): Promise<unknown> {
    const { flags, args } = await this.parse(AcceptLoss);
    if (!flags.yes)
      return this.error(
        `commits of ${args.service} that senders were told of will be gone; look at stallstall members and elections, then repeat it with --yes`,
        { exit: exits.wrong },
      );
    const reply = (await replyOf(this, flags, {
      method: 'POST',
      path: `/v1/services/${encodeURIComponent(args.service)}/accept-loss`,
      body: {},
    })) as Readonly<{ floor: Readonly<{ epoch: number; position: number }> }>;
    this.log(`${args.service} may lead on without what was acknowledged up to ${reply.floor.epoch}/${reply.floor.position}`);
    return reply;
  }
}

export class Retire extends Command {
  static override description =
    'Mark a member draining (or serving again) in the sheet and send it whole; a primary hands over as planned.';
  static override enableJsonFlag = true;
  static override flags = {
    ...coreFlags,
    undo: Flags.boolean({ description: 'mark it serving again' }),
    by: Flags.string({ description: 'who sends it', default: process.env['USER'] ?? 'unnamed' }),
  };
  static override args = { member: Args.string({ required: true, description: 'the member' }) };

  async run(): Promise<unknown> {
    const { flags, args } = await this.parse(Retire);
    const current = (await replyOf(this, flags, { method: 'GET', path: '/v1/sheet' })) as {
      version: number;
      sheet: { services: Array<{ members: Array<{ member: string; state: string }> }> };
    };
    const member = current.sheet.services.flatMap((service) => service.members).find((one) => one.member === args.member);
    if (member === undefined) return this.error(`the sheet names no member ${args.member}; see stallstall members`, { exit: exits.wrong });
    member.state = flags.undo ? 'serving' : 'draining';
    const reply = (await replyOf(this, flags, {
      method: 'PUT',
      path: '/v1/sheet',
      headers: { 'if-match': String(current.version) },
      body: { sheet: current.sheet, sentBy: flags.by },
    })) as Readonly<{ version: number }>;
    this.log(`${args.member} is ${member.state} as of version ${reply.version}`);
    return reply;
  }
}
