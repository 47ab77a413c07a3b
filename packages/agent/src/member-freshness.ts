/** Samples the STATE of every member and calculates the freshness of replicas from it (design 8.4). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Liveness } from '@stallstall/election';
import type { Clock, Instant } from '@stallstall/kernel';
import type { Target } from '@stallstall/message';
import type { Node } from '@stallstall/node';
import type { MemberPlacement } from '@stallstall/placement';

/** @internal */
export type MemberFreshness = Readonly<{
  /** Requests the STATE of every member in the applied configuration. */
  probeAll: () => void;
  /** The state of a member as sent to the proxy. */
  targetOf: (service: string, epoch: number, member: string) => Target;
}>;

/** The primary's position at one time. */
type Sample = Readonly<{ at: Instant; position: number }>;

const probeTimeoutMilliseconds = 700;
const maxSamples = 40;
/** Reported as `freshAgo` if the freshness is not known. */
const unknownFreshness = -1;

function create(clock: Clock, node: Node, members: Liveness): MemberFreshness {
  /** By service: samples of one epoch, the oldest first. */
  const samples = new Map<string, Readonly<{ epoch: number; history: readonly Sample[] }>>();

  function samplesOf(service: string, epoch: number): readonly Sample[] {
    const recorded = samples.get(service);
    return recorded?.epoch === epoch ? recorded.history : [];
  }

  async function probe(service: string, { member, address }: MemberPlacement): Promise<void> {
    const elected = node.electedPrimary(service);
    const probed = await members.probe(member, address, probeTimeoutMilliseconds);
    if (Either.isLeft(probed) || Option.isNone(elected)) return;
    const { epoch, primary } = elected.value;
    const { sentAt, state } = probed.right;
    if (primary !== member || state.epoch !== epoch) return;
    const history = [...samplesOf(service, epoch), { at: sentAt, position: state.received }].slice(-maxSamples);
    samples.set(service, { epoch, history });
  }

  function probeAll(): void {
    const configuration = node.configuration();
    if (Option.isNone(configuration)) return;
    for (const { service, members: placed } of configuration.value.value.sheet.services) {
      for (const member of placed) void probe(service, member);
    }
  }

  /** The latest time at which the primary was at a position that this member has applied. */
  function freshAt(service: string, epoch: number, applied: number): Instant | undefined {
    return samplesOf(service, epoch).findLast((sample) => sample.position <= applied)?.at;
  }

  function targetOf(service: string, epoch: number, member: string): Target {
    const state = members.latestState(member);
    const applied = Option.isSome(state) ? state.value.applied : 0;
    const fresh = freshAt(service, epoch, applied);
    return {
      member,
      alive: !members.isDown(member),
      freshAgo: fresh === undefined ? unknownFreshness : clock.now() - fresh,
      applied,
      follows: Option.isSome(state) ? state.value.epoch : 0,
    };
  }

  return { probeAll, targetOf };
}

/** @internal */
export const memberFreshness = { create } as const;
