/** Commands that make and remove operators. */
import { Args, Command, Flags } from '@oclif/core';
import { coreClient, coreFlags } from './core-client.js';

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
    const reply = (await coreClient.replyOf(this, flags, {
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
    const reply = await coreClient.replyOf(this, flags, { method: 'DELETE', path: `/v1/operators/${encodeURIComponent(args.operator)}` });
    this.log(`${args.operator} is no operator any more`);
    return reply;
  }
}
