/** Commands that look at the condition of one core, or of every node. */
import { Command, Flags } from '@oclif/core';
import * as Either from 'fp-ts/lib/Either.js';
import type { Fault, HttpReply } from '@stallstall/kernel';
import { coreClient, coreFlags, exits, type CoreFlags } from './core-client.js';
import { tables, type Row } from './tables.js';

const fleetFlags = { ...coreFlags, fleet: Flags.boolean({ description: 'ask every node of the membership table, not one core alone' }) };

type Asked = Readonly<{ node: string; reply: Either.Either<Fault, HttpReply> }>;

/** The same page of one core, or of every node that the table names. Ends the command when no core is reached. */
async function askNodes(command: Command, flags: CoreFlags & Readonly<{ fleet: boolean }>, path: string): Promise<readonly Asked[]> {
  if (!flags.fleet) {
    const reply = await coreClient.askAny(flags.core, { method: 'GET', path });
    return Either.isLeft(reply) ? command.error('no core was reached; see --core', { exit: exits.unreachable }) : [{ node: '', reply }];
  }
  const status = (await coreClient.replyOf(command, flags, { method: 'GET', path: '/v1/fleet' })) as Readonly<{
    nodes: ReadonlyArray<Readonly<{ node: string; outward: string }>>;
  }>;
  return Promise.all(
    status.nodes.map(async (one) => ({ node: one.node, reply: await coreClient.askAny(one.outward, { method: 'GET', path }) })),
  );
}

/** What one node says of itself; a node that was not reached is a check that failed. */
function livenessRows({ node, reply }: Asked): readonly Row[] {
  if (Either.isLeft(reply)) return [{ node, check: 'reached', sound: false, detail: reply.left.message, remedy: 'see whether it runs' }];
  const { checks, ...page } = reply.right.body as Readonly<{ checks: readonly Row[] }> & Row;
  return checks.map((check) => ({ node: page['node'] ?? page['core'], ...check, ...(check['sound'] === true ? { remedy: '' } : {}) }));
}

export class Liveness extends Command {
  static override description = 'What is sound and what is not, each with its remedy; exit code 1 when a check fails.';
  static override enableJsonFlag = true;
  static override flags = fleetFlags;

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Liveness);
    const asked = await askNodes(this, flags, '/v1/liveness');
    const rows = asked.flatMap(livenessRows);
    this.log(tables.table(rows, ['node', 'check', 'sound', 'detail', 'remedy']));
    if (rows.some((row) => row['sound'] !== true)) process.exitCode = exits.rejected;
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
    const rows = asked.flatMap((one) =>
      Either.isLeft(one.reply)
        ? []
        : Object.entries(one.reply.right.body as Row).map(([metric, value]) => ({ node: one.node, metric, value })),
    );
    this.log(tables.table(rows, flags.fleet ? ['node', 'metric', 'value'] : ['metric', 'value']));
    return rows;
  }
}
