/** Commands that list the state of the fleet. */
import { Command } from '@oclif/core';
import { coreClient, coreFlags, pageFlags } from './core-client.js';
import { tables, type Row } from './tables.js';

/** The status of the fleet as a core reports it; `membership` and `configuration` are version numbers. */
type FleetStatus = Readonly<{
  fleet: string;
  size: number;
  heard: number;
  quorum: number;
  spare: number;
  membership: number;
  configuration: number;
  /** Services without a primary, with the members that may hold the only copy of a commit; absent from earlier versions' replies. */
  waiting?: ReadonlyArray<Readonly<{ service: string; awaited: string }>>;
  nodes: readonly Row[];
}>;

export class Status extends Command {
  static override description =
    'List the nodes of the fleet: how long ago each was heard from and which configuration version it has applied.';
  static override enableJsonFlag = true;
  static override flags = coreFlags;

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Status);
    const status = (await coreClient.requestOrExit(this, flags, { method: 'GET', path: '/v1/fleet' })) as FleetStatus;
    this.log(
      `fleet ${status.fleet}: ${status.size} nodes, ${status.heard} reachable, quorum ${status.quorum}, ${status.spare} reachable beyond the quorum, membership version ${status.membership}, configuration version ${status.configuration}`,
    );
    this.log(
      tables.table(status.nodes, ['node', 'role', 'area', 'heardMilliseconds', 'obeys', 'protocol', 'draining', 'address', 'outward']),
    );
    for (const { service, awaited } of status.waiting ?? [])
      this.log(`service ${service} waits for one of these members, which may hold the only copy of an acknowledged commit: ${awaited}`);
    return status;
  }
}

export class Members extends Command {
  static override description = 'List the database members: which is primary, which are alive, and the position each has reached.';
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
  static override description =
    'List the services: the epoch and the primary of each, and the outcome of its last election as this core knows it.';
  static override enableJsonFlag = true;
  static override flags = pageFlags;

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Elections);
    return tables.showPage(this, flags, '/v1/elections', ['service', 'epoch', 'primary', 'voted', 'floor', 'outcome', 'awaited']);
  }
}

export class Usage extends Command {
  static override description = 'List the latest closed usage windows and whether each was reported to the platform.';
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
  static override description = 'List the actions of operators, latest first.';
  static override enableJsonFlag = true;
  static override flags = pageFlags;

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Audit);
    return tables.showPage(this, flags, '/v1/audit', ['number', 'at', 'by', 'action', 'detail'], (row) => ({
      ...row,
      at: tables.formatTime(row['at']),
    }));
  }
}

export class Operators extends Command {
  static override description = 'List the operators and their permissions.';
  static override enableJsonFlag = true;
  static override flags = pageFlags;

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Operators);
    return tables.showPage(this, flags, '/v1/operators', ['operator', 'services', 'nodes', 'operators']);
  }
}

export class SheetVersions extends Command {
  static override description = 'List the stored versions of the placement sheet and who sent each.';
  static override enableJsonFlag = true;
  static override flags = pageFlags;

  async run(): Promise<unknown> {
    const { flags } = await this.parse(SheetVersions);
    return tables.showPage(this, flags, '/v1/sheet/versions', ['version', 'sentBy', 'sentAt'], (row) => ({
      ...row,
      sentAt: tables.formatTime(row['sentAt']),
    }));
  }
}
