/**
 * Queries the members that count as draining although a later heartbeat reports them as in service: such a heartbeat may be late, or come from
 * a new process of the member (design 4.7).
 */
import * as Either from 'fp-ts/lib/Either.js';
import { livenessService } from '@stallstall/election';
import { fault, type Runtime } from '@stallstall/kernel';
import type { MemberRegistry } from '@stallstall/member-registry';
import type { MemberRecord } from '@stallstall/message';

/** @internal */
export type DrainingChecks = Readonly<{
  /**
   * Requests the STATE of each such member and records who replied. Does nothing while this core has no contact with a majority of cores, which
   * may receive heartbeats that report draining.
   */
  queryQuestionedMembers: () => void;
}>;

const queryTimeoutMilliseconds = 800;

function create(runtime: Runtime, registry: MemberRegistry, isInContact: () => boolean): DrainingChecks {
  async function query({ member, address, service }: MemberRecord): Promise<void> {
    const probed = await runtime.services.find(livenessService).probe(member, address, queryTimeoutMilliseconds, service);
    // A member that is too busy to return its STATE has replied as well.
    const hasReplied = Either.isRight(probed) || fault.kind(probed.left) === 'overloaded';
    if (hasReplied) registry.recordReply(member);
  }

  return {
    queryQuestionedMembers: function queryQuestionedMembers() {
      if (!isInContact()) return;
      for (const member of registry.questionedMembers()) void query(member);
    },
  };
}

/** @internal */
export const drainingChecks = { create } as const;
