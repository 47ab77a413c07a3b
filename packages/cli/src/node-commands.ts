/** Commands that take nodes and members out of use. */
import { Args, Command, Flags } from '@oclif/core';
import { coreClient, coreFlags, exitCodes } from './core-client.js';

const nodeArgs = { node: Args.string({ required: true, description: 'the node id of the edge' }) };

export class Drain extends Command {
  static override description =
    'Drain an edge: its readiness check fails at once, it accepts no new requests, and requests in flight are completed.';
  static override enableJsonFlag = true;
  static override flags = { ...coreFlags, undo: Flags.boolean({ description: 'end the drain, so that the edge accepts requests again' }) };
  static override args = nodeArgs;

  async run(): Promise<unknown> {
    const { flags, args } = await this.parse(Drain);
    const reply = await coreClient.requestOrExit(this, flags, {
      method: flags.undo ? 'DELETE' : 'POST',
      path: `/v1/nodes/${encodeURIComponent(args.node)}/drain`,
      ...(flags.undo ? {} : { body: {} }),
    });
    this.log(
      flags.undo
        ? `${args.node} is no longer draining and accepts requests again`
        : `${args.node} is draining; remove it or end the drain with --undo`,
    );
    return reply;
  }
}

export class Remove extends Command {
  static override description =
    'Remove an edge from the membership table permanently; the number of nodes and the quorum shrink accordingly.';
  static override enableJsonFlag = true;
  static override flags = {
    ...coreFlags,
    force: Flags.boolean({ description: 'remove it even if the reachable nodes would then be too few for a quorum' }),
  };
  static override args = nodeArgs;

  async run(): Promise<unknown> {
    const { flags, args } = await this.parse(Remove);
    const reply = await coreClient.requestOrExit(this, flags, {
      method: 'DELETE',
      path: `/v1/nodes/${encodeURIComponent(args.node)}${flags.force ? '?force=true' : ''}`,
    });
    this.log(`${args.node} was removed from the membership table`);
    return reply;
  }
}

export class AcceptLoss extends Command {
  static override description =
    'Give up acknowledged commits that only a lost primary holds, so that another member of the service can become primary.';
  static override enableJsonFlag = true;
  static override flags = {
    ...coreFlags,
    yes: Flags.boolean({ description: 'confirm that commits already acknowledged to clients will be lost', default: false }),
  };
  static override args = { service: Args.string({ required: true, description: 'the name of the service' }) };

  async run(): Promise<unknown> {
    const { flags, args } = await this.parse(AcceptLoss);
    if (!flags.yes)
      return this.error(
        `nothing was changed: this would lose commits of ${args.service} that were acknowledged to clients; check stallstall members and stallstall elections, then run the command again with --yes`,
        { exit: exitCodes.usage },
      );
    const reply = (await coreClient.requestOrExit(this, flags, {
      method: 'POST',
      path: `/v1/services/${encodeURIComponent(args.service)}/accept-loss`,
      body: {},
    })) as Readonly<Record<'floor', Readonly<{ epoch: number; position: number }>>>;
    this.log(
      `${args.service} can elect a primary that lacks commits acknowledged up to ${reply.floor.epoch}/${reply.floor.position} (epoch/position)`,
    );
    return reply;
  }
}

export class Retire extends Command {
  static override description =
    'Mark a member as draining (or as serving again) in the current sheet and send the sheet; a draining primary hands over its role first.';
  static override enableJsonFlag = true;
  static override flags = {
    ...coreFlags,
    undo: Flags.boolean({ description: 'mark the member as serving again' }),
    by: Flags.string({ description: 'the name recorded as the sender of the sheet', default: process.env['USER'] ?? 'unnamed' }),
  };
  static override args = { member: Args.string({ required: true, description: 'the id of the member' }) };

  async run(): Promise<unknown> {
    const { flags, args } = await this.parse(Retire);
    const current = (await coreClient.requestOrExit(this, flags, { method: 'GET', path: '/v1/sheet' })) as {
      version: number;
      sheet: { services: Array<{ members: Array<{ member: string; state: string }> }> };
    };
    const member = current.sheet.services.flatMap((service) => service.members).find((candidate) => candidate.member === args.member);
    if (member === undefined)
      return this.error(`nothing was sent: the current sheet has no member ${args.member}; list the members with stallstall members`, {
        exit: exitCodes.usage,
      });
    member.state = flags.undo ? 'serving' : 'draining';
    const reply = (await coreClient.requestOrExit(this, flags, {
      method: 'PUT',
      path: '/v1/sheet',
      headers: { 'if-match': String(current.version) },
      body: { sheet: current.sheet, sentBy: flags.by },
    })) as Readonly<{ version: number }>;
    this.log(`${args.member} is marked as ${member.state} in version ${reply.version} of the sheet`);
    return reply;
  }
}
