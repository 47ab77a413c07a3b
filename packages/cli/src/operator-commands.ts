/** Commands that create and remove operators. */
import { Args, Command, Flags } from '@oclif/core';
import { coreClient, coreFlags } from './core-client.js';

export class OperatorPut extends Command {
  static override description = 'Create an operator, or replace its key and permissions; the key is shown only once.';
  static override enableJsonFlag = true;
  static override flags = {
    ...coreFlags,
    services: Flags.string({ description: 'the services the operator may change, separated by commas; * for all', default: '' }),
    nodes: Flags.boolean({ description: 'allow the operator to drain and remove nodes' }),
    operators: Flags.boolean({ description: 'allow the operator to create and remove operators' }),
  };
  static override args = { operator: Args.string({ required: true, description: 'the name of the operator' }) };

  async run(): Promise<unknown> {
    const { flags, args } = await this.parse(OperatorPut);
    const services = flags.services === '' ? [] : flags.services.split(',');
    const reply = (await coreClient.requestOrExit(this, flags, {
      method: 'PUT',
      path: `/v1/operators/${encodeURIComponent(args.operator)}`,
      body: { services, nodes: flags.nodes, operators: flags.operators },
    })) as Readonly<{ key: string }>;
    this.log(`the key of ${args.operator}, shown only this once: ${reply.key}`);
    return reply;
  }
}

export class OperatorRemove extends Command {
  static override description = 'Remove an operator and its key.';
  static override enableJsonFlag = true;
  static override flags = coreFlags;
  static override args = { operator: Args.string({ required: true, description: 'the name of the operator' }) };

  async run(): Promise<unknown> {
    const { flags, args } = await this.parse(OperatorRemove);
    const reply = await coreClient.requestOrExit(this, flags, {
      method: 'DELETE',
      path: `/v1/operators/${encodeURIComponent(args.operator)}`,
    });
    this.log(`operator ${args.operator} was removed; its key is no longer valid`);
    return reply;
  }
}
