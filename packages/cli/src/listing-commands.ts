/** Commands that list what the fleet knows. */
import { Command } from '@oclif/core';
import { coreClient, coreFlags, pageFlags } from './core-client.js';
import { tables, type Row } from './tables.js';

/** What a core says of the fleet; `membership` and `configuration` are versions. */
type FleetStatus = Readonly<{
  fleet: string;
  size: number;
  heard: number;
  quorum: number;
  spare: number;
  membership: number;
  configuration: number;
  nodes: readonly Row[];
}>;

export class Status extends Command {
  static override description = 'The nodes of the fleet: who is heard, and which configuration each obeys.';
  static override enableJsonFlag = true;
  static override flags = coreFlags;

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Status);
    const status = (await coreClient.replyOf(this, flags, { method: 'GET', path: '/v1/fleet' })) as FleetStatus;
    this.log(
      `fleet ${status.fleet}: ${status.size} nodes, ${status.heard} heard, quorum ${status.quorum}, ${status.spare} to spare, membership ${status.membership}, configuration ${status.configuration}`,
    );
    this.log(
      tables.table(status.nodes, ['node', 'role', 'area', 'heardMilliseconds', 'obeys', 'protocol', 'draining', 'address', 'outward']),
    );
    return status;
  }
}

export class Members extends Command {
  static override description = 'The database members: who leads, who is alive, how far each has got.';
  static override enableJsonFlag = true;
  static override flags = pageFlags;

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Members);
    return tables.showPage(this, flags, '/v1/members', [
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
    return tables.showPage(this, flags, '/v1/elections', ['service', 'epoch', 'primary', 'voted', 'floor', 'outcome']);
  }
}

export class Usage extends Command {
  static override description = 'The usage windows fixed last, and whether the platform has them.';
  static override enableJsonFlag = true;
  static override flags = pageFlags;

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Usage);
    return tables.showPage(this, flags, '/v1/usage', ['window', 'sent', 'counts'], (row) => ({
      ...row,
      counts: JSON.stringify(row['counts']),
    }));
  }
}

export class Audit extends Command {
  static override description = 'Who did what, the latest first.';
  static override enableJsonFlag = true;
  static override flags = pageFlags;

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Audit);
    return tables.showPage(this, flags, '/v1/audit', ['number', 'at', 'by', 'action', 'detail'], (row) => ({
      ...row,
      at: tables.moment(row['at']),
    }));
  }
}

export class Operators extends Command {
  static override description = 'The operators and what each may do.';
  static override enableJsonFlag = true;
  static override flags = pageFlags;

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Operators);
    return tables.showPage(this, flags, '/v1/operators', ['operator', 'services', 'nodes', 'operators']);
  }
}

export class SheetVersions extends Command {
  static override description = 'The versions of the sheet that are kept, and who sent each.';
  static override enableJsonFlag = true;
  static override flags = pageFlags;

  async run(): Promise<unknown> {
    const { flags } = await this.parse(SheetVersions);
    return tables.showPage(this, flags, '/v1/sheet/versions', ['version', 'sentBy', 'sentAt'], (row) => ({
      ...row,
      sentAt: tables.moment(row['sentAt']),
    }));
  }
}
