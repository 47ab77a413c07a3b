/** Commands that take nodes and members out of use. */
import { Args, Command, Flags } from '@oclif/core';
import { coreClient, coreFlags, exits } from './core-client.js';

const nodeArgs = { node: Args.string({ required: true, description: 'the edge, by its node id' }) };

export class Drain extends Command {
  static override description = 'Drain an edge: readiness fails at once, no new work, what is in flight ends.';
  static override enableJsonFlag = true;
  static override flags = { ...coreFlags, undo: Flags.boolean({ description: 'let it work again' }) };
  static override args = nodeArgs;

  async run(): Promise<unknown> {
    const { flags, args } = await this.parse(Drain);
    const reply = await coreClient.replyOf(this, flags, {
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
    const reply = await coreClient.replyOf(this, flags, {
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
    yes: Flags.boolean({ description: 'meant: commits that clients were told of will be gone', default: false }),
  };
  static override args = { service: Args.string({ required: true, description: 'the service' }) };

  async run(): Promise<unknown> {
    const { flags, args } = await this.parse(AcceptLoss);
    if (!flags.yes)
      return this.error(
        `commits of ${args.service} that clients were told of will be gone; look at stallstall members and elections, then repeat it with --yes`,
        { exit: exits.wrong },
      );
    const reply = (await coreClient.replyOf(this, flags, {
      method: 'POST',
      path: `/v1/services/${encodeURIComponent(args.service)}/accept-loss`,
      body: {},
    })) as Readonly<Record<'floor', Readonly<{ epoch: number; position: number }>>>;
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
    const current = (await coreClient.replyOf(this, flags, { method: 'GET', path: '/v1/sheet' })) as {
      version: number;
      sheet: { services: Array<{ members: Array<{ member: string; state: string }> }> };
    };
    const member = current.sheet.services.flatMap((service) => service.members).find((one) => one.member === args.member);
    if (member === undefined) return this.error(`the sheet names no member ${args.member}; see stallstall members`, { exit: exits.wrong });
    member.state = flags.undo ? 'serving' : 'draining';
    const reply = (await coreClient.replyOf(this, flags, {
      method: 'PUT',
      path: '/v1/sheet',
      headers: { 'if-match': String(current.version) },
      body: { sheet: current.sheet, sentBy: flags.by },
    })) as Readonly<{ version: number }>;
    this.log(`${args.member} is ${member.state} as of version ${reply.version}`);
    return reply;
  }
}
