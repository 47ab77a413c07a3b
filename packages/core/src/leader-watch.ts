/** Monitors the leaders of all services: keeps connections to them open and tells whether any service lacks a leader (design 7.1). */
import * as Option from 'fp-ts/lib/Option.js';
import { livenessService } from '@stallstall/election';
import type { Runtime } from '@stallstall/kernel';
import type { MemberRegistry } from '@stallstall/member-registry';
import type { Node } from '@stallstall/node';

/** @internal */
export type LeaderWatch = Readonly<{
  /** Ensures that this core's own connection to a member is open; a refused connection is recorded as evidence that the member is down. */
  checkConnection: (member: string) => void;
  /** Does the same for the leader of every service. */
  checkLeaderConnections: () => void;
  /** Whether some elected leader is down, gone or unregistered, or this node already takes part in a later epoch of its service. */
  isLeaderMissing: () => boolean;
}>;

const connectMilliseconds = 800;

function create(runtime: Runtime, node: Node, registry: MemberRegistry): LeaderWatch {
  function registeredServices(): readonly string[] {
    const configuration = node.configuration();
    if (Option.isNone(configuration)) return [];
    return configuration.value.value.sheet.services.filter((service) => service.registered).map((service) => service.service);
  }

  function checkConnection(member: string): void {
    const record = registry.recordOf(member);
    if (Option.isNone(record) || record.value.gone) return;
    const { service, address } = record.value;
    void runtime.services.find(livenessService).ensureConnection(service, member, address, connectMilliseconds);
  }

  function checkLeaderConnections(): void {
    for (const service of registeredServices()) {
      const elected = node.electedPrimary(service);
      if (Option.isSome(elected)) checkConnection(elected.value.primary);
    }
  }

  function lacksLeader(service: string, ownEpoch: number): boolean {
    const elected = node.electedPrimary(service);
    if (Option.isNone(elected)) return false;
    if (ownEpoch > elected.value.epoch) return true;
    const record = registry.recordOf(elected.value.primary);
    return Option.isNone(record) || record.value.down || record.value.gone;
  }

  function isLeaderMissing(): boolean {
    const epochs = node.epochs();
    return registeredServices().some((service) => lacksLeader(service, epochs[service] ?? 0));
  }

  return { checkConnection, checkLeaderConnections, isLeaderMissing };
}

/** @internal */
export const leaderWatch = { create } as const;
