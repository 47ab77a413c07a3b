/** Commands that report the health and the metrics of one core or of every node. */
import { Command, Flags } from '@oclif/core';
import * as Either from 'fp-ts/lib/Either.js';
import type { Fault, HttpReply } from '@stallstall/kernel';
import { coreClient, coreFlags, exitCodes, type CoreFlags } from './core-client.js';
import { tables, type Row } from './tables.js';

const fleetFlags = { ...coreFlags, fleet: Flags.boolean({ description: 'query every node of the membership table instead of one core' }) };

type NodeReply = Readonly<{ node: string; reply: Either.Either<Fault, HttpReply> }>;

/** Gets the same path from one core, or from every node of the membership table. Ends the command if no core can be reached. */
async function queryNodes(command: Command, flags: CoreFlags & Readonly<{ fleet: boolean }>, path: string): Promise<readonly NodeReply[]> {
  if (!flags.fleet) {
    const reply = await coreClient.requestAny(flags.core, { method: 'GET', path });
    return Either.isLeft(reply)
      ? command.error('none of the given cores could be reached; check the addresses passed with --core and that a core is running', {
          exit: exitCodes.unreachable,
        })
      : [{ node: '', reply }];
  }
  const status = (await coreClient.requestOrExit(command, flags, { method: 'GET', path: '/v1/fleet' })) as Readonly<{
    nodes: ReadonlyArray<Readonly<{ node: string; outward: string }>>;
  }>;
  return Promise.all(
    status.nodes.map(async ({ node, outward }) => ({ node, reply: await coreClient.requestAny(outward, { method: 'GET', path }) })),
  );
}

/** Formats the checks that one node reports; a node that could not be reached counts as one failed check. */
function livenessRows({ node, reply }: NodeReply): readonly Row[] {
  if (Either.isLeft(reply))
    return [
      {
        node,
        check: 'reached',
        sound: false,
        detail: reply.left.message,
        remedy: 'check that the node is running and that this machine can reach it',
      },
    ];
  const { checks, ...report } = reply.right.body as Readonly<{ checks: readonly Row[] }> & Row;
  return checks.map((check) => ({ node: report['node'] ?? report['core'], ...check, ...(check['sound'] === true ? { remedy: '' } : {}) }));
}

export class Liveness extends Command {
  static override description =
    'Show the health checks of a core or of every node, with a remedy for each that fails; exits with code 1 if any check fails.';
  static override enableJsonFlag = true;
  static override flags = fleetFlags;

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Liveness);
    const replies = await queryNodes(this, flags, '/v1/liveness');
    const rows = replies.flatMap(livenessRows);
    this.log(tables.table(rows, ['node', 'check', 'sound', 'detail', 'remedy']));
    if (rows.some((row) => row['sound'] !== true)) process.exitCode = exitCodes.rejected;
    return rows;
  }
}

export class Metrics extends Command {
  static override description = 'Show the metrics of one core, or of every node and its proxy.';
  static override enableJsonFlag = true;
  static override flags = fleetFlags;

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Metrics);
    const replies = await queryNodes(this, flags, '/v1/metrics');
    const rows = replies.flatMap(({ node, reply }) =>
      Either.isLeft(reply) ? [] : Object.entries(reply.right.body as Row).map(([metric, value]) => ({ node, metric, value })),
    );
    this.log(tables.table(rows, flags.fleet ? ['node', 'metric', 'value'] : ['metric', 'value']));
    return rows;
  }
}
